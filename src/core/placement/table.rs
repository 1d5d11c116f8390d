//! What a cell knows of each worker, attempt, job and team.
//!
//! Entries live in slot maps and name each other by typed keys, so a stale key finds nothing rather
//! than a wrong thing.

use slotmap::new_key_type;

use super::index::Slot;
use super::job::{End, Job};
use super::message::Worker;
use super::quarantine::Health;
use super::queue::Lane;
use super::settings::Quota;
use crate::core::id::{self, Attempt, DataCentre, Rack, Team};
use crate::core::resource::Amount;
use crate::core::time::Instant;
use crate::core::workload::Class;
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

/// The state of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// It waits for a place.
    Pending,
    /// It was lost with its worker and will be queued again at a limited pace.
    Delayed,
    /// An attempt may run.
    Live(AttemptKey),
    /// It succeeded.
    Succeeded,
}

/// A task.
#[derive(Clone, Copy, Debug)]
pub struct TaskEntry {
    /// The number of its latest attempt.
    pub number: u32,
    /// Its state.
    pub phase: TaskPhase,
}

/// A job.
#[derive(Debug)]
pub struct JobEntry {
    /// What was submitted.
    pub spec: Job,
    /// Its team.
    pub team: TeamKey,
    /// What a task is granted: the declared size, or more after an overrun.
    pub claim: Amount,
    /// Its tasks.
    pub tasks: Vec<TaskEntry>,
    /// The first task that was never taken from the queue; each before it that waits is in
    /// `returned`.
    pub(super) fresh: u32,
    /// Tasks that wait for another attempt; entries that no longer wait are skipped.
    pub(super) returned: Vec<u32>,
    /// How many tasks wait for a place.
    pub queued: u32,
    /// Whether it is kept out of the queue after a takeover.
    pub(super) is_held: bool,
    /// How many tasks have an attempt that may run.
    pub live: u32,
    /// How many tasks succeeded.
    pub succeeded: u32,
    /// How it is to end once nothing of it runs.
    pub ending: Option<End>,
    /// Whether its end was written.
    pub(super) ended: bool,
    /// When it began to wait.
    pub queued_at: Instant,
    /// Its place in the order of arrival.
    pub(super) sequence: u64,
    /// The lane that it waits in.
    pub(super) lane: Option<Lane>,
    /// How many of its attempts each rack holds.
    pub racks: Vec<(Rack, u32)>,
    /// How many of its attempts each data centre holds.
    pub data_centres: Vec<(DataCentre, u32)>,
    /// Workers that a task failed on.
    pub(super) tried: Vec<Tried>,
    /// Until when all tasks of a gang have to run.
    pub(super) gang_deadline: Option<Instant>,
    /// No reservation is made for it before this time.
    pub(super) reserve_from: Instant,
}

/// A worker that a task failed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tried {
    /// The task's index.
    pub task: u32,
    /// The worker.
    pub worker: id::Worker,
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

impl JobEntry {
    /// Makes the entry of a job that was just accepted.
    pub(super) fn new(spec: Job, team: TeamKey, now: Instant, sequence: u64) -> JobEntry {
        let task = TaskEntry {
            number: 0,
            phase: TaskPhase::Pending,
        };
        JobEntry {
            team,
            claim: spec.size,
            tasks: vec![task; spec.tasks as usize],
            fresh: 0,
            returned: Vec::new(),
            queued: spec.tasks,
            is_held: false,
            live: 0,
            succeeded: 0,
            ending: None,
            ended: false,
            queued_at: now,
            sequence,
            lane: None,
            racks: Vec::new(),
            data_centres: Vec::new(),
            tried: Vec::new(),
            gang_deadline: None,
            reserve_from: now,
            spec,
        }
    }

    /// Takes the next waiting task out of the queue.
    pub(super) fn take(&mut self) -> Option<u32> {
        let index = self.next()?;
        self.queued -= 1;
        Some(index)
    }

    /// Finds the next waiting task.
    fn next(&mut self) -> Option<u32> {
        while let Some(index) = self.returned.pop() {
            if self.tasks[index as usize].phase == TaskPhase::Pending {
                return Some(index);
            }
        }
        while self.fresh < self.spec.tasks {
            let index = self.fresh;
            self.fresh += 1;
            if self.tasks[index as usize].phase == TaskPhase::Pending {
                return Some(index);
            }
        }
        None
    }

    /// Queues a task again.
    pub(super) fn give_back(&mut self, index: u32) {
        self.tasks[index as usize].phase = TaskPhase::Pending;
        self.returned.push(index);
        self.queued += 1;
    }

    /// Returns whether the waiting tasks may be placed: a gang needs all that did not succeed.
    pub(super) fn is_placeable(&self) -> bool {
        let is_whole = self.queued + self.succeeded == self.spec.tasks;
        let is_gang = self.spec.class == Class::Gang;
        self.ending.is_none() && self.queued > 0 && !self.is_held && (is_whole || !is_gang)
    }

    /// Counts an attempt in a rack and data centre, or one less.
    pub(super) fn count_place(&mut self, rack: Rack, data_centre: DataCentre, more: bool) {
        count(&mut self.racks, rack, more);
        count(&mut self.data_centres, data_centre, more);
    }
}

/// Adds or takes one from the count of `place`.
fn count<T: PartialEq>(counts: &mut Vec<(T, u32)>, place: T, more: bool) {
    let found = counts.iter().position(|(known, _)| *known == place);
    match found {
        Some(at) if more => counts[at].1 += 1,
        Some(at) if counts[at].1 <= 1 => {
            counts.swap_remove(at);
        }
        Some(at) => counts[at].1 -= 1,
        None if more => counts.push((place, 1)),
        None => {}
    }
}

/// Returns the count of `place`.
pub(super) fn counted<T: PartialEq>(counts: &[(T, u32)], place: &T) -> u32 {
    counts
        .iter()
        .find(|(known, _)| known == place)
        .map_or(0, |(_, count)| *count)
}

impl TeamEntry {
    /// Returns whether the team may hold `more` besides what it holds.
    pub fn allows(&self, more: Amount) -> bool {
        self.quota
            .is_none_or(|quota| (self.used + more).fits(quota.ceiling))
    }
}
