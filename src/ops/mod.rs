//! Operations that a caller or an operator can ask for.
//!
//! Each function takes the daemon's [`Context`](crate::daemon::Context) and a message of the
//! schema, checks what the message says, asks the part of the daemon that decides, and turns the
//! answer into the schema's message.

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
use crate::wire::Tell;

/// How long an operation on shared state may take.
const TIMEOUT: Duration = Duration::from_secs(8);

/// Makes the error of an answer that does not belong to the question.
fn mismatch(tell: &Tell) -> Error {
    let name = format!("{tell:?}");
    let name = name.split(['(', ' ', '{']).next().unwrap_or_default();
    Error::new(
        Kind::Internal,
        format!("the control part answered with `{name}`"),
    )
}

/// Returns the partitions that workers are spread over.
fn worker_partitions(context: &Context) -> impl Iterator<Item = Partition> + use<> {
    let first = context.settings.cell.request_partitions;
    let count = context.settings.cell.worker_partitions;
    (first..first + count).map(Partition)
}

/// Takes the payload of the expected [`Tell`] variant.
macro_rules! expect_tell {
    ($tell:expr, $variant:path) => {
        match $tell {
            $variant(payload) => Ok(payload),
            other => Err($crate::ops::mismatch(&other)),
        }
    };
}
use expect_tell;
