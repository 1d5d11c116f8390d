//! Run times learned per family.
//!
//! Declared run times are far off, so the end of a task is predicted from quantiles of the last run
//! times of its family once there are enough of them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::id::Family;

/// How many run times are kept per family.
const KEPT: usize = 64;

/// How many run times a family needs before they are used.
const ENOUGH: usize = 8;

/// How many families are kept.
const MAX_FAMILIES: usize = 8_192;

/// The run times of one family, in milliseconds, in a ring.
#[derive(Clone, Debug, Default)]
struct Ring {
    millis: Vec<u32>,
    next: usize,
}

/// Run times by family.
#[derive(Clone, Debug, Default)]
pub struct History {
    families: BTreeMap<Family, Ring>,
}

impl History {
    /// Notes how long a task of `family` ran.
    pub fn note(&mut self, family: &Family, span: Duration) {
        let millis = u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        if let Some(ring) = self.families.get_mut(family) {
            ring.note(millis);
            return;
        }
        self.make_room();
        self.families
            .entry(family.clone())
            .or_default()
            .note(millis);
    }

    /// Returns the run time that `permille` of the family's tasks stay below, or `declared` while
    /// too few are known.
    pub fn quantile(&self, family: &Family, permille: usize, declared: Duration) -> Duration {
        let Some(ring) = self.families.get(family) else {
            return declared;
        };
        if ring.millis.len() < ENOUGH {
            return declared;
        }
        let mut sorted = ring.millis.clone();
        let at = (sorted.len() * permille / 1_000).min(sorted.len() - 1);
        let (_, millis, _) = sorted.select_nth_unstable(at);
        Duration::from_millis(u64::from(*millis))
    }

    /// Forgets an arbitrary family when there are too many.
    fn make_room(&mut self) {
        if self.families.len() < MAX_FAMILIES {
            return;
        }
        if let Some(family) = self.families.keys().next().cloned() {
            self.families.remove(&family);
        }
    }
}

impl Ring {
    fn note(&mut self, millis: u32) {
        if self.millis.len() < KEPT {
            self.millis.push(millis);
            return;
        }
        self.millis[self.next] = millis;
        self.next = (self.next + 1) % KEPT;
    }
}
