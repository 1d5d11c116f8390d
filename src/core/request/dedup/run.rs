//! Runs of keys, from the durable intent to the outcome.

use super::record::{Outcome, Record, Serial};
use super::submit::refuse;
use super::table::{Pending, Table};
use super::{Entry, Now, Output, Progress, Standing, answer_of};
use crate::core::error::{Effect, Kind};
use crate::core::id::Key;
use crate::core::request::call::{Answer, Id};

impl Table {
    /// Hands a key over for its run.
    pub(super) fn run(&mut self, key: Key, undurable: Option<Serial>, out: &mut Vec<Output>) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let Some(&id) = entry.waiting.first() else {
            return;
        };
        entry.progress = Progress::Running {
            runner: id,
            undurable,
        };
        self.set_ran(undurable, true);
        out.push(Output::Run { id, key });
    }

    /// Notes whether the intent in a pending record was handed over for its run.
    pub(super) fn set_ran(&mut self, serial: Option<Serial>, has_run: bool) {
        let pending = serial.and_then(|serial| self.pending.get_mut(&serial));
        if let Some(Pending::Intent { ran, .. }) = pending {
            *ran = has_run;
        }
    }

    pub(super) fn finish(&mut self, id: Id, key: Key, outcome: Outcome, out: &mut Vec<Output>) {
        let left = self.rules.answer_bytes_in_all.saturating_sub(self.kept);
        let most = self.rules.answer_bytes.min(left);
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if !entry.is_run_of(id) {
            return;
        }
        let answer = answer_of(&outcome);
        for id in entry.waiting.drain(..) {
            let answer = answer.clone();
            out.push(Output::Answer { id, answer });
        }
        let outcome = outcome.bounded(most);
        self.kept += outcome.size();
        entry.progress = Progress::Ended(outcome.clone());
        let record = Record::Ended {
            key,
            attempt: entry.attempt,
            fingerprint: entry.fingerprint,
            outcome,
        };
        self.append(record, out);
    }

    pub(super) fn give_up(
        &mut self,
        now: Now,
        id: Id,
        key: Key,
        answer: Answer,
        out: &mut Vec<Output>,
    ) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if !entry.is_run_of(id) {
            return;
        }
        entry.waiting.retain(|waiting| *waiting != id);
        let has_others = !entry.waiting.is_empty();
        let is_known = now.instant < self.standing.until && !has_others;
        let effect = if is_known {
            answer.effect
        } else {
            Effect::Unknown
        };
        let answer = answer.with_effect(effect);
        out.push(Output::Answer { id, answer });
        if has_others {
            let undurable = entry.undurable();
            self.run(key, undurable, out);
        } else {
            self.void(key, out);
        }
    }

    pub(super) fn leave(&mut self, id: Id, key: Key, out: &mut Vec<Output>) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        entry.waiting.retain(|waiting| *waiting != id);
        if entry.waiting.is_empty() && matches!(entry.progress, Progress::Logging(_)) {
            self.void(key, out);
        }
    }

    /// Marks the newest intent of a key as surely not dispatched.
    pub(super) fn void(&mut self, key: Key, out: &mut Vec<Output>) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let undurable = entry.undurable();
        entry.progress = Progress::Void;
        let attempt = entry.attempt;
        self.set_ran(undurable, false);
        self.append(Record::Void { key, attempt }, out);
    }

    pub(super) fn durable(&mut self, now: Now, serial: Serial, out: &mut Vec<Output>) {
        match self.pending.remove(&serial) {
            Some(Pending::Opened) => self.is_open = true,
            Some(Pending::Intent { key, .. }) => self.durable_intent(now, serial, key, out),
            None => {}
        }
    }

    pub(super) fn durable_intent(
        &mut self,
        now: Now,
        serial: Serial,
        key: Key,
        out: &mut Vec<Output>,
    ) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        match &mut entry.progress {
            Progress::Logging(wanted) if *wanted == serial => self.begin(now, key, out),
            Progress::Running { undurable, .. } if *undurable == Some(serial) => *undurable = None,
            _ => {}
        }
    }

    /// Runs a key whose intent is durable, unless the ownership has ended meanwhile.
    pub(super) fn begin(&mut self, now: Now, key: Key, out: &mut Vec<Output>) {
        if now.instant < self.standing.until {
            return self.run(key, None, out);
        }
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let waiting = std::mem::take(&mut entry.waiting);
        for id in waiting {
            let message = "the ownership has ended";
            refuse(id, Kind::NoOwner, message, out, Effect::Unknown);
        }
        self.void(key, out);
    }

    /// Learns the outcome of a run of an earlier owner.
    pub(super) fn read(&mut self, record: Record) {
        let Record::Ended {
            key,
            attempt,
            fingerprint,
            outcome,
        } = record
        else {
            return;
        };
        let known = self.entries.get(&key).map(|entry| &entry.progress);
        let is_open = matches!(known, None | Some(Progress::Ended(Outcome::Unknown)));
        if attempt.term >= self.term || !is_open {
            return;
        }
        let entry = Entry {
            fingerprint,
            attempt,
            progress: Progress::Ended(outcome),
            waiting: Vec::new(),
        };
        self.kept += entry.size();
        self.entries.insert(key, entry);
    }

    /// Takes a new standing; keys that wait for a log that went down run if they may.
    pub(super) fn stand(&mut self, standing: Standing, out: &mut Vec<Output>) {
        self.standing = standing;
        if standing.log_up || !standing.promised {
            return;
        }
        let waiting = |entry: &Entry| match entry.progress {
            Progress::Logging(serial) => Some(serial),
            _ => None,
        };
        for key in self.waiting_keys() {
            let serial = self.entries.get(&key).and_then(waiting);
            let may_run = key
                .created()
                .is_some_and(|created| self.may_skip_log(created));
            if let (Some(serial), true) = (serial, may_run) {
                self.run(key, Some(serial), out);
            }
        }
    }

    /// Returns keys whose intent is not durable and that were not handed over for their run.
    pub(super) fn waiting_keys(&self) -> Vec<Key> {
        let pending = self.pending.values();
        let keys = pending.filter_map(|pending| match pending {
            Pending::Intent { key, ran: false } => Some(*key),
            _ => None,
        });
        keys.collect()
    }
}
