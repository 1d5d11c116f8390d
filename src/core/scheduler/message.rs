//! Inputs and outputs of the scheduler.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use laburnum_derive::{state, value};

use super::RemainingLease;
use super::advice::{AdvisorCall, AdvisorProxy};
use super::id::{Job, Mark, Request, Run, Task, Worker};
use super::poison;
use super::record::Phase;
use super::spec::{Queue, Spec};
use super::worker::{Account, Entry, Evidence};
use crate::core::account;
use crate::core::error::Error;
use crate::core::queue::{Endpoint, QueueBinding};
use crate::core::resource::Amount;
use crate::core::time::{Instant, Stamp};

/// How a run ended.
#[value]
pub enum RunEnd {
    /// The run completed its task.
    Done,
    /// The run failed, through a fault of the task or of the worker.
    Failed,
    /// The worker stopped the run on a command.
    Stopped,
    /// The worker stopped the run because its lease ended.
    Lapsed,
    /// The worker stopped the run because another run of its gang ended.
    Broken,
    /// The worker stopped the run because the other tasks of its gang did not start in time.
    Alone,
}

impl RunEnd {
    /// Returns the name that log lines use.
    pub fn name(self) -> &'static str {
        match self {
            RunEnd::Done => "done",
            RunEnd::Failed => "failed",
            RunEnd::Stopped => "stopped",
            RunEnd::Lapsed => "lapsed",
            RunEnd::Broken => "broken",
            RunEnd::Alone => "alone",
        }
    }
}

/// A run that a worker reports as running.
#[state]
pub struct ActiveRun {
    /// The task.
    pub task: Task,
    /// The run.
    pub run: Run,
    /// The newest checkpoint, if the run has saved one.
    pub checkpoint: Option<Arc<str>>,
    /// The progress of the run, in percent.
    pub percent: u8,
}

/// A run that a worker reports as ended.
#[state]
pub struct EndedRun {
    /// The sequence number of the end in this incarnation of the worker.
    pub number: u64,
    /// The task.
    pub task: Task,
    /// The run.
    pub run: Run,
    /// How the run ended.
    pub end: RunEnd,
    /// The newest checkpoint, if the run saved one.
    pub checkpoint: Option<Arc<str>>,
}

/// A worker's response to a poll.
#[state]
pub struct Inventory {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// All running runs.
    pub running: Vec<ActiveRun>,
    /// The oldest ended runs that are not acknowledged, in the order of their numbers. The worker
    /// may have further ones.
    pub ended: Vec<EndedRun>,
    /// Whether every run that the worker reported is in `running` or `ended`; otherwise some could
    /// not be decoded.
    pub is_complete: bool,
}

/// Why a worker rejected a command.
#[value]
pub enum Refusal {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker has stopped or ended this run or a later one of the task.
    OldRun,
    /// The command arrived after the end of the lease that it carries.
    Late,
    /// The worker has too little free capacity.
    Room,
    /// The permit is missing or not valid.
    Permit,
    /// The worker accepts no tasks at present.
    Unhealthy,
    /// The worker cannot parse the command.
    Malformed,
    /// The command is for another incarnation of the worker.
    OtherIncarnation,
    /// Another worker has the address. The one that the command is for has ended, and commands for it
    /// that are still under way are rejected as well.
    OtherWorker,
}

impl Refusal {
    /// Returns the name that log lines use.
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
            Refusal::OtherWorker => "other_worker",
        }
    }
}

/// The outcome of a command to a worker.
#[state]
pub enum Outcome {
    /// The worker carried out the command. The value is the worker's clock in milliseconds, if the
    /// response contained it.
    Done(Option<u64>),
    /// The worker rejected the command and will not carry it out.
    Refused(Refusal),
    /// No response arrived. The worker may have carried out the command, or may still do so.
    Unknown,
}

/// A command to start a run.
#[state]
pub struct Start {
    /// The task.
    pub task: Task,
    /// The run.
    pub run: Run,
    /// The job's payload.
    pub payload: Arc<str>,
    /// The checkpoint to continue from; `None` to start from the beginning.
    pub checkpoint: Option<Arc<str>>,
    /// The permit for this worker; `None` if the queue needs none.
    pub permit: Option<Arc<str>>,
    /// The end of the lease, on the worker's clock in milliseconds.
    pub deadline_ms: u64,
}

/// An event that the scheduler processes.
#[state]
pub enum Input {
    /// A client submits a job.
    Submit {
        /// The request, which gets exactly one response.
        request: Request,
        /// The id that the client chose.
        job: Job,
        /// The queue as configured now.
        queue: Queue,
        /// The endpoint that the client used; `None` if an entry of an earlier release took the request.
        endpoint: Option<Endpoint>,
        /// The job.
        spec: Arc<Spec>,
        /// The client account of the caller, if the queue needs a key of one.
        account: Option<account::Name>,
        /// The time of day.
        at: Stamp,
    },
    /// A client cancels a job.
    Cancel {
        /// The request, which gets exactly one response.
        request: Request,
        /// The job.
        job: Job,
        /// The name of the queue at the endpoint that the client used.
        queue: String,
        /// That endpoint; `None` if an entry of an earlier release took the request.
        endpoint: Option<Endpoint>,
        /// The client account of the caller, if the queue needs a key of one.
        account: Option<account::Name>,
        /// The time of day.
        at: Stamp,
    },
    /// The directory lists a worker, or its entry has changed.
    Listed(Entry),
    /// The directory no longer lists the worker with this name.
    Unlisted(String),
    /// The poll of [`Output::Verify`] has an outcome.
    Verified {
        /// The entry.
        entry: Entry,
        /// The outcome: done if the worker that the entry names is there, in the incarnation that it names.
        outcome: Outcome,
    },
    /// The queues of the present configuration.
    Queues(Vec<QueueBinding>),
    /// The client accounts of the present configuration.
    Accounts(Vec<account::Account>),
    /// A worker responded to a poll.
    Polled {
        /// The worker.
        worker: Worker,
        /// When the poll was sent.
        sent: Instant,
        /// The response.
        inventory: Inventory,
    },
    /// A poll got no response or was rejected.
    PollFailed {
        /// The worker.
        worker: Worker,
        /// The outcome of the poll.
        outcome: Outcome,
    },
    /// A start command has an outcome.
    Started {
        /// The worker.
        worker: Worker,
        /// The task.
        task: Task,
        /// The run.
        run: Run,
        /// The outcome of the command.
        outcome: Outcome,
    },
    /// A stop command has an outcome.
    Stopped {
        /// The worker.
        worker: Worker,
        /// The task.
        task: Task,
        /// The run.
        run: Run,
        /// The outcome of the command.
        outcome: Outcome,
    },
    /// A call to the advisor succeeded or failed.
    Advised {
        /// The call.
        call: AdvisorCall,
        /// The names of the permitted workers with their permits; `None` when the call failed.
        allowed: Option<Vec<(String, Arc<str>)>>,
        /// The least time for which the permits are valid, from when the advisor issued them.
        validity: Duration,
    },
    /// The log has confirmed that no later owner had fenced it at this time: by a read of the claims, or by
    /// an append of this owner, that was sent then.
    ClaimConfirmed(Instant),
    /// The owner before this one has ended its ownership and reported the leases that are left.
    FormerLeases {
        /// The time from which the remaining leases count: when the report arrived.
        answered: Instant,
        /// All workers that may still have a lease.
        leases: Vec<RemainingLease>,
    },
    /// The entries that can call the advisor.
    AdvisorProxies(Vec<AdvisorProxy>),
    /// All appends up to and including this mark are in the log.
    Durable(Mark),
    /// The log has taken no append for a while.
    LogUnavailable {
        /// The last mark that was sent to the log. Appends after it have not been sent.
        sent: Mark,
    },
    /// The log takes appends again.
    LogAvailable,
}

/// A successful response to a client.
#[value]
pub enum Answer {
    /// The job is accepted, and its record is in the log.
    Accepted,
    /// The job has ended, by this cancellation or before it, and the record of its end is in the
    /// log.
    Cancelled,
    /// The job is not known: it was never accepted or has been dropped.
    Gone,
}

/// An action that the scheduler's caller carries out.
#[state]
pub enum Output {
    /// Append a record to the log, after those with lower marks.
    Append {
        /// The sequence number of the append.
        mark: Mark,
        /// The key.
        key: Vec<u8>,
        /// The value; `None` deletes the key.
        value: Option<Vec<u8>>,
    },
    /// Discard the appends of a key that have not been sent to the log.
    Withdraw {
        /// The key.
        key: Vec<u8>,
    },
    /// Send a start command.
    Start {
        /// The worker to send it to.
        worker: Worker,
        /// The command.
        start: Start,
        /// What the decision was based on, for the log line.
        account: Account,
    },
    /// Send a stop command.
    Stop {
        /// The worker to send it to.
        worker: Worker,
        /// The task.
        task: Task,
        /// The run.
        run: Run,
    },
    /// Poll the address of an entry, without a lease or an acknowledgement, until the poll has an outcome or the
    /// entry needs [no verification](super::Scheduler::is_unverified) any more.
    Verify {
        /// The entry.
        entry: Entry,
        /// When the directory first listed it.
        since: Instant,
    },
    /// Call the advisor.
    CallAdvisor(AdvisorCall),
    /// Respond to a client.
    Answer {
        /// The request.
        request: Request,
        /// The response.
        answer: Result<Answer, Error>,
    },
    /// Write a log line: a run has ended.
    Ended {
        /// The worker.
        worker: Worker,
        /// The task.
        task: Task,
        /// The run.
        run: Run,
        /// How the run ended.
        end: RunEnd,
    },
    /// Write a log line: a worker reports a run that this owner did not start or had given up.
    Adopted {
        /// The worker.
        worker: Worker,
        /// The task.
        task: Task,
        /// The run.
        run: Run,
        /// The capacity that the run is known to use; `None` when its job's steps are not known.
        need: Option<Amount>,
        /// Whether the run goes on; otherwise it is stopped.
        is_wanted: bool,
    },
    /// Write a log line: the capacity of a run is free although the worker reported no end of it.
    Released {
        /// The worker's name.
        worker: String,
        /// The task.
        task: Task,
        /// The run.
        run: Run,
        /// Why the run cannot be on the worker.
        reason: &'static str,
        /// What was known of the run and the worker.
        evidence: Evidence,
    },
    /// Write a log line: a start under way when its worker restarted may be carried out by the next
    /// incarnation.
    PassedOn {
        /// The worker's name.
        worker: String,
        /// The incarnation that the start was sent to.
        from: u64,
        /// The incarnation that may carry it out.
        to: u64,
        /// The task.
        task: Task,
        /// The run.
        run: Run,
    },
    /// Write a log line: a start whose run was released may still be under way, and is stopped on another
    /// incarnation of its worker.
    Voided {
        /// The worker's name.
        worker: String,
        /// The task.
        task: Task,
        /// The run.
        run: Run,
        /// The time since the start was decided on.
        age: Duration,
    },
    /// Write a log line: whether runs of earlier owners may be on a worker unknown to this one has
    /// changed.
    Inherited {
        /// The worker's name.
        worker: String,
        /// The incarnation that earlier owners used.
        incarnation: u64,
        /// Whether all of these runs are known or have ended.
        is_known: bool,
        /// What that is based on.
        source: &'static str,
        /// The time since this owner recovered.
        waited: Duration,
    },
    /// Write a log line: workers of earlier owners are gone, and runs without a record may have crashed
    /// them.
    Lost {
        /// The names of the workers.
        workers: Vec<String>,
        /// How many changes of the owner with such workers are remembered.
        losses: usize,
    },
    /// Write a log line: a worker has crashed, or may have crashed, soon after the start of a run.
    Crashed {
        /// The worker's name.
        worker: String,
        /// The task.
        task: Task,
        /// The run.
        run: Run,
        /// Whether the worker is known to have ended unasked, with the run there.
        is_certain: bool,
        /// Whether no other run was there.
        is_alone: bool,
        /// The number of such crashes under the task.
        crashes: usize,
        /// What they say of the task.
        verdict: poison::Verdict,
    },
    /// Write a log line: a task crashes its workers and is given up.
    GivenUp {
        /// The task.
        task: Task,
        /// The crashes and trials.
        history: poison::Record,
    },
    /// Write a log line: a job has entered a phase.
    Phase {
        /// The job.
        job: Job,
        /// The new phase.
        phase: Phase,
        /// The reason for the change.
        reason: &'static str,
    },
    /// Write a log line: the state of a worker has changed. After the event `listed` the caller
    /// also begins to poll the worker.
    Worker {
        /// The worker.
        worker: Worker,
        /// The worker's name, also of one that was removed.
        name: String,
        /// The incarnation of the worker.
        incarnation: u64,
        /// The address of the worker.
        address: SocketAddr,
        /// The change, as log lines name it.
        event: &'static str,
    },
    /// Write a log line: an entry in the directory contradicts what is known of its worker.
    Contradiction {
        /// The entry.
        entry: Entry,
        /// The known incarnation.
        incarnation: u64,
        /// The known address.
        address: SocketAddr,
        /// The time since the known worker last responded.
        report_age: Duration,
        /// The time that is left until its lease has certainly ended.
        lease_left: Duration,
        /// What was found out.
        verdict: &'static str,
    },
    /// Write a log line: an entry in the directory is kept back, because no queue has its service.
    UnnamedService {
        /// The worker's name.
        worker: String,
        /// The service.
        service: String,
    },
    /// End this ownership: a worker has seen the token of a later owner.
    Superseded,
}
