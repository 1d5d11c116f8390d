//! Returns the state of the daemon as JSON.

use serde_json::{Value, json};

use super::expect_response;
use crate::api::schema::{DumpRequest, DumpResponse};
use crate::core::error::{Error, Kind, Result};
use crate::daemon::Context;
use crate::wire::{Request, Response};

/// Returns the state of this daemon's control and dispatch parts, as JSON.
///
/// # Errors
///
/// Fails when the control or the dispatch part does not respond.
pub async fn exec(context: &Context, _request: DumpRequest) -> Result<DumpResponse> {
    let response = context
        .request(Request::Dump, super::TIMEOUT, false)
        .await?;
    let control: Value = parse(&expect_response!(response, Response::State)?)?;
    let dispatch = context.dump_dispatch(super::TIMEOUT).await?;
    let state = json!({ "control": control, "dispatch": dispatch });
    Ok(DumpResponse {
        state: state.to_string(),
    })
}

/// Parses the state that a part of the daemon returned.
fn parse(state: &str) -> Result<Value> {
    serde_json::from_str(state).map_err(|error| {
        Error::new(
            Kind::Internal,
            format!("the state cannot be parsed: {error}"),
        )
    })
}
