//! The state machine of one partition's owner.
//!
//! [`Cell::step`] takes one event and hands it to the part that it concerns: [`workers`] follows
//! the VM list and looks after each worker, [`reports`] takes in what workers say, [`jobs`] accepts
//! and ends jobs, [`tasks`] leads tasks from attempt to attempt, [`place`] decides, [`hold`] and
//! [`preempt`] make room, [`journal`] groups records and releases starts, [`recover`] rebuilds. Placement happens on ticks only, so that
//! the decisions of one tick share one group commit.

mod admit;
mod explain;
mod gangs;
mod hold;
mod jobs;
mod journal;
mod judge;
mod ledger;
mod overrun;
mod place;
mod preempt;
mod query;
mod recover;
mod replay;
mod reports;
mod tasks;
mod wake;
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

/// What a cell did so far.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Counters {
    /// Tasks given to a worker.
    pub placed: u64,
    /// Searches that found no worker.
    pub unplaced: u64,
    /// Starts sent.
    pub started: u64,
    /// Tasks checkpointed for other work.
    pub preempted: u64,
    /// Reservations made.
    pub reserved: u64,
    /// Batches of records put out.
    pub batches: u64,
    /// Attempts lost with their worker or lease.
    pub lost: u64,
    /// Workers quarantined.
    pub quarantined: u64,
    /// Attempts throttled, checkpointed or stopped for using more than their size.
    pub overruns: u64,
}

/// The only authority over the workers of one partition.
#[derive(Debug)]
pub struct Cell<P: Policy = Standard> {
    rules: Rules,
    settings: Settings,
    now: Instant,
    /// Until when the owner may act.
    lease: Instant,
    is_fenced: bool,
    /// Whether starts may precede their records.
    is_unrecorded: bool,
    /// Inventories asked for earlier may miss starts of the previous owner.
    asks_from: Instant,
    /// Held jobs are queued from then on.
    held_until: Instant,
    held: Vec<JobKey>,

    workers: SlotMap<WorkerKey, WorkerEntry>,
    worker_ids: HashMap<id::Worker, WorkerKey>,
    roster: Vec<WorkerKey>,
    index: Index,
    plain_index: Index,
    /// What all workers hold together.
    total: Amount,
    /// How many workers of each size there are.
    sizes: BTreeMap<Amount, u32>,
    /// When each worker is looked after next.
    due: BTreeSet<(Instant, WorkerKey)>,

    attempts: SlotMap<AttemptKey, AttemptEntry>,
    attempt_ids: HashMap<Attempt, AttemptKey>,

    jobs: SlotMap<JobKey, JobEntry>,
    job_ids: HashMap<id::Job, JobKey>,
    /// How many tasks all jobs have that have not ended.
    tasks: u64,
    ended: VecDeque<jobs::Ended>,
    ended_ids: HashMap<id::Job, jobs::Summary>,
    stopping: VecDeque<jobs::Stopping>,
    gangs: BTreeSet<(Instant, JobKey)>,
    lost: BTreeSet<tasks::Lost>,
    released_at: Instant,

    teams: SlotMap<TeamKey, TeamEntry>,
    team_names: HashMap<Team, TeamKey>,

    queue: Queue,
    history: History,
    chooser: P::Choose,
    sequence: u64,
    freed: wake::Freed,
    swept_at: Instant,
    holds: hold::Holds,
    journal: journal::Journal,
    counters: Counters,
}

impl<P: Policy> Cell<P> {
    /// Takes one event at `now` and adds what is to be done to `out`.
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
            Input::Leaving(worker) => self.leave_soon(worker, out),
            Input::Gone(worker) => self.lose_worker(worker, out),
            Input::Inventory {
                worker,
                request,
                inventory,
            } => self.read_inventory(worker, request, &inventory, out),
            Input::Report { worker, report } => self.read_report(worker, &report, out),
            Input::Started(attempt) => self.confirm(attempt),
            Input::Refused(attempt) => self.refuse(attempt, out),
            Input::Unanswered(_) => {}
            Input::Accept(job) => self.accept(*job),
            Input::Cancel(job) => self.cancel(job),
            Input::Lease(ends) => self.lease = self.lease.max(ends),
            Input::Configure(settings) => self.configure(*settings),
            Input::Unrecorded(is_unrecorded) => self.is_unrecorded = is_unrecorded,
            Input::Durable(number) => self.commit(number, out),
            Input::Tick => self.tick(out),
        }
    }

    /// Does everything that time brings about.
    fn tick(&mut self, out: &mut Vec<Output>) {
        self.tend_due(out);
        self.tend_gangs(out);
        self.tend_holds();
        self.release_held();
        self.release_lost();
        self.stop_some(out);
        self.place_some(out);
        self.flush(out);
    }

    /// Returns whether the owner's lease has ended, after which the cell does nothing.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Returns whether the durable records describe all that may run, so that a next owner may
    /// recover without [`Recovery::unrecorded`].
    pub fn is_settled(&self) -> bool {
        !self.is_unrecorded && self.now > self.held_until && self.journal.is_durable()
    }

    /// Returns what the cell did so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Puts new settings in force.
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
