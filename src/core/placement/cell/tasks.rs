//! Transitions of a task from one attempt to the next.
//!
//! An attempt ends when it is certain not to run any more. Its task is then done or waits again:
//! immediately when the cell ended the attempt itself, at a limited rate when the attempt was lost
//! with its worker.

use std::time::Duration;

use super::Cell;
use crate::core::placement::job::End;
use crate::core::placement::message::{Outcome, Output, Record};
use crate::core::placement::policy::Policy;
use crate::core::placement::table::{
    AttemptEntry, AttemptKey, Control, Intent, JobKey, Phase, TaskFailure, TaskPhase,
};
use crate::core::workload::Class;
use crate::platform::worker::Action;

/// A run of this length clears the earlier failures of a task that then fails.
const FAILURE_RESET_RUN: Duration = Duration::from_secs(600);

/// A task that was lost with its worker, in the order in which tasks are queued again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Lost {
    class: Class,
    sequence: u64,
    job: JobKey,
    task: u32,
}

impl<P: Policy> Cell<P> {
    /// Stops tasks of ending jobs; the number of tasks checked per step is limited.
    pub(super) fn stop_ending_jobs(&mut self, out: &mut Vec<Output>) {
        let mut budget = self.settings.tuning.stops_per_step;
        while budget > 0 {
            let Some(mut stopping) = self.stopping.pop_front() else {
                return;
            };
            let Some(job) = self.jobs.get(stopping.job) else {
                continue;
            };
            let Some(task) = job.tasks.get(stopping.next as usize) else {
                continue;
            };
            budget -= 1;
            stopping.next += 1;
            let phase = task.phase;
            self.stopping.push_front(stopping);
            if let TaskPhase::Live(attempt) = phase {
                self.stop(attempt, Intent::Drop, Action::Stop, out);
            }
        }
    }

    /// Commands the worker to end an attempt. An attempt whose start was not sent ends at once.
    pub(super) fn stop(
        &mut self,
        key: AttemptKey,
        intent: Intent,
        action: Action,
        out: &mut Vec<Output>,
    ) {
        if self.attempts[key].phase == Phase::Recording {
            self.end_attempt(key, Outcome::NotStarted, out);
            return;
        }
        let now = self.now;
        let attempt = &mut self.attempts[key];
        attempt.intent = intent;
        attempt.control = Some(Control { action, at: now });
        let (worker, id) = (attempt.worker, attempt.id);
        out.push(Output::Control {
            worker: self.workers[worker].id,
            attempt: id,
            action,
        });
        self.maintain_soon(worker);
    }

    /// Ends an attempt that is certain not to run any more, and updates its task and job.
    pub(super) fn end_attempt(&mut self, key: AttemptKey, outcome: Outcome, out: &mut Vec<Output>) {
        self.uncount(key);
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        self.attempt_ids.remove(&attempt.id);
        let worker = &mut self.workers[attempt.worker];
        worker.attempts.retain(|&other| other != key);
        let Some(job) = attempt.job else {
            return;
        };
        self.write(Record::AttemptEnded {
            attempt: attempt.id,
            outcome,
        });
        let index = attempt.id.task.index;
        let entry = &mut self.jobs[job];
        entry.live -= 1;
        entry.tasks[index as usize].phase = TaskPhase::Pending;
        match outcome {
            Outcome::Succeeded => self.task_succeeded(job, &attempt),
            Outcome::Failed => self.task_failed(job, &attempt),
            Outcome::Lost => self.add_lost(job, index),
            Outcome::Stopped | Outcome::NotStarted => self.requeue_stopped(job, &attempt),
        }
        self.update_job(job, outcome, out);
    }

    /// Records the success of a task.
    fn task_succeeded(&mut self, key: JobKey, attempt: &AttemptEntry) {
        let span = self.now.since(attempt.started_at);
        let job = &mut self.jobs[key];
        job.tasks[attempt.id.task.index as usize].phase = TaskPhase::Succeeded;
        job.succeeded += 1;
        self.history.add(&job.spec.family, span);
        self.workers[attempt.worker].health.record_success();
    }

    /// Queues a failed task again, or ends its job. A long run before the failure clears the task's
    /// earlier failures, so that a service does not use up its attempts over months.
    fn task_failed(&mut self, key: JobKey, attempt: &AttemptEntry) {
        let failure = self.failure_of(attempt);
        let span = self.now.since(attempt.started_at);
        let job = &mut self.jobs[key];
        if span >= FAILURE_RESET_RUN {
            job.failures.retain(|other| other.task != failure.task);
        }
        job.failures.push(failure);
        job.requeue_task(failure.task);
        self.record_failure(attempt.worker, key);
        self.fail_if_exhausted(key, failure.task);
    }

    /// Queues a task again after the cell ended its attempt.
    fn requeue_stopped(&mut self, key: JobKey, attempt: &AttemptEntry) {
        let failure = self.failure_of(attempt);
        self.jobs[key].requeue_task(failure.task);
        if attempt.intent == Intent::Overrun {
            self.raise_granted_size(key, failure, attempt.accounted);
        }
    }

    /// Returns the task and worker of an attempt.
    fn failure_of(&self, attempt: &AttemptEntry) -> TaskFailure {
        TaskFailure {
            task: attempt.id.task.index,
            worker: self.workers[attempt.worker].id,
        }
    }

    /// Ends or queues a job, or stops its gang, after one of its attempts has ended.
    fn update_job(&mut self, key: JobKey, outcome: Outcome, out: &mut Vec<Output>) {
        let job = &self.jobs[key];
        if job.succeeded == job.spec.tasks {
            self.end(key, End::Succeeded);
        }
        if self.jobs[key].ending.is_some() {
            self.end_if_idle(key);
            return;
        }
        if self.jobs[key].spec.class == Class::Gang && outcome != Outcome::Succeeded {
            self.stop_gang(key, out);
        }
        self.enqueue(key);
    }

    /// Adds a lost task to the tasks that are queued again at a limited rate.
    fn add_lost(&mut self, key: JobKey, task: u32) {
        self.counters.lost += 1;
        let job = &mut self.jobs[key];
        job.tasks[task as usize].phase = TaskPhase::Delayed;
        self.lost.insert(Lost {
            class: job.spec.class,
            sequence: job.sequence,
            job: key,
            task,
        });
    }

    /// Queues lost tasks again at a limited rate, the most urgent class first.
    pub(super) fn requeue_lost(&mut self) {
        const MICROS_PER_SECOND: u64 = 1_000_000;
        let rate = u64::from(self.settings.tuning.replace_per_second);
        let span = self.now.since(self.requeued_at).as_micros() as u64;
        let allowed = (span.min(MICROS_PER_SECOND) * rate) / MICROS_PER_SECOND;
        if allowed == 0 && !self.lost.is_empty() {
            return;
        }
        self.requeued_at = self.now;
        for _ in 0..allowed {
            let Some(lost) = self.lost.pop_first() else {
                return;
            };
            let Some(job) = self.jobs.get_mut(lost.job) else {
                continue;
            };
            if job.tasks[lost.task as usize].phase == TaskPhase::Delayed {
                job.requeue_task(lost.task);
                self.enqueue(lost.job);
            }
        }
    }
}
