//! Clients of the platform's services and of targets.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::StatusCode;
use awc::http::header::HeaderMap;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::log::{Appended, Page};
use super::target;
use super::vms::List;
use super::worker::{Control, Inventory, Renew, Start};
use crate::core::id::Key;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Timeout of a read from the log, in addition to the time for which the log may hold it.
const READ_GRACE: Duration = Duration::from_secs(3);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an idle connection is kept open.
///
/// The limit also prevents the use of a connection that has been idle longer and may have been cut
/// without notice.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Why a request failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request was not sent, so it had no effect.
    NotSent(String),
    /// No valid response arrived; the request may have had its effect.
    EffectUnknown(String),
    /// The server returned this HTTP status, other than 200, with this body.
    Status(u16, String),
}

/// An HTTP client with its own connection pool.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
}

impl Client {
    /// Creates a client that opens at most `connections` connections.
    pub fn new(connections: usize) -> Client {
        let connector = awc::Connector::new()
            .limit(connections)
            .timeout(CONNECT_TIMEOUT)
            .conn_keep_alive(KEEP_ALIVE);
        let http = awc::Client::builder()
            .connector(connector)
            .disable_redirects()
            .disable_timeout()
            .finish();
        Client { http }
    }

    /// Appends an entry to a stream of the log at the URL `base` and returns its offset.
    ///
    /// # Errors
    ///
    /// After [`Failure::EffectUnknown`], the entry may be in the stream.
    pub async fn append(
        &self,
        base: &str,
        stream: &str,
        entry: Bytes,
        timeout: Duration,
    ) -> Result<u64, Failure> {
        let url = format!("{base}/v1/streams/{stream}/append");
        let request = self
            .http
            .post(&url)
            .timeout(timeout)
            .insert_header(("content-type", "application/octet-stream"));
        let body = read_response(request.send_body(entry).await).await?;
        let appended: Appended = parse_json(&body)?;
        Ok(appended.offset)
    }

    /// Reads up to `max_bytes` of entries from offset `from` on.
    ///
    /// The log waits up to `wait` for the first entry.
    ///
    /// # Errors
    ///
    /// Any failure may be followed by another try.
    pub async fn read(
        &self,
        base: &str,
        stream: &str,
        from: u64,
        max_bytes: usize,
        wait: Duration,
    ) -> Result<Page, Failure> {
        let wait_ms = wait.as_millis();
        let url = format!(
            "{base}/v1/streams/{stream}/entries?from={from}&max_bytes={max_bytes}&wait_ms={wait_ms}"
        );
        let request = self.http.get(&url).timeout(wait + READ_GRACE);
        let body = read_response(request.send().await).await?;
        ciborium::from_reader(body.as_ref())
            .map_err(|error| Failure::EffectUnknown(format!("{url}: {error}")))
    }

    /// Reads the VM list at the URL `base`.
    ///
    /// # Errors
    ///
    /// Any failure may be followed by another try.
    pub async fn vms(&self, base: &str, timeout: Duration) -> Result<List, Failure> {
        let request = self.http.get(format!("{base}/v1/vms")).timeout(timeout);
        parse_json(&read_response(request.send().await).await?)
    }

    /// Starts a task on a worker.
    ///
    /// # Errors
    ///
    /// After [`Failure::EffectUnknown`], the task may be running.
    pub async fn start(
        &self,
        worker: SocketAddr,
        start: &Start,
        timeout: Duration,
    ) -> Result<(), Failure> {
        self.post(worker, "start", start, timeout).await
    }

    /// Renews leases on a worker.
    ///
    /// # Errors
    ///
    /// After [`Failure::EffectUnknown`], the leases may have been renewed.
    pub async fn renew(
        &self,
        worker: SocketAddr,
        renew: &Renew,
        timeout: Duration,
    ) -> Result<(), Failure> {
        self.post(worker, "renew", renew, timeout).await
    }

    /// Stops, checkpoints or throttles a task on a worker.
    ///
    /// # Errors
    ///
    /// After [`Failure::EffectUnknown`], the action may have been taken.
    pub async fn control(
        &self,
        worker: SocketAddr,
        control: &Control,
        timeout: Duration,
    ) -> Result<(), Failure> {
        self.post(worker, "control", control, timeout).await
    }

    /// Reads the inventory of a worker: its running and recently ended tasks.
    ///
    /// # Errors
    ///
    /// Any failure may be followed by another try.
    pub async fn inventory(
        &self,
        worker: SocketAddr,
        timeout: Duration,
    ) -> Result<Inventory, Failure> {
        let request = self
            .http
            .get(format!("http://{worker}/v1/inventory"))
            .timeout(timeout);
        parse_json(&read_response(request.send().await).await?)
    }

    /// Calls a method of a target.
    ///
    /// # Errors
    ///
    /// After [`Failure::EffectUnknown`], the method may have run. [`Failure::Status`] with status 503 means
    /// that the method did not run; any other status means that it ran and failed.
    pub async fn call(&self, target: SocketAddr, call: &Call<'_>) -> Result<Bytes, Failure> {
        let url = format!("http://{target}/v1/call/{}", call.method);
        let mut request = self
            .http
            .post(&url)
            .timeout(call.timeout)
            .insert_header((target::REQUEST_ID, call.request_id))
            .insert_header((target::TIMEOUT_MS, call.timeout.as_millis().to_string()));
        if let Some(key) = call.key {
            request = request.insert_header((target::KEY, key.to_string()));
        }
        let sent = request.send_body(call.body.clone()).await;
        if let Ok(response) = &sent {
            check_request_id(response.headers(), call.request_id)?;
        }
        read_response(sent).await
    }

    /// Requests `/healthz` and returns whether a response with any status arrived.
    pub async fn ping(&self, address: SocketAddr, timeout: Duration) -> bool {
        let request = self
            .http
            .get(format!("http://{address}/healthz"))
            .timeout(timeout);
        !matches!(
            read_response(request.send().await).await,
            Err(Failure::NotSent(_) | Failure::EffectUnknown(_))
        )
    }

    async fn post<B: Serialize>(
        &self,
        worker: SocketAddr,
        action: &str,
        body: &B,
        timeout: Duration,
    ) -> Result<(), Failure> {
        let url = format!("http://{worker}/v1/tasks/{action}");
        let request = self.http.post(&url).timeout(timeout);
        read_response(request.send_json(body).await).await?;
        Ok(())
    }
}

/// A call to a target.
pub struct Call<'a> {
    /// The name of the method.
    pub method: &'a str,
    /// The id of the request, which the target copies to its response.
    pub request_id: &'a str,
    /// The idempotency key, if the call has one.
    pub key: Option<Key>,
    /// The request body.
    pub body: Bytes,
    /// The timeout, which is also sent to the target.
    pub timeout: Duration,
}

/// Rejects a response that carries the id of another request; a response without an id passes.
fn check_request_id(headers: &HeaderMap, expected: &str) -> Result<(), Failure> {
    match headers.get(target::REQUEST_ID) {
        Some(id) if id.as_bytes() != expected.as_bytes() => Err(Failure::EffectUnknown(
            "the response belongs to another request".to_owned(),
        )),
        _ => Ok(()),
    }
}

/// What `awc` returns for a sent request.
type SendResult<S> = Result<awc::ClientResponse<S>, awc::error::SendRequestError>;

/// Reads the whole response body; any status other than 200 is a failure.
async fn read_response<S>(sent: SendResult<S>) -> Result<Bytes, Failure>
where
    S: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>>,
{
    let mut response = sent.map_err(|error| classify_error(&error))?;
    let status = response.status();
    let body = response.body().limit(MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|error| {
        Failure::EffectUnknown(format!("the response body ended early: {error}"))
    })?;
    if status == StatusCode::OK {
        return Ok(body);
    }
    Err(Failure::Status(
        status.as_u16(),
        String::from_utf8_lossy(&body).into_owned(),
    ))
}

/// Determines whether a request that failed may have had its effect.
///
/// `awc` also reports a connection that closes after the request was written as a connect error.
fn classify_error(error: &awc::error::SendRequestError) -> Failure {
    use awc::error::{ConnectError, SendRequestError as E};
    match error {
        E::Connect(ConnectError::Disconnected) => Failure::EffectUnknown(error.to_string()),
        E::Url(_) | E::Connect(_) => Failure::NotSent(error.to_string()),
        _ => Failure::EffectUnknown(error.to_string()),
    }
}

/// Parses a JSON response.
fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|error| {
        Failure::EffectUnknown(format!("the response is not the expected JSON: {error}"))
    })
}
