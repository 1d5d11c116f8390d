//! Builds every program and runs all tests.

use std::env;
use std::process::Command;

use argh::FromArgs;

/// build every program and run all tests
#[derive(FromArgs)]
#[argh(subcommand, name = "test")]
pub(crate) struct Options {}

/// Builds, then tests; the tests start the built programs.
pub(crate) fn exec(_options: &Options) -> eyre::Result<()> {
    cargo(&["build", "--workspace", "--bins"])?;
    cargo(&["test", "--workspace"])
}

/// Runs `cargo` with `arguments`.
pub(crate) fn cargo(arguments: &[&str]) -> eyre::Result<()> {
    let program = env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let status = Command::new(program).args(arguments).status()?;
    eyre::ensure!(status.success(), "`cargo {}` failed", arguments.join(" "));
    Ok(())
}
