//! `laburnum`: the command-line client for callers and operators.
//!
//! Exit codes: 0 success; 1 refused or failed; 2 wrong usage or settings; 3 the effect of the
//! request is unknown; 4 no entry can be reached.

mod commands;
mod output;

use std::process::ExitCode;
use std::time::Duration;

use argh::{EarlyExit, FromArgs};
use laburnumplank::api::client::Client;
use laburnumplank::core::error::{Effect, Error, Kind};

/// Exit code for wrong usage or settings.
const EXIT_USAGE: u8 = 2;

/// calls services, submits jobs and operates a laburnumplank cell
#[derive(FromArgs)]
#[argh(
    example = "{command_name} --entry http://192.0.2.1:8080 vm list --format json",
    error_code(1, "the request was refused or failed"),
    error_code(2, "wrong usage or settings"),
    error_code(3, "the effect of the request is unknown"),
    error_code(4, "no entry can be reached")
)]
struct Options {
    /// the entry, or the balancer in front of the entries (default: http://127.0.0.1:8080)
    #[argh(option, default = "String::from(\"http://127.0.0.1:8080\")")]
    entry: String,

    /// how long to wait for a response, in milliseconds (default: 15000)
    #[argh(option, default = "15_000")]
    timeout_ms: u64,

    #[argh(subcommand)]
    command: commands::Command,
}

/// State shared by all commands.
struct Context {
    client: Client,
    timeout: Duration,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let rest = arguments.get(1..).unwrap_or_default();
    let options = match Options::from_args(&["laburnum"], rest) {
        Ok(options) => options,
        Err(exit) => return early_exit(&exit),
    };
    actix_rt::System::new().block_on(run(options))
}

/// Prints help to standard output and a usage error to standard error.
fn early_exit(exit: &EarlyExit) -> ExitCode {
    if exit.status.is_ok() {
        println!("{}", exit.output);
        return ExitCode::SUCCESS;
    }
    eprintln!(
        "{}\nrun laburnum --help for more information",
        exit.output.trim_end()
    );
    ExitCode::from(EXIT_USAGE)
}

/// Runs the command and turns its error into an exit code.
async fn run(options: Options) -> ExitCode {
    let timeout = Duration::from_millis(options.timeout_ms);
    let context = Context {
        client: Client::new(&options.entry, timeout),
        timeout,
    };
    match options.command.exec(&context).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print_error(&error);
            ExitCode::from(exit_code(&error))
        }
    }
}

/// Prints an error, the known effect of the request and the delay before a retry.
fn print_error(error: &eyre::Report) {
    eprintln!("error: {error:#}");
    let Some(error) = error.downcast_ref::<Error>() else {
        return;
    };
    let properties = error.kind.answer();
    eprintln!(
        "kind: {}; effect: {:?}; retryable: {}",
        properties.name, error.effect, properties.retryable
    );
    if let Some(delay) = error.retry_after {
        eprintln!("retry after {} ms", delay.as_millis());
    }
}

/// Returns the exit code of an error.
fn exit_code(error: &eyre::Report) -> u8 {
    if error.is::<output::Usage>() || error.is::<laburnumplank::settings::Error>() {
        return EXIT_USAGE;
    }
    match error.downcast_ref::<Error>() {
        Some(error) if error.message.starts_with("cannot connect") => 4,
        Some(error) if error.kind == Kind::Malformed => EXIT_USAGE,
        Some(error) if error.effect == Effect::Unknown => 3,
        _ => 1,
    }
}
