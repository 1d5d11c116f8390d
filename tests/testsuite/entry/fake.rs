//! A platform in memory, with a log that can refuse.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use laburnumplank::core::queue::QueueTable;
use laburnumplank::core::scheduler::WorkerPoll;
use laburnumplank::core::scheduler::id::{Run, Step, Task, Token};
use laburnumplank::core::scheduler::message::{Inventory, Outcome, Refusal, Start};
use laburnumplank::entry::port::{
    Address, Advisor, Allowed, Appended, Change, Configuration, Directory, Failure, Guard, Log,
    Newest, Page, Platform, Record, Topic, Workers,
};

/// The platform's state.
#[derive(Default)]
pub(super) struct State {
    /// The newest record of each key.
    pub(super) jobs: RefCell<BTreeMap<Vec<u8>, Vec<u8>>>,
    /// How many more appends are refused.
    pub(super) refusals: Cell<u32>,
    /// How many more appends are done without an answer.
    pub(super) lost_answers: Cell<u32>,
    /// Whether appends with records wait before they are taken.
    pub(super) is_slow: Cell<bool>,
    /// How many appends wait.
    pub(super) waiting: Cell<u32>,
    /// The number of the next append.
    sequence: Cell<u64>,
    /// The highest token that has written.
    pub(super) fence: Cell<u64>,
}

#[derive(Clone, Default)]
pub(super) struct Fake(pub(super) Rc<State>);

impl Log for Fake {
    async fn append(&self, _topic: Topic, records: &[Record], guard: Guard) -> Appended {
        let state = &self.0;
        let Guard::Writer { token, sequence } = guard else {
            return Appended::Done;
        };
        if state.is_slow.get() && !records.is_empty() {
            state.waiting.set(state.waiting.get() + 1);
            while state.is_slow.get() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            state.waiting.set(state.waiting.get() - 1);
        }
        if state.refusals.get() > 0 && !records.is_empty() {
            state.refusals.set(state.refusals.get() - 1);
            return Appended::Refused;
        }
        if token.0 < state.fence.get() {
            return Appended::Fenced;
        }
        if token.0 > state.fence.get() {
            state.sequence.set(0);
        }
        state.fence.set(token.0);
        if records.is_empty() {
            return Appended::Done;
        }
        if sequence + 1 == state.sequence.get() {
            return Appended::Done;
        }
        if sequence != state.sequence.get() {
            return Appended::OutOfSequence {
                expected: state.sequence.get(),
            };
        }
        state.sequence.set(sequence + 1);
        for record in records {
            let key = record.key.clone().unwrap();
            match &record.value {
                Some(value) => state.jobs.borrow_mut().insert(key, value.clone()),
                None => state.jobs.borrow_mut().remove(&key),
            };
        }
        if state.lost_answers.get() > 0 {
            state.lost_answers.set(state.lost_answers.get() - 1);
            return Appended::Unknown;
        }
        Appended::Done
    }

    async fn read(&self, _topic: Topic, from: u64, _wait: Duration) -> Result<Page, Failure> {
        Ok(Page {
            records: Vec::new(),
            next: from,
        })
    }

    async fn newest(&self, _topic: Topic, _after: Option<&[u8]>) -> Result<Newest, Failure> {
        let jobs = self.0.jobs.borrow();
        Ok(Newest {
            records: jobs
                .iter()
                .map(|(key, value)| (key.clone(), value.clone()))
                .collect(),
            has_more: false,
        })
    }
}

impl Workers for Fake {
    async fn start(&self, _to: &Address, _start: &Start, _token: Token) -> Outcome {
        Outcome::Unknown
    }

    async fn stop(&self, _to: &Address, _task: Task, _run: Run, _token: Token) -> Outcome {
        Outcome::Unknown
    }

    async fn look(
        &self,
        _to: &Address,
        _look: WorkerPoll,
        _wait: Duration,
        _token: Token,
    ) -> Result<Inventory, Option<Refusal>> {
        Err(None)
    }
}

impl Advisor for Fake {
    async fn advise(
        &self,
        _step: Step,
        _workers: &[String],
        _timeout: Duration,
    ) -> Option<Allowed> {
        None
    }
}

/// Lists nothing and says nothing.
pub(super) struct Silent;

impl Directory for Silent {
    async fn changes(&mut self) -> Result<Vec<Change>, Failure> {
        Ok(Vec::new())
    }
}

impl Configuration for Silent {
    async fn next(&mut self) -> Result<Option<QueueTable>, Failure> {
        Ok(None)
    }
}

impl Platform for Fake {
    type Directory = Silent;
    type Configuration = Silent;

    fn directory(&self) -> Silent {
        Silent
    }

    fn configuration(&self) -> Silent {
        Silent
    }
}
