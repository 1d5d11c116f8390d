//! The entries of workers, attempts, jobs and teams.
//!
//! Entries are stored in slot maps and refer to each other by typed keys, so a stale key finds
//! nothing instead of another entry.

mod job;

use slotmap::new_key_type;

pub(super) use job::count_of;
pub use job::{JobEntry, TaskEntry, TaskFailure, TaskPhase};

use super::index::Slot;
use super::message::Worker;
use super::quarantine::Health;
use super::settings::Quota;
use crate::core::id::{self, Attempt, DataCentre, Rack, Team};
use crate::core::resource::Amount;
use crate::core::time::Instant;
use crate::platform::worker::Action;

new_key_type! {
    /// The key of a worker's entry.
    pub struct WorkerKey;
    /// The key of an attempt's entry.
    pub struct AttemptKey;
    /// The key of a job's entry.
    pub struct JobKey;
    /// The key of a team's entry.
    pub struct TeamKey;
}

/// Whether a worker may be assigned work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerState {
    /// The worker's inventory has to be read first.
    Unknown,
    /// The worker may be assigned work.
    Ready,
    /// The worker is leaving and is assigned no new work.
    Leaving,
    /// The VM list does not show the worker.
    Gone,
}

/// The state of one worker.
#[derive(Debug)]
pub struct WorkerEntry {
    /// The worker's id.
    pub id: id::Worker,
    /// The rack that the worker is in.
    pub rack: Rack,
    /// The data centre that the worker is in.
    pub data_centre: DataCentre,
    /// The worker's total resources; zero until the VM list has shown the worker.
    pub size: Amount,
    /// Whether the worker may be assigned work.
    pub state: WorkerState,
    /// The sum of the accounted sizes of the worker's attempts.
    pub used: Amount,
    /// The attempts that may run on the worker.
    pub attempts: Vec<AttemptKey>,
    /// The state of the inventory requests to the worker.
    pub(super) polling: Polling,
    /// When leases on the worker were last renewed.
    pub(super) renewed_at: Instant,
    /// The reservation of the worker for a job.
    pub reserved: Option<WorkerReservation>,
    /// The worker's failures and quarantines.
    pub health: Health,
    /// The worker's positions in the indexes.
    pub(super) slots: Slots,
    /// The worker's position in the roster.
    pub(super) roster: usize,
}

/// The state of the inventory requests to a worker.
#[derive(Debug, Default)]
pub(super) struct Polling {
    /// The number of the latest request.
    pub(super) number: u64,
    /// When the latest request was sent.
    pub(super) requested_at: Instant,
    /// When the latest answered request was sent.
    pub(super) last_answered: Instant,
    /// When the worker is next maintained.
    pub(super) due: Instant,
}

/// A worker's positions in the indexes.
#[derive(Debug, Default)]
pub(super) struct Slots {
    /// The position by all free capacity.
    pub(super) all: Option<Slot>,
    /// The position by the free capacity that is not kept for accelerators.
    pub(super) plain: Option<Slot>,
}

/// The reservation of a worker for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerReservation {
    /// The job that the worker is reserved for.
    pub job: JobKey,
    /// When the job is expected to start. Tasks that end earlier may use the worker.
    pub starts_at: Instant,
}

/// The phase of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The placement record is not durable yet; no start was sent.
    Recording,
    /// The start was sent.
    Starting,
    /// The worker has reported the attempt as running.
    Running,
}

/// Whether an attempt is to continue and, if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intent {
    /// The attempt continues until the task ends.
    Run,
    /// The job is cancelled or has failed.
    Drop,
    /// The capacity is needed for another job, the worker is leaving, or the gang is stopped; the
    /// task is queued again.
    Requeue,
    /// The attempt uses more than its size; the task is queued again with the size that it used.
    Overrun,
}

/// The state of one attempt to run a task on a worker.
#[derive(Debug)]
pub struct AttemptEntry {
    /// The attempt's id.
    pub id: Attempt,
    /// The job, or `None` when the cell does not know it or cannot adopt the attempt.
    pub job: Option<JobKey>,
    /// The worker that the attempt is assigned to.
    pub worker: WorkerKey,
    /// The granted size.
    pub size: Amount,
    /// The size that counts against the worker: the granted size, or the reported usage if that is
    /// larger.
    pub accounted: Amount,
    /// The current phase.
    pub phase: Phase,
    /// Whether the attempt is to continue and, if not, why.
    pub intent: Intent,
    /// Whether the attempt counts against the worker and the team.
    pub(super) counted: bool,
    /// If an inventory requested after this time lacks the attempt, the attempt does not run and
    /// never will.
    pub(super) conclusive_after: Instant,
    /// No worker can hold a lease on the attempt after this time.
    pub held_until: Instant,
    /// When the attempt's start was sent; before that, when the attempt was placed. For an attempt
    /// of an earlier owner, when this cell adopted or recovered it.
    pub started_at: Instant,
    /// When the attempt is expected to end.
    pub ends_at: Instant,
    /// The last command sent to end or throttle the attempt.
    pub(super) control: Option<Control>,
}

/// A command sent for an attempt, and when.
#[derive(Clone, Copy, Debug)]
pub(super) struct Control {
    pub(super) action: Action,
    pub(super) at: Instant,
}

/// The state of one team.
#[derive(Debug)]
pub struct TeamEntry {
    /// The team's name.
    pub name: Team,
    /// The team's quota, if it has one.
    pub quota: Option<Quota>,
    /// The sum of the granted sizes of the team's attempts.
    pub used: Amount,
    /// Whether the team uses more than its share.
    pub borrows: bool,
    /// The number of the team's jobs, including ending ones.
    pub(super) jobs: usize,
}

impl WorkerEntry {
    /// Returns the entry of a worker that the VM list has not shown.
    pub(super) fn absent(id: id::Worker, roster: usize) -> WorkerEntry {
        WorkerEntry {
            id,
            rack: Rack(0),
            data_centre: DataCentre(0),
            size: Amount::default(),
            state: WorkerState::Gone,
            used: Amount::default(),
            attempts: Vec::new(),
            polling: Polling::default(),
            renewed_at: Instant::default(),
            reserved: None,
            health: Health::default(),
            slots: Slots::default(),
            roster,
        }
    }

    /// Updates the entry from the VM list.
    pub(super) fn update_from_list(&mut self, worker: &Worker) {
        self.rack = worker.rack;
        self.data_centre = worker.data_centre;
        self.size = worker.size;
    }

    /// Returns the free capacity: the size less what is counted for attempts.
    pub fn free(&self) -> Amount {
        self.size - self.used
    }
}

impl TeamEntry {
    /// Returns whether the team may use `more` within its ceiling.
    pub fn allows(&self, more: Amount) -> bool {
        self.quota
            .is_none_or(|quota| (self.used + more).fits(quota.ceiling))
    }
}
