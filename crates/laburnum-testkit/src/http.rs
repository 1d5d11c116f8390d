//! The HTTP client of tests.
//!
//! A client keeps its connections open, so that a test can send requests on connections that a
//! fault has affected.

use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Method, StatusCode};
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The largest response body that is read, in bytes.
const BODY_LIMIT: usize = 80 << 20;

/// The request timeout of the default client.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A request header.
#[derive(Clone, Copy, Debug)]
pub struct Header<'a> {
    /// The header name, in lower case.
    pub name: &'a str,
    /// The header value.
    pub value: &'a str,
}

/// An HTTP request.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The HTTP method.
    pub method: Method,
    /// The absolute URL.
    pub url: &'a str,
    /// Headers to add to those that the client sets itself.
    pub headers: &'a [Header<'a>],
    /// The body; may be empty.
    pub body: Bytes,
}

/// An HTTP response, read to its end.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// An HTTP client with a pool of connections.
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
    /// Creates a client whose requests fail after `timeout`.
    pub fn new(timeout: Duration) -> Client {
        let connector = awc::Connector::new().limit(0).timeout(timeout);
        let inner = awc::Client::builder()
            .connector(connector)
            .timeout(timeout)
            .finish();
        Client { inner }
    }

    /// Sends a request and reads the whole response, whatever its status.
    ///
    /// # Errors
    ///
    /// Fails when the response is missing, incomplete or larger than 80 MiB.
    pub async fn send(&self, request: Request<'_>) -> eyre::Result<Response> {
        let mut builder = self.inner.request(request.method, request.url);
        for header in request.headers {
            builder = builder.insert_header((header.name, header.value));
        }
        let mut response = builder
            .send_body(request.body)
            .await
            .map_err(|error| eyre::eyre!("{}: {error}", request.url))?;
        let body = response
            .body()
            .limit(BODY_LIMIT)
            .await
            .map_err(|error| eyre::eyre!("{}: {error}", request.url))?;
        Ok(Response {
            status: response.status(),
            headers: response.headers().clone(),
            body,
        })
    }

    /// Sends a GET request and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Fails when there is no response, its status is an error or its body is not a `T` in JSON.
    pub async fn get<T: DeserializeOwned>(&self, url: &str) -> eyre::Result<T> {
        let request = Request {
            method: Method::GET,
            url,
            headers: &[],
            body: Bytes::new(),
        };
        self.send(request).await?.json()
    }

    /// Sends `message` as JSON in a POST request and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Fails when there is no response, its status is an error or its body is not a `T` in JSON.
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

impl Response {
    /// Returns a header, or `None` when it is absent or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Decodes the JSON body of a successful response.
    ///
    /// # Errors
    ///
    /// Fails when the status is an error or the body is not a `T` in JSON.
    pub fn json<T: DeserializeOwned>(&self) -> eyre::Result<T> {
        let text = String::from_utf8_lossy(&self.body);
        eyre::ensure!(self.status.is_success(), "{}: {text}", self.status);
        Ok(serde_json::from_slice(&self.body)?)
    }
}
