//! Figures of a simulated run.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::scenario::{CONTROL_BYTES, ENTRIES, SLOTS, TARGETS};

/// Significant digits of histograms.
const PRECISION: u8 = 3;

/// Figures of a run.
pub(super) struct Outcome {
    pub(super) lookup_waits: Histogram<u64>,
    pub(super) requests: u64,
    pub(super) lookups: u64,
    pub(super) good: u64,
    /// Usual service time of the requests answered in time within the span.
    pub(super) good_seconds: f64,
    pub(super) good_lookups: u64,
    pub(super) refused: u64,
    pub(super) attempts: u64,
    pub(super) sent_requests: u64,
    pub(super) failing_attempts: u64,
    pub(super) remote_bytes: u64,
    pub(super) remote_messages: u64,
    pub(super) processor: Duration,
    pub(super) control: Duration,
    pub(super) seconds: f64,
    /// Attempts that found no free slot at their target.
    pub(super) crowded: u64,
}

impl Outcome {
    pub(super) fn new(span: Duration) -> Outcome {
        Outcome {
            lookup_waits: Histogram::new(PRECISION).expect("the precision is valid"),
            requests: 0,
            lookups: 0,
            good: 0,
            good_seconds: 0.0,
            good_lookups: 0,
            refused: 0,
            attempts: 0,
            sent_requests: 0,
            failing_attempts: 0,
            remote_bytes: 0,
            remote_messages: 0,
            processor: Duration::ZERO,
            control: Duration::ZERO,
            seconds: span.as_secs_f64(),
            crowded: 0,
        }
    }

    /// Returns a quantile of the time that lookups waited for a slot.
    pub(super) fn lookup_wait(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.lookup_waits.value_at_quantile(quantile))
    }

    pub(super) fn lookups_unanswered(&self) -> f64 {
        1.0 - self.good_lookups as f64 / self.lookups.max(1) as f64
    }

    /// Returns the work answered in time as a share of what all slots can do.
    pub(super) fn good_work(&self) -> f64 {
        self.good_seconds / ((TARGETS * SLOTS) as f64 * self.seconds)
    }

    pub(super) fn refused_share(&self) -> f64 {
        self.refused as f64 / self.requests.max(1) as f64
    }

    pub(super) fn answered_share(&self) -> f64 {
        self.good as f64 / self.requests.max(1) as f64
    }

    pub(super) fn amplification(&self) -> f64 {
        self.attempts as f64 / self.sent_requests.max(1) as f64
    }

    pub(super) fn failing_share(&self) -> f64 {
        self.failing_attempts as f64 / self.attempts.max(1) as f64
    }

    pub(super) fn remote_bytes_per_request(&self) -> f64 {
        self.remote_bytes as f64 / self.requests.max(1) as f64
    }

    /// Returns kilobytes per second of messages between entries, bodies apart.
    pub(super) fn remote_control_rate(&self) -> f64 {
        (self.remote_messages * CONTROL_BYTES as u64) as f64 / self.seconds / 1e3
    }

    pub(super) fn micros_per_request(&self) -> f64 {
        let busy = self.processor.saturating_sub(self.control);
        busy.as_secs_f64() * 1e6 / self.requests.max(1) as f64
    }

    /// Returns the time of ticks, asks and grants per entry and second.
    pub(super) fn control_millis_per_second(&self) -> f64 {
        self.control.as_secs_f64() * 1e3 / self.seconds / ENTRIES as f64
    }
}
