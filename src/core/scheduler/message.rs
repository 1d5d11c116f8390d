//! What goes into the scheduler and what comes out.

use std::sync::Arc;
use std::time::Duration;

use laburnum_derive::{state, value};

use super::advice::{Ask, Asker};
use super::id::{Job, Mark, Request, Run, Step, Task, Worker};
use super::record::Phase;
use super::spec::{Queue, Spec};
use super::worker::Entry;
use crate::core::error::Error;
use crate::core::time::Stamp;

/// How a run ended.
#[value]
pub enum How {
    /// It did its work.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease ended.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

impl How {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            How::Done => "done",
            How::Failed => "failed",
            How::Stopped => "stopped",
            How::Lapsed => "lapsed",
            How::Broken => "broken",
            How::Alone => "alone",
        }
    }
}

/// A run that a worker has.
#[state]
pub struct Running {
    /// The task.
    pub task: Task,
    /// The run.
    pub run: Run,
    /// The newest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// How much of its work is done, in percent.
    pub percent: u8,
}

/// A run that ended on a worker.
#[state]
pub struct Ended {
    /// The end's number in this life of the worker.
    pub number: u64,
    /// The task.
    pub task: Task,
    /// The run.
    pub run: Run,
    /// How it ended.
    pub how: How,
    /// The newest checkpoint.
    pub checkpoint: Option<Arc<str>>,
}

/// What a worker answered to a look.
#[state]
pub struct Inventory {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// All that runs.
    pub running: Vec<Running>,
    /// The ends that were not acknowledged, oldest first; there may be more.
    pub ended: Vec<Ended>,
}

/// Why a worker did not do what it was told.
#[value]
pub enum Refusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// It has stopped or ended this run or a later one of the task.
    OldRun,
    /// The order came after the end of its lease.
    Late,
    /// It has no room.
    Room,
    /// The permit is not valid.
    Permit,
    /// It takes nothing now.
    Unhealthy,
    /// It does not understand the order.
    Malformed,
    /// It is another life of the worker.
    OtherIncarnation,
}

impl Refusal {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::Fenced => "fenced",
            Refusal::OldRun => "old_run",
            Refusal::Late => "late",
            Refusal::Room => "room",
            Refusal::Permit => "permit",
            Refusal::Unhealthy => "unhealthy",
            Refusal::Malformed => "malformed",
            Refusal::OtherIncarnation => "other_incarnation",
        }
    }
}

/// What became of an order to a worker.
#[state]
pub enum Outcome {
    /// It was done; the worker's clock in milliseconds, if it came along.
    Done(Option<u64>),
    /// It surely was not done.
    Refused(Refusal),
    /// No answer came; it may be done, also later.
    Unknown,
}

/// A start.
#[state]
pub struct Start {
    /// The task.
    pub task: Task,
    /// The run.
    pub run: Run,
    /// The job's payload.
    pub payload: Arc<str>,
    /// Where to go on from.
    pub checkpoint: Option<Arc<str>>,
    /// The permit for this worker, where one is needed.
    pub ticket: Option<Arc<str>>,
    /// The end of the lease, on the worker's clock in milliseconds.
    pub deadline_ms: u64,
}

/// What goes in.
#[state]
pub enum Input {
    /// A client hands a job in.
    Submit {
        /// Answered once.
        request: Request,
        /// The id that the client chose.
        job: Job,
        /// The queue in force.
        queue: Queue,
        /// The job.
        spec: Arc<Spec>,
        /// The time of day.
        at: Stamp,
    },
    /// A client cancels a job.
    Cancel {
        /// Answered once.
        request: Request,
        /// The job.
        job: Job,
        /// The queue that the client named.
        queue: String,
        /// The time of day.
        at: Stamp,
    },
    /// The directory lists a worker.
    Listed(Entry),
    /// The directory lists a worker no more.
    Unlisted(String),
    /// The queues of the configuration in force.
    Queues(Vec<Queue>),
    /// A worker answered a look that was sent at `sent`.
    Looked {
        /// The worker.
        worker: Worker,
        /// When the look was sent.
        sent: crate::core::time::Instant,
        /// The answer.
        inventory: Inventory,
    },
    /// A look got no answer, or a refusal.
    LookFailed {
        /// The worker.
        worker: Worker,
        /// Why.
        outcome: Outcome,
    },
    /// A start ended.
    Started {
        /// The worker.
        worker: Worker,
        /// The task.
        task: Task,
        /// The run.
        run: Run,
        /// What became of it.
        outcome: Outcome,
    },
    /// A stop ended.
    Stopped {
        /// The worker.
        worker: Worker,
        /// The task.
        task: Task,
        /// The run.
        run: Run,
        /// What became of it.
        outcome: Outcome,
    },
    /// A call to the advisor ended.
    Advised {
        /// Who made it.
        asker: Asker,
        /// The step.
        step: Step,
        /// The workers that were named.
        named: Vec<Worker>,
        /// The permitted ones with their tickets, or nothing when the call failed.
        allowed: Option<Vec<(String, Arc<str>)>>,
        /// How long the tickets hold from when the answer was sent, at least.
        validity: Duration,
    },
    /// The entries that can call the advisor.
    Askers(Vec<Asker>),
    /// All appends up to a mark are in the log.
    Durable(Mark),
    /// The log has taken nothing for a while; what comes after `sent` has not left.
    LogAway {
        /// The last mark that was sent.
        sent: Mark,
    },
    /// The log takes appends again.
    LogBack,
}

/// What a client is told.
#[value]
pub enum Answer {
    /// The job is accepted and in the log.
    Accepted,
    /// The job is cancelled, and the log says so.
    Cancelled,
    /// The job is not known, or was cancelled and dropped.
    Gone,
}

/// What is to be done.
#[state]
pub enum Output {
    /// Puts a record in the log, in order.
    Append {
        /// Its position in the order.
        mark: Mark,
        /// The key.
        key: Vec<u8>,
        /// The value; `None` drops the key.
        value: Option<Vec<u8>>,
    },
    /// Takes the records of a key back that were not sent.
    Withdraw {
        /// The key.
        key: Vec<u8>,
    },
    /// Starts a run.
    Start {
        /// On this worker.
        worker: Worker,
        /// The run.
        start: Start,
    },
    /// Stops a run.
    Stop {
        /// On this worker.
        worker: Worker,
        /// The task.
        task: Task,
        /// The run.
        run: Run,
    },
    /// Calls the advisor.
    Ask(Ask),
    /// Answers a client.
    Answer {
        /// The request.
        request: Request,
        /// What it is told.
        answer: Result<Answer, Error>,
    },
    /// Notes how a run ended, for the log.
    Ended {
        /// The worker.
        worker: Worker,
        /// The task.
        task: Task,
        /// The run.
        run: Run,
        /// How.
        how: How,
    },
    /// Notes a job's new phase, for the log.
    Phase {
        /// The job.
        job: Job,
        /// The phase.
        phase: Phase,
        /// Why.
        reason: &'static str,
    },
    /// Notes a worker that came, went or changed, for the log.
    Worker {
        /// The worker.
        worker: Worker,
        /// What became of it.
        event: &'static str,
    },
    /// A later owner acts: this one must stop.
    Superseded,
}
