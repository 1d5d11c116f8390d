//! What a cell knows of a job and its tasks.

use super::{AttemptKey, TeamKey};
use crate::core::id::{self, DataCentre, Rack};
use crate::core::placement::job::{End, Job};
use crate::core::placement::queue::Lane;
use crate::core::resource::Amount;
use crate::core::time::Instant;
use crate::core::workload::Class;

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
    pub(in crate::core::placement) fresh: u32,
    /// Tasks that wait for another attempt; entries that no longer wait are skipped.
    pub(in crate::core::placement) returned: Vec<u32>,
    /// How many tasks wait for a place.
    pub queued: u32,
    /// Whether it is kept out of the queue after a takeover.
    pub(in crate::core::placement) is_held: bool,
    /// How many tasks have an attempt that may run.
    pub live: u32,
    /// How many tasks succeeded.
    pub succeeded: u32,
    /// How it is to end once nothing of it runs.
    pub ending: Option<End>,
    /// Whether its end was written.
    pub(in crate::core::placement) ended: bool,
    /// When it began to wait.
    pub queued_at: Instant,
    /// Its place in the order of arrival.
    pub(in crate::core::placement) sequence: u64,
    /// The lane that it waits in.
    pub(in crate::core::placement) lane: Option<Lane>,
    /// How many of its attempts each rack holds.
    pub racks: Vec<(Rack, u32)>,
    /// How many of its attempts each data centre holds.
    pub data_centres: Vec<(DataCentre, u32)>,
    /// Workers that a task failed on.
    pub(in crate::core::placement) tried: Vec<Tried>,
    /// Whether the gang is being broken up right now.
    pub(in crate::core::placement) is_breaking: bool,
    /// Until when all tasks of a gang have to run.
    pub(in crate::core::placement) gang_deadline: Option<Instant>,
    /// No reservation is made for it before this time.
    pub(in crate::core::placement) reserve_from: Instant,
}

/// A worker that a task failed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tried {
    /// The task's index.
    pub task: u32,
    /// The worker.
    pub worker: id::Worker,
}

impl JobEntry {
    /// Makes the entry of a job that was just accepted.
    pub(in crate::core::placement) fn new(
        spec: Job,
        team: TeamKey,
        now: Instant,
        sequence: u64,
    ) -> JobEntry {
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
            is_breaking: false,
            gang_deadline: None,
            reserve_from: now,
            spec,
        }
    }

    /// Takes the next waiting task out of the queue.
    pub(in crate::core::placement) fn take(&mut self) -> Option<u32> {
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
    pub(in crate::core::placement) fn give_back(&mut self, index: u32) {
        self.tasks[index as usize].phase = TaskPhase::Pending;
        self.returned.push(index);
        self.queued += 1;
    }

    /// Returns whether the waiting tasks may be placed: a gang needs all that did not succeed.
    pub(in crate::core::placement) fn is_placeable(&self) -> bool {
        let is_whole = self.queued + self.succeeded == self.spec.tasks;
        let is_gang = self.spec.class == Class::Gang;
        self.ending.is_none() && self.queued > 0 && !self.is_held && (is_whole || !is_gang)
    }

    /// Counts an attempt in a rack and data centre, or one less.
    pub(in crate::core::placement) fn count_place(
        &mut self,
        rack: Rack,
        data_centre: DataCentre,
        more: bool,
    ) {
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
pub(in crate::core::placement) fn counted<T: PartialEq>(counts: &[(T, u32)], place: &T) -> u32 {
    counts
        .iter()
        .find(|(known, _)| known == place)
        .map_or(0, |(_, count)| *count)
}
