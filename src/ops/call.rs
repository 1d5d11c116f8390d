//! Calls a method of a service on one of its targets.

use std::time::Duration;

use uuid::Uuid;

use crate::api::schema::{self, CallRequest, CallResponse};
use crate::core::config;
use crate::core::error::{Error, Kind, Result};
use crate::core::id::{Caller, Key, Service};
use crate::core::request::Origin;
use crate::core::workload::Priority;
use crate::daemon::Context;
use crate::wire::{Call, Response};

/// The longest name of a service, method or caller, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Runs the call and returns the target's whole response.
///
/// # Errors
///
/// [`Kind::Malformed`], [`Kind::KeyRequired`] or [`Kind::TooLarge`] for an invalid request, and the
/// error of the call otherwise.
pub async fn exec(context: &Context, request: CallRequest) -> Result<CallResponse> {
    let config = context.config();
    let service = config
        .services
        .get(&Service(request.service.clone()))
        .map(AsRef::as_ref);
    let timeout = timeout(context, service, request.timeout_ms);
    let request_id = Uuid::now_v7().to_string();
    check_size(request.body.len(), config.limits.request_bytes as usize)?;
    let call = convert(request, service)?;
    let response = context.call(call, Origin::Caller, timeout).await?;
    match response {
        Response::Called {
            body,
            target,
            recorded,
        } => Ok(CallResponse {
            body,
            request_id,
            target: target.map_or(0, |target| target.0),
            recorded,
        }),
        other => Err(super::unexpected_response(&other)),
    }
}

/// Returns the timeout of the call: the requested one, or the default of the service or the daemon,
/// limited by the maximum of both.
fn timeout(context: &Context, service: Option<&config::Service>, requested_ms: u32) -> Duration {
    let traffic = &context.settings.traffic;
    let default = Duration::from_millis(traffic.default_timeout_ms);
    let daemon_max = Duration::from_millis(traffic.max_timeout_ms);
    let max = service.map_or(daemon_max, |service| service.max_timeout.min(daemon_max));
    match u64::from(requested_ms) {
        0 => service.map_or(default, |service| service.timeout).min(max),
        requested => Duration::from_millis(requested).min(max),
    }
}

/// Refuses a body above the configured limit, both in bytes.
fn check_size(size: usize, limit: usize) -> Result<()> {
    if size <= limit {
        return Ok(());
    }
    let message = format!("the body has {size} bytes; the limit is {limit}");
    Err(Error::new(Kind::TooLarge, message))
}

/// Validates a request and converts it to a [`Call`].
fn convert(request: CallRequest, service: Option<&config::Service>) -> Result<Call> {
    check_name("service", &request.service)?;
    check_name("method", &request.method)?;
    if request.caller.len() > MAX_NAME_BYTES {
        let message = format!("caller is longer than {MAX_NAME_BYTES} bytes");
        return Err(Error::new(Kind::Malformed, message));
    }
    let priority = priority(request.priority());
    let key = parse_key(&request.key)?;
    let is_listed =
        service.is_some_and(|service| service.idempotent_methods.contains(&request.method));
    let idempotent = request.idempotent || is_listed;
    if key.is_none() && !idempotent {
        let message = "the call is not idempotent and has no key; send a UUID version 7 as its key";
        return Err(Error::new(Kind::KeyRequired, message));
    }
    Ok(Call {
        service: Service(request.service),
        method: request.method,
        body: request.body,
        key,
        idempotent,
        priority,
        caller: Caller(request.caller),
    })
}

/// Checks that a name is present, short and safe in a URL path.
fn check_name(field: &str, name: &str) -> Result<()> {
    let is_safe = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./".contains(&byte);
    if !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_safe) {
        return Ok(());
    }
    let message = format!(
        "{field} `{name}` must be 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_`, `.` or `/`"
    );
    Err(Error::new(Kind::Malformed, message))
}

/// Parses an idempotency key; an empty string gives `None`.
pub(super) fn parse_key(text: &str) -> Result<Option<Key>> {
    if text.is_empty() {
        return Ok(None);
    }
    let key = Uuid::parse_str(text).map(Key).ok();
    match key.filter(|key| key.created().is_some()) {
        Some(key) => Ok(Some(key)),
        None => Err(Error::new(
            Kind::KeyRequired,
            format!("key `{text}` is not a UUID version 7"),
        )),
    }
}

/// Converts a priority of the schema; an unspecified one becomes normal.
fn priority(priority: schema::Priority) -> Priority {
    match priority {
        schema::Priority::Lookup => Priority::Lookup,
        schema::Priority::Bulk => Priority::Bulk,
        schema::Priority::Normal | schema::Priority::Unspecified => Priority::Normal,
    }
}
