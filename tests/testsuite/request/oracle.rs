//! Checks of the guarantees for requests, which must hold under all faults.

use std::collections::BTreeMap;

use laburnumplank::core::error::Effect;
use laburnumplank::core::id::Key;
use laburnumplank::core::request::{Answer, Call, Id};
use laburnumplank::core::time::Instant;

/// One request of a caller.
struct Submission {
    entry: usize,
    key: Option<Key>,
    deadline: Instant,
    answer: Option<Effect>,
}

/// Tracks requests, their effects and their answers, and collects violations of the guarantees.
#[derive(Default)]
pub(super) struct Oracle {
    submissions: BTreeMap<Id, Submission>,
    effects: BTreeMap<Key, u32>,
    pub(super) violations: Vec<String>,
    pub(super) answered: usize,
    pub(super) done: usize,
}

impl Oracle {
    pub(super) fn submitted(&mut self, entry: usize, call: &Call) {
        let submission = Submission {
            entry,
            key: call.key(),
            deadline: call.deadline,
            answer: None,
        };
        self.submissions.insert(call.id, submission);
    }

    /// Records that a target runs a request with a key.
    pub(super) fn ran(&mut self, key: Key) {
        let count = self.effects.entry(key).or_default();
        *count += 1;
        if *count > 1 {
            self.violations.push(format!("{key} ran {count} times"));
        }
        let mut of_key = self.submissions.values().filter(|one| one.key == Some(key));
        if of_key.all(|one| one.answer == Some(Effect::NotRun)) {
            self.violations
                .push(format!("{key} ran after the answer `not run`"));
        }
    }

    /// Records that an entry decides on an answer. The effect "not run" must be true at this
    /// moment. While the answer is in transit, another request with the same key may run.
    pub(super) fn decided(&mut self, key: Option<Key>, answer: &Answer) {
        let ran = key.is_some_and(|key| self.effects.contains_key(&key));
        if ran && answer.effect == Effect::NotRun {
            let text = format!("{key:?} ran before the answer `not run`: {answer:?}");
            self.violations.push(text);
        }
    }

    /// Records that a caller gets its final answer.
    pub(super) fn answered(&mut self, now: Instant, id: Id, answer: &Answer) {
        self.answered += 1;
        let Some(submission) = self.submissions.get_mut(&id) else {
            return;
        };
        if submission.answer.replace(answer.effect).is_some() {
            self.violations.push(format!("{id:?} was answered twice"));
        }
        if now > submission.deadline + super::world::GRACE {
            self.violations.push(format!("{id:?} was answered late"));
        }
        let key = submission.key;
        let Ok(body) = &answer.result else {
            return;
        };
        self.done += 1;
        if *body != super::world::body_of(id, key) {
            self.violations
                .push(format!("{id:?} got the answer of another request"));
        }
    }

    /// Removes the deadlines of an entry's unanswered requests, because it was killed or paused.
    pub(super) fn waive_deadlines(&mut self, entry: usize) {
        for submission in self.submissions.values_mut() {
            if submission.entry == entry && submission.answer.is_none() {
                submission.deadline = Instant(u64::MAX / 2);
            }
        }
    }

    /// Checks that no request is past its deadline without an answer.
    pub(super) fn check_deadlines(&mut self, now: Instant) {
        let all = self.submissions.iter();
        let unanswered = all.filter(|(_, one)| one.answer.is_none());
        for (id, submission) in unanswered {
            if now > submission.deadline + super::world::GRACE {
                self.violations.push(format!("{id:?} has no answer"));
            }
        }
    }
}
