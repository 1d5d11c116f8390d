//! What must hold of requests, whatever the faults.

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

/// Watches requests, their effects and their answers.
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

    /// A target runs a key.
    pub(super) fn ran(&mut self, key: Key) {
        let count = self.effects.entry(key).or_default();
        *count += 1;
        if *count > 1 {
            self.violations.push(format!("{key} ran {count} times"));
        }
        let mut of_key = self.submissions.values().filter(|one| one.key == Some(key));
        if of_key.all(|one| one.answer == Some(Effect::NotRun)) {
            self.violations.push(format!("{key} ran after `not run`"));
        }
    }

    /// An entry decides on an answer. "Not run" must hold at this moment; while the answer travels,
    /// another request with the same key may run.
    pub(super) fn decided(&mut self, key: Option<Key>, answer: &Answer) {
        let ran = key.is_some_and(|key| self.effects.contains_key(&key));
        if ran && answer.effect == Effect::NotRun {
            let text = format!("{key:?} ran in spite of `not run`: {answer:?}");
            self.violations.push(text);
        }
    }

    /// A caller gets its final answer.
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
                .push(format!("{id:?} got the answer of another"));
        }
    }

    /// An entry died or was paused; its open requests are out of its hands.
    pub(super) fn excuse(&mut self, entry: usize) {
        for submission in self.submissions.values_mut() {
            if submission.entry == entry && submission.answer.is_none() {
                submission.deadline = Instant(u64::MAX / 2);
            }
        }
    }

    /// Checks that no request is past its deadline without an answer.
    pub(super) fn check_deadlines(&mut self, now: Instant) {
        let open = self.submissions.iter();
        let open = open.filter(|(_, one)| one.answer.is_none());
        for (id, submission) in open {
            if now > submission.deadline + super::world::GRACE {
                self.violations.push(format!("{id:?} has no answer"));
            }
        }
    }
}
