//! Placement: takes waiting jobs in queue order and finds workers for their tasks.

use super::Cell;
use crate::core::id::{Attempt, Task};
use crate::core::placement::message::{Output, Record};
use crate::core::placement::policy::{Ask, Choose as _, Policy, View, check};
use crate::core::placement::queue::Lane;
use crate::core::placement::table::{
    AttemptEntry, AttemptKey, Intent, JobEntry, JobKey, Phase, TaskPhase, Tried, WorkerKey,
};
use crate::core::time::Instant;
use crate::core::workload::Class;

/// The quantile of a family's run times, in thousandths, by which a task is expected to have ended.
const END_PERMILLE: usize = 900;

/// Why a task or gang could not be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Miss {
    /// The team would exceed its ceiling.
    Quota,
    /// No worker was found.
    Worker,
}

impl<P: Policy> Cell<P> {
    /// Places waiting tasks until the step's decision limit is reached or nothing more fits.
    pub(super) fn place_some(&mut self, out: &mut Vec<Output>) {
        if self.journal.outstanding() >= self.settings.knobs.max_batches && !self.is_unrecorded {
            return;
        }
        self.wake_lanes();
        let mut budget = self.settings.knobs.decisions_per_step;
        while budget > 0 {
            let Some(lane) = self.queue.first() else {
                return;
            };
            let Some(key) = self.queue.head(lane) else {
                return;
            };
            let cost = self.serve(lane, key, out);
            budget = budget.saturating_sub(cost);
        }
    }

    /// Places the first job of a lane: the whole gang, or one task of another job. Returns the
    /// number of decisions that took.
    fn serve(&mut self, lane: Lane, key: JobKey, out: &mut Vec<Output>) -> usize {
        let tasks = match lane.class {
            Class::Gang => self.jobs[key].queued as usize,
            _ => 1,
        };
        let result = match lane.class {
            Class::Gang => self.place_gang(key),
            _ => self
                .place_one(key)
                .map(|attempt| self.confirm_place(attempt)),
        };
        match result {
            Ok(()) if self.jobs[key].queued == 0 => {
                self.dequeue(key);
                self.release_hold(key);
            }
            Ok(()) => {}
            Err(_) if P::IS_STRICT => return usize::MAX,
            Err(miss) => {
                self.counters.unplaced += 1;
                self.queue.block(lane);
                if P::RESERVES && miss == Miss::Worker {
                    self.make_room(lane, key, out);
                }
            }
        }
        tasks
    }

    /// Places all waiting tasks of a gang, or none.
    fn place_gang(&mut self, key: JobKey) -> Result<(), Miss> {
        let count = self.jobs[key].queued;
        let team = &self.teams[self.jobs[key].team];
        if !team.allows(self.jobs[key].claim.times(u64::from(count))) {
            return Err(Miss::Quota);
        }
        let mut placed = Vec::with_capacity(count as usize);
        for _ in 0..count {
            match self.place_one(key) {
                Ok(attempt) => placed.push(attempt),
                Err(miss) => {
                    placed
                        .into_iter()
                        .rev()
                        .for_each(|attempt| self.undo(attempt));
                    return Err(miss);
                }
            }
        }
        let deadline = self.now + self.jobs[key].spec.gang_timeout;
        self.jobs[key].gang_deadline = Some(deadline);
        self.gangs.insert((deadline, key));
        placed
            .into_iter()
            .for_each(|attempt| self.confirm_place(attempt));
        Ok(())
    }

    /// Finds a worker for one task and assigns the task to it.
    fn place_one(&mut self, key: JobKey) -> Result<AttemptKey, Miss> {
        let team = &self.teams[self.jobs[key].team];
        if !team.allows(self.jobs[key].claim) {
            return Err(Miss::Quota);
        }
        let index = self.jobs[key].take().ok_or(Miss::Worker)?;
        let Some(worker) = self.find(key, index) else {
            self.jobs[key].give_back(index);
            return Err(Miss::Worker);
        };
        Ok(self.assign(key, index, worker))
    }

    /// Finds a worker for one task: one that the task has not failed on if possible, otherwise any.
    fn find(&mut self, key: JobKey, index: u32) -> Option<WorkerKey> {
        let tried = self.jobs[key].tried.iter();
        let tried: Vec<Tried> = tried.filter(|tried| tried.task == index).copied().collect();
        let found = self.find_untried(key, index, &tried);
        match found {
            None if !tried.is_empty() => self.find_untried(key, index, &[]),
            _ => found,
        }
    }

    /// Finds a worker for one task that is not in `tried`, first among the workers reserved for the
    /// job.
    fn find_untried(&mut self, key: JobKey, index: u32, tried: &[Tried]) -> Option<WorkerKey> {
        let ends_at = self.predict(key);
        let job = &self.jobs[key];
        let mut ask = Ask::new(key, job, self.now, ends_at);
        ask.task = Some(index);
        ask.tried = tried;
        ask.is_aged = self.is_aged(job);
        let suits = |worker: &WorkerKey| {
            let entry = self.workers.get(*worker);
            entry.is_some_and(|entry| check(&ask, entry).is_none())
        };
        if let Some(worker) = self.holds.workers(key).find(suits) {
            return Some(worker);
        }
        let view = View {
            workers: &self.workers,
            roster: &self.roster,
            index: &self.index,
            plain_index: &self.plain_index,
            total: self.total,
        };
        self.chooser.choose(&ask, view)
    }

    /// Returns whether a job has waited so long that it may use capacity that is kept for
    /// accelerators.
    pub(super) fn is_aged(&self, job: &JobEntry) -> bool {
        self.now.since(job.queued_at) >= self.settings.knobs.reserve_after
    }

    /// Returns when a task of the job is expected to end if it starts now; the maximum time for
    /// services.
    pub(super) fn predict(&self, key: JobKey) -> Instant {
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
        let ends_at = self.predict(key);
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
            size: job.claim,
            accounted: job.claim,
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
    fn confirm_place(&mut self, key: AttemptKey) {
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
    fn undo(&mut self, key: AttemptKey) {
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
        job.give_back(index);
    }
}
