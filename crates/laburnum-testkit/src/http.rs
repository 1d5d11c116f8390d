//! The HTTP client of tests.
//!
//! A client keeps its connections, so that a test can use the ones that a fault has struck.

use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Method, StatusCode};
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The largest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 80 << 20;

/// How long a request takes at most unless told otherwise.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A header of a request.
#[derive(Clone, Copy, Debug)]
pub struct Header<'a> {
    /// The name, in lower case.
    pub name: &'a str,
    /// The value.
    pub value: &'a str,
}

/// A request.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The method.
    pub method: Method,
    /// Where it goes.
    pub url: &'a str,
    /// Its headers.
    pub headers: &'a [Header<'a>],
    /// Its body.
    pub body: Bytes,
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A client.
#[derive(Clone)]
pub struct Client {
    inner: awc::Client,
}

impl Default for Client {
    fn default() -> Client {
        Client::new(TIMEOUT)
    }
}

impl Client {
    /// Makes a client whose requests end after `timeout` at the latest.
    pub fn new(timeout: Duration) -> Client {
        let connector = awc::Connector::new().limit(0).timeout(timeout);
        let inner = awc::Client::builder()
            .connector(connector)
            .timeout(timeout)
            .finish();
        Client { inner }
    }

    /// Sends a request and reads the whole answer, whatever its status.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer comes.
    pub async fn send(&self, request: Request<'_>) -> eyre::Result<Answer> {
        let mut sent = self.inner.request(request.method, request.url);
        for header in request.headers {
            sent = sent.insert_header((header.name, header.value));
        }
        let mut answer = sent
            .send_body(request.body)
            .await
            .map_err(|error| eyre::eyre!("{}: {error}", request.url))?;
        let body = answer
            .body()
            .limit(ANSWER_LIMIT)
            .await
            .map_err(|error| eyre::eyre!("{}: {error}", request.url))?;
        Ok(Answer {
            status: answer.status(),
            headers: answer.headers().clone(),
            body,
        })
    }

    /// Gets a JSON message.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes, its status is an error or it is no such message.
    pub async fn get<T: DeserializeOwned>(&self, url: &str) -> eyre::Result<T> {
        let request = Request {
            method: Method::GET,
            url,
            headers: &[],
            body: Bytes::new(),
        };
        self.send(request).await?.json()
    }

    /// Posts a JSON message and returns the one that answers it.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes, its status is an error or it is no such message.
    pub async fn post<T: DeserializeOwned>(
        &self,
        url: &str,
        message: &impl Serialize,
    ) -> eyre::Result<T> {
        let json = Header {
            name: "content-type",
            value: "application/json",
        };
        let request = Request {
            method: Method::POST,
            url,
            headers: &[json],
            body: serde_json::to_vec(message)?.into(),
        };
        self.send(request).await?.json()
    }
}

impl Answer {
    /// Returns a header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the message of a successful answer.
    ///
    /// # Errors
    ///
    /// Fails when the status is an error or the body is no such message.
    pub fn json<T: DeserializeOwned>(&self) -> eyre::Result<T> {
        let text = String::from_utf8_lossy(&self.body);
        eyre::ensure!(self.status.is_success(), "{}: {text}", self.status);
        Ok(serde_json::from_slice(&self.body)?)
    }
}
