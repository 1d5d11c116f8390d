//! Calls a method of a service that targets answer.

use std::time::Duration;

use uuid::Uuid;

use crate::api::schema::{self, CallRequest, CallResponse};
use crate::core::config;
use crate::core::error::{Error, Kind, Result};
use crate::core::id::{Caller, Key, Service};
use crate::core::request::Origin;
use crate::core::workload::Priority;
use crate::daemon::Context;
use crate::wire::{Call, Tell};

/// The longest name of a service, method or caller, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Runs the call and returns the target's whole answer.
///
/// # Errors
///
/// [`Kind::Malformed`] or [`Kind::KeyRequired`] for a request that cannot be run, and whatever
/// stopped the call otherwise.
pub async fn exec(context: &Context, request: CallRequest) -> Result<CallResponse> {
    let config = context.config();
    let service = config
        .services
        .get(&Service(request.service.clone()))
        .map(AsRef::as_ref);
    let timeout = timeout(context, service, request.timeout_ms);
    let request_id = Uuid::now_v7().to_string();
    check_size(request.body.len(), config.limits.request_bytes as usize)?;
    let call = parse(request, service)?;
    let tell = context.call(call, Origin::Caller, timeout).await?;
    match tell {
        Tell::Called {
            body,
            target,
            recorded,
        } => Ok(CallResponse {
            body,
            request_id,
            target: target.map_or(0, |target| target.0),
            recorded,
        }),
        other => Err(super::mismatch(&other)),
    }
}

/// Returns the span that the call may take.
fn timeout(context: &Context, service: Option<&config::Service>, asked_ms: u32) -> Duration {
    let traffic = &context.settings.traffic;
    let default = Duration::from_millis(traffic.default_timeout_ms);
    let longest = Duration::from_millis(traffic.max_timeout_ms);
    let most = service.map_or(longest, |service| service.max_timeout.min(longest));
    match u64::from(asked_ms) {
        0 => service.map_or(default, |service| service.timeout).min(most),
        asked => Duration::from_millis(asked).min(most),
    }
}

/// Refuses a body above the configured limit.
fn check_size(size: usize, most: usize) -> Result<()> {
    if size <= most {
        return Ok(());
    }
    let message = format!("the body has {size} bytes; send at most {most}");
    Err(Error::new(Kind::TooLarge, message))
}

/// Checks the request.
fn parse(request: CallRequest, service: Option<&config::Service>) -> Result<Call> {
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

/// Reads a key; an empty one is `None`.
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

/// Reads a priority.
fn priority(priority: schema::Priority) -> Priority {
    match priority {
        schema::Priority::Lookup => Priority::Lookup,
        schema::Priority::Bulk => Priority::Bulk,
        schema::Priority::Normal | schema::Priority::Unspecified => Priority::Normal,
    }
}
