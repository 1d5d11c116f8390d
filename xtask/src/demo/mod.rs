//! Starts a cell on this machine and runs sample calls and jobs on it.

mod script;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use argh::FromArgs;
use laburnum_testkit::cell;
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::test::cargo;

/// How often the demo checks whether it has received a signal to stop.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// start a cell of daemons and simulated services and run sample calls and jobs on it
#[derive(FromArgs)]
#[argh(subcommand, name = "demo", example = "{command_name} --seconds 60")]
pub(crate) struct Options {
    /// number of daemons (default: 3)
    #[argh(option, default = "3")]
    entries: u32,

    /// number of workers, 8 to a rack (default: 16)
    #[argh(option, default = "16")]
    workers: u32,

    /// number of targets (default: 4)
    #[argh(option, default = "4")]
    targets: u32,

    /// seconds for which the cell keeps running after the sample work (default: until Ctrl-C)
    #[argh(option)]
    seconds: Option<u64>,
}

/// Builds the programs, starts a cell, runs the sample work and waits for the end of the demo.
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
        Some(seconds) => println!("\nthe cell stops in {seconds} s; press Ctrl-C to stop it now"),
        None => println!("\nthe cell runs until you press Ctrl-C"),
    }
    wait(&stop, options.seconds.map(Duration::from_secs)).await;
    Ok(())
}

/// Waits until `stop` is set or, if there is a limit, `limit` has passed.
async fn wait(stop: &AtomicBool, limit: Option<Duration>) {
    let started = Instant::now();
    let is_over = || limit.is_some_and(|limit| started.elapsed() >= limit);
    while !stop.load(Ordering::Relaxed) && !is_over() {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}
