//! How long the log takes to answer appends, and what a writer concludes from it.
//!
//! Load: a log that answers every append late. With fixed timeouts, each append would be sent again
//! before its answer can be there, and the repeats delay the appends behind them; four appends that
//! the log takes one after the other would pass for an outage.

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

    /// Returns after how long without an answer an append is sent once more.
    pub fn hedge_after(&self) -> Duration {
        MIN_HEDGE.max(self.mean * HEDGE_FACTOR).min(MAX_SILENCE)
    }

    /// Returns after how long without an answer the log counts as unavailable.
    pub fn max_silence(&self) -> Duration {
        MIN_SILENCE.max(self.mean * SILENCE_FACTOR).min(MAX_SILENCE)
    }
}
