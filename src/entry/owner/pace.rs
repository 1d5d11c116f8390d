//! How late the decisions of an owner are, and what they cost.

use std::time::Duration;

use crate::core::scheduler::work::Work;

/// The weight of the latest delay in the mean: a single pause of half a second must not cause a
/// handover.
const DELAY_WEIGHT: f64 = 0.2;

/// The delays and the work of an owner since the last report.
#[derive(Default)]
pub(super) struct Pace {
    /// The moving average of the delays, in seconds.
    mean_delay_s: f64,
    longest_delay: Duration,
    deciding: Duration,
    reported: Work,
}

/// What an owner reports of its own load.
pub(super) struct Report {
    /// The moving average of the delays of decisions.
    pub(super) mean_delay: Duration,
    /// The longest delay since the last report.
    pub(super) longest_delay: Duration,
    /// The time that decisions took since the last report.
    pub(super) deciding: Duration,
    /// The work that was done since the last report.
    pub(super) work: Work,
}

impl Pace {
    /// Stores the delay of a decision and returns the moving average.
    pub(super) fn note_delay(&mut self, delay: Duration) -> Duration {
        self.mean_delay_s += (delay.as_secs_f64() - self.mean_delay_s) * DELAY_WEIGHT;
        self.longest_delay = self.longest_delay.max(delay);
        Duration::from_secs_f64(self.mean_delay_s)
    }

    /// Adds the time that decisions took.
    pub(super) fn note_decisions(&mut self, took: Duration) {
        self.deciding += took;
    }

    /// Returns what has come together since the last report; `work` is the total so far.
    pub(super) fn take_report(&mut self, work: Work) -> Report {
        Report {
            mean_delay: Duration::from_secs_f64(self.mean_delay_s),
            longest_delay: std::mem::take(&mut self.longest_delay),
            deciding: std::mem::take(&mut self.deciding),
            work: work - std::mem::replace(&mut self.reported, work),
        }
    }
}
