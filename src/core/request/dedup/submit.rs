//! Arrival of requests at the table of keys.

use super::record::{Attempt, Record};
use super::table::{Pending, Table};
use super::{KeyState, Now, Output, Progress, Submission, answer_of};
use crate::core::error::{Effect, Kind};
use crate::core::id::Key;
use crate::core::request::call::{Answer, Id};
use crate::core::time::Stamp;

impl Table {
    /// Handles a request: starts a new key, or answers a repeat of a known key when its outcome is
    /// known.
    pub(super) fn submit(&mut self, now: Now, submission: &Submission, out: &mut Vec<Output>) {
        let Submission { id, key, .. } = *submission;
        if now.instant >= self.status.until {
            return refuse(
                id,
                Kind::NoOwner,
                "this entry no longer owns the key's partition",
                out,
                Effect::Unknown,
            );
        }
        let Some(state) = self.keys.get_mut(&key) else {
            return self.submit_new(submission, out);
        };
        if matches!(state.progress, Progress::Void) {
            return self.submit_new(submission, out);
        }
        if state.fingerprint != submission.fingerprint {
            let message = "the key was already used for a different request";
            return refuse(id, Kind::KeyReused, message, out, Effect::NotRun);
        }
        match &state.progress {
            Progress::Ended(outcome) => out.push(Output::Answer {
                id,
                answer: answer_of(outcome),
            }),
            _ => state.waiting.push(id),
        }
    }

    /// Accepts or refuses a request whose key has certainly not run in this term.
    pub(super) fn submit_new(&mut self, submission: &Submission, out: &mut Vec<Output>) {
        let Submission { id, key, .. } = *submission;
        let Some(created) = key.created() else {
            let message = "the key is not a UUID version 7";
            return refuse(id, Kind::KeyRequired, message, out, Effect::NotRun);
        };
        let is_early = created > self.latest_stamp + self.rules.skew;
        if is_early || created + self.rules.retention < self.latest_stamp {
            let message = "the key's creation time is outside the accepted window";
            return refuse(id, Kind::KeyExpired, message, out, Effect::Unknown);
        }
        let is_known = self.keys.contains_key(&key);
        if !is_known && self.gaps.iter().any(|gap| gap.contains(created)) {
            let message = "an earlier owner may have run the request";
            return refuse(id, Kind::AnswerLost, message, out, Effect::Unknown);
        }
        let is_full = !is_known && self.keys.len() >= self.rules.max_keys;
        if is_full {
            let message = "the table of keys is full; retry later";
            return refuse(id, Kind::Overloaded, message, out, Effect::NotRun);
        }
        if let Some(error) = &submission.refusal {
            let answer = Answer::from(error.clone()).with_effect(Effect::NotRun);
            out.push(Output::Answer { id, answer });
            return;
        }
        let may_skip_log = self.may_skip_log(created);
        if !self.status.log_up && !may_skip_log {
            let message = "the log is down; retry later";
            return refuse(id, Kind::LogDown, message, out, Effect::NotRun);
        }
        self.start(submission, out);
    }

    /// Logs an intent to run a key, and runs it at once if the intent need not be durable.
    pub(super) fn start(&mut self, submission: &Submission, out: &mut Vec<Output>) {
        let Submission {
            id,
            key,
            fingerprint,
            ..
        } = *submission;
        let attempt = self.next_attempt(key);
        let intent = Record::Intent {
            key,
            attempt,
            fingerprint,
        };
        let serial = self.append(intent, out);
        self.pending.insert(
            serial,
            Pending::Intent {
                key,
                dispatched: false,
            },
        );
        let state = KeyState {
            fingerprint,
            attempt,
            progress: Progress::Logging(serial),
            waiting: vec![id],
        };
        self.keys.insert(key, state);
        if !self.status.log_up || !self.rules.intent_first {
            self.start_run(key, Some(serial), out);
        }
    }

    /// Returns the identity of the next intent for a key.
    pub(super) fn next_attempt(&self, key: Key) -> Attempt {
        let last = self.keys.get(&key).map(|state| state.attempt);
        let of_this_term = last.filter(|attempt| attempt.term == self.term);
        Attempt {
            term: self.term,
            number: of_this_term.map_or(0, |attempt| attempt.number) + 1,
        }
    }

    /// Returns whether a key created at `created` may run before its intent is durable.
    pub(super) fn may_skip_log(&self, created: Stamp) -> bool {
        let is_above_watermark = created > self.watermark || !self.rules.watermark;
        !self.rules.intent_first
            || (self.is_opening_durable && self.status.promised && is_above_watermark)
    }
}

/// Answers a request with an error and an explicit effect.
pub(super) fn refuse(id: Id, kind: Kind, message: &str, out: &mut Vec<Output>, effect: Effect) {
    let answer = Answer::refused(kind, message).with_effect(effect);
    out.push(Output::Answer { id, answer });
}
