//! What a cell knows of each worker, attempt, job and team.
//!
//! Entries live in slot maps and name each other by typed keys, so a stale key finds nothing rather
//! than a wrong thing.

mod job;

use slotmap::new_key_type;

pub(super) use job::counted;
pub use job::{JobEntry, TaskEntry, TaskPhase, Tried};

use super::index::Slot;
use super::message::Worker;
use super::quarantine::Health;
use super::settings::Quota;
use crate::core::id::{self, Attempt, DataCentre, Rack, Team};
use crate::core::resource::Amount;
use crate::core::time::Instant;
use crate::platform::worker::Action;

new_key_type! {
    /// Names a worker's entry.
    pub struct WorkerKey;
    /// Names an attempt's entry.
    pub struct AttemptKey;
    /// Names a job's entry.
    pub struct JobKey;
    /// Names a team's entry.
    pub struct TeamKey;
}

/// Whether a worker may be given work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Its inventory has to be read first.
    Unknown,
    /// It may be given work.
    Ready,
    /// It is leaving and gets nothing new.
    Leaving,
    /// The VM list does not show it.
    Gone,
}

/// A worker.
#[derive(Debug)]
pub struct WorkerEntry {
    /// Its number.
    pub id: id::Worker,
    /// The rack that holds it.
    pub rack: Rack,
    /// The data centre that holds it.
    pub data_centre: DataCentre,
    /// What it holds; nothing while the VM list has not shown it.
    pub size: Amount,
    /// Whether it may be given work.
    pub standing: Standing,
    /// The sum of what its attempts are counted with.
    pub used: Amount,
    /// The attempts that may run on it.
    pub attempts: Vec<AttemptKey>,
    /// The inventory requests sent to it.
    pub(super) asking: Asking,
    /// When leases on it were renewed last.
    pub(super) renewed_at: Instant,
    /// The job that its room is kept for.
    pub reserved: Option<Hold>,
    /// Its record of failures.
    pub health: Health,
    /// Where the indexes keep it.
    pub(super) slots: Slots,
    /// Its place in the roster.
    pub(super) roster: usize,
}

/// The inventory requests sent to a worker.
#[derive(Debug, Default)]
pub(super) struct Asking {
    /// The number of the latest request.
    pub(super) number: u64,
    /// When the latest request was sent.
    pub(super) asked_at: Instant,
    /// When the request was sent that was answered last.
    pub(super) heard_at: Instant,
    /// When the worker is looked after next.
    pub(super) due: Instant,
}

/// Where the indexes keep a worker.
#[derive(Debug, Default)]
pub(super) struct Slots {
    /// By all its room.
    pub(super) all: Option<Slot>,
    /// By its room for work that must leave accelerators usable.
    pub(super) plain: Option<Slot>,
}

/// Room on a worker that is kept for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The job.
    pub job: JobKey,
    /// When the job is expected to start; work that ends earlier may use the room.
    pub starts_at: Instant,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Its placement is not durable yet; no start was sent.
    Recording,
    /// Its start was sent.
    Starting,
    /// The worker was seen to run it.
    Running,
}

/// Why an attempt is to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intent {
    /// It shall run to its end.
    Run,
    /// Its job is cancelled or fails.
    Drop,
    /// Its room is needed; the task is queued again.
    Requeue,
    /// It uses more than its size; the task is queued again with what it used.
    Overrun,
}

/// One attempt to run a task on a worker.
#[derive(Debug)]
pub struct AttemptEntry {
    /// Its id.
    pub id: Attempt,
    /// Its job, unless the job is not known.
    pub job: Option<JobKey>,
    /// The worker.
    pub worker: WorkerKey,
    /// The size that it was granted.
    pub size: Amount,
    /// What it is counted with: the granted size or what it was seen to use.
    pub accounted: Amount,
    /// How far it has come.
    pub phase: Phase,
    /// Why it is to end.
    pub intent: Intent,
    /// Whether it counts against the worker and the team.
    pub(super) counted: bool,
    /// An inventory asked for after this time that lacks the attempt shows that it never will run.
    pub(super) conclusive_after: Instant,
    /// No worker can hold a lease on it after this time.
    pub held_until: Instant,
    /// When it was seen to run first.
    pub started_at: Instant,
    /// When it is expected to end.
    pub ends_at: Instant,
    /// What was sent to end or throttle it, and when.
    pub(super) control: Option<Control>,
}

/// The last control message that an attempt was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Control {
    pub(super) action: Action,
    pub(super) at: Instant,
}

/// A team.
#[derive(Debug)]
pub struct TeamEntry {
    /// Its name.
    pub name: Team,
    /// Its quota, if it has one.
    pub quota: Option<Quota>,
    /// What its attempts are counted with.
    pub used: Amount,
    /// Whether it holds more than its share.
    pub borrows: bool,
    /// How many jobs it has.
    pub(super) jobs: usize,
}

impl WorkerEntry {
    /// Makes the entry of a worker that the VM list has not shown.
    pub(super) fn absent(id: id::Worker, roster: usize) -> WorkerEntry {
        WorkerEntry {
            id,
            rack: Rack(0),
            data_centre: DataCentre(0),
            size: Amount::default(),
            standing: Standing::Gone,
            used: Amount::default(),
            attempts: Vec::new(),
            asking: Asking::default(),
            renewed_at: Instant::default(),
            reserved: None,
            health: Health::default(),
            slots: Slots::default(),
            roster,
        }
    }

    /// Takes over what the VM list shows.
    pub(super) fn show(&mut self, worker: &Worker) {
        self.rack = worker.rack;
        self.data_centre = worker.data_centre;
        self.size = worker.size;
    }

    /// Returns what is not counted for any attempt.
    pub fn room(&self) -> Amount {
        self.size - self.used
    }
}

impl TeamEntry {
    /// Returns whether the team may hold `more` besides what it holds.
    pub fn allows(&self, more: Amount) -> bool {
        self.quota
            .is_none_or(|quota| (self.used + more).fits(quota.ceiling))
    }
}
