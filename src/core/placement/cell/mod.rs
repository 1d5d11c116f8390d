//! The state machine that places tasks for one partition's owner.
//!
//! [`Cell::step`] takes one event and dispatches it by kind: [`workers`] follows the VM list and
//! maintains each worker, [`reports`] processes inventories and task reports, [`jobs`] accepts and
//! ends jobs, [`tasks`] tracks each task from attempt to attempt, [`place`] makes placement
//! decisions, [`reservations`] reserves workers, [`preempt`] frees capacity, [`journal`] groups
//! records and sends starts, [`recover`] rebuilds the cell. Placement happens on ticks only, so that the
//! decisions of one tick share one group commit.

mod admit;
mod explain;
mod failures;
mod gangs;
mod jobs;
mod journal;
mod ledger;
mod overrun;
mod place;
mod preempt;
mod query;
mod recover;
mod replay;
mod reports;
mod reservations;
mod tasks;
mod unblock;
mod workers;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use slotmap::SlotMap;

pub use explain::{Explanation, Waiting};
pub use query::{Dump, JobStatus, QuotaStatus, Stage, TaskState, TaskStatus, WorkerStatus};
pub use recover::Recovery;

use super::history::History;
use super::index::Index;
use super::message::{Input, Output};
use super::policy::{Policy, Standard};
use super::queue::Queue;
use super::settings::{Rules, Settings};
use super::table::{
    AttemptEntry, AttemptKey, JobEntry, JobKey, TeamEntry, TeamKey, WorkerEntry, WorkerKey,
};
use crate::core::id::{self, Attempt, Team};
use crate::core::resource::Amount;
use crate::core::time::Instant;

/// Event counts since the cell was created.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Counters {
    /// Tasks assigned to a worker.
    pub placed: u64,
    /// Placement decisions that found no worker or exceeded a quota.
    pub unplaced: u64,
    /// Starts sent to workers.
    pub started: u64,
    /// Tasks checkpointed in favour of other jobs.
    pub preempted: u64,
    /// Reservations made, without those for workers with pre-empted tasks.
    pub reserved: u64,
    /// Batches of records emitted.
    pub batches: u64,
    /// Attempts lost because their worker or lease was lost.
    pub lost: u64,
    /// Quarantines of workers.
    pub quarantined: u64,
    /// Times that an attempt was throttled, or checkpointed after throttling, for using more than
    /// its size.
    pub overruns: u64,
}

/// The only authority over the workers of one partition.
#[derive(Debug)]
pub struct Cell<P: Policy = Standard> {
    rules: Rules,
    settings: Settings,
    now: Instant,
    /// The end of the owner's lease on the partition.
    lease: Instant,
    is_fenced: bool,
    /// Whether starts may be sent before their records are durable.
    is_unrecorded: bool,
    /// No inventory is requested before this time, because it might miss starts of the previous
    /// owner.
    inventories_from: Instant,
    /// Jobs in `held` are queued at this time.
    held_until: Instant,
    held: Vec<JobKey>,

    workers: SlotMap<WorkerKey, WorkerEntry>,
    worker_ids: HashMap<id::Worker, WorkerKey>,
    roster: Vec<WorkerKey>,
    index: Index,
    plain_index: Index,
    /// The total resources of all workers.
    total: Amount,
    /// The number of workers per size.
    sizes: BTreeMap<Amount, u32>,
    /// When each worker is next maintained.
    due: BTreeSet<(Instant, WorkerKey)>,

    attempts: SlotMap<AttemptKey, AttemptEntry>,
    attempt_ids: HashMap<Attempt, AttemptKey>,

    jobs: SlotMap<JobKey, JobEntry>,
    job_ids: HashMap<id::Job, JobKey>,
    /// The number of tasks of all jobs that have not ended.
    tasks: u64,
    ended: VecDeque<jobs::Ended>,
    ended_ids: HashMap<id::Job, jobs::Summary>,
    stopping: VecDeque<jobs::Stopping>,
    gangs: BTreeSet<(Instant, JobKey)>,
    lost: BTreeSet<tasks::Lost>,
    /// When lost tasks were last queued again.
    requeued_at: Instant,

    teams: SlotMap<TeamKey, TeamEntry>,
    team_names: HashMap<Team, TeamKey>,

    queue: Queue,
    history: History,
    chooser: P::Choose,
    sequence: u64,
    freed: unblock::Freed,
    /// When a part of the blocked lanes was last unblocked.
    swept_at: Instant,
    reservations: reservations::Reservations,
    journal: journal::Journal,
    counters: Counters,
}

impl<P: Policy> Cell<P> {
    /// Handles one event at `now` and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if self.is_fenced {
            return;
        }
        if self.now >= self.lease {
            self.is_fenced = true;
            out.push(Output::Fenced);
            return;
        }
        match input {
            Input::Joined(worker) => self.join(&worker),
            Input::Leaving(worker) => self.drain_worker(worker, out),
            Input::Gone(worker) => self.worker_gone(worker, out),
            Input::Inventory {
                worker,
                request,
                inventory,
            } => self.read_inventory(worker, request, &inventory, out),
            Input::Report { worker, report } => self.read_report(worker, &report, out),
            Input::Started(attempt) => self.confirm_start(attempt),
            Input::Refused(attempt) => self.refuse_start(attempt, out),
            Input::Unanswered(_) => {}
            Input::Accept(job) => self.accept(*job),
            Input::Cancel(job) => self.cancel(job),
            Input::Lease(ends) => self.lease = self.lease.max(ends),
            Input::Configure(settings) => self.configure(*settings),
            Input::Unrecorded(is_unrecorded) => self.is_unrecorded = is_unrecorded,
            Input::Durable(number) => self.batch_durable(number, out),
            Input::Tick => self.tick(out),
        }
    }

    /// Runs everything that depends on time.
    fn tick(&mut self, out: &mut Vec<Output>) {
        self.maintain_due(out);
        self.check_gangs(out);
        self.expire_reservations();
        self.release_held();
        self.requeue_lost();
        self.stop_ending_jobs(out);
        self.place_waiting(out);
        self.flush(out);
    }

    /// Returns whether the owner's lease has ended, after which the cell does nothing.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Returns whether the durable records describe every attempt that may run, so that the next
    /// owner may recover without [`Recovery::unrecorded`].
    pub fn is_fully_recorded(&self) -> bool {
        !self.is_unrecorded && self.now > self.held_until && self.journal.is_durable()
    }

    /// Returns the counters.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Applies new settings.
    fn configure(&mut self, settings: Settings) {
        self.settings = settings;
        let keys: Vec<TeamKey> = self.teams.keys().collect();
        for key in keys {
            let quota = self.settings.quotas.get(&self.teams[key].name).copied();
            self.teams[key].quota = quota;
            self.refresh_team(key);
        }
        self.queue.unblock_where(|_| true);
    }
}
