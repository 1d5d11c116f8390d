//! Requests as they arrive at the table.

use super::record::{Attempt, Record};
use super::table::{Pending, Table};
use super::{Entry, Now, Output, Progress, Submission, answer_of};
use crate::core::error::{Effect, Kind};
use crate::core::id::Key;
use crate::core::request::call::{Answer, Id};
use crate::core::time::Stamp;

impl Table {
    pub(super) fn submit(&mut self, now: Now, submission: &Submission, out: &mut Vec<Output>) {
        let Submission { id, key, .. } = *submission;
        if now.instant >= self.standing.until {
            return refuse(
                id,
                Kind::NoOwner,
                "the ownership has ended",
                out,
                Effect::Unknown,
            );
        }
        let Some(entry) = self.entries.get_mut(&key) else {
            return self.submit_new(submission, out);
        };
        if matches!(entry.progress, Progress::Void) {
            return self.submit_new(submission, out);
        }
        if entry.fingerprint != submission.fingerprint {
            let message = "the key was used with another request";
            return refuse(id, Kind::KeyReused, message, out, Effect::NotRun);
        }
        match &entry.progress {
            Progress::Ended(outcome) => out.push(Output::Answer {
                id,
                answer: answer_of(outcome),
            }),
            _ => entry.waiting.push(id),
        }
    }

    /// Takes a key that surely has not run in this term, or refuses it.
    pub(super) fn submit_new(&mut self, submission: &Submission, out: &mut Vec<Output>) {
        let Submission { id, key, .. } = *submission;
        let Some(created) = key.created() else {
            let message = "the key is not a UUID version 7";
            return refuse(id, Kind::KeyRequired, message, out, Effect::NotRun);
        };
        let is_early = created > self.stamp + self.rules.skew;
        if is_early || created + self.rules.retention < self.stamp {
            let message = "the key was created outside the accepted window";
            return refuse(id, Kind::KeyExpired, message, out, Effect::Unknown);
        }
        let is_known = self.entries.contains_key(&key);
        if !is_known && self.gaps.iter().any(|gap| gap.contains(created)) {
            let message = "an earlier owner may have run the request";
            return refuse(id, Kind::AnswerLost, message, out, Effect::Unknown);
        }
        let is_full = !is_known && self.entries.len() >= self.rules.keys;
        if is_full {
            let message = "too many keys are remembered; come back later";
            return refuse(id, Kind::Overloaded, message, out, Effect::NotRun);
        }
        if let Some(error) = &submission.refusal {
            let answer = Answer::from(error.clone()).with_effect(Effect::NotRun);
            out.push(Output::Answer { id, answer });
            return;
        }
        let may_skip_log = self.may_skip_log(created);
        if !self.standing.log_up && !may_skip_log {
            let message = "the log is down; come back later";
            return refuse(id, Kind::LogDown, message, out, Effect::NotRun);
        }
        self.start(submission, out);
    }

    /// Logs the intent of a key, and runs it if the intent need not be durable.
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
        self.pending
            .insert(serial, Pending::Intent { key, ran: false });
        let entry = Entry {
            fingerprint,
            attempt,
            progress: Progress::Logging(serial),
            waiting: vec![id],
        };
        self.entries.insert(key, entry);
        if !self.standing.log_up || !self.rules.intent_first {
            self.run(key, Some(serial), out);
        }
    }

    /// Returns the number of the next intent for a key.
    pub(super) fn next_attempt(&self, key: Key) -> Attempt {
        let last = self.entries.get(&key).map(|entry| entry.attempt);
        let of_term = last.filter(|attempt| attempt.term == self.term);
        Attempt {
            term: self.term,
            number: of_term.map_or(0, |attempt| attempt.number) + 1,
        }
    }

    /// Returns whether a key may run before its intent is durable.
    pub(super) fn may_skip_log(&self, created: Stamp) -> bool {
        let is_above_mark = created > self.mark || !self.rules.watermark;
        !self.rules.intent_first || (self.is_open && self.standing.promised && is_above_mark)
    }
}

/// Refuses a request.
pub(super) fn refuse(id: Id, kind: Kind, message: &str, out: &mut Vec<Output>, effect: Effect) {
    let answer = Answer::refused(kind, message).with_effect(effect);
    out.push(Output::Answer { id, answer });
}
