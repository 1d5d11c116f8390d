//! The daemon's HTTP server.
//!
//! `POST /laburnum.v1.<Service>/<Method>` is a remote procedure call, which a function of [`ops`]
//! handles. `GET /healthz` returns 200 while the daemon runs, and `GET /readyz` returns 200 if the
//! daemon accepts requests and 503 if not. `GET /metrics` returns the metrics in the Prometheus
//! text format, and `GET /dump` the daemon's state as JSON.

use std::future::Future;
use std::time::Instant;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::header::{self, HeaderValue};
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use opentelemetry::KeyValue;

use super::codec::{Format, SchemaMessage};
use super::fault;
use crate::core::error::{Error, Kind, Result};
use crate::daemon::Context;
use crate::ops;

/// Path prefix of every remote procedure call.
pub(crate) const PREFIX: &str = "/laburnum.v1.";

/// Handles one HTTP request and returns its response.
pub async fn handle(context: Context, mut request: Request) -> Response<BoxBody> {
    let path = request.path().to_owned();
    match path.as_str() {
        "/healthz" => return text_response(StatusCode::OK, "text/plain", "ok\n".to_owned()),
        "/readyz" => return readiness(&context),
        "/metrics" => return metrics(&context),
        "/dump" => return dump(&context).await,
        _ => {}
    }
    let Some(name) = path.strip_prefix(PREFIX) else {
        return error_response(&unknown_procedure(&path));
    };
    if request.method() != Method::POST {
        let message = format!(
            "{path} must be requested with POST, not {}",
            request.method()
        );
        return error_response(&Error::new(Kind::Unimplemented, message));
    }
    let started = Instant::now();
    let _in_flight = context.track_request();
    let result = call(&context, name, &mut request).await;
    record_metrics(&context, name, &result, started);
    match result {
        Ok((format, body)) => Response::build(StatusCode::OK)
            .insert_header((header::CONTENT_TYPE, format.content_type()))
            .body(body)
            .map_into_boxed_body(),
        Err(error) => error_response(&error),
    }
}

/// The result of a remote procedure call: the format and the encoded response.
type CallResult = Result<(Format, Vec<u8>)>;

/// Reads the request body and calls the procedure `name`, given as `Service/Method`.
async fn call(context: &Context, name: &str, request: &mut Request) -> CallResult {
    let content_type = request.headers().get(header::CONTENT_TYPE);
    let media_type = content_type
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let format = Format::from_content_type(media_type).ok_or_else(|| {
        let message = format!(
            "content type `{media_type}` is not supported; send application/json or application/proto"
        );
        Error::new(Kind::Malformed, message)
    })?;
    let body = read_body(request, context.settings.traffic.max_body_kib << 10).await?;
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
        "Operator/ExplainPlacement" => Err(Error::new(
            Kind::Unimplemented,
            "laburnum-entry serves this procedure; use Caller/ExplainJob here",
        )),
        _ => Err(unknown_procedure(name)),
    }
}

/// A procedure call with one request message and one response message.
struct Unary<'a> {
    context: &'a Context,
    format: Format,
    body: &'a [u8],
}

impl<'a> Unary<'a> {
    /// Decodes the request, runs `operation` and encodes the response.
    async fn run<Q, A, O, F>(&self, operation: O) -> CallResult
    where
        Q: SchemaMessage,
        A: SchemaMessage,
        O: FnOnce(&'a Context, Q) -> F,
        F: Future<Output = Result<A>>,
    {
        let request = self.format.decode(self.body)?;
        let response = operation(self.context, request).await?;
        Ok((self.format, self.format.encode(&response)?))
    }
}

/// Reads a request body of at most `limit` bytes.
pub(crate) async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| {
            Error::new(
                Kind::Malformed,
                format!("the request body ended early: {error}"),
            )
        })?;
        if body.len() + chunk.len() > limit {
            let message = format!("the request body is larger than the limit of {limit} bytes");
            return Err(Error::new(Kind::TooLarge, message));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Records the latency and the outcome of a call.
///
/// Procedures that do not exist share the method label `unknown`, so that requests cannot create
/// any number of time series.
fn record_metrics(context: &Context, name: &str, result: &CallResult, started: Instant) {
    let kind = result
        .as_ref()
        .err()
        .map_or("ok", |error| error.kind.answer().name);
    let is_known = !matches!(
        result,
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
        .responses
        .add(1, &[method, KeyValue::new("kind", kind)]);
}

/// Builds the HTTP response for an error.
pub(crate) fn error_response(error: &Error) -> Response<BoxBody> {
    let status = StatusCode::from_u16(error.kind.answer().code.http_status());
    let body = serde_json::to_vec(&fault::ErrorBody::new(error)).unwrap_or_default();
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

fn unknown_procedure(name: &str) -> Error {
    Error::new(
        Kind::Unimplemented,
        format!("there is no procedure `{name}` in the schema"),
    )
}

/// Returns the readiness check that load balancers poll.
fn readiness(context: &Context) -> Response<BoxBody> {
    if context.is_ready() {
        return text_response(StatusCode::OK, "text/plain", "ready\n".to_owned());
    }
    text_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "text/plain",
        "not ready\n".to_owned(),
    )
}

fn metrics(context: &Context) -> Response<BoxBody> {
    match context.metrics.render() {
        Ok(body) => text_response(StatusCode::OK, "text/plain; version=0.0.4", body),
        Err(error) => text_response(
            StatusCode::INTERNAL_SERVER_ERROR,
            "text/plain",
            format!("{error}\n"),
        ),
    }
}

async fn dump(context: &Context) -> Response<BoxBody> {
    match ops::dump::exec(context, super::schema::DumpRequest {}).await {
        Ok(dump) => text_response(StatusCode::OK, "application/json", dump.state),
        Err(error) => error_response(&error),
    }
}

fn text_response(
    status: StatusCode,
    content_type: &'static str,
    body: String,
) -> Response<BoxBody> {
    Response::build(status)
        .insert_header((header::CONTENT_TYPE, content_type))
        .body(body.boxed())
        .map_into_boxed_body()
}
