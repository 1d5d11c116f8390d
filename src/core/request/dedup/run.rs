//! Runs of keys: from the durable intent to the outcome.

use super::record::{Outcome, Record, Serial};
use super::submit::refuse;
use super::table::{Pending, Table};
use super::{KeyState, Now, Output, OwnerStatus, Progress, answer_of};
use crate::core::error::{Effect, Kind};
use crate::core::id::Key;
use crate::core::request::call::{Answer, Id};

impl Table {
    /// Passes the first waiting request of a key to the dispatcher.
    pub(super) fn start_run(&mut self, key: Key, undurable: Option<Serial>, out: &mut Vec<Output>) {
        let Some(state) = self.keys.get_mut(&key) else {
            return;
        };
        let Some(&id) = state.waiting.first() else {
            return;
        };
        state.progress = Progress::Running {
            request: id,
            undurable,
        };
        self.set_dispatched(undurable, true);
        out.push(Output::Run { id, key });
    }

    /// Sets whether the intent in a pending record was passed to the dispatcher.
    pub(super) fn set_dispatched(&mut self, serial: Option<Serial>, is_dispatched: bool) {
        let pending = serial.and_then(|serial| self.pending.get_mut(&serial));
        if let Some(Pending::Intent { dispatched, .. }) = pending {
            *dispatched = is_dispatched;
        }
    }

    /// Records the outcome of a run and answers all requests that wait for it.
    pub(super) fn finish(&mut self, id: Id, key: Key, outcome: Outcome, out: &mut Vec<Output>) {
        let left = self
            .rules
            .max_total_answer_bytes
            .saturating_sub(self.recorded_bytes);
        let max_bytes = self.rules.max_answer_bytes.min(left);
        let Some(state) = self.keys.get_mut(&key) else {
            return;
        };
        if !state.is_run_of(id) {
            return;
        }
        let answer = answer_of(&outcome);
        for id in state.waiting.drain(..) {
            let answer = answer.clone();
            out.push(Output::Answer { id, answer });
        }
        let outcome = outcome.limit_size(max_bytes);
        self.recorded_bytes += outcome.size();
        state.progress = Progress::Ended(outcome.clone());
        let record = Record::Ended {
            key,
            attempt: state.attempt,
            fingerprint: state.fingerprint,
            outcome,
        };
        self.append(record, out);
    }

    /// Answers a request that no target ran, and runs the key for the next waiting request, if
    /// there is one.
    pub(super) fn give_up(
        &mut self,
        now: Now,
        id: Id,
        key: Key,
        answer: Answer,
        out: &mut Vec<Output>,
    ) {
        let Some(state) = self.keys.get_mut(&key) else {
            return;
        };
        if !state.is_run_of(id) {
            return;
        }
        state.waiting.retain(|waiting| *waiting != id);
        let has_others = !state.waiting.is_empty();
        let is_known = now.instant < self.status.until && !has_others;
        let effect = if is_known {
            answer.effect
        } else {
            Effect::Unknown
        };
        let answer = answer.with_effect(effect);
        out.push(Output::Answer { id, answer });
        if has_others {
            let undurable = state.undurable();
            self.start_run(key, undurable, out);
        } else {
            self.mark_not_dispatched(key, out);
        }
    }

    /// Removes a request that no longer waits for its answer. The key's intent is cancelled if
    /// it is not durable yet and no other request waits.
    pub(super) fn remove_waiter(&mut self, id: Id, key: Key, out: &mut Vec<Output>) {
        let Some(state) = self.keys.get_mut(&key) else {
            return;
        };
        state.waiting.retain(|waiting| *waiting != id);
        if state.waiting.is_empty() && matches!(state.progress, Progress::Logging(_)) {
            self.mark_not_dispatched(key, out);
        }
    }

    /// Cancels the newest intent of a key, which no target ran, and logs that.
    pub(super) fn mark_not_dispatched(&mut self, key: Key, out: &mut Vec<Output>) {
        let Some(state) = self.keys.get_mut(&key) else {
            return;
        };
        let undurable = state.undurable();
        state.progress = Progress::Void;
        let attempt = state.attempt;
        self.set_dispatched(undurable, false);
        self.append(Record::Void { key, attempt }, out);
    }

    /// Handles a record of this term that was read back from the log.
    pub(super) fn record_durable(&mut self, now: Now, serial: Serial, out: &mut Vec<Output>) {
        match self.pending.remove(&serial) {
            Some(Pending::Opened) => self.is_opening_durable = true,
            Some(Pending::Intent { key, .. }) => self.intent_durable(now, serial, key, out),
            None => {}
        }
    }

    pub(super) fn intent_durable(
        &mut self,
        now: Now,
        serial: Serial,
        key: Key,
        out: &mut Vec<Output>,
    ) {
        let Some(state) = self.keys.get_mut(&key) else {
            return;
        };
        match &mut state.progress {
            Progress::Logging(expected) if *expected == serial => self.run_if_owner(now, key, out),
            Progress::Running { undurable, .. } if *undurable == Some(serial) => *undurable = None,
            _ => {}
        }
    }

    /// Runs a key whose intent has become durable, unless the ownership has ended.
    pub(super) fn run_if_owner(&mut self, now: Now, key: Key, out: &mut Vec<Output>) {
        if now.instant < self.status.until {
            return self.start_run(key, None, out);
        }
        let Some(state) = self.keys.get_mut(&key) else {
            return;
        };
        let waiting = std::mem::take(&mut state.waiting);
        for id in waiting {
            let message = "this entry no longer owns the key's partition";
            refuse(id, Kind::NoOwner, message, out, Effect::Unknown);
        }
        self.mark_not_dispatched(key, out);
    }

    /// Records the outcome of a run of an earlier owner, unless the key's state is known.
    pub(super) fn adopt_outcome(&mut self, record: Record) {
        let Record::Ended {
            key,
            attempt,
            fingerprint,
            outcome,
        } = record
        else {
            return;
        };
        let known = self.keys.get(&key).map(|state| &state.progress);
        let is_unknown = matches!(known, None | Some(Progress::Ended(Outcome::Unknown)));
        if attempt.term >= self.term || !is_unknown {
            return;
        }
        let state = KeyState {
            fingerprint,
            attempt,
            progress: Progress::Ended(outcome),
            waiting: Vec::new(),
        };
        self.recorded_bytes += state.size();
        self.keys.insert(key, state);
    }

    /// Updates the conditions under which the owner may act. If the log went down, keys that wait
    /// for a durable intent run without one where that is allowed.
    pub(super) fn set_owner_status(&mut self, status: OwnerStatus, out: &mut Vec<Output>) {
        self.status = status;
        if status.log_up || !status.promised {
            return;
        }
        let logging = |state: &KeyState| match state.progress {
            Progress::Logging(serial) => Some(serial),
            _ => None,
        };
        for key in self.waiting_keys() {
            let serial = self.keys.get(&key).and_then(logging);
            let may_run = key
                .created()
                .is_some_and(|created| self.may_skip_log(created));
            if let (Some(serial), true) = (serial, may_run) {
                self.start_run(key, Some(serial), out);
            }
        }
    }

    /// Returns keys whose intent is not durable and that were not passed to the dispatcher.
    pub(super) fn waiting_keys(&self) -> Vec<Key> {
        let pending = self.pending.values();
        let keys = pending.filter_map(|pending| match pending {
            Pending::Intent {
                key,
                dispatched: false,
            } => Some(*key),
            _ => None,
        });
        keys.collect()
    }
}
