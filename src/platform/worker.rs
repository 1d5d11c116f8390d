//! Workers.
//!
//! `POST /v1/tasks/start` takes a [`Start`], `POST /v1/tasks/renew` a [`Renew`], and
//! `POST /v1/tasks/control` a [`Control`]; each answers `{}`. `GET /v1/inventory` answers an
//! [`Inventory`]. A worker starts what it is given, whether it fits or not; a second start of the
//! same attempt changes nothing. A worker stops a task whose lease has ended.

use laburnum_derive::{message, value};

use crate::core::id::Attempt;
use crate::core::resource::Amount;

/// Starts a task under a lease.
#[message]
pub struct Start {
    /// Which attempt of which task.
    pub attempt: Attempt,
    /// The declared size.
    pub size: Amount,
    /// What to run.
    pub command: String,
    /// How long the task may run without a renewal, in milliseconds from receipt.
    pub lease_ms: u64,
    /// The start is refused when it arrives after this wall-clock time, in Unix milliseconds.
    pub not_after_ms: u64,
}

/// Renews the leases of running tasks.
#[message]
pub struct Renew {
    /// The attempts to renew.
    pub attempts: Vec<Attempt>,
    /// The new lease, in milliseconds from receipt.
    pub lease_ms: u64,
    /// The renewal is refused when it arrives after this wall-clock time, in Unix milliseconds.
    pub not_after_ms: u64,
}

/// Acts on a running task.
#[message]
pub struct Control {
    /// The attempt.
    pub attempt: Attempt,
    /// What to do.
    pub action: Action,
}

/// What to do with a running task.
#[value]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Stop it; it ends as [`State::Stopped`].
    Stop,
    /// Save its progress, then stop it; it ends as [`State::Checkpointed`].
    Checkpoint,
    /// Hold it to its declared size.
    Throttle,
}

/// What a worker runs and ran lately.
#[message]
pub struct Inventory {
    /// Draws anew when the worker process starts.
    pub incarnation: u64,
    /// Running tasks, and ended ones for ten minutes after their end.
    pub tasks: Vec<Report>,
}

/// One task on a worker.
#[message]
pub struct Report {
    /// The attempt.
    pub attempt: Attempt,
    /// Its state.
    pub state: State,
    /// The declared size that it was started with.
    pub size: Amount,
    /// What it used, as last measured some seconds ago.
    pub usage: Amount,
}

/// The state of a task on a worker.
#[value]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It runs.
    Running,
    /// It ended with success.
    Succeeded,
    /// It ended with failure.
    Failed,
    /// It was stopped on request.
    Stopped,
    /// It was checkpointed on request and can be resumed.
    Checkpointed,
    /// Its lease ended before a renewal came.
    Lapsed,
}
