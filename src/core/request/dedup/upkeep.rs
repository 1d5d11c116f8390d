//! Periodic work of the table, and queries of its state.

use super::record::Record;
use super::table::{Pending, Table};
use super::{KeyState, Now, Output};
use crate::core::id::Key;
use crate::core::time::Stamp;

impl Table {
    /// Returns how many keys were passed to the dispatcher and have no durable intent yet.
    ///
    /// While it is not zero, the owner must not renew its ownership by a record: a standby takes a
    /// renewal as proof that all earlier runs are in the log.
    pub fn undurable_runs(&self) -> usize {
        self.undurable_keys().count()
    }

    /// Returns how many keys are being logged or run.
    ///
    /// An owner that hands the partition over waits until there are none, so that the log describes
    /// every outcome.
    pub fn unfinished_keys(&self) -> usize {
        let keys = self.keys.values();
        keys.filter(|state| state.is_unfinished()).count()
    }

    /// Returns the number of keys in the table.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns records that describe the table. They are appended to the stream before the log
    /// deletes the original records.
    pub fn snapshot(&self) -> Vec<Record> {
        let (term, floor) = (self.term, self.watermark);
        let opened = |gap| Record::Opened { term, floor, gap };
        let mut records = vec![opened(None)];
        records.extend(self.gaps.iter().map(|gap| opened(Some(*gap))));
        for (key, state) in &self.keys {
            records.extend(state.records(*key));
        }
        records
    }

    /// Removes expired keys and logs a watermark when it is due.
    pub(super) fn tick(&mut self, now: Now, out: &mut Vec<Output>) {
        self.expire();
        let is_due = now.instant.since(self.watermark_at) >= self.rules.watermark_interval;
        let may_log =
            self.is_opening_durable && self.status.log_up && now.instant < self.status.until;
        if is_due && may_log {
            self.watermark_at = now.instant;
            self.advance_watermark(out);
        }
    }

    /// Advances the watermark as far as the log describes all keys, and logs it.
    pub(super) fn advance_watermark(&mut self, out: &mut Vec<Output>) {
        let mut up_to = self.latest_stamp - self.rules.watermark_lag;
        for key in self.undurable_keys() {
            let created = key.created().unwrap_or_default();
            up_to = up_to.min(Stamp(created.0.saturating_sub(1)));
        }
        if up_to > self.watermark {
            self.watermark = up_to;
            let term = self.term;
            self.append(Record::Watermark { term, up_to }, out);
        }
    }

    /// Removes inactive keys that are too old to be accepted, and gaps that contain only such keys.
    pub(super) fn expire(&mut self) {
        let oldest = self.latest_stamp - self.rules.retention - self.rules.skew;
        self.gaps.retain(|gap| gap.until >= oldest);
        let is_old = |key: &Key| key.created().unwrap_or_default() < oldest;
        let old = self.keys.keys().copied().take_while(is_old);
        let old: Vec<Key> = old.collect();
        for key in old {
            if self.keys.get(&key).is_some_and(KeyState::is_inactive) {
                let state = self.keys.remove(&key);
                self.recorded_bytes -= state.map_or(0, |state| state.size());
            }
        }
    }

    /// Returns keys that were passed to the dispatcher and whose intent is not durable yet.
    pub(super) fn undurable_keys(&self) -> impl Iterator<Item = Key> {
        self.pending.values().filter_map(|pending| match pending {
            Pending::Intent {
                key,
                dispatched: true,
            } => Some(*key),
            _ => None,
        })
    }
}
