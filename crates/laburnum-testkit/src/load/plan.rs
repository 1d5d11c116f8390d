//! The planned times of the calls.

use std::time::Duration;

use laburnum_derive::state;
use laburnumplank::core::workload::Priority;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// The share of one priority in the load.
#[state]
pub struct Share {
    /// The weight relative to the other priorities; 0 for no calls.
    pub weight: u32,
    /// The method to call.
    pub method: String,
}

/// The shares of all priorities in the load.
#[state]
pub struct Mix {
    /// Short lookups.
    pub lookup: Share,
    /// Single filings or route builds.
    pub normal: Share,
    /// Many filings or route builds.
    pub bulk: Share,
}

impl Default for Mix {
    fn default() -> Mix {
        let share = |weight, method: &str| Share {
            weight,
            method: method.to_owned(),
        };
        Mix {
            lookup: share(60, "sleep/2"),
            normal: share(30, "sleep/10"),
            bulk: share(10, "sleep/50"),
        }
    }
}

impl Mix {
    /// Returns the share of a priority.
    pub fn share(&self, priority: Priority) -> &Share {
        match priority {
            Priority::Lookup => &self.lookup,
            Priority::Normal => &self.normal,
            Priority::Bulk => &self.bulk,
        }
    }

    /// Returns the share of a priority for changes.
    pub fn share_mut(&mut self, priority: Priority) -> &mut Share {
        match priority {
            Priority::Lookup => &mut self.lookup,
            Priority::Normal => &mut self.normal,
            Priority::Bulk => &mut self.bulk,
        }
    }

    fn total(&self) -> u32 {
        let weights = Priority::ALL.map(|priority| self.share(priority).weight);
        weights.iter().sum()
    }

    /// Returns the priority whose range of weights holds `point`, which is below their sum.
    fn priority_at(&self, point: u32) -> Priority {
        let mut rest = point;
        for priority in Priority::ALL {
            let weight = self.share(priority).weight;
            if rest < weight {
                return priority;
            }
            rest -= weight;
        }
        Priority::Bulk
    }
}

/// A planned call.
#[state]
#[derive(Copy)]
pub struct Arrival {
    /// The planned time, from the start of the load.
    pub at: Duration,
    /// The priority of the call.
    pub priority: Priority,
}

/// An iterator over the planned calls, in the order of their times.
#[derive(Debug)]
pub struct Plan {
    random: Pcg64Mcg,
    rate: f64,
    duration: Duration,
    mix: Mix,
    at: Duration,
}

impl Plan {
    /// Plans `rate` calls per second on average for `duration`; the same seed gives the same plan.
    ///
    /// # Errors
    ///
    /// Fails when the rate is not above 0 or all weights are 0.
    pub fn new(seed: u64, rate: f64, duration: Duration, mix: &Mix) -> eyre::Result<Plan> {
        eyre::ensure!(rate > 0.0, "the rate must be above 0");
        eyre::ensure!(mix.total() > 0, "at least one weight must be above 0");
        Ok(Plan {
            random: Pcg64Mcg::seed_from_u64(seed),
            rate,
            duration,
            mix: mix.clone(),
            at: Duration::ZERO,
        })
    }
}

impl Iterator for Plan {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let uniform: f64 = self.random.random();
        let gap = -(1.0 - uniform).ln() / self.rate;
        self.at += Duration::from_secs_f64(gap);
        let point = self.random.random_range(0..self.mix.total());
        let arrival = Arrival {
            at: self.at,
            priority: self.mix.priority_at(point),
        };
        (self.at < self.duration).then_some(arrival)
    }
}
