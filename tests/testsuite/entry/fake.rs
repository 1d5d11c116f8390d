//! An in-memory platform whose log can refuse appends, delay them and lose their answers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use laburnumplank::core::queue::QueueTable;
use laburnumplank::core::scheduler::WorkerPoll;
use laburnumplank::core::scheduler::id::{Run, Step, Task, Token};
use laburnumplank::core::scheduler::message::{Inventory, Outcome, Refusal, Start};
use laburnumplank::core::tenure;
use laburnumplank::entry::port::{
    Address, Advisor, AppendCondition, AppendOutcome, Changes, Configuration, Directory,
    DirectoryChange, LatestPage, Log, Page, PermittedWorkers, Platform, ReadError, Reading, Record,
    Topic, Workers,
};

/// A key and its new value.
type Change = (Vec<u8>, Option<Vec<u8>>);

/// The state of the platform, which all of its handles share.
#[derive(Default)]
pub(super) struct State {
    /// The newest record of each key of the jobs topic.
    pub(super) jobs: RefCell<BTreeMap<Vec<u8>, Vec<u8>>>,
    /// The changes of the jobs topic, in order.
    changes: RefCell<Vec<Change>>,
    /// The first offset of the jobs topic that can still be read.
    pub(super) first_change: Cell<u64>,
    /// How many pages of newest records have been read.
    pub(super) pages_read: Cell<u32>,
    /// How many more appends with records are refused.
    pub(super) refusals: Cell<u32>,
    /// How many more appends are executed without an answer.
    pub(super) lost_answers: Cell<u32>,
    /// Whether appends with records wait until this is reset.
    pub(super) is_slow: Cell<bool>,
    /// Whether reads of the newest records wait for ever.
    pub(super) is_reading_stuck: Cell<bool>,
    /// How many appends wait now.
    pub(super) waiting: Cell<u32>,
    /// The sequence number that the log expects next.
    sequence: Cell<u64>,
    /// The highest token that has written.
    pub(super) fence: Cell<u64>,
    /// The records of the claims topic.
    pub(super) claims: RefCell<Vec<Bytes>>,
    /// Records of other entries, each of which is appended just before the next claim arrives.
    pub(super) before_claims: RefCell<Vec<Bytes>>,
    /// How many claims have been refused because the topic had moved.
    pub(super) moved_claims: Cell<u32>,
    /// Whether reads of the claims are refused.
    pub(super) are_reads_refused: Cell<bool>,
    /// Whether reads of the claims wait until this is reset.
    pub(super) are_reads_held: Cell<bool>,
    /// The configuration that the next feed has.
    pub(super) configuration: RefCell<Feed>,
}

/// A handle of the platform.
#[derive(Clone, Default)]
pub(super) struct Fake(pub(super) Rc<State>, Detour);

/// The address at which an entry reaches another one, instead of the one that the other announces.
type Detour = Option<(SocketAddr, SocketAddr)>;

impl Fake {
    /// Returns a handle for an entry that reaches the entry at `from` through `to`.
    pub(super) fn with_detour(&self, from: SocketAddr, to: SocketAddr) -> Fake {
        Fake(Rc::clone(&self.0), Some((from, to)))
    }

    /// Returns a record of the claims as the entry of this handle reads it.
    fn redirect(&self, record: Bytes) -> Bytes {
        let Some((from, to)) = self.1 else {
            return record;
        };
        let mut decoded: tenure::Record = ciborium::from_reader(&record[..]).unwrap();
        let owner = match &mut decoded {
            tenure::Record::Claim(owner) | tenure::Record::Present(owner) => owner,
            tenure::Record::Renewal(claim) => &mut claim.owner,
            tenure::Record::Release(_) => return record,
        };
        if owner.address == from {
            owner.address = to;
        }
        let mut redirected = Vec::new();
        ciborium::into_writer(&decoded, &mut redirected).unwrap();
        redirected.into()
    }
}

impl State {
    fn append_claims(&self, records: &[Record], condition: AppendCondition) -> AppendOutcome {
        let mut claims = self.claims.borrow_mut();
        if matches!(condition, AppendCondition::End(_)) {
            claims.extend(self.before_claims.borrow_mut().pop());
        }
        if let AppendCondition::End(end) = condition
            && end != claims.len() as u64
        {
            self.moved_claims.set(self.moved_claims.get() + 1);
            return AppendOutcome::Moved;
        }
        claims.extend(
            records
                .iter()
                .filter_map(|record| record.value.clone())
                .map(Bytes::from),
        );
        AppendOutcome::Done
    }
}

impl Log for Fake {
    async fn append(
        &self,
        topic: Topic,
        records: &[Record],
        condition: AppendCondition,
    ) -> AppendOutcome {
        let state = &self.0;
        if topic == Topic::Claims {
            return state.append_claims(records, condition);
        }
        let AppendCondition::Writer { token, sequence } = condition else {
            return AppendOutcome::Done;
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
            return AppendOutcome::Refused;
        }
        if token.0 < state.fence.get() {
            return AppendOutcome::Fenced;
        }
        if token.0 > state.fence.get() {
            state.sequence.set(0);
        }
        state.fence.set(token.0);
        if records.is_empty() {
            return AppendOutcome::Done;
        }
        if sequence + 1 == state.sequence.get() {
            return AppendOutcome::Done;
        }
        if sequence != state.sequence.get() {
            return AppendOutcome::OutOfSequence {
                expected: state.sequence.get(),
            };
        }
        state.sequence.set(sequence + 1);
        for record in records {
            let key = record.key.clone().unwrap();
            let change = (key.clone(), record.value.clone());
            state.changes.borrow_mut().push(change);
            match &record.value {
                Some(value) => state.jobs.borrow_mut().insert(key, value.clone()),
                None => state.jobs.borrow_mut().remove(&key),
            };
        }
        if state.lost_answers.get() > 0 {
            state.lost_answers.set(state.lost_answers.get() - 1);
            return AppendOutcome::Unknown;
        }
        AppendOutcome::Done
    }

    async fn read(&self, _topic: Topic, from: u64, wait: Duration) -> Result<Page, ReadError> {
        let state = &self.0;
        let end = Instant::now() + wait;
        if state.are_reads_refused.get() {
            return Err(ReadError::Refused);
        }
        while state.are_reads_held.get()
            || (state.claims.borrow().len() as u64 <= from && Instant::now() < end)
        {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let claims = state.claims.borrow();
        let records = (0..).zip(claims.iter().cloned()).skip(from as usize);
        let records = records.map(|(offset, record)| (offset, self.redirect(record)));
        Ok(Page {
            records: records.collect(),
            next: claims.len() as u64,
            end: claims.len() as u64,
        })
    }

    async fn changes(&self, _topic: Topic, from: u64) -> Result<Changes, ReadError> {
        let first = self.0.first_change.get();
        if from < first {
            return Err(ReadError::Truncated { first });
        }
        let changes = self.0.changes.borrow();
        let end = changes.len() as u64;
        Ok(Changes {
            records: changes[from as usize..].to_vec(),
            next: end,
            end,
        })
    }

    async fn newest(&self, _topic: Topic, _after: Option<&[u8]>) -> Result<LatestPage, ReadError> {
        self.0.pages_read.set(self.0.pages_read.get() + 1);
        if self.0.is_reading_stuck.get() {
            std::future::pending::<()>().await;
        }
        let jobs = self.0.jobs.borrow();
        Ok(LatestPage {
            records: jobs
                .iter()
                .map(|(key, value)| (key.clone(), value.clone()))
                .collect(),
            has_more: false,
            end: self.0.changes.borrow().len() as u64,
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

    async fn poll(
        &self,
        _to: &Address,
        _poll: WorkerPoll,
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
    ) -> Option<PermittedWorkers> {
        None
    }
}

/// A directory without workers.
pub(super) struct Empty;

/// What a feed of the configuration returns.
#[derive(Clone, Default)]
pub(super) enum Feed {
    /// No table.
    #[default]
    Empty,
    /// One table, again and again.
    Table(QueueTable),
    /// The platform refuses every read.
    Refused,
    /// The tables of a log, one after the other.
    Log(Tables),
}

impl Directory for Empty {
    async fn changes(&mut self) -> Result<Vec<DirectoryChange>, ReadError> {
        Ok(Vec::new())
    }
}

impl Configuration for Feed {
    async fn next(&mut self) -> Result<Reading, ReadError> {
        tokio::time::sleep(Duration::from_millis(10)).await;
        match self {
            Feed::Empty => Ok(Reading::Unchanged),
            Feed::Table(table) => Ok(Reading::Table(Box::new(table.clone()))),
            Feed::Refused => Err(ReadError::Refused),
            Feed::Log(log) => Ok(log.next()),
        }
    }

    async fn finish(&mut self) -> Result<Reading, ReadError> {
        match self {
            Feed::Log(log) => Ok(log.finish()),
            _ => Ok(Reading::Unchanged),
        }
    }

    fn skip_to(&mut self, position: u64) {
        if let Feed::Log(log) = self {
            log.position = position;
        }
    }

    fn position(&self) -> Option<u64> {
        match self {
            Feed::Log(log) => Some(log.position),
            _ => None,
        }
    }
}

/// A log of tables, all of which take long to transfer.
#[derive(Clone, Default)]
pub(super) struct Tables {
    tables: Rc<RefCell<Vec<QueueTable>>>,
    position: u64,
    /// How many tables have been transferred to all readers.
    pub(super) transfers: Rc<Cell<u32>>,
}

impl Tables {
    pub(super) fn push(&self, table: QueueTable) {
        self.tables.borrow_mut().push(table);
    }

    fn next(&self) -> Reading {
        let end = self.tables.borrow().len() as u64;
        match end > self.position {
            true => Reading::Large { end },
            false => Reading::Unchanged,
        }
    }

    fn finish(&mut self) -> Reading {
        let table = self.tables.borrow()[self.position as usize].clone();
        self.position += 1;
        self.transfers.set(self.transfers.get() + 1);
        Reading::Table(Box::new(table))
    }
}

impl Platform for Fake {
    type Directory = Empty;
    type Configuration = Feed;

    fn directory(&self) -> Empty {
        Empty
    }

    fn configuration(&self) -> Feed {
        self.0.configuration.borrow().clone()
    }
}
