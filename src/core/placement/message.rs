//! What goes into and comes out of a [`Cell`](super::Cell).
//!
//! Inputs are events of the platform, of callers and of the log. Outputs are messages to workers,
//! records to make durable, and answers. A start is put out only when the batch that holds its
//! placement record is durable, so one durable answer releases many starts.

use std::time::Duration;

use laburnum_derive::{message, value};

use super::job::{End, Job};
use super::settings::Settings;
use crate::core::id::{self, Attempt, DataCentre, Rack};
use crate::core::resource::Amount;
use crate::core::time::Instant;
use crate::platform::worker::{Action, Inventory, Report};

/// A worker as the VM list shows it.
#[value]
pub struct Worker {
    /// Its number.
    pub id: id::Worker,
    /// The rack that holds it.
    pub rack: Rack,
    /// The data centre that holds it.
    pub data_centre: DataCentre,
    /// What it holds.
    pub size: Amount,
}

/// An event.
#[message]
pub enum Input {
    /// The VM list shows a live worker.
    Joined(Worker),
    /// The VM list shows that a worker is leaving.
    Leaving(id::Worker),
    /// The VM list no longer shows a worker.
    Gone(id::Worker),
    /// A worker answered the inventory request of this number.
    Inventory {
        /// The worker.
        worker: id::Worker,
        /// The number of the request that is answered.
        request: u64,
        /// The answer.
        inventory: Inventory,
    },
    /// A worker reported one task without being asked.
    Report {
        /// The worker.
        worker: id::Worker,
        /// The report.
        report: Report,
    },
    /// A worker answered that it started an attempt.
    Started(Attempt),
    /// A start surely did not and will not take effect.
    Refused(Attempt),
    /// No answer to a start came in time; it may have taken effect.
    Unanswered(Attempt),
    /// A job whose [`Record::Accepted`] is durable.
    Accept(Box<Job>),
    /// A job is to be cancelled; a repeat changes nothing.
    Cancel(id::Job),
    /// The owner's lease on the partition lasts until then.
    Lease(Instant),
    /// The settings now in force.
    Configure(Box<Settings>),
    /// Whether starts may be sent before their records are durable. The caller sets it only while
    /// both standbys know that this may happen; a later owner then recovers with
    /// [`Recovery::unrecorded`](super::Recovery).
    Unrecorded(bool),
    /// The batch of this number is durable.
    Durable(u64),
    /// Time has passed; placement, timers and group commits happen here.
    Tick,
}

/// What is to be done.
#[message]
pub enum Output {
    /// Make these records durable, all or none.
    Commit(Batch),
    /// Start a task.
    Start(Start),
    /// Renew the leases of tasks.
    Renew {
        /// The worker.
        worker: id::Worker,
        /// The attempts.
        attempts: Vec<Attempt>,
        /// The lease, from receipt.
        lease: Duration,
        /// The renewal must not take effect after this.
        not_after: Instant,
    },
    /// Act on a running task.
    Control {
        /// The worker.
        worker: id::Worker,
        /// The attempt.
        attempt: Attempt,
        /// What to do.
        action: Action,
    },
    /// Ask a worker for its inventory and answer with the same number.
    Ask {
        /// The worker.
        worker: id::Worker,
        /// The number of the request.
        request: u64,
    },
    /// A job's cancellation is durable; it may be answered.
    Canceled(id::Job),
    /// A job's end is durable.
    Ended {
        /// The job.
        job: id::Job,
        /// How it ended.
        end: End,
    },
    /// The owner's lease ended: this cell does nothing more.
    Fenced,
}

/// A start of one task.
#[message]
pub struct Start {
    /// The worker.
    pub worker: id::Worker,
    /// The attempt.
    pub attempt: Attempt,
    /// The size that is granted: the declared one, or more after an overrun.
    pub size: Amount,
    /// What to run.
    pub command: String,
    /// The lease, from receipt.
    pub lease: Duration,
    /// The start must not take effect after this; the caller translates it to wall-clock time.
    pub not_after: Instant,
}

/// Records that become durable together.
#[message]
pub struct Batch {
    /// Grows by one with each batch of one cell.
    pub number: u64,
    /// The records.
    pub records: Vec<Record>,
}

/// A durable fact. Applying a record twice changes nothing.
#[message]
pub enum Record {
    /// A job was accepted.
    Accepted(Box<Job>),
    /// An attempt was given to a worker and may start there from now on.
    Placed {
        /// The attempt.
        attempt: Attempt,
        /// The worker.
        worker: id::Worker,
        /// The size that it was granted.
        size: Amount,
    },
    /// An attempt runs nowhere any more.
    Left {
        /// The attempt.
        attempt: Attempt,
        /// Why.
        outcome: Outcome,
    },
    /// A job was cancelled; its tasks may still run until they are seen to have ended.
    Canceled(id::Job),
    /// A job ended; nothing of it runs any more.
    Ended {
        /// The job.
        job: id::Job,
        /// How it ended.
        end: End,
    },
}

/// Why an attempt runs nowhere any more.
#[value]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It succeeded.
    Succeeded,
    /// It failed by itself.
    Failed,
    /// It was stopped or checkpointed by the cell.
    Stopped,
    /// Its lease ended, or its worker forgot it.
    Lost,
    /// It never started.
    NotStarted,
}
