//! Ejection of targets that fail what their peers serve.
//!
//! A target that fails several requests in a row is ejected for a while that grows with each
//! ejection (the outlier detection of Envoy). No more than a share of the targets is ejected at
//! once and one always remains, because when all of them fail the fault lies elsewhere. After the
//! ejection one failure is enough to be ejected again; a success clears the record.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnum_derive::{state, value};

use crate::core::id::Target;
use crate::core::time::Instant;

/// The rules of ejection.
#[value]
pub struct Rules {
    /// Failures in a row that eject a target.
    pub failures: u32,
    /// The span of the first ejection; the n-th lasts n times as long.
    pub base: Duration,
    /// The longest ejection.
    pub cap: Duration,
    /// The share of targets that may be ejected at once, in thousandths.
    pub share_permille: u32,
}

/// The record of one target.
#[state]
#[derive(Default)]
struct Record {
    failures: u32,
    ejections: u32,
    until: Option<Instant>,
}

/// Watches the targets of one service.
#[state]
pub struct Detector {
    rules: Rules,
    records: BTreeMap<Target, Record>,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            failures: 3,
            base: Duration::from_secs(5),
            cap: Duration::from_secs(60),
            share_permille: 500,
        }
    }
}

impl Detector {
    /// Makes a detector without targets.
    pub fn new(rules: Rules) -> Detector {
        Detector {
            rules,
            records: BTreeMap::new(),
        }
    }

    /// Starts to watch `target`.
    pub fn insert(&mut self, target: Target) {
        self.records.entry(target).or_default();
    }

    /// Forgets `target`.
    pub fn remove(&mut self, target: Target) {
        self.records.remove(&target);
    }

    /// Returns whether `target` is ejected.
    pub fn is_ejected(&self, now: Instant, target: Target) -> bool {
        self.records
            .get(&target)
            .and_then(|record| record.until)
            .is_some_and(|until| now < until)
    }

    /// Returns whether `target` was ejected and has not succeeded since.
    pub fn is_on_probation(&self, target: Target) -> bool {
        self.records
            .get(&target)
            .is_some_and(|record| record.ejections > 0)
    }

    /// Returns how many targets are ejected.
    pub fn ejected(&self, now: Instant) -> usize {
        self.records
            .keys()
            .filter(|&&target| self.is_ejected(now, target))
            .count()
    }

    /// Takes a success of `target` into account.
    pub fn succeeded(&mut self, target: Target) {
        if let Some(record) = self.records.get_mut(&target) {
            *record = Record::default();
        }
    }

    /// Takes a failure of `target` into account and returns whether it is ejected now.
    pub fn failed(&mut self, now: Instant, target: Target) -> bool {
        if self.is_ejected(now, target) {
            return true;
        }
        let room = self.has_room(now);
        let rules = self.rules;
        let Some(record) = self.records.get_mut(&target) else {
            return false;
        };
        record.failures += 1;
        let due = record.failures >= rules.failures || record.ejections > 0;
        if !due || !room {
            return false;
        }
        record.failures = 0;
        record.ejections += 1;
        record.until = Some(now + (rules.base * record.ejections).min(rules.cap));
        true
    }

    /// Returns whether one more target may be ejected.
    fn has_room(&self, now: Instant) -> bool {
        let total = self.records.len();
        let most = total * self.rules.share_permille as usize / 1000;
        self.ejected(now) < most.min(total.saturating_sub(1))
    }
}
