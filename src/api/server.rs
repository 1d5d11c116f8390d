//! The HTTP side of the daemon.
//!
//! `POST /laburnum.v1.<Service>/<Method>` is a remote procedure call; each goes to one module of
//! [`ops`]. `GET /healthz` says that the daemon runs, `/readyz` whether it can take
//! requests; `/metrics` and `/dump` serve operators' tools.

use std::future::Future;
use std::time::Instant;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::header::{self, HeaderValue};
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use opentelemetry::KeyValue;

use super::codec::{Body, Format};
use super::fault;
use crate::core::error::{Error, Kind, Result};
use crate::daemon::Context;
use crate::ops;

/// The prefix of every remote procedure call's path.
const PREFIX: &str = "/laburnum.v1.";

/// Answers one HTTP request.
pub async fn handle(context: Context, mut request: Request) -> Response<BoxBody> {
    let path = request.path().to_owned();
    match path.as_str() {
        "/healthz" => return text(StatusCode::OK, "text/plain", "ok\n".to_owned()),
        "/readyz" => return ready(&context),
        "/metrics" => return metrics(&context),
        "/dump" => return dump(&context).await,
        _ => {}
    }
    let Some(name) = path.strip_prefix(PREFIX) else {
        return refuse(&unknown(&path));
    };
    if request.method() != Method::POST {
        let message = format!("{path} takes POST, not {}", request.method());
        return refuse(&Error::new(Kind::Unimplemented, message));
    }
    let started = Instant::now();
    let _flight = context.track_request();
    let answer = call(&context, name, &mut request).await;
    record(&context, name, &answer, started);
    match answer {
        Ok((format, body)) => Response::build(StatusCode::OK)
            .insert_header((header::CONTENT_TYPE, format.content_type()))
            .body(body)
            .map_into_boxed_body(),
        Err(error) => refuse(&error),
    }
}

/// The encoded answer and its format.
type Answer = Result<(Format, Vec<u8>)>;

/// Reads the body and runs the named procedure.
async fn call(context: &Context, name: &str, request: &mut Request) -> Answer {
    let content_type = request.headers().get(header::CONTENT_TYPE);
    let media = content_type
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let format = Format::from_content_type(media).ok_or_else(|| {
        let message = format!(
            "content type `{media}` is not served; send application/json or application/proto"
        );
        Error::new(Kind::Malformed, message)
    })?;
    let body = read(request, context.settings.traffic.max_body_kib << 10).await?;
    let call = Unary {
        context,
        format,
        body: &body,
    };
    match name {
        "Caller/Call" => call.run(ops::call::exec).await,
        "Caller/SubmitJob" => call.run(ops::job::submit).await,
        "Caller/GetJob" => call.run(ops::job::get).await,
        "Caller/CancelJob" => call.run(ops::job::cancel).await,
        "Caller/WatchJob" => call.run(ops::job::watch).await,
        "Caller/ExplainJob" => call.run(ops::job::explain).await,
        "Operator/GetConfig" => call.run(ops::config::get).await,
        "Operator/PutConfig" => call.run(ops::config::put).await,
        "Operator/ListConfig" => call.run(ops::config::list).await,
        "Operator/ListVms" => call.run(ops::vm::list).await,
        "Operator/ListJobs" => call.run(ops::job::list).await,
        "Operator/ListQuotas" => call.run(ops::quota::list).await,
        "Operator/DrainVm" => call.run(ops::vm::drain).await,
        "Operator/Dump" => call.run(ops::dump::exec).await,
        _ => Err(unknown(name)),
    }
}

/// One procedure call whose body is read.
struct Unary<'a> {
    context: &'a Context,
    format: Format,
    body: &'a [u8],
}

impl<'a> Unary<'a> {
    /// Decodes the body, runs `operation` and encodes its answer.
    async fn run<Q, A, O, F>(&self, operation: O) -> Answer
    where
        Q: Body,
        A: Body,
        O: FnOnce(&'a Context, Q) -> F,
        F: Future<Output = Result<A>>,
    {
        let request = self.format.decode(self.body)?;
        let answer = operation(self.context, request).await?;
        Ok((self.format, self.format.encode(&answer)?))
    }
}

/// Reads a body of at most `limit` bytes.
async fn read(request: &mut Request, limit: usize) -> Result<Bytes> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk
            .map_err(|error| Error::new(Kind::Malformed, format!("the body broke off: {error}")))?;
        if body.len() + chunk.len() > limit {
            let message = format!("the body is larger than {limit} bytes; send less");
            return Err(Error::new(Kind::TooLarge, message));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Counts an answer.
fn record(context: &Context, name: &str, answer: &Answer, started: Instant) {
    let kind = answer
        .as_ref()
        .err()
        .map_or("ok", |error| error.kind.answer().name);
    let is_known = !matches!(
        answer,
        Err(Error {
            kind: Kind::Unimplemented,
            ..
        })
    );
    let method = KeyValue::new(
        "method",
        if is_known {
            name.to_owned()
        } else {
            "unknown".to_owned()
        },
    );
    context.metrics.latency.record(
        started.elapsed().as_secs_f64(),
        std::slice::from_ref(&method),
    );
    context
        .metrics
        .answers
        .add(1, &[method, KeyValue::new("kind", kind)]);
}

/// Makes the HTTP form of an error.
fn refuse(error: &Error) -> Response<BoxBody> {
    let status = StatusCode::from_u16(error.kind.answer().code.http_status());
    let body = serde_json::to_vec(&fault::Body::new(error)).unwrap_or_default();
    let mut response = Response::build(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    response.insert_header((header::CONTENT_TYPE, Format::Json.content_type()));
    if let Some(span) = error.retry_after {
        let seconds = span.as_millis().div_ceil(1_000).to_string();
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.insert_header((header::RETRY_AFTER, value));
        }
    }
    response.body(body).map_into_boxed_body()
}

fn unknown(name: &str) -> Error {
    Error::new(
        Kind::Unimplemented,
        format!("there is no procedure `{name}`; see the schema"),
    )
}

/// Says to the balancer whether the daemon can take requests.
fn ready(context: &Context) -> Response<BoxBody> {
    if context.is_ready() {
        return text(StatusCode::OK, "text/plain", "ready\n".to_owned());
    }
    text(
        StatusCode::SERVICE_UNAVAILABLE,
        "text/plain",
        "not ready\n".to_owned(),
    )
}

fn metrics(context: &Context) -> Response<BoxBody> {
    match context.metrics.render() {
        Ok(body) => text(StatusCode::OK, "text/plain; version=0.0.4", body),
        Err(error) => text(
            StatusCode::INTERNAL_SERVER_ERROR,
            "text/plain",
            format!("{error}\n"),
        ),
    }
}

async fn dump(context: &Context) -> Response<BoxBody> {
    match ops::dump::exec(context, super::schema::DumpRequest {}).await {
        Ok(dump) => text(StatusCode::OK, "application/json", dump.state),
        Err(error) => refuse(&error),
    }
}

fn text(status: StatusCode, content_type: &'static str, body: String) -> Response<BoxBody> {
    Response::build(status)
        .insert_header((header::CONTENT_TYPE, content_type))
        .body(body.boxed())
        .map_into_boxed_body()
}
