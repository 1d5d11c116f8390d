//! HTTP requests and responses of the stand-ins.

use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use actix_http::{HttpMessage as _, Method, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

/// The largest request body that a stand-in accepts, in bytes.
const BODY_LIMIT: usize = 8 << 20;

/// A request whose body has been read.
#[derive(Debug)]
pub struct Request {
    /// The HTTP method.
    pub method: Method,
    /// The path, without the query.
    pub path: String,
    query: String,
    headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Request {
    /// Reads `request` with its whole body.
    ///
    /// # Errors
    ///
    /// Fails with an error response when the body is incomplete or too large.
    pub async fn read(mut request: actix_http::Request) -> Result<Request, Response> {
        let mut payload = request.take_payload();
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk
                .map_err(|error| Response::error(StatusCode::BAD_REQUEST, &error.to_string()))?;
            if body.len() + chunk.len() > BODY_LIMIT {
                return Err(Response::error(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "the body is larger than 8 MiB",
                ));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(Request {
            method: request.method().clone(),
            path: request.path().to_owned(),
            query: request.uri().query().unwrap_or_default().to_owned(),
            headers: request.headers().clone(),
            body: body.freeze(),
        })
    }

    /// Returns whether the request changes state.
    pub fn is_change(&self) -> bool {
        self.method != Method::GET
    }

    /// Returns a query parameter as it was sent, or `None` when it is absent.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Returns a query parameter, or `None` when it is absent or not a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.parameter(name)?.parse().ok()
    }

    /// Returns a header, or `None` when it is absent or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Decodes the JSON body.
    ///
    /// # Errors
    ///
    /// Fails with an error response when the body is not a `T` in JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Response> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Response::error(StatusCode::BAD_REQUEST, &error.to_string()))
    }
}

/// A response.
#[derive(Debug)]
pub struct Response {
    /// The status code.
    pub status: StatusCode,
    content_type: &'static str,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: Bytes,
}

impl Response {
    /// Creates a response with a binary body.
    pub fn bytes(status: StatusCode, body: impl Into<Bytes>) -> Response {
        Response {
            status,
            content_type: "application/octet-stream",
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// Creates a response of status 200 with a JSON body.
    pub fn json(message: &impl Serialize) -> Response {
        match serde_json::to_vec(message) {
            Ok(body) => Response {
                content_type: "application/json",
                ..Response::bytes(StatusCode::OK, body)
            },
            Err(error) => Response::error(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }

    /// Creates a response of status 200 with a CBOR body.
    pub fn cbor(message: &impl Serialize) -> Response {
        let mut body = Vec::new();
        match ciborium::into_writer(message, &mut body) {
            Ok(()) => Response {
                content_type: "application/cbor",
                ..Response::bytes(StatusCode::OK, body)
            },
            Err(error) => Response::error(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }

    /// Creates a response with a JSON body.
    pub fn json_with(status: StatusCode, message: &impl Serialize) -> Response {
        Response {
            status,
            ..Response::json(message)
        }
    }

    /// Creates the response `{}` of status 200.
    pub fn empty() -> Response {
        Response::json(&json!({}))
    }

    /// Creates an error response; its JSON body holds `message` in the field `error`.
    pub fn error(status: StatusCode, message: &str) -> Response {
        Response {
            status,
            ..Response::json(&json!({ "error": message }))
        }
    }

    /// Creates the response to a request whose method and path no handler matches.
    pub fn not_found(request: &Request) -> Response {
        let message = format!("no {} {}", request.method, request.path);
        Response::error(StatusCode::NOT_FOUND, &message)
    }

    /// Adds a header; does nothing when the value is not a valid header value.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Response {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.push((HeaderName::from_static(name), value));
        }
        self
    }

    /// Converts the response to the HTTP library's type.
    pub fn into_response(self) -> actix_http::Response<Bytes> {
        let mut response = actix_http::Response::with_body(self.status, self.body);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(self.content_type));
        for (name, value) in self.headers {
            headers.insert(name, value);
        }
        response
    }
}

impl From<Result<Response, Response>> for Response {
    fn from(result: Result<Response, Response>) -> Response {
        result.unwrap_or_else(|response| response)
    }
}
