//! Retries of failed attempts: when they are allowed and how long they wait.
//!
//! An attempt is retried only when that is safe: the call is idempotent, or the target certainly
//! did not run it. Each retry takes a token from a budget, and each first attempt adds a fraction
//! of a token, so retries add at most that fraction to the load of failing targets (the retry
//! budget of Finagle). Waits grow exponentially with full jitter (Brooker, "Exponential Backoff and
//! Jitter", 2015).

use std::time::Duration;

use laburnum_derive::{state, value};
use rand::{Rng, RngExt};

use crate::core::time::Instant;

/// How far an attempt got before it failed.
#[value]
pub enum Failure {
    /// No byte reached the target, or the target refused the request before it ran.
    NotRun,
    /// The connection was lost after a byte may have reached the target.
    Lost,
    /// The target ran the request and answered that it failed.
    Ran,
}

/// The parameters of retries.
#[value]
pub struct Rules {
    /// The number of retries allowed per thousand first attempts.
    pub budget_permille: u32,
    /// The maximum number of unused retries in the budget.
    pub burst: u32,
    /// The upper bound of the wait before the second attempt.
    pub base: Duration,
    /// The upper bound of every wait.
    pub cap: Duration,
    /// The maximum number of attempts of one request, including the first.
    pub max_attempts: u32,
    /// Whether retries of at-most-once calls that may have run are prevented; tests disable this.
    #[doc(hidden)]
    pub only_safe: bool,
}

/// The retry budget: a token bucket.
#[state]
pub struct Budget {
    rules: Rules,
    millitokens: u64,
}

/// The cost of one retry in thousandths of a token.
const RETRY_COST: u64 = 1000;

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            budget_permille: 100,
            burst: 10,
            base: Duration::from_millis(20),
            cap: Duration::from_secs(1),
            max_attempts: 4,
            only_safe: true,
        }
    }
}

impl Rules {
    /// Returns whether an attempt may be retried after `failure`.
    pub fn is_safe(&self, idempotent: bool, failure: Failure) -> bool {
        idempotent || failure == Failure::NotRun || !self.only_safe
    }

    /// Returns when attempt `number` (from 2) starts, or `None` when no attempt is left or the
    /// start would not be before `deadline`.
    pub fn start<R: Rng>(
        &self,
        now: Instant,
        number: u32,
        deadline: Instant,
        random: &mut R,
    ) -> Option<Instant> {
        if number > self.max_attempts {
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
    /// Creates a full budget.
    pub fn new(rules: Rules) -> Budget {
        Budget {
            rules,
            millitokens: u64::from(rules.burst) * RETRY_COST,
        }
    }

    /// Adds the credit of one first attempt.
    pub fn credit(&mut self) {
        let max = u64::from(self.rules.burst) * RETRY_COST;
        let credit = u64::from(self.rules.budget_permille);
        self.millitokens = (self.millitokens + credit).min(max);
    }

    /// Takes one retry from the budget and returns whether there was one.
    pub fn take(&mut self) -> bool {
        let enough = self.millitokens >= RETRY_COST;
        if enough {
            self.millitokens -= RETRY_COST;
        }
        enough
    }
}
