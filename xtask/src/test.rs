//! Builds every program and runs all tests.

use std::io::ErrorKind;
use std::process::Command;
use std::{env, fs};

use argh::FromArgs;

/// build every program and run all tests
#[derive(FromArgs)]
#[argh(subcommand, name = "test")]
pub(crate) struct Options {}

/// The tests that fail for a known fault, one in a line.
const KNOWN_RED: &str = "KNOWN-RED.txt";

/// Builds, then tests; the tests start the built programs.
pub(crate) fn exec(_options: &Options) -> eyre::Result<()> {
    cargo(&["build", "--workspace", "--bins"])?;
    let known_red = known_red()?;
    let mut arguments = vec!["test", "--workspace", "--"];
    for test in &known_red {
        println!("known red, passed over: {test}");
        arguments.extend(["--skip", test]);
    }
    cargo(&arguments)
}

/// Returns the tests that [`KNOWN_RED`] lists.
fn known_red() -> eyre::Result<Vec<String>> {
    let lines = match fs::read_to_string(KNOWN_RED) {
        Ok(lines) => lines,
        Err(error) if error.kind() == ErrorKind::NotFound => String::new(),
        Err(error) => return Err(error.into()),
    };
    let entries = lines.lines().filter(|line| !line.starts_with('#'));
    let names = entries.filter_map(|line| line.split(" | ").next());
    Ok(names
        .filter(|name| !name.is_empty())
        .map(str::to_owned)
        .collect())
}

/// Runs `cargo` with `arguments`.
pub(crate) fn cargo(arguments: &[&str]) -> eyre::Result<()> {
    let program = env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let status = Command::new(program).args(arguments).status()?;
    eyre::ensure!(status.success(), "`cargo {}` failed", arguments.join(" "));
    Ok(())
}
