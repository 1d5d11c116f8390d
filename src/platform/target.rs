//! Targets that answer calls.
//!
//! `POST /v1/call/{method}` takes the caller's body. The headers name the request, its key and the
//! span that is left. Status 200 carries the answer; 503 says that the request was refused before
//! it ran; any other status says that it ran and failed.

/// Carries the id of the request; the target repeats it in its answer.
pub const REQUEST_ID: &str = "x-laburnum-request-id";

/// Carries the request's key, if it has one.
pub const KEY: &str = "x-laburnum-key";

/// Carries the span that is left for the request, in milliseconds.
pub const TIMEOUT_MS: &str = "x-laburnum-timeout-ms";
