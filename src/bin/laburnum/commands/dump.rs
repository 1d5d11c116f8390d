//! `laburnum dump`: prints the state of an entry.

use argh::FromArgs;
use laburnumplank::api::schema::{DumpRequest, DumpResponse};

use crate::Context;

/// print the state of the entry that --entry names, as JSON
#[derive(FromArgs)]
#[argh(subcommand, name = "dump", example = "{command_name}")]
pub(crate) struct Options {}

pub(crate) async fn exec(context: &Context, _options: Options) -> eyre::Result<()> {
    let response: DumpResponse = context
        .client
        .call("Operator", "Dump", &DumpRequest {})
        .await?;
    println!("{}", response.state);
    Ok(())
}
