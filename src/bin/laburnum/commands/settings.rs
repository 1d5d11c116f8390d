//! `laburnum settings`: checks a settings file.

use std::path::PathBuf;

use argh::FromArgs;
use laburnumplank::settings;

/// check a settings file
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "settings",
    example = "{command_name} check laburnumd.json"
)]
pub(crate) struct Options {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(Check),
}

/// run the check that the daemon runs when it starts
#[derive(FromArgs)]
#[argh(subcommand, name = "check", example = "{command_name} laburnumd.json")]
struct Check {
    /// the file
    #[argh(positional)]
    file: PathBuf,
}

pub(crate) fn exec(options: &Options) -> eyre::Result<()> {
    let Command::Check(check) = &options.command;
    settings::load(&check.file)?;
    println!("{}: ok", check.file.display());
    Ok(())
}
