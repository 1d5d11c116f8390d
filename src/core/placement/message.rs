//! Inputs and outputs of a [`Cell`](super::Cell).
//!
//! Inputs are events of the platform, of callers and of the log. Outputs are messages to workers,
//! records to make durable, and answers to callers. A start is emitted only when the batch that
//! holds its placement record is durable, so one durable batch releases many starts.
//! [`Input::Unrecorded`] lifts this rule, except for gangs.

use std::time::Duration;

use laburnum_derive::{message, value};

use super::job::{End, Job};
use super::settings::Settings;
use crate::core::id::{self, Attempt, DataCentre, Rack};
use crate::core::resource::Amount;
use crate::core::time::Instant;
use crate::platform::worker::{Action, Inventory, Report};

/// A worker as the VM list describes it.
#[value]
pub struct Worker {
    /// The worker's id.
    pub id: id::Worker,
    /// The rack that the worker is in.
    pub rack: Rack,
    /// The data centre that the worker is in.
    pub data_centre: DataCentre,
    /// The worker's total resources.
    pub size: Amount,
}

/// An event that a cell handles in one step.
#[message]
pub enum Input {
    /// The VM list shows a live worker.
    Joined(Worker),
    /// The VM list shows that a worker is leaving.
    Leaving(id::Worker),
    /// The VM list no longer shows a worker.
    Gone(id::Worker),
    /// A worker answered an inventory request.
    Inventory {
        /// The worker that answered.
        worker: id::Worker,
        /// The number of the request, from [`Output::RequestInventory`].
        request: u64,
        /// The attempts that the worker reports.
        inventory: Inventory,
    },
    /// A worker reported one task without an inventory request.
    Report {
        /// The worker that sent the report.
        worker: id::Worker,
        /// The state and usage of one attempt.
        report: Report,
    },
    /// A worker answered that it started an attempt.
    Started(Attempt),
    /// A start has not taken effect and never will.
    Refused(Attempt),
    /// No answer to a start arrived in time; the start may have taken effect.
    Unanswered(Attempt),
    /// A job whose [`Record::Accepted`] is durable.
    Accept(Box<Job>),
    /// Cancel a job. Cancelling it again changes nothing.
    Cancel(id::Job),
    /// The owner's lease on the partition now lasts until this time.
    Lease(Instant),
    /// New settings, which take effect at once.
    Configure(Box<Settings>),
    /// Whether starts may be sent before their records are durable. The caller sets this only while
    /// both standbys have been informed of it; a later owner then recovers with
    /// [`Recovery::unrecorded`](super::Recovery).
    Unrecorded(bool),
    /// The batch with this number is durable.
    Durable(u64),
    /// Time has passed. Placement, timers and group commits happen only on this event.
    Tick,
}

/// An action that the caller of the cell carries out.
#[message]
pub enum Output {
    /// Make the records of a batch durable, all or none.
    Commit(Batch),
    /// Start a task on a worker.
    Start(Start),
    /// Renew the leases of running tasks on a worker.
    Renew {
        /// The worker that runs the attempts.
        worker: id::Worker,
        /// The attempts whose leases are renewed.
        attempts: Vec<Attempt>,
        /// The length of the lease, counted from receipt of the renewal.
        lease: Duration,
        /// The worker must not apply the renewal after this time.
        not_after: Instant,
    },
    /// Stop, checkpoint or throttle a running task.
    Control {
        /// The worker that runs the attempt.
        worker: id::Worker,
        /// The attempt to act on.
        attempt: Attempt,
        /// The action to take.
        action: Action,
    },
    /// Request the inventory of a worker. The answer carries the same request number.
    RequestInventory {
        /// The worker to send the request to.
        worker: id::Worker,
        /// The number of the request, which increases by one per request to the worker.
        request: u64,
    },
    /// A job's cancellation is durable; the caller may be answered.
    Canceled(id::Job),
    /// A job's end is durable.
    Ended {
        /// The job that ended.
        job: id::Job,
        /// How the job ended.
        end: End,
    },
    /// The owner's lease has ended; the cell does nothing from now on.
    Fenced,
}

/// A command to start one attempt of a task.
#[message]
pub struct Start {
    /// The worker to start the attempt on.
    pub worker: id::Worker,
    /// The attempt to start.
    pub attempt: Attempt,
    /// The granted size: the declared one, or more after an overrun.
    pub size: Amount,
    /// The job's command.
    pub command: String,
    /// The length of the lease, counted from receipt of the start.
    pub lease: Duration,
    /// The worker must not apply the start after this time. The caller translates it to wall-clock
    /// time.
    pub not_after: Instant,
}

/// Records that become durable together.
#[message]
pub struct Batch {
    /// The batch number, which increases by one with each batch of one cell.
    pub number: u64,
    /// The records, in the order in which they were written.
    pub records: Vec<Record>,
}

/// A durable state change. Applying a record twice changes nothing.
#[message]
pub enum Record {
    /// A job was accepted.
    Accepted(Box<Job>),
    /// An attempt was assigned to a worker and may start there from now on.
    Placed {
        /// The attempt that was placed.
        attempt: Attempt,
        /// The worker it was assigned to.
        worker: id::Worker,
        /// The size granted to the attempt.
        size: Amount,
    },
    /// An attempt no longer runs on any worker.
    #[serde(rename = "Left")]
    AttemptEnded {
        /// The attempt that ended.
        attempt: Attempt,
        /// How the attempt ended.
        outcome: Outcome,
    },
    /// A job was cancelled. Its tasks may still run until workers report that they ended.
    Canceled(id::Job),
    /// A job ended, and none of its tasks runs any more.
    Ended {
        /// The job that ended.
        job: id::Job,
        /// How the job ended.
        end: End,
    },
}

/// Why an attempt no longer runs.
#[value]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The task succeeded.
    Succeeded,
    /// The task itself failed.
    Failed,
    /// The cell stopped or checkpointed the attempt.
    Stopped,
    /// The attempt's lease ended, or its worker no longer lists it.
    Lost,
    /// The attempt never started.
    NotStarted,
}
