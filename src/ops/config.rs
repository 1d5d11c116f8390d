//! Reads and changes the cell's configuration.

use super::expect_response;
use crate::api::schema::{
    GetConfigRequest, GetConfigResponse, ListConfigRequest, ListConfigResponse, PutConfigRequest,
    PutConfigResponse,
};
use crate::core::config::Body;
use crate::core::error::{Error, Kind, Result};
use crate::daemon::Context;
use crate::wire::{Request, Response};

/// Returns the version in force (requested as version 0) or an older one.
///
/// # Errors
///
/// [`Kind::NotFound`] for a version that is not stored.
pub async fn get(context: &Context, request: GetConfigRequest) -> Result<GetConfigResponse> {
    let response = context
        .request(Request::GetConfig(request.version), super::TIMEOUT, false)
        .await?;
    let version = expect_response!(response, Response::Config)?
        .into_iter()
        .next();
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

/// Changes the configuration; responds once the change has been read back from the log.
///
/// # Errors
///
/// [`Kind::Conflict`] names the version in force and [`Kind::InvalidConfig`] lists every fault.
/// After [`Kind::LogDown`] the change was not sent; after [`Kind::AnswerLost`] it may still come into
/// force.
pub async fn put(context: &Context, request: PutConfigRequest) -> Result<PutConfigResponse> {
    let change = Request::PutConfig {
        base: request.base_version,
        author: request.author,
        body: change_body(request.document, request.patch)?,
    };
    let response = context.request(change, super::TIMEOUT, false).await?;
    Ok(PutConfigResponse {
        version: expect_response!(response, Response::Version)?,
    })
}

/// Returns the body of a change: the document or the patch, whichever is given.
fn change_body(document: String, patch: String) -> Result<Body> {
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
/// Fails when the control part does not respond.
pub async fn list(context: &Context, _request: ListConfigRequest) -> Result<ListConfigResponse> {
    let response = context
        .request(Request::ListConfig, super::TIMEOUT, false)
        .await?;
    Ok(ListConfigResponse {
        versions: expect_response!(response, Response::Config)?,
    })
}
