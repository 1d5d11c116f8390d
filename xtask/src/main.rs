//! Maintenance tasks: tests, generated code, the demonstration and measurements.

mod codegen;
mod demo;
mod measure;
mod release;
mod test;

use argh::FromArgs;

/// maintenance tasks for laburnumplank
#[derive(FromArgs)]
struct Options {
    #[argh(subcommand)]
    task: Task,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Task {
    Codegen(codegen::Options),
    Demo(demo::Options),
    Measure(measure::Options),
    ReleaseSchema(release::Options),
    Test(test::Options),
}

fn main() -> eyre::Result<()> {
    let options: Options = argh::from_env();
    match options.task {
        Task::Codegen(options) => codegen::exec(&options),
        Task::Demo(options) => demo::exec(&options),
        Task::Measure(options) => measure::exec(&options),
        Task::ReleaseSchema(options) => release::exec(&options),
        Task::Test(options) => test::exec(&options),
    }
}
