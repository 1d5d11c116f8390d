//! A client of the daemon's remote procedure calls.

use std::time::Duration;

use awc::http::StatusCode;

use super::codec::{Format, SchemaMessage};
use super::fault;
use crate::core::error::{Effect, Error, Kind, Result};

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Calls one entry, or a load balancer that forwards each call to an entry.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
    base: String,
}

impl Client {
    /// Creates a client of the entry at the URL `base`, such as `http://127.0.0.1:8080`.
    ///
    /// Each call fails once it has taken `timeout`.
    pub fn new(base: &str, timeout: Duration) -> Client {
        let http = awc::Client::builder().timeout(timeout).finish();
        Client {
            http,
            base: base.trim_end_matches('/').to_owned(),
        }
    }

    /// Calls `method` of `service`, for example the method `Call` of the service `Caller`.
    ///
    /// # Errors
    ///
    /// Returns the error that the entry reports, [`Kind::AnswerLost`] if no complete response
    /// arrives, or [`Kind::NoOwner`] if the client cannot connect to the entry.
    pub async fn call<Q: SchemaMessage, A: SchemaMessage>(
        &self,
        service: &str,
        method: &str,
        request: &Q,
    ) -> Result<A> {
        let url = format!("{}/laburnum.v1.{service}/{method}", self.base);
        let body = Format::Proto.encode(request)?;
        let sent = self
            .http
            .post(&url)
            .insert_header(("content-type", Format::Proto.content_type()))
            .insert_header(("connect-protocol-version", "1"))
            .send_body(body)
            .await;
        let mut response = sent.map_err(|error| transport_error(&url, &error))?;
        let body = response
            .body()
            .limit(MAX_RESPONSE_BYTES)
            .await
            .map_err(|error| {
                Error::new(
                    Kind::AnswerLost,
                    format!("the response of {url} ended early: {error}"),
                )
            })?;
        if response.status() == StatusCode::OK {
            return Format::Proto.decode(&body);
        }
        Err(decode_error(&url, response.status(), &body))
    }
}

/// Decodes the error in a response body.
fn decode_error(url: &str, status: StatusCode, body: &[u8]) -> Error {
    serde_json::from_slice::<fault::ErrorBody>(body).map_or_else(
        |_| {
            Error::new(
                Kind::Internal,
                format!("{url} returned status {status} without a valid error body"),
            )
        },
        |body| body.to_error(),
    )
}

/// Converts a transport error to the error that is returned to the caller.
///
/// Even if the client cannot connect, the effect of the request is unknown: an earlier request with
/// the same key may have run, and only the owner of the key has a record of that.
///
/// `awc` also reports a connection that closes after the request was written as a connect error.
fn transport_error(url: &str, error: &awc::error::SendRequestError) -> Error {
    use awc::error::{ConnectError, SendRequestError as E};
    match error {
        E::Connect(ConnectError::Disconnected) => {
            Error::new(Kind::AnswerLost, format!("{url} closed the connection"))
        }
        E::Url(_) => Error::new(Kind::Malformed, format!("`{url}` is not a URL")),
        E::Connect(_) => {
            let message = format!("cannot connect to {url}: {error}");
            Error::new(Kind::NoOwner, message).with_effect(Effect::Unknown)
        }
        _ => Error::new(Kind::AnswerLost, format!("no response from {url}: {error}")),
    }
}
