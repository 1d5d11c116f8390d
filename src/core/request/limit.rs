//! The adaptive concurrency limit of one target.
//!
//! Additive increase, multiplicative decrease (Chiu and Jain 1989): an answer in usual time raises
//! the limit by a part of a slot, a failure or a slow answer lowers it by a factor. "Slow" is judged
//! against the usual time over all targets, so that a target is slowed for being slower than its
//! peers and not for work that is long everywhere.

use std::time::Duration;

use laburnum_derive::{state, value};

/// The rules of the limit.
#[value]
pub struct Rules {
    /// An answer is slow beyond this many times the usual time.
    pub slow_factor: u32,
    /// What remains of the limit after a failure, in thousandths.
    pub decrease_permille: u32,
    /// What a good answer adds to the limit, in thousandths of a slot.
    pub increase_permille: u32,
    /// The highest limit, in slots.
    pub most: u32,
}

/// How an attempt went.
#[value]
pub enum Sample {
    /// It was answered after this time.
    Answered(Duration),
    /// It failed.
    Failed,
}

/// The limit of one target.
#[state]
pub struct Limit {
    rules: Rules,
    millislots: u32,
}

/// Thousandths of a slot in one slot.
const MILLISLOTS: u32 = 1000;

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            slow_factor: 8,
            decrease_permille: 700,
            increase_permille: 250,
            most: 8,
        }
    }
}

impl Limit {
    /// Makes a limit that allows the most.
    pub fn new(rules: Rules) -> Limit {
        Limit {
            rules,
            millislots: rules.most * MILLISLOTS,
        }
    }

    /// Returns how many requests the target may have at once, at least 1.
    pub fn slots(&self) -> u32 {
        (self.millislots / MILLISLOTS).max(1)
    }

    /// Takes a sample into account; `usual` is the usual time over all targets, if known.
    pub fn sample(&mut self, sample: Sample, usual: Option<Duration>) {
        if self.is_good(sample, usual) {
            let most = self.rules.most * MILLISLOTS;
            self.millislots = (self.millislots + self.rules.increase_permille).min(most);
        } else {
            let lowered = u64::from(self.millislots) * u64::from(self.rules.decrease_permille);
            self.millislots = ((lowered / 1000) as u32).max(MILLISLOTS);
        }
    }

    /// Returns whether a sample speaks for the target.
    fn is_good(&self, sample: Sample, usual: Option<Duration>) -> bool {
        match (sample, usual) {
            (Sample::Failed, _) => false,
            (Sample::Answered(_), None) => true,
            (Sample::Answered(took), Some(usual)) => took <= usual * self.rules.slow_factor,
        }
    }
}
