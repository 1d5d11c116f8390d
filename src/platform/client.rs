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

/// The largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// How much longer than its own wait a read of the log may take.
const READ_GRACE: Duration = Duration::from_secs(3);
/// How long a connection attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an unused connection is kept; a connection that was cut silently is not used again
/// after that.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Why no answer came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request surely had no effect.
    NotSent(String),
    /// The request may have had its effect.
    Unknown(String),
    /// The other end refused or failed, with this status.
    Status(u16, String),
}

/// Sends requests over connections of its own.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
}

impl Client {
    /// Makes a client that opens at most `connections` connections.
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

    /// Appends an entry to a stream of the log at `base`.
    ///
    /// # Errors
    ///
    /// After [`Failure::Unknown`] the entry may be in the stream.
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
        let body = answer(request.send_body(entry).await).await?;
        let appended: Appended = parse(&body)?;
        Ok(appended.offset)
    }

    /// Reads entries from `from` on and waits up to `wait` for the first.
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
        let body = answer(request.send().await).await?;
        ciborium::from_reader(body.as_ref())
            .map_err(|error| Failure::Unknown(format!("{url}: {error}")))
    }

    /// Reads the VM list at `base`.
    ///
    /// # Errors
    ///
    /// Any failure may be followed by another try.
    pub async fn vms(&self, base: &str, timeout: Duration) -> Result<List, Failure> {
        let request = self.http.get(format!("{base}/v1/vms")).timeout(timeout);
        parse(&answer(request.send().await).await?)
    }

    /// Starts a task on a worker.
    ///
    /// # Errors
    ///
    /// After [`Failure::Unknown`] the task may run.
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
    /// After [`Failure::Unknown`] the leases may have been renewed.
    pub async fn renew(
        &self,
        worker: SocketAddr,
        renew: &Renew,
        timeout: Duration,
    ) -> Result<(), Failure> {
        self.post(worker, "renew", renew, timeout).await
    }

    /// Acts on a task on a worker.
    ///
    /// # Errors
    ///
    /// After [`Failure::Unknown`] the action may have been taken.
    pub async fn control(
        &self,
        worker: SocketAddr,
        control: &Control,
        timeout: Duration,
    ) -> Result<(), Failure> {
        self.post(worker, "control", control, timeout).await
    }

    /// Reads what a worker runs.
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
        parse(&answer(request.send().await).await?)
    }

    /// Calls a method of a target.
    ///
    /// # Errors
    ///
    /// After [`Failure::Unknown`] the method may have run. [`Failure::Status`] with 503 says that it
    /// did not run, with any other status that it ran and failed.
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
            check_id(response.headers(), call.request_id)?;
        }
        answer(sent).await
    }

    /// Asks for any answer, whatever its status; returns whether one came.
    pub async fn ping(&self, address: SocketAddr, timeout: Duration) -> bool {
        let request = self
            .http
            .get(format!("http://{address}/healthz"))
            .timeout(timeout);
        !matches!(
            answer(request.send().await).await,
            Err(Failure::NotSent(_) | Failure::Unknown(_))
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
        answer(request.send_json(body).await).await?;
        Ok(())
    }
}

/// A call of a target.
pub struct Call<'a> {
    /// The method.
    pub method: &'a str,
    /// The id that the target repeats.
    pub request_id: &'a str,
    /// The idempotency key.
    pub key: Option<Key>,
    /// The body.
    pub body: Bytes,
    /// How long the call may take.
    pub timeout: Duration,
}

/// Refuses an answer that names another request.
fn check_id(headers: &HeaderMap, expected: &str) -> Result<(), Failure> {
    match headers.get(target::REQUEST_ID) {
        Some(id) if id.as_bytes() != expected.as_bytes() => Err(Failure::Unknown(
            "the answer belongs to another request".to_owned(),
        )),
        _ => Ok(()),
    }
}

/// What `awc` returns for a sent request.
type Sent<S> = Result<awc::ClientResponse<S>, awc::error::SendRequestError>;

/// Reads the whole answer.
async fn answer<S>(sent: Sent<S>) -> Result<Bytes, Failure>
where
    S: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>>,
{
    let mut response = sent.map_err(|error| failure(&error))?;
    let status = response.status();
    let body = response.body().limit(MAX_ANSWER_BYTES).await;
    let body = body.map_err(|error| Failure::Unknown(format!("the answer broke off: {error}")))?;
    if status == StatusCode::OK {
        return Ok(body);
    }
    Err(Failure::Status(
        status.as_u16(),
        String::from_utf8_lossy(&body).into_owned(),
    ))
}

/// Says whether a request that failed may have had its effect.
///
/// `awc` calls a connection that closes after the request was written a failure to connect, too.
fn failure(error: &awc::error::SendRequestError) -> Failure {
    use awc::error::{ConnectError, SendRequestError as E};
    match error {
        E::Connect(ConnectError::Disconnected) => Failure::Unknown(error.to_string()),
        E::Url(_) | E::Connect(_) => Failure::NotSent(error.to_string()),
        _ => Failure::Unknown(error.to_string()),
    }
}

/// Reads a JSON answer.
fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body)
        .map_err(|error| Failure::Unknown(format!("the answer cannot be read: {error}")))
}
