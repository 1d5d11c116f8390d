//! Tells workers that fail what they start from tasks that fail by their own fault.
//!
//! The load that this answers: a worker fails every run at once, so it looks free and attracts all
//! that waits, and tasks with few attempts are lost to it. A worker whose last runs of several jobs
//! all failed is left alone for a while, and then gets single runs until one is done.

use std::time::Duration;

use laburnum_derive::state;

use super::id::Job;
use crate::core::time::Instant;

/// How many failed runs in a row, of different jobs, make a worker suspect. Two could be two faulty
/// jobs: with one run in twenty faulty that is 1 in 400.
const STREAK: usize = 2;
/// How long a suspect worker gets nothing at first; doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_secs(2);
/// The longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// The latest results of a worker.
#[state]
#[derive(Default)]
pub struct Record {
    /// The jobs whose runs failed since the last that was done.
    streak: Vec<Job>,
    /// The pause in force, once suspect.
    pause: Option<Duration>,
    /// When the pause ends.
    until: Instant,
}

impl Record {
    /// Takes in that a run was done.
    pub fn done(&mut self) {
        *self = Record::default();
    }

    /// Takes in that a run failed.
    pub fn failed(&mut self, now: Instant, job: Job) {
        if self.streak.last() != Some(&job) {
            self.streak.push(job);
        }
        if self.streak.len() < STREAK {
            return;
        }
        let pause = self
            .pause
            .map_or(FIRST_PAUSE, |pause| (pause * 2).min(LONGEST_PAUSE));
        self.pause = Some(pause);
        self.until = now + pause;
        self.streak.truncate(STREAK);
    }

    /// Whether the worker is suspect and gets at most one run, after a pause.
    pub fn is_suspect(&self) -> bool {
        self.pause.is_some()
    }

    /// Whether a run may be placed at `now` on the worker, which has `running` runs.
    pub fn permits(&self, now: Instant, running: usize) -> bool {
        !self.is_suspect() || (now >= self.until && running == 0)
    }
}
