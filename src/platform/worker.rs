//! Workers, which run tasks.
//!
//! `POST /v1/tasks/start` takes a [`Start`], `POST /v1/tasks/renew` a [`Renew`], and
//! `POST /v1/tasks/control` a [`Control`]; each returns `{}`. `GET /v1/inventory` returns an
//! [`Inventory`]. A worker starts every task it is sent, even if the task exceeds its free
//! resources; a second start of the same attempt has no effect. A worker stops a task whose lease
//! has expired.

use laburnum_derive::{message, value};

use crate::core::id::Attempt;
use crate::core::resource::Amount;

/// Starts a task under a lease.
#[message]
pub struct Start {
    /// The task and the number of the attempt.
    pub attempt: Attempt,
    /// The resources declared for the task.
    pub size: Amount,
    /// The command that the task runs.
    pub command: String,
    /// The length of the lease, in milliseconds from receipt.
    pub lease_ms: u64,
    /// The worker rejects the start if it arrives after this wall-clock time, in Unix milliseconds.
    pub not_after_ms: u64,
}

/// Renews the leases of running tasks.
#[message]
pub struct Renew {
    /// The attempts whose leases are renewed.
    pub attempts: Vec<Attempt>,
    /// The length of the new lease, in milliseconds from receipt.
    pub lease_ms: u64,
    /// The worker rejects the renewal if it arrives after this wall-clock time, in Unix
    /// milliseconds.
    pub not_after_ms: u64,
}

/// Stops, checkpoints or throttles a running task.
#[message]
pub struct Control {
    /// The attempt that the action applies to.
    pub attempt: Attempt,
    /// The action.
    pub action: Action,
}

/// An action on a running task.
#[value]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Stops the task, which ends as [`State::Stopped`].
    Stop,
    /// Saves the task's progress and stops it; it ends as [`State::Checkpointed`].
    Checkpoint,
    /// Limits the task to its declared resources.
    Throttle,
}

/// The running and recently ended tasks of a worker.
#[message]
pub struct Inventory {
    /// The incarnation of the worker process, which changes each time the process starts.
    pub incarnation: u64,
    /// Running tasks, and tasks that ended within the last ten minutes.
    pub tasks: Vec<Report>,
}

/// The state of one task on a worker.
#[message]
pub struct Report {
    /// The task and the number of the attempt.
    pub attempt: Attempt,
    /// Whether the task runs or how it ended.
    pub state: State,
    /// The resources declared when the task was started.
    pub size: Amount,
    /// The resources that the task used at the last measurement, which may be some seconds old.
    pub usage: Amount,
}

/// The state of a task on a worker.
#[value]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The task runs.
    Running,
    /// The task succeeded.
    Succeeded,
    /// The task failed.
    Failed,
    /// The task was stopped on request.
    Stopped,
    /// The task was checkpointed on request and can be resumed.
    Checkpointed,
    /// The worker stopped the task because its lease expired without a renewal.
    Lapsed,
}
