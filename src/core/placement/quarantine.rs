//! Quarantine of workers on which many jobs fail.
//!
//! A worker is assessed by the jobs that have failed on it since its last success or quarantine. A
//! refused start counts as a failure. A job counts against a worker only while the job itself is not
//! suspect: one of its tasks has succeeded, or it has failed on no other worker. A worker with
//! enough such jobs gets no work for a while; afterwards it is on probation and gets one task at a
//! time until one succeeds. During probation one such failure quarantines the worker again, for
//! twice as long as before.

use std::time::Duration;

use crate::core::id::Job;
use crate::core::time::Instant;

/// A worker is quarantined after this many jobs that are not suspect have failed on it.
const QUARANTINE_THRESHOLD: usize = 3;

/// The maximum number of failed jobs kept per worker.
const MAX_FAILED_JOBS: usize = 8;

/// The maximum number of doublings of the quarantine.
const MAX_DOUBLINGS: u32 = 8;

/// The failures and quarantines of a worker.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// The jobs that failed on the worker since its last success or quarantine.
    failed_jobs: Vec<Job>,
    /// The number of quarantines since the last success.
    quarantines: u32,
    /// The end of the current or latest quarantine.
    until: Instant,
}

impl Health {
    /// Records a success: clears all failures and ends the quarantine.
    pub fn record_success(&mut self) {
        self.failed_jobs.clear();
        self.quarantines = 0;
        self.until = Instant::default();
    }

    /// Records a failure of `job`. `first_span` is the length of a worker's first quarantine.
    /// `is_suspect` returns whether a job is likely to be at fault itself. Returns whether this failure quarantines the worker.
    pub fn record_failure(
        &mut self,
        now: Instant,
        job: Job,
        first_span: Duration,
        is_suspect: impl Fn(Job) -> bool,
    ) -> bool {
        if !self.failed_jobs.contains(&job) {
            if self.failed_jobs.len() >= MAX_FAILED_JOBS {
                self.failed_jobs.remove(0);
            }
            self.failed_jobs.push(job);
        }
        let failures = self
            .failed_jobs
            .iter()
            .filter(|&&job| !is_suspect(job))
            .count();
        let limit = if self.quarantines > 0 {
            1
        } else {
            QUARANTINE_THRESHOLD
        };
        if failures < limit || self.is_quarantined(now) {
            return false;
        }
        self.until = now + first_span * (1 << self.quarantines.min(MAX_DOUBLINGS));
        self.quarantines += 1;
        self.failed_jobs.clear();
        true
    }

    /// Returns whether the worker is quarantined at `now` and gets no work.
    pub fn is_quarantined(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Returns whether the worker gets only one task at a time.
    pub fn is_on_probation(&self) -> bool {
        self.quarantines > 0
    }

    /// Returns when the quarantine ends.
    pub fn until(&self) -> Instant {
        self.until
    }
}
