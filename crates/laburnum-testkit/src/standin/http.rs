//! Requests and answers as the stand-ins see them.

use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use actix_http::{HttpMessage as _, Method, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

/// The largest body that a stand-in takes, in bytes.
const BODY_LIMIT: usize = 8 << 20;

/// A request whose body has been read.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) method: Method,
    pub(super) path: String,
    query: String,
    headers: HeaderMap,
    pub(super) body: Bytes,
}

impl Request {
    /// Reads the whole of `request`.
    ///
    /// # Errors
    ///
    /// Fails with an answer when the body breaks off or is too large.
    pub(super) async fn read(mut request: actix_http::Request) -> Result<Request, Answer> {
        let mut payload = request.take_payload();
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk
                .map_err(|error| Answer::error(StatusCode::BAD_REQUEST, &error.to_string()))?;
            if body.len() + chunk.len() > BODY_LIMIT {
                return Err(Answer::error(
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
    pub(super) fn is_change(&self) -> bool {
        self.method != Method::GET
    }

    /// Returns a number of the query, or `None` when it is absent or no number.
    pub(super) fn number(&self, name: &str) -> Option<u64> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse().ok())
    }

    /// Returns a header as text.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the body as a message.
    ///
    /// # Errors
    ///
    /// Fails with an answer when the body is not that message in JSON.
    pub(super) fn json<T: DeserializeOwned>(&self) -> Result<T, Answer> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Answer::error(StatusCode::BAD_REQUEST, &error.to_string()))
    }
}

/// An answer.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) status: StatusCode,
    content_type: &'static str,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: Bytes,
}

impl Answer {
    /// Makes an answer with an opaque body.
    pub(super) fn bytes(status: StatusCode, body: impl Into<Bytes>) -> Answer {
        Answer {
            status,
            content_type: "application/octet-stream",
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// Makes an answer of status 200 in JSON.
    pub(super) fn json(message: &impl Serialize) -> Answer {
        match serde_json::to_vec(message) {
            Ok(body) => Answer {
                content_type: "application/json",
                ..Answer::bytes(StatusCode::OK, body)
            },
            Err(error) => Answer::error(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }

    /// Makes an answer of status 200 in CBOR.
    pub(super) fn cbor(message: &impl Serialize) -> Answer {
        let mut body = Vec::new();
        match ciborium::into_writer(message, &mut body) {
            Ok(()) => Answer {
                content_type: "application/cbor",
                ..Answer::bytes(StatusCode::OK, body)
            },
            Err(error) => Answer::error(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }

    /// Makes the answer `{}`.
    pub(super) fn empty() -> Answer {
        Answer::json(&json!({}))
    }

    /// Makes an error answer.
    pub(super) fn error(status: StatusCode, message: &str) -> Answer {
        Answer {
            status,
            ..Answer::json(&json!({ "error": message }))
        }
    }

    /// Makes the answer to an unknown path.
    pub(super) fn not_found(request: &Request) -> Answer {
        let message = format!("no {} {}", request.method, request.path);
        Answer::error(StatusCode::NOT_FOUND, &message)
    }

    /// Adds a header; leaves it out when the value cannot stand in one.
    pub(super) fn with_header(mut self, name: &'static str, value: &str) -> Answer {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.push((HeaderName::from_static(name), value));
        }
        self
    }

    /// Returns the answer as the HTTP library sends it.
    pub(super) fn into_response(self) -> Response<Bytes> {
        let mut response = Response::with_body(self.status, self.body);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(self.content_type));
        for (name, value) in self.headers {
            headers.insert(name, value);
        }
        response
    }
}

impl From<Result<Answer, Answer>> for Answer {
    fn from(result: Result<Answer, Answer>) -> Answer {
        result.unwrap_or_else(|answer| answer)
    }
}
