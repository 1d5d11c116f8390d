//! `laburnum call`: calls a method of a service.

use std::io::Write;

use argh::FromArgs;
use laburnumplank::api::schema::{CallRequest, CallResponse, Priority};
use uuid::Uuid;

use crate::Context;
use crate::output::Usage;

/// call a method of a service and print the target's response
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "call",
    example = "{command_name} licence-filing file --body '{{\"bar\": 7}}'",
    example = "{command_name} mail-forwarding lookup --idempotent --priority lookup"
)]
pub(crate) struct Options {
    /// the service
    #[argh(positional)]
    service: String,

    /// the method
    #[argh(positional)]
    method: String,

    /// the request body (default: empty)
    #[argh(option, default = "String::new()")]
    body: String,

    /// the idempotency key, a UUID version 7 (default: a new one, which is printed)
    #[argh(option)]
    key: Option<String>,

    /// the call may safely run more than once
    #[argh(switch)]
    idempotent: bool,

    /// lookup, normal or bulk (default: normal)
    #[argh(option, default = "String::from(\"normal\")")]
    priority: String,

    /// the name of the caller, for fair queueing
    #[argh(option, default = "String::from(\"command-line\")")]
    caller: String,
}

pub(crate) async fn exec(context: &Context, options: Options) -> eyre::Result<()> {
    let request = CallRequest {
        priority: priority(&options.priority)?.into(),
        key: key(&options),
        service: options.service,
        method: options.method,
        body: options.body.into(),
        idempotent: options.idempotent,
        timeout_ms: context.timeout.as_millis() as u32,
        caller: options.caller,
    };
    let response: CallResponse = context.client.call("Caller", "Call", &request).await?;
    let mut out = std::io::stdout();
    out.write_all(&response.body)?;
    out.write_all(b"\n")?;
    Ok(())
}

/// Returns the idempotency key. A new key is printed, so that the user can repeat the call with it.
fn key(options: &Options) -> String {
    match &options.key {
        Some(key) => key.clone(),
        None if options.idempotent => String::new(),
        None => {
            let key = Uuid::now_v7().to_string();
            eprintln!("key: {key}");
            key
        }
    }
}

fn priority(name: &str) -> Result<Priority, Usage> {
    match name {
        "lookup" => Ok(Priority::Lookup),
        "normal" => Ok(Priority::Normal),
        "bulk" => Ok(Priority::Bulk),
        _ => Err(Usage(format!(
            "`{name}` is not a priority; give lookup, normal or bulk"
        ))),
    }
}
