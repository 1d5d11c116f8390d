//! Commands for developers: tests, code generation, schema releases, a demo and measurements.

mod codegen;
mod demo;
mod measure;
mod release;
mod test;

use argh::FromArgs;

/// developer commands for laburnumplank
#[derive(FromArgs)]
struct Options {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Codegen(codegen::Options),
    Demo(demo::Options),
    Measure(measure::Options),
    ReleaseSchema(release::Options),
    Test(test::Options),
}

fn main() -> eyre::Result<()> {
    let options: Options = argh::from_env();
    match options.command {
        Command::Codegen(options) => codegen::exec(&options),
        Command::Demo(options) => demo::exec(&options),
        Command::Measure(options) => measure::exec(&options),
        Command::ReleaseSchema(options) => release::exec(&options),
        Command::Test(options) => test::exec(&options),
    }
}
