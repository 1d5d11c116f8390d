//! Reads and changes the configuration.

use super::expect_tell;
use crate::api::schema::{
    GetConfigRequest, GetConfigResponse, ListConfigRequest, ListConfigResponse, PutConfigRequest,
    PutConfigResponse,
};
use crate::core::config::Body;
use crate::core::error::{Error, Kind, Result};
use crate::daemon::Context;
use crate::wire::{Ask, Tell};

/// Reads the version in force or an older one.
///
/// # Errors
///
/// [`Kind::NotFound`] for a version that is not kept.
pub async fn get(context: &Context, request: GetConfigRequest) -> Result<GetConfigResponse> {
    let tell = context
        .ask(Ask::GetConfig(request.version), super::TIMEOUT, false)
        .await?;
    let version = expect_tell!(tell, Tell::Config)?.into_iter().next();
    let missing = || {
        Error::new(
            Kind::NotFound,
            format!("no configuration version {}", request.version),
        )
    };
    Ok(GetConfigResponse {
        config: Some(version.ok_or_else(missing)?),
    })
}

/// Changes the configuration; answers when the change is read back from the log.
///
/// # Errors
///
/// [`Kind::Conflict`] names the version in force, [`Kind::InvalidConfig`] lists every fault, and
/// [`Kind::LogDown`] says that the change was not sent; [`Kind::AnswerLost`] that it may still come
/// into force.
pub async fn put(context: &Context, request: PutConfigRequest) -> Result<PutConfigResponse> {
    let ask = Ask::PutConfig {
        base: request.base_version,
        author: request.author,
        body: body(request.document, request.patch)?,
    };
    let tell = context.ask(ask, super::TIMEOUT, false).await?;
    Ok(PutConfigResponse {
        version: expect_tell!(tell, Tell::Version)?,
    })
}

/// Returns what changes: the document or the patch, whichever is given.
fn body(document: String, patch: String) -> Result<Body> {
    match (document.is_empty(), patch.is_empty()) {
        (false, true) => Ok(Body::Whole(document)),
        (true, false) => Ok(Body::Patch(patch)),
        _ => Err(Error::new(Kind::Malformed, "give either document or patch")),
    }
}

/// Lists the latest versions, newest first.
///
/// # Errors
///
/// Fails when the control part does not answer.
pub async fn list(context: &Context, _request: ListConfigRequest) -> Result<ListConfigResponse> {
    let tell = context.ask(Ask::ListConfig, super::TIMEOUT, false).await?;
    Ok(ListConfigResponse {
        versions: expect_tell!(tell, Tell::Config)?,
    })
}
