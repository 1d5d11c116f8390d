//! Counters of a simulated run and the figures derived from them.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::scenario::{CONTROL_BYTES, ENTRIES, SLOTS, TARGETS};

/// Significant digits of histograms.
const PRECISION: u8 = 3;

/// Counters of a run. They cover the time after the warm-up, except for `without_slot`.
pub(super) struct Outcome {
    pub(super) lookup_waits: Histogram<u64>,
    pub(super) requests: u64,
    pub(super) lookups: u64,
    /// Requests answered successfully before their deadline.
    pub(super) in_time: u64,
    /// The mean service time in seconds, summed over the requests answered in time within the span.
    pub(super) in_time_seconds: f64,
    pub(super) in_time_lookups: u64,
    /// Requests answered with an error.
    pub(super) failed: u64,
    pub(super) attempts: u64,
    /// Requests with at least one attempt.
    pub(super) sent_requests: u64,
    /// Attempts sent to failing targets.
    pub(super) failing_attempts: u64,
    pub(super) remote_bytes: u64,
    pub(super) remote_messages: u64,
    /// Processor time of the policy, control work included.
    pub(super) processor_time: Duration,
    /// Processor time of work that belongs to no request.
    pub(super) control_time: Duration,
    pub(super) seconds: f64,
    /// Attempts that found no free slot at their target, over the whole run.
    pub(super) without_slot: u64,
}

impl Outcome {
    pub(super) fn new(span: Duration) -> Outcome {
        Outcome {
            lookup_waits: Histogram::new(PRECISION).expect("the precision is valid"),
            requests: 0,
            lookups: 0,
            in_time: 0,
            in_time_seconds: 0.0,
            in_time_lookups: 0,
            failed: 0,
            attempts: 0,
            sent_requests: 0,
            failing_attempts: 0,
            remote_bytes: 0,
            remote_messages: 0,
            processor_time: Duration::ZERO,
            control_time: Duration::ZERO,
            seconds: span.as_secs_f64(),
            without_slot: 0,
        }
    }

    /// Returns a quantile of the time that lookups waited for a slot.
    pub(super) fn lookup_wait(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.lookup_waits.value_at_quantile(quantile))
    }

    /// Returns the share of lookups that were not answered in time.
    pub(super) fn lookups_unanswered(&self) -> f64 {
        1.0 - self.in_time_lookups as f64 / self.lookups.max(1) as f64
    }

    /// Returns the work answered in time as a share of what all slots can do.
    pub(super) fn goodput_share(&self) -> f64 {
        self.in_time_seconds / ((TARGETS * SLOTS) as f64 * self.seconds)
    }

    /// Returns the share of requests answered with an error.
    pub(super) fn failed_share(&self) -> f64 {
        self.failed as f64 / self.requests.max(1) as f64
    }

    /// Returns the share of requests answered in time.
    pub(super) fn answered_share(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }

    /// Returns the attempts per request sent.
    pub(super) fn amplification(&self) -> f64 {
        self.attempts as f64 / self.sent_requests.max(1) as f64
    }

    /// Returns the share of attempts sent to failing targets.
    pub(super) fn failing_share(&self) -> f64 {
        self.failing_attempts as f64 / self.attempts.max(1) as f64
    }

    pub(super) fn remote_bytes_per_request(&self) -> f64 {
        self.remote_bytes as f64 / self.requests.max(1) as f64
    }

    /// Returns the kilobytes per second of messages between regions, without their bodies.
    pub(super) fn remote_control_rate(&self) -> f64 {
        (self.remote_messages * CONTROL_BYTES as u64) as f64 / self.seconds / 1e3
    }

    /// Returns the processor time per request in microseconds, without control work.
    pub(super) fn micros_per_request(&self) -> f64 {
        let busy = self.processor_time.saturating_sub(self.control_time);
        busy.as_secs_f64() * 1e6 / self.requests.max(1) as f64
    }

    /// Returns the processor time of control work, such as ticks, slot requests and grants, in
    /// milliseconds per entry and second.
    pub(super) fn control_millis_per_second(&self) -> f64 {
        self.control_time.as_secs_f64() * 1e3 / self.seconds / ENTRIES as f64
    }
}
