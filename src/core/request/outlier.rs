//! Outlier detection: ejection of targets that fail while other targets of the service work.
//!
//! A target that fails several requests in a row is ejected for a time that grows with each
//! ejection, as in Envoy's outlier detection. Only a share of the targets is ejected at once and at
//! least one always remains, because when all targets fail, the fault lies elsewhere. After an
//! ejection ends, one failure ejects the target again; a success resets its failures and ejections.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnum_derive::{state, value};

use crate::core::id::Target;
use crate::core::time::Instant;

/// The parameters of outlier detection.
#[value]
pub struct Rules {
    /// The number of consecutive failures that ejects a target.
    pub failures: u32,
    /// The duration of the first ejection; the n-th lasts n times as long.
    pub base: Duration,
    /// The maximum duration of an ejection.
    pub cap: Duration,
    /// The maximum share of targets that are ejected at once, in thousandths.
    pub share_permille: u32,
}

/// The failures and ejections of one target since its last success.
#[state]
#[derive(Default)]
struct Record {
    failures: u32,
    ejections: u32,
    /// When the newest ejection ends.
    until: Option<Instant>,
}

/// Detects failing targets of one service.
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
    /// Creates a detector without targets.
    pub fn new(rules: Rules) -> Detector {
        Detector {
            rules,
            records: BTreeMap::new(),
        }
    }

    /// Adds `target`, unless it is already known.
    pub fn insert(&mut self, target: Target) {
        self.records.entry(target).or_default();
    }

    /// Removes `target` and its record.
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

    /// Records a success of `target`.
    pub fn succeeded(&mut self, target: Target) {
        if let Some(record) = self.records.get_mut(&target) {
            *record = Record::default();
        }
    }

    /// Records a failure of `target` and returns whether it is ejected now.
    pub fn failed(&mut self, now: Instant, target: Target) -> bool {
        if self.is_ejected(now, target) {
            return true;
        }
        let may_eject = self.may_eject_another(now);
        let rules = self.rules;
        let Some(record) = self.records.get_mut(&target) else {
            return false;
        };
        record.failures += 1;
        let is_outlier = record.failures >= rules.failures || record.ejections > 0;
        if !is_outlier || !may_eject {
            return false;
        }
        record.failures = 0;
        record.ejections += 1;
        record.until = Some(now + (rules.base * record.ejections).min(rules.cap));
        true
    }

    /// Returns whether one more target may be ejected.
    fn may_eject_another(&self, now: Instant) -> bool {
        let total = self.records.len();
        let max_ejected = total * self.rules.share_permille as usize / 1000;
        self.ejected(now) < max_ejected.min(total.saturating_sub(1))
    }
}
