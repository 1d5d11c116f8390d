//! Replay of records into state, and snapshots of the state as records.
//!
//! Applying a record twice changes nothing. Records of one task are ordered by their attempt
//! numbers, so they may be applied in any order after the record that accepts their job.

use super::Cell;
use super::jobs::Summary;
use crate::core::id::{self, Attempt};
use crate::core::placement::job::End;
use crate::core::placement::message::{Outcome, Record};
use crate::core::placement::policy::Policy;
use crate::core::placement::table::{
    AttemptEntry, AttemptKey, Intent, JobKey, Phase, TaskFailure, TaskPhase,
};
use crate::core::resource::Amount;

impl<P: Policy> Cell<P> {
    /// Applies one record.
    pub(super) fn apply(&mut self, record: Record) {
        match record {
            Record::Accepted(job) => {
                self.insert_job(*job);
            }
            Record::Placed {
                attempt,
                worker,
                size,
            } => self.apply_placed(attempt, worker, size),
            Record::AttemptEnded { attempt, outcome } => self.apply_attempt_ended(attempt, outcome),
            Record::Canceled(job) => self.apply_canceled(job),
            Record::Ended { job, end } => self.apply_ended(job, end),
        }
    }

    /// Returns the job of an attempt, if the job is known and has such a task.
    fn job_of(&self, attempt: Attempt) -> Option<JobKey> {
        let key = *self.job_ids.get(&attempt.task.job)?;
        let is_inside = (attempt.task.index as usize) < self.jobs[key].tasks.len();
        is_inside.then_some(key)
    }

    /// Creates the entry of an attempt that may run.
    fn apply_placed(&mut self, id: Attempt, worker: id::Worker, size: Amount) {
        let Some(job) = self.job_of(id).filter(|&job| !self.is_known(job, id)) else {
            return;
        };
        let index = id.task.index;
        self.replace_earlier(job, index);
        let worker = self.worker_key(worker);
        let tuning = &self.settings.tuning;
        let entry = AttemptEntry {
            id,
            job: Some(job),
            worker,
            size,
            accounted: size,
            phase: Phase::Starting,
            intent: Intent::Run,
            counted: false,
            conclusive_after: self.now + tuning.start_bound(),
            held_until: self.now + tuning.lease_bound(),
            started_at: self.now,
            ends_at: self.predict_end(job),
            control: None,
        };
        let key = self.attempts.insert(entry);
        self.attempt_ids.insert(id, key);
        self.workers[worker].attempts.push(key);
        let entry = &mut self.jobs[job];
        entry.granted_size = entry.granted_size.max(size);
        let task = &mut entry.tasks[index as usize];
        task.number = id.number;
        task.phase = TaskPhase::Live(key);
        entry.queued -= 1;
        entry.live += 1;
        self.count(key);
    }

    /// Removes the current attempt of a task when a later attempt is recorded.
    fn replace_earlier(&mut self, job: JobKey, index: u32) {
        if let TaskPhase::Live(earlier) = self.jobs[job].tasks[index as usize].phase {
            self.discard(earlier);
            self.jobs[job].requeue_task(index);
        }
    }

    /// Returns whether an attempt is not later than the latest known attempt of its task, or the
    /// task has succeeded.
    fn is_known(&self, job: JobKey, id: Attempt) -> bool {
        let task = &self.jobs[job].tasks[id.task.index as usize];
        id.number <= task.number || task.phase == TaskPhase::Succeeded
    }

    /// Removes an attempt without writing a record.
    fn discard(&mut self, key: AttemptKey) -> Option<AttemptEntry> {
        self.uncount(key);
        let attempt = self.attempts.remove(key)?;
        self.attempt_ids.remove(&attempt.id);
        self.workers[attempt.worker]
            .attempts
            .retain(|&other| other != key);
        if let Some(job) = attempt.job {
            self.jobs[job].live -= 1;
        }
        Some(attempt)
    }

    /// Ends an attempt.
    fn apply_attempt_ended(&mut self, id: Attempt, outcome: Outcome) {
        let Some(job) = self.job_of(id) else {
            return;
        };
        let index = id.task.index;
        match self.attempt_ids.get(&id).copied() {
            Some(key) => {
                let Some(attempt) = self.discard(key) else {
                    return;
                };
                self.jobs[job].requeue_task(index);
                if outcome == Outcome::Failed {
                    let worker = self.workers[attempt.worker].id;
                    let failure = TaskFailure {
                        task: index,
                        worker,
                    };
                    self.jobs[job].failures.push(failure);
                }
            }
            None if self.is_known(job, id) => return,
            None => {
                self.replace_earlier(job, index);
                self.jobs[job].tasks[index as usize].number = id.number;
            }
        }
        if outcome == Outcome::Succeeded {
            let entry = &mut self.jobs[job];
            entry.tasks[index as usize].phase = TaskPhase::Succeeded;
            entry.queued -= 1;
            entry.succeeded += 1;
        }
    }

    /// Marks a cancelled job as ending.
    fn apply_canceled(&mut self, id: id::Job) {
        if let Some(&key) = self.job_ids.get(&id) {
            self.jobs[key].ending = Some(End::Canceled);
        }
    }

    /// Replaces an ended job by its summary.
    fn apply_ended(&mut self, id: id::Job, end: End) {
        let Some(key) = self.job_ids.remove(&id) else {
            return;
        };
        for attempt in self.live(key) {
            self.discard(attempt);
        }
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        self.teams[job.team].jobs -= 1;
        self.tasks -= u64::from(job.spec.tasks);
        self.forget_team(job.team);
        let summary = Summary {
            team: job.spec.team,
            class: job.spec.class,
            tasks: job.spec.tasks,
            succeeded: job.succeeded,
            end,
        };
        self.keep_ended(id, summary);
    }

    /// Returns the records that rebuild the current state, for a snapshot.
    pub fn snapshot(&self) -> Vec<Record> {
        let mut records = Vec::new();
        for job in self.jobs.values() {
            records.push(Record::Accepted(Box::new(job.spec.clone())));
            for index in 0..job.tasks.len() {
                records.extend(self.task_record(job.spec.id, index as u32));
            }
            if job.ending == Some(End::Canceled) {
                records.push(Record::Canceled(job.spec.id));
            }
        }
        records
    }

    /// Returns the record that rebuilds the state of one task, or `None` when it was never placed.
    fn task_record(&self, job: id::Job, index: u32) -> Option<Record> {
        let task = self.jobs[*self.job_ids.get(&job)?].tasks[index as usize];
        let attempt = Attempt {
            task: id::Task { job, index },
            number: task.number,
        };
        let outcome = match task.phase {
            TaskPhase::Live(key) => {
                let live = &self.attempts[key];
                return Some(Record::Placed {
                    attempt,
                    worker: self.workers[live.worker].id,
                    size: live.size,
                });
            }
            TaskPhase::Succeeded => Outcome::Succeeded,
            TaskPhase::Pending | TaskPhase::Delayed => Outcome::Stopped,
        };
        (task.number > 0).then_some(Record::AttemptEnded { attempt, outcome })
    }
}
