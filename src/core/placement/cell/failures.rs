//! Attribution of failures to workers or jobs.

use super::Cell;
use crate::core::id;
use crate::core::placement::job::End;
use crate::core::placement::policy::Policy;
use crate::core::placement::table::{JobEntry, JobKey, TaskFailure, WorkerKey};
use crate::core::resource::Amount;

impl<P: Policy> Cell<P> {
    /// Records a failure against a worker. The worker's health ignores jobs that are suspect
    /// themselves.
    pub(super) fn record_failure(&mut self, worker: WorkerKey, job: JobKey) {
        let base = self.settings.tuning.quarantine;
        let id = self.jobs[job].spec.id;
        let is_suspect = |job: id::Job| match self.job_ids.get(&job) {
            Some(&key) => is_suspect(&self.jobs[key]),
            None => self
                .ended_ids
                .get(&job)
                .is_none_or(|ended| ended.end != End::Succeeded),
        };
        let health = &mut self.workers[worker].health;
        if health.record_failure(self.now, id, base, is_suspect) {
            self.counters.quarantined += 1;
            self.refresh_index(worker);
        }
    }

    /// Fails a job when one of its tasks has failed `max_attempts` times, not counting failures on
    /// workers that are on probation.
    pub(super) fn fail_if_exhausted(&mut self, key: JobKey, task: u32) {
        let is_on_probation = |failure: &TaskFailure| {
            let worker = self.worker_ids.get(&failure.worker);
            worker.is_some_and(|&worker| self.workers[worker].health.is_on_probation())
        };
        let job = &self.jobs[key];
        let failures = job
            .failures
            .iter()
            .filter(|failure| failure.task == task && !is_on_probation(failure))
            .count();
        if failures >= job.spec.max_attempts as usize {
            self.end(key, End::Failed);
        }
    }

    /// Handles the end of an attempt that was stopped because its usage `used` exceeded its size:
    /// the job is granted that much from now on, or the attempt counts as a failure when a task of that size could never be placed.
    pub(super) fn raise_granted_size(&mut self, key: JobKey, failure: TaskFailure, used: Amount) {
        let mut enlarged = self.jobs[key].spec.clone();
        enlarged.size = self.jobs[key].granted_size.max(used);
        if self.admit(&enlarged).is_ok() {
            self.dequeue(key);
            self.jobs[key].granted_size = enlarged.size;
            return;
        }
        self.jobs[key].failures.push(failure);
        self.fail_if_exhausted(key, failure.task);
    }
}

/// Returns whether a job failed on several workers and none of its tasks succeeded.
fn is_suspect(job: &JobEntry) -> bool {
    let elsewhere = job.failures.first().is_some_and(|first| {
        job.failures
            .iter()
            .any(|failure| failure.worker != first.worker)
    });
    job.succeeded == 0 && elsewhere
}
