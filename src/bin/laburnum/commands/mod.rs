//! One module per subcommand, each with its options and an `exec`.

mod call;
mod config;
mod dump;
mod explain;
mod job;
mod quota;
mod settings;
mod vm;

use argh::FromArgs;

use crate::Context;

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Call(call::Options),
    Config(config::Options),
    Dump(dump::Options),
    Explain(explain::Options),
    Job(job::Options),
    Quota(quota::Options),
    Settings(settings::Options),
    Vm(vm::Options),
}

impl Command {
    /// Runs the command.
    pub(crate) async fn exec(self, context: &Context) -> eyre::Result<()> {
        match self {
            Command::Call(options) => call::exec(context, options).await,
            Command::Config(options) => config::exec(context, options).await,
            Command::Dump(options) => dump::exec(context, options).await,
            Command::Explain(options) => explain::exec(context, options).await,
            Command::Job(options) => job::exec(context, options).await,
            Command::Quota(options) => quota::exec(context, options).await,
            Command::Settings(options) => settings::exec(&options),
            Command::Vm(options) => vm::exec(context, options).await,
        }
    }
}
