//! What the table does as time passes, and what it tells of itself.

use super::record::Record;
use super::table::{Pending, Table};
use super::{Entry, Now, Output};
use crate::core::id::Key;
use crate::core::time::Stamp;

impl Table {
    /// Returns how many keys were handed over for their run without a durable intent.
    ///
    /// While it is not zero the owner must not renew its ownership by a record: a standby takes a
    /// renewal as proof that all earlier runs are in the log.
    pub fn undescribed(&self) -> usize {
        self.undescribed_keys().count()
    }

    /// Returns how many keys are being logged or run. An owner that hands the partition over waits
    /// until there are none, so that the log describes every outcome.
    pub fn unfinished(&self) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| entry.is_unfinished()).count()
    }

    /// Returns how many keys are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns records that describe the table, for rewriting a stream before old records expire.
    pub fn snapshot(&self) -> Vec<Record> {
        let (term, floor) = (self.term, self.mark);
        let opened = |gap| Record::Opened { term, floor, gap };
        let mut records = vec![opened(None)];
        records.extend(self.gaps.iter().map(|gap| opened(Some(*gap))));
        for (key, entry) in &self.entries {
            records.extend(entry.records(*key));
        }
        records
    }

    pub(super) fn tick(&mut self, now: Now, out: &mut Vec<Output>) {
        self.expire();
        let is_due = now.instant.since(self.marked) >= self.rules.watermark_interval;
        let may_log = self.is_open && self.standing.log_up && now.instant < self.standing.until;
        if is_due && may_log {
            self.marked = now.instant;
            self.advance_mark(out);
        }
    }

    /// Logs the newest watermark that holds.
    pub(super) fn advance_mark(&mut self, out: &mut Vec<Output>) {
        let mut up_to = self.stamp - self.rules.watermark_lag;
        for key in self.undescribed_keys() {
            let created = key.created().unwrap_or_default();
            up_to = up_to.min(Stamp(created.0.saturating_sub(1)));
        }
        if up_to > self.mark {
            self.mark = up_to;
            let term = self.term;
            self.append(Record::Watermark { term, up_to }, out);
        }
    }

    /// Forgets keys that are refused by their age, and gaps that hold only such.
    pub(super) fn expire(&mut self) {
        let oldest = self.stamp - self.rules.retention - self.rules.skew;
        self.gaps.retain(|gap| gap.until >= oldest);
        let is_old = |key: &Key| key.created().unwrap_or_default() < oldest;
        let old = self.entries.keys().copied().take_while(is_old);
        let old: Vec<Key> = old.collect();
        for key in old {
            if self.entries.get(&key).is_some_and(Entry::is_at_rest) {
                let entry = self.entries.remove(&key);
                self.kept -= entry.map_or(0, |entry| entry.size());
            }
        }
    }

    /// Returns keys that were handed over for their run while no record of it is durable.
    pub(super) fn undescribed_keys(&self) -> impl Iterator<Item = Key> {
        self.pending.values().filter_map(|pending| match pending {
            Pending::Intent { key, ran: true } => Some(*key),
            _ => None,
        })
    }
}
