//! Placement: takes waiting jobs in queue order and finds workers for their tasks.

use super::Cell;
use crate::core::id::{Attempt, Task};
use crate::core::placement::message::{Output, Record};
use crate::core::placement::policy::{Choose as _, Policy, TaskRequest, View, check};
use crate::core::placement::queue::Lane;
use crate::core::placement::table::{
    AttemptEntry, AttemptKey, Intent, JobEntry, JobKey, Phase, TaskFailure, TaskPhase, WorkerKey,
};
use crate::core::time::Instant;
use crate::core::workload::Class;

/// The quantile of a family's run times, in thousandths, by which a task is expected to have ended.
const END_PERMILLE: usize = 900;

/// Why a task or gang could not be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlaceError {
    /// The team would exceed its ceiling.
    Quota,
    /// No worker was found.
    Worker,
}

impl<P: Policy> Cell<P> {
    /// Places waiting tasks until the step's decision limit is reached or nothing more fits.
    pub(super) fn place_waiting(&mut self, out: &mut Vec<Output>) {
        if self.journal.outstanding() >= self.settings.tuning.max_batches && !self.is_unrecorded {
            return;
        }
        self.unblock_lanes();
        let mut budget = self.settings.tuning.decisions_per_step;
        while budget > 0 {
            let Some(lane) = self.queue.first() else {
                return;
            };
            let Some(key) = self.queue.head(lane) else {
                return;
            };
            let cost = self.place_head(lane, key, out);
            budget = budget.saturating_sub(cost);
        }
    }

    /// Places the first job of a lane: the whole gang, or one task of another job. Returns the
    /// number of decisions that this counts as; a failure under a strict policy uses up the step's
    /// limit.
    fn place_head(&mut self, lane: Lane, key: JobKey, out: &mut Vec<Output>) -> usize {
        let tasks = match lane.class {
            Class::Gang => self.jobs[key].queued as usize,
            _ => 1,
        };
        let result = match lane.class {
            Class::Gang => self.place_gang(key),
            _ => self
                .place_task(key)
                .map(|attempt| self.write_placement(attempt)),
        };
        match result {
            Ok(()) if self.jobs[key].queued == 0 => {
                self.dequeue(key);
                self.release_reservation(key);
            }
            Ok(()) => {}
            Err(_) if P::IS_STRICT => return usize::MAX,
            Err(error) => {
                self.counters.unplaced += 1;
                self.queue.block(lane);
                if P::RESERVES && error == PlaceError::Worker {
                    self.preempt_or_reserve(lane, key, out);
                }
            }
        }
        tasks
    }

    /// Places all waiting tasks of a gang, or none.
    fn place_gang(&mut self, key: JobKey) -> Result<(), PlaceError> {
        let count = self.jobs[key].queued;
        let team = &self.teams[self.jobs[key].team];
        if !team.allows(self.jobs[key].granted_size.times(u64::from(count))) {
            return Err(PlaceError::Quota);
        }
        let mut placed = Vec::with_capacity(count as usize);
        for _ in 0..count {
            match self.place_task(key) {
                Ok(attempt) => placed.push(attempt),
                Err(error) => {
                    placed
                        .into_iter()
                        .rev()
                        .for_each(|attempt| self.undo_assign(attempt));
                    return Err(error);
                }
            }
        }
        let deadline = self.now + self.jobs[key].spec.gang_timeout;
        self.jobs[key].gang_deadline = Some(deadline);
        self.gangs.insert((deadline, key));
        placed
            .into_iter()
            .for_each(|attempt| self.write_placement(attempt));
        Ok(())
    }

    /// Finds a worker for one task and assigns the task to it.
    fn place_task(&mut self, key: JobKey) -> Result<AttemptKey, PlaceError> {
        let team = &self.teams[self.jobs[key].team];
        if !team.allows(self.jobs[key].granted_size) {
            return Err(PlaceError::Quota);
        }
        let index = self.jobs[key].take_task().ok_or(PlaceError::Worker)?;
        let Some(worker) = self.find_worker(key, index) else {
            self.jobs[key].requeue_task(index);
            return Err(PlaceError::Worker);
        };
        Ok(self.assign(key, index, worker))
    }

    /// Finds a worker for one task: one that the task has not failed on if possible, otherwise any.
    fn find_worker(&mut self, key: JobKey, index: u32) -> Option<WorkerKey> {
        let failures = self.jobs[key].failures.iter();
        let failures: Vec<TaskFailure> = failures
            .filter(|failure| failure.task == index)
            .copied()
            .collect();
        let found = self.find_worker_except(key, index, &failures);
        match found {
            None if !failures.is_empty() => self.find_worker_except(key, index, &[]),
            _ => found,
        }
    }

    /// Finds a worker for one task other than the workers in `failures`, first among the workers
    /// reserved for the job.
    fn find_worker_except(
        &mut self,
        key: JobKey,
        index: u32,
        failures: &[TaskFailure],
    ) -> Option<WorkerKey> {
        let ends_at = self.predict_end(key);
        let job = &self.jobs[key];
        let mut request = TaskRequest::new(key, job, self.now, ends_at);
        request.task = Some(index);
        request.failures = failures;
        request.is_aged = self.is_aged(job);
        let suits = |worker: &WorkerKey| {
            let entry = self.workers.get(*worker);
            entry.is_some_and(|entry| check(&request, entry).is_none())
        };
        if let Some(worker) = self.reservations.workers(key).find(suits) {
            return Some(worker);
        }
        let view = View {
            workers: &self.workers,
            roster: &self.roster,
            index: &self.index,
            plain_index: &self.plain_index,
            total: self.total,
        };
        self.chooser.choose(&request, view)
    }

    /// Returns whether a job has waited so long that it may use capacity that is kept for
    /// accelerators.
    pub(super) fn is_aged(&self, job: &JobEntry) -> bool {
        self.now.since(job.queued_at) >= self.settings.tuning.reserve_after
    }

    /// Returns when a task of the job is expected to end if it starts now; the maximum time for
    /// services.
    pub(super) fn predict_end(&self, key: JobKey) -> Instant {
        let spec = &self.jobs[key].spec;
        if spec.class == Class::Service {
            return Instant(u64::MAX);
        }
        let span = self
            .history
            .quantile(&spec.family, END_PERMILLE, spec.run_time);
        self.now + span
    }

    /// Creates an attempt of a task on a worker.
    fn assign(&mut self, key: JobKey, index: u32, worker: WorkerKey) -> AttemptKey {
        let ends_at = self.predict_end(key);
        let job = &mut self.jobs[key];
        let task = &mut job.tasks[index as usize];
        task.number += 1;
        let id = Attempt {
            task: Task {
                job: job.spec.id,
                index,
            },
            number: task.number,
        };
        let entry = AttemptEntry {
            id,
            job: Some(key),
            worker,
            size: job.granted_size,
            accounted: job.granted_size,
            phase: Phase::Recording,
            intent: Intent::Run,
            counted: false,
            conclusive_after: Instant(u64::MAX),
            held_until: Instant(u64::MAX),
            started_at: self.now,
            ends_at,
            control: None,
        };
        let attempt = self.attempts.insert(entry);
        task.phase = TaskPhase::Live(attempt);
        job.live += 1;
        self.attempt_ids.insert(id, attempt);
        self.workers[worker].attempts.push(attempt);
        if self.rules.count_in_flight {
            self.count(attempt);
        }
        attempt
    }

    /// Writes the record of a placement; the start is sent when the record is durable.
    fn write_placement(&mut self, key: AttemptKey) {
        let attempt = &self.attempts[key];
        let record = Record::Placed {
            attempt: attempt.id,
            worker: self.workers[attempt.worker].id,
            size: attempt.size,
        };
        self.counters.placed += 1;
        self.write(record);
        self.start_when_durable(key);
    }

    /// Reverts an assignment whose record was not written.
    fn undo_assign(&mut self, key: AttemptKey) {
        self.uncount(key);
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        self.attempt_ids.remove(&attempt.id);
        self.workers[attempt.worker]
            .attempts
            .retain(|&other| other != key);
        let Some(job) = attempt.job else {
            return;
        };
        let index = attempt.id.task.index;
        let job = &mut self.jobs[job];
        job.live -= 1;
        job.tasks[index as usize].number -= 1;
        job.requeue_task(index);
    }
}
