//! A cell on this machine, with real work taken through it.

mod script;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use argh::FromArgs;
use laburnum_testkit::cell;
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::test::cargo;

/// The span between two looks whether the demonstration has been asked to end.
const POLL: Duration = Duration::from_millis(100);

/// start daemons and stand-ins and take work through them
#[derive(FromArgs)]
#[argh(subcommand, name = "demo", example = "{command_name} --seconds 60")]
pub(crate) struct Options {
    /// how many daemons (default: 3)
    #[argh(option, default = "3")]
    entries: u32,

    /// how many workers, 8 to a rack (default: 16)
    #[argh(option, default = "16")]
    workers: u32,

    /// how many targets (default: 4)
    #[argh(option, default = "4")]
    targets: u32,

    /// seconds that the cell stays after the work is done (default: until Ctrl-C)
    #[argh(option)]
    seconds: Option<u64>,
}

/// Builds the programs, starts a cell, runs the script and waits to be ended.
pub(crate) fn exec(options: &Options) -> eyre::Result<()> {
    cargo(&["build", "--workspace", "--bins"])?;
    actix_rt::System::new().block_on(run(options))
}

async fn run(options: &Options) -> eyre::Result<()> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, Arc::clone(&stop))?;
    }
    let cell = cell::Builder::new()
        .entries(options.entries)
        .workers(options.workers)
        .targets(options.targets)
        .service(script::SERVICE)
        .start()
        .await?;
    println!("{}\n", cell.summary());
    script::run(&cell).await?;
    match options.seconds {
        Some(seconds) => println!("\nthe cell ends in {seconds} s; Ctrl-C ends it now"),
        None => println!("\nthe cell stays until Ctrl-C"),
    }
    wait(&stop, options.seconds.map(Duration::from_secs)).await;
    Ok(())
}

/// Waits until `stop` is set or `limit` has passed.
async fn wait(stop: &AtomicBool, limit: Option<Duration>) {
    let started = Instant::now();
    let is_over = || limit.is_some_and(|limit| started.elapsed() >= limit);
    while !stop.load(Ordering::Relaxed) && !is_over() {
        actix_rt::time::sleep(POLL).await;
    }
}
