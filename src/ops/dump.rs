//! Returns the state of the daemon.

use super::expect_tell;
use crate::api::schema::{DumpRequest, DumpResponse};
use crate::core::error::Result;
use crate::daemon::Context;
use crate::wire::{Ask, Tell};

/// Returns the state of the daemon that is asked, as JSON.
///
/// # Errors
///
/// Fails when the control part does not answer.
pub async fn exec(context: &Context, _request: DumpRequest) -> Result<DumpResponse> {
    let tell = context.ask(Ask::Dump, super::TIMEOUT, false).await?;
    Ok(DumpResponse {
        state: expect_tell!(tell, Tell::State)?,
    })
}
