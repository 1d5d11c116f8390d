//! How long the log takes to answer appends, and what a writer concludes from it.
//!
//! Load: a log that answers every append late. With fixed timeouts, each append would be sent again
//! before its answer can be there, and the repeats delay the appends behind them; four appends that
//! the log takes one after the other would pass for an outage. The log makes each append wait for those
//! before it, so more of them in flight take longer each, and no more records arrive.

use std::time::Duration;

use laburnum_derive::state;

/// An append without an answer is sent once more after this long in a log that answers quickly.
const MIN_HEDGE: Duration = Duration::from_millis(300);
/// An append without an answer is sent once more after this many times the usual latency.
const HEDGE_FACTOR: u32 = 2;
/// The log counts as unavailable when an append has had no answer for this long.
const MIN_SILENCE: Duration = Duration::from_millis(900);
/// The same in multiples of the usual latency: one more than the appends that may be in flight.
const SILENCE_FACTOR: u32 = 5;
/// The longest silence that is allowed to a slow log: callers wait 3 s, and need time to come back.
const MAX_SILENCE: Duration = Duration::from_millis(1_800);
/// The maximum number of appends in flight. The log recognizes repeats of the last five only.
const MAX_IN_FLIGHT: usize = 4;
/// From this latency on, a log counts as slow: a log usually answers within a third of it.
const SLOW: Duration = Duration::from_millis(100);
/// The maximum number of appends in flight to a slow log: one that it works on, and one on its way.
const MAX_IN_FLIGHT_WHEN_SLOW: usize = 2;
/// The weight of the latest answer in the usual latency.
const WEIGHT: f64 = 0.3;

/// The usual latency of appends.
#[state]
#[derive(Default)]
pub struct Latency {
    mean: Duration,
}

impl Latency {
    /// Records that an append was answered `span` after it was first sent.
    pub fn note(&mut self, span: Duration) {
        self.mean = self.mean.mul_f64(1.0 - WEIGHT) + span.mul_f64(WEIGHT);
    }

    /// Returns how many appends may be in flight.
    pub fn max_in_flight(&self) -> usize {
        if self.mean < SLOW {
            MAX_IN_FLIGHT
        } else {
            MAX_IN_FLIGHT_WHEN_SLOW
        }
    }

    /// Returns after how long without an answer an append is sent once more.
    pub fn hedge_after(&self) -> Duration {
        MIN_HEDGE.max(self.mean * HEDGE_FACTOR).min(MAX_SILENCE)
    }

    /// Returns after how long without an answer the log counts as unavailable.
    pub fn max_silence(&self) -> Duration {
        MIN_SILENCE.max(self.mean * SILENCE_FACTOR).min(MAX_SILENCE)
    }
}
