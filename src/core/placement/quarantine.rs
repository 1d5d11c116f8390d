//! Workers that fail everything.
//!
//! A worker is judged by the jobs that failed on it since its last success. A job counts against a
//! worker only while it is not itself suspect: it has succeeded elsewhere, or failed on no other
//! worker. A worker with enough such jobs gets nothing for a while; after that it gets one task at
//! a time until one succeeds. Each return doubles the span.

use std::time::Duration;

use crate::core::id::Job;
use crate::core::time::Instant;

/// How many blameless jobs must have failed on a worker before it is quarantined.
const BLAME_LIMIT: usize = 3;

/// How many failed jobs are remembered per worker.
const BLAME_KEPT: usize = 8;

/// The quarantine doubles at most this many times.
const MAX_DOUBLINGS: u32 = 8;

/// A worker's record of failures.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// The jobs that failed on the worker since its last success.
    blame: Vec<Job>,
    /// How often it was quarantined since it last succeeded.
    strikes: u32,
    /// Until when it gets nothing.
    until: Instant,
}

impl Health {
    /// Notes a success: the worker is sound.
    pub fn succeed(&mut self) {
        self.blame.clear();
        self.strikes = 0;
        self.until = Instant::default();
    }

    /// Notes a failure of `job`; `is_suspect` tells which jobs are themselves at fault. Returns
    /// whether the worker is quarantined by it.
    pub fn fail(
        &mut self,
        now: Instant,
        job: Job,
        base: Duration,
        is_suspect: impl Fn(Job) -> bool,
    ) -> bool {
        if !self.blame.contains(&job) {
            if self.blame.len() >= BLAME_KEPT {
                self.blame.remove(0);
            }
            self.blame.push(job);
        }
        let sound = self.blame.iter().filter(|&&job| !is_suspect(job)).count();
        let limit = if self.strikes > 0 { 1 } else { BLAME_LIMIT };
        if sound < limit || self.is_quarantined(now) {
            return false;
        }
        self.until = now + base * (1 << self.strikes.min(MAX_DOUBLINGS));
        self.strikes += 1;
        self.blame.clear();
        true
    }

    /// Returns whether the worker gets nothing now.
    pub fn is_quarantined(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Returns whether the worker gets one task at a time.
    pub fn is_on_probation(&self) -> bool {
        self.strikes > 0
    }

    /// Returns when the quarantine ends.
    pub fn until(&self) -> Instant {
        self.until
    }
}
