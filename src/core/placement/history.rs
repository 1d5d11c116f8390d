//! History of run times per family of jobs.
//!
//! Declared run times are inaccurate, so the end of a task is predicted from a quantile of its
//! family's latest run times once there are enough of them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::id::Family;

/// The number of latest run times kept per family.
const MAX_RUN_TIMES: usize = 64;

/// The number of run times that a family needs before they are used for predictions.
const MIN_RUN_TIMES: usize = 8;

/// The maximum number of families kept.
const MAX_FAMILIES: usize = 8_192;

/// The run times of one family in milliseconds, as a ring buffer.
#[derive(Clone, Debug, Default)]
struct Ring {
    millis: Vec<u32>,
    next: usize,
}

/// Latest run times by family.
#[derive(Clone, Debug, Default)]
pub struct History {
    families: BTreeMap<Family, Ring>,
}

impl History {
    /// Records how long a task of `family` ran.
    pub fn add(&mut self, family: &Family, span: Duration) {
        let millis = u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        if let Some(ring) = self.families.get_mut(family) {
            ring.add(millis);
            return;
        }
        self.evict_family();
        self.families.entry(family.clone()).or_default().add(millis);
    }

    /// Returns the `permille` quantile of the family's run times, or `declared` while there are too
    /// few.
    pub fn quantile(&self, family: &Family, permille: usize, declared: Duration) -> Duration {
        let Some(ring) = self.families.get(family) else {
            return declared;
        };
        if ring.millis.len() < MIN_RUN_TIMES {
            return declared;
        }
        let mut sorted = ring.millis.clone();
        let at = (sorted.len() * permille / 1_000).min(sorted.len() - 1);
        let (_, millis, _) = sorted.select_nth_unstable(at);
        Duration::from_millis(u64::from(*millis))
    }

    /// Removes the family whose name sorts first when the limit is reached.
    fn evict_family(&mut self) {
        if self.families.len() < MAX_FAMILIES {
            return;
        }
        if let Some(family) = self.families.keys().next().cloned() {
            self.families.remove(&family);
        }
    }
}

impl Ring {
    fn add(&mut self, millis: u32) {
        if self.millis.len() < MAX_RUN_TIMES {
            self.millis.push(millis);
            return;
        }
        self.millis[self.next] = millis;
        self.next = (self.next + 1) % MAX_RUN_TIMES;
    }
}
