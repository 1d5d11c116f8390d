//! Exponential backoff with full jitter.

use std::time::Duration;

use laburnum_derive::state;
use rand::RngExt;
use rand_pcg::Pcg32;

/// The upper limit of the wait after the first failure.
const BASE: Duration = Duration::from_millis(100);

/// The upper limit of any wait.
const CAP: Duration = Duration::from_secs(5);

/// The lower limit of any wait.
const FLOOR: Duration = Duration::from_millis(10);

/// Computes the wait after a failed attempt: random up to a limit that doubles with each failure.
#[state]
pub struct Backoff {
    failures: u32,
    random: Pcg32,
}

impl Backoff {
    /// Creates a backoff with no failures, whose jitter comes from `random`.
    pub fn new(random: Pcg32) -> Backoff {
        Backoff {
            failures: 0,
            random,
        }
    }

    /// Counts a failure and returns how long to wait.
    pub fn record_failure(&mut self) -> Duration {
        let limit = BASE.saturating_mul(1 << self.failures.min(16)).min(CAP);
        self.failures = self.failures.saturating_add(1);
        let micros = limit.as_micros() as u64;
        Duration::from_micros(self.random.random_range(0..=micros)).max(FLOOR)
    }

    /// Resets the count of failures.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns how many attempts failed since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
