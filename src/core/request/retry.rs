//! When a failed attempt is tried again.
//!
//! An attempt is repeated only when that is safe: the call is idempotent, or the target surely did
//! not run it. Retries draw on a budget that first attempts fill by a small share, so a failing
//! group of targets sees at most that share of extra load (the retry budget of Finagle). Waits grow
//! exponentially with full jitter (Brooker, "Exponential Backoff and Jitter", 2015).

use std::time::Duration;

use laburnum_derive::{state, value};
use rand::{Rng, RngExt};

use crate::core::time::Instant;

/// What is known of a failed attempt.
#[value]
pub enum Failure {
    /// No byte reached the target, or it refused the request before it ran.
    NotRun,
    /// The connection was lost after a byte may have reached the target.
    Lost,
    /// The target ran the request and answered that it failed.
    Ran,
}

/// The rules of retrying.
#[value]
pub struct Rules {
    /// Retries allowed for every thousand first attempts.
    pub budget_permille: u32,
    /// Retries that may be saved up.
    pub burst: u32,
    /// The bound of the first wait.
    pub base: Duration,
    /// The bound of every wait.
    pub cap: Duration,
    /// Attempts of one request, the first included.
    pub attempts: u32,
    /// Whether calls that may have run are kept from being repeated; tests switch it off.
    #[doc(hidden)]
    pub only_safe: bool,
}

/// The saved-up allowance of retries.
#[state]
pub struct Budget {
    rules: Rules,
    millitokens: u64,
}

/// Thousandths of a retry that one retry costs.
const RETRY_COST: u64 = 1000;

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            budget_permille: 100,
            burst: 10,
            base: Duration::from_millis(20),
            cap: Duration::from_secs(1),
            attempts: 4,
            only_safe: true,
        }
    }
}

impl Rules {
    /// Returns whether an attempt that failed so may be repeated.
    pub fn is_safe(&self, idempotent: bool, failure: Failure) -> bool {
        idempotent || failure == Failure::NotRun || !self.only_safe
    }

    /// Returns when attempt `number` (from 2) starts, or `None` when that would pass `deadline`.
    pub fn start<R: Rng>(
        &self,
        now: Instant,
        number: u32,
        deadline: Instant,
        random: &mut R,
    ) -> Option<Instant> {
        if number > self.attempts {
            return None;
        }
        let doublings = number.saturating_sub(2).min(16);
        let bound = self.base.saturating_mul(1 << doublings).min(self.cap);
        let micros = (bound.as_micros() as u64).max(1);
        let start = now + Duration::from_micros(random.random_range(0..=micros));
        (start < deadline).then_some(start)
    }
}

impl Budget {
    /// Makes a budget that holds its burst.
    pub fn new(rules: Rules) -> Budget {
        Budget {
            rules,
            millitokens: u64::from(rules.burst) * RETRY_COST,
        }
    }

    /// Credits one first attempt.
    pub fn credit(&mut self) {
        let most = u64::from(self.rules.burst) * RETRY_COST;
        let credit = u64::from(self.rules.budget_permille);
        self.millitokens = (self.millitokens + credit).min(most);
    }

    /// Takes one retry and returns whether there was one.
    pub fn take(&mut self) -> bool {
        let enough = self.millitokens >= RETRY_COST;
        if enough {
            self.millitokens -= RETRY_COST;
        }
        enough
    }
}
