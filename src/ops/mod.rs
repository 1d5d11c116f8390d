//! Implementations of the remote procedure calls for callers and operators.
//!
//! Each function takes the daemon's [`Context`](crate::daemon::Context) and a request message of the
//! schema, validates the request, passes it to the part of the daemon that handles it, and converts
//! the result to the schema's response message.

pub mod call;
pub mod config;
pub mod dump;
pub mod job;
pub mod quota;
pub mod vm;

use std::time::Duration;

use crate::core::error::{Error, Kind};
use crate::core::id::Partition;
use crate::daemon::Context;
use crate::wire::Response;

/// Timeout of an operation on state that the entries share.
const TIMEOUT: Duration = Duration::from_secs(8);

/// Returns the error for a response whose variant does not match the request.
fn unexpected_response(response: &Response) -> Error {
    let name = format!("{response:?}");
    let name = name.split(['(', ' ', '{']).next().unwrap_or_default();
    Error::new(
        Kind::Internal,
        format!("unexpected response `{name}` from the control part"),
    )
}

/// Returns the partitions that workers are spread over.
fn worker_partitions(context: &Context) -> impl Iterator<Item = Partition> + use<> {
    let first = context.settings.cell.request_partitions;
    let count = context.settings.cell.worker_partitions;
    (first..first + count).map(Partition)
}

/// Returns the payload of the expected [`Response`] variant, or an error for any other variant.
macro_rules! expect_response {
    ($response:expr, $variant:path) => {
        match $response {
            $variant(payload) => Ok(payload),
            other => Err($crate::ops::unexpected_response(&other)),
        }
    };
}
use expect_response;
