//! The entries of jobs and their tasks.

use super::{AttemptKey, TeamKey};
use crate::core::id::{self, DataCentre, Rack};
use crate::core::placement::job::{End, Job};
use crate::core::placement::queue::Lane;
use crate::core::resource::Amount;
use crate::core::time::Instant;
use crate::core::workload::Class;

/// The phase of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// The task waits for a worker.
    Pending,
    /// The task was lost with its worker and will be queued again at a limited rate.
    Delayed,
    /// An attempt of the task may run.
    Live(AttemptKey),
    /// The task succeeded.
    Succeeded,
}

/// The state of one task.
#[derive(Clone, Copy, Debug)]
pub struct TaskEntry {
    /// The number of the latest attempt, 0 before the first.
    pub number: u32,
    /// The current phase.
    pub phase: TaskPhase,
}

/// The state of one job.
#[derive(Debug)]
pub struct JobEntry {
    /// The job as submitted.
    pub spec: Job,
    /// The job's team.
    pub team: TeamKey,
    /// The size granted to each task: the declared size, or more after an overrun.
    pub granted_size: Amount,
    /// The job's tasks, in index order.
    pub tasks: Vec<TaskEntry>,
    /// The first task that was never taken from the queue. Tasks before it that wait are in
    /// `returned`.
    pub(in crate::core::placement) first_untaken: u32,
    /// Tasks that wait for another attempt. Entries whose task no longer waits are skipped.
    pub(in crate::core::placement) returned: Vec<u32>,
    /// The number of tasks that wait for a worker.
    pub queued: u32,
    /// Whether the job is kept out of the queue after a takeover, until all leases of attempts
    /// without records have ended.
    pub(in crate::core::placement) is_held: bool,
    /// The number of tasks with an attempt that may run.
    pub live: u32,
    /// The number of tasks that succeeded.
    pub succeeded: u32,
    /// How the job will end once none of its tasks runs, or `None` while it is not ending.
    pub ending: Option<End>,
    /// Whether the record of the job's end was written.
    pub(in crate::core::placement) ended: bool,
    /// When the job began to wait.
    pub queued_at: Instant,
    /// The job's sequence number in order of arrival.
    pub(in crate::core::placement) sequence: u64,
    /// The lane that the job waits in.
    pub(in crate::core::placement) lane: Option<Lane>,
    /// The number of the job's attempts per rack.
    pub racks: Vec<(Rack, u32)>,
    /// The number of the job's attempts per data centre.
    pub data_centres: Vec<(DataCentre, u32)>,
    /// The failures of the job's tasks, with the workers that they failed on.
    pub(in crate::core::placement) failures: Vec<TaskFailure>,
    /// Set while the attempts of the gang are being stopped, because the end of one of them stops
    /// the gang again.
    pub(in crate::core::placement) is_stopping: bool,
    /// The time by which all tasks of a gang must run.
    pub(in crate::core::placement) gang_deadline: Option<Instant>,
    /// No reservation is made for the job before this time.
    pub(in crate::core::placement) reserve_from: Instant,
}

/// A failure of a task on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskFailure {
    /// The task's index within the job.
    pub task: u32,
    /// The worker that the task failed on.
    pub worker: id::Worker,
}

impl JobEntry {
    /// Creates the entry of a newly accepted job.
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
            granted_size: spec.size,
            tasks: vec![task; spec.tasks as usize],
            first_untaken: 0,
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
            failures: Vec::new(),
            is_stopping: false,
            gang_deadline: None,
            reserve_from: now,
            spec,
        }
    }

    /// Removes the next waiting task from the queue and returns its index.
    pub(in crate::core::placement) fn take_task(&mut self) -> Option<u32> {
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
        while self.first_untaken < self.spec.tasks {
            let index = self.first_untaken;
            self.first_untaken += 1;
            if self.tasks[index as usize].phase == TaskPhase::Pending {
                return Some(index);
            }
        }
        None
    }

    /// Queues a task again.
    pub(in crate::core::placement) fn requeue_task(&mut self, index: u32) {
        self.tasks[index as usize].phase = TaskPhase::Pending;
        self.returned.push(index);
        self.queued += 1;
    }

    /// Returns whether the waiting tasks may be placed. A gang needs all tasks that have not
    /// succeeded to wait.
    pub(in crate::core::placement) fn is_placeable(&self) -> bool {
        let is_whole = self.queued + self.succeeded == self.spec.tasks;
        let is_gang = self.spec.class == Class::Gang;
        self.ending.is_none() && self.queued > 0 && !self.is_held && (is_whole || !is_gang)
    }

    /// Adds an attempt to the counts of its rack and data centre, or removes it when `more` is
    /// false.
    pub(in crate::core::placement) fn count_location(
        &mut self,
        rack: Rack,
        data_centre: DataCentre,
        more: bool,
    ) {
        count(&mut self.racks, rack, more);
        count(&mut self.data_centres, data_centre, more);
    }
}

/// Adds one to the count of `location`, or subtracts one when `more` is false.
fn count<T: PartialEq>(counts: &mut Vec<(T, u32)>, location: T, more: bool) {
    let found = counts.iter().position(|(known, _)| *known == location);
    match found {
        Some(at) if more => counts[at].1 += 1,
        Some(at) if counts[at].1 <= 1 => {
            counts.swap_remove(at);
        }
        Some(at) => counts[at].1 -= 1,
        None if more => counts.push((location, 1)),
        None => {}
    }
}

/// Returns the count of `location`, 0 when it has none.
pub(in crate::core::placement) fn count_of<T: PartialEq>(counts: &[(T, u32)], location: &T) -> u32 {
    counts
        .iter()
        .find(|(known, _)| known == location)
        .map_or(0, |(_, count)| *count)
}
