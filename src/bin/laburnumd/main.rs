//! `laburnumd`: the daemon that runs on an entry VM.
//!
//! Exit codes: 0 after a planned stop; 1 when the daemon failed; 2 for wrong usage or settings.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use laburnumplank::{daemon, settings};

/// Exit code for wrong usage or settings.
const EXIT_USAGE: u8 = 2;

/// runs the laburnumplank daemon of an entry VM
#[derive(FromArgs)]
#[argh(
    example = "{command_name} --settings laburnumd.json",
    error_code(1, "the daemon failed"),
    error_code(2, "wrong usage or settings")
)]
struct Options {
    /// the settings file, JSON with comments
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let options = match Options::from_args(&["laburnumd"], &arguments) {
        Ok(options) => options,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        Err(exit) => {
            eprintln!(
                "{}\nrun laburnumd --help for more information",
                exit.output.trim_end()
            );
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let settings = match settings::load(&options.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match actix_rt::System::new().block_on(daemon::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}
