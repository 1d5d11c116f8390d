//! Distinguishes faulty workers from faulty tasks by the results of the latest runs.
//!
//! A faulty worker may fail every run at once. It then always has free capacity, attracts all waiting
//! tasks, and uses up their attempts. A worker whose last runs of several jobs all failed is suspect:
//! it gets no runs for a pause, and then one run at a time until one is done or none has failed for as
//! long as the pause was. Without that limit, a gang wider than the cell could wait for good once all
//! workers are suspect.
//!
//! A worker that does not carry a start command out says nothing of the task, and may be the best fit
//! for it again and again. It gets no runs for a short pause, and others are preferred until it carries
//! one out.

use std::time::Duration;

use laburnum_derive::state;

use super::id::Job;
use crate::core::time::Instant;

/// The number of failed runs in a row, of different jobs, that make a worker suspect. The jobs could
/// be at fault instead: with one faulty run in twenty, two in a row have a probability of 1 in 400.
const SUSPECT_FAILURES: usize = 2;
/// The first pause of a suspect worker. It doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_secs(2);
/// The pause of a worker that refused a start command. It is short, since the cause may be on the way
/// to all workers, and a cell without any usable worker must not stay idle after that.
const REFUSAL_PAUSE: Duration = Duration::from_secs(1);
/// The same after a second start command without a response: until then its run may be there, and is
/// stopped and no longer reported.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(2_500);
/// The longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(8);

/// The results of the latest runs on a worker.
#[state]
#[derive(Default)]
pub struct RunHistory {
    /// The jobs of the runs that failed since the last run that was done.
    failed_jobs: Vec<Job>,
    /// The length of the last pause; `None` if there was none since a run was done.
    pause: Option<Duration>,
    /// When the pause ends.
    until: Instant,
    /// When the pause after a start that was not carried out ends; `None` if one was since.
    starts_paused_until: Option<Instant>,
    /// When a start command was first left without a response; `None` if a start succeeded since.
    unanswered_at: Option<Instant>,
}

impl RunHistory {
    /// Records a run that was done. The worker is not suspect any more.
    pub fn record_success(&mut self) {
        *self = RunHistory::default();
    }

    /// Records a run of a job that failed.
    pub fn record_failure(&mut self, now: Instant, job: Job) {
        if self.failed_jobs.last() != Some(&job) {
            self.failed_jobs.push(job);
        }
        if self.failed_jobs.len() < SUSPECT_FAILURES {
            return;
        }
        let pause = self
            .pause
            .map_or(FIRST_PAUSE, |pause| (pause * 2).min(MAX_PAUSE));
        self.pause = Some(pause);
        self.until = now + pause;
        self.failed_jobs.truncate(SUSPECT_FAILURES);
    }

    /// Records that the worker refused a start command. Commands that were sent before the pause ends
    /// count as one.
    pub fn record_refused_start(&mut self, now: Instant, sent: Instant) {
        self.pause_starts(now, sent, REFUSAL_PAUSE);
    }

    /// Records that the worker did not respond to a start command. The first time the response may
    /// have been lost; the next time counts as a refusal.
    pub fn record_unanswered_start(&mut self, now: Instant, sent: Instant) {
        let first = *self.unanswered_at.get_or_insert(now);
        if sent > first {
            self.pause_starts(now, sent, UNANSWERED_PAUSE);
        }
    }

    fn pause_starts(&mut self, now: Instant, sent: Instant, pause: Duration) {
        if self.starts_paused_until.is_none_or(|until| sent >= until) {
            self.starts_paused_until = Some(now + pause);
        }
    }

    /// Records that the worker has carried a start command out.
    pub fn record_start(&mut self) {
        self.starts_paused_until = None;
        self.unanswered_at = None;
    }

    /// Whether the worker has refused a start command, or left one without a response, since the last
    /// one that it carried out.
    pub fn has_missed_start(&self) -> bool {
        self.starts_paused_until.is_some() || self.unanswered_at.is_some()
    }

    /// Whether the worker is suspect: it gets no runs until the pause ends, then one at a time.
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.pause.is_some_and(|pause| now < self.until + pause)
    }

    /// Whether the end of a pause may change if a run may be placed on the worker.
    pub fn is_paused(&self) -> bool {
        self.pause.is_some() || self.starts_paused_until.is_some()
    }

    /// Whether a run may be placed on the worker at `now`, while `running` other runs are there.
    pub fn allows_run(&self, now: Instant, running: usize) -> bool {
        let may_be_tried = !self.is_suspect(now) || (now >= self.until && running == 0);
        may_be_tried && self.starts_paused_until.is_none_or(|until| now >= until)
    }
}
