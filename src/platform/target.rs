//! Targets, which serve calls.
//!
//! `POST /v1/call/{method}` takes the caller's body. The headers carry the request's id, its key
//! and the time left until its deadline. Status 200 carries the response; status 503 means that the
//! request was rejected before it ran; any other status means that it ran and failed.

/// Header with the id of the request, which the target copies to its response.
pub const REQUEST_ID: &str = "x-laburnum-request-id";

/// Header with the request's idempotency key; absent if the request has none.
pub const KEY: &str = "x-laburnum-key";

/// Header with the time left until the request's deadline, in milliseconds.
pub const TIMEOUT_MS: &str = "x-laburnum-timeout-ms";
