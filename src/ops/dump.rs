//! Returns the state of the daemon.

use serde_json::{Value, json};

use super::expect_tell;
use crate::api::schema::{DumpRequest, DumpResponse};
use crate::core::error::{Error, Kind, Result};
use crate::daemon::Context;
use crate::wire::{Ask, Tell};

/// Returns the state of the daemon that is asked, as JSON.
///
/// # Errors
///
/// Fails when the control part does not answer.
pub async fn exec(context: &Context, _request: DumpRequest) -> Result<DumpResponse> {
    let tell = context.ask(Ask::Dump, super::TIMEOUT, false).await?;
    let control: Value = parse(&expect_tell!(tell, Tell::State)?)?;
    let dispatch = context.dump_dispatch(super::TIMEOUT).await?;
    let state = json!({ "control": control, "dispatch": dispatch });
    Ok(DumpResponse {
        state: state.to_string(),
    })
}

/// Reads the state that a part returned.
fn parse(state: &str) -> Result<Value> {
    serde_json::from_str(state)
        .map_err(|error| Error::new(Kind::Internal, format!("the state cannot be read: {error}")))
}
