//! A client of the daemon's remote procedure calls.

use std::time::Duration;

use awc::http::StatusCode;

use super::codec::{Body, Format};
use super::fault;
use crate::core::error::{Effect, Error, Kind, Result};

/// The largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Calls one entry, or whichever entry a balancer chooses.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
    base: String,
}

impl Client {
    /// Makes a client of the entry at `base`, such as `http://127.0.0.1:8080`, whose calls end after
    /// `timeout`.
    pub fn new(base: &str, timeout: Duration) -> Client {
        let http = awc::Client::builder().timeout(timeout).finish();
        Client {
            http,
            base: base.trim_end_matches('/').to_owned(),
        }
    }

    /// Calls `method` of `service`, such as `Caller` and `Call`.
    ///
    /// # Errors
    ///
    /// The entry's own error, or [`Kind::AnswerLost`] when no answer came, or [`Kind::NoOwner`]
    /// when the entry cannot be reached.
    pub async fn call<Q: Body, A: Body>(
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
            .limit(MAX_ANSWER_BYTES)
            .await
            .map_err(|error| {
                Error::new(
                    Kind::AnswerLost,
                    format!("the answer of {url} broke off: {error}"),
                )
            })?;
        if response.status() == StatusCode::OK {
            return Format::Proto.decode(&body);
        }
        Err(read_fault(&url, response.status(), &body))
    }
}

/// Reads the error in an answer's body.
fn read_fault(url: &str, status: StatusCode, body: &[u8]) -> Error {
    serde_json::from_slice::<fault::Body>(body).map_or_else(
        |_| {
            Error::new(
                Kind::Internal,
                format!("{url} answered {status} without an error body"),
            )
        },
        |fault| fault.to_error(),
    )
}

/// Says what a failure to send means for the request.
///
/// A request that cannot be sent now may have been sent before with the same key, which only the
/// owner of the key knows; so nothing is said of its effect.
///
/// `awc` calls a connection that closes after the request was written a failure to connect, too.
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
        _ => Error::new(Kind::AnswerLost, format!("no answer from {url}: {error}")),
    }
}
