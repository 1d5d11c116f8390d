//! The adaptive concurrency limit of one target.
//!
//! Additive increase, multiplicative decrease (Chiu and Jain 1989): an answer in normal time raises
//! the limit by a fraction of a slot, a failure or a slow answer multiplies it by a factor below 1.
//! An answer is slow in comparison with the average response time of all targets, so that the limit
//! falls for a target that is slower than the others and not for work that takes long on all of
//! them.

use std::time::Duration;

use laburnum_derive::{state, value};

/// The parameters of the limit.
#[value]
pub struct Rules {
    /// An answer is slow when it takes longer than this many times the average response time.
    pub slow_factor: u32,
    /// The factor applied to the limit after a failure or a slow answer, in thousandths.
    pub decrease_permille: u32,
    /// What an answer in normal time adds to the limit, in thousandths of a slot.
    pub increase_permille: u32,
    /// The maximum limit, in slots.
    pub max_slots: u32,
}

/// The result of one attempt at the target.
#[value]
pub enum Sample {
    /// The target answered after this time.
    Answered(Duration),
    /// The attempt failed.
    Failed,
}

/// The concurrency limit of one target.
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
            max_slots: 8,
        }
    }
}

impl Limit {
    /// Creates a limit that starts at its maximum.
    pub fn new(rules: Rules) -> Limit {
        Limit {
            rules,
            millislots: rules.max_slots * MILLISLOTS,
        }
    }

    /// Returns how many requests may be in flight to the target at once, at least 1.
    pub fn slots(&self) -> u32 {
        (self.millislots / MILLISLOTS).max(1)
    }

    /// Adjusts the limit by a sample; `average` is the average response time of all targets, if
    /// known.
    pub fn sample(&mut self, sample: Sample, average: Option<Duration>) {
        if self.is_normal(sample, average) {
            let max = self.rules.max_slots * MILLISLOTS;
            self.millislots = (self.millislots + self.rules.increase_permille).min(max);
        } else {
            let lowered = u64::from(self.millislots) * u64::from(self.rules.decrease_permille);
            self.millislots = ((lowered / 1000) as u32).max(MILLISLOTS);
        }
    }

    /// Returns whether a sample is neither a failure nor slow.
    fn is_normal(&self, sample: Sample, average: Option<Duration>) -> bool {
        match (sample, average) {
            (Sample::Failed, _) => false,
            (Sample::Answered(_), None) => true,
            (Sample::Answered(took), Some(average)) => took <= average * self.rules.slow_factor,
        }
    }
}
