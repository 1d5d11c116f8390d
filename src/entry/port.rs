//! The interfaces through which an entry uses the platform it runs on.
//!
//! Implementations translate between these types and the platform's protocols, so that no other part
//! of the product depends on those protocols.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use laburnum_derive::{state, value};

use crate::core::queue::QueueTable;
use crate::core::scheduler::WorkerPoll;
use crate::core::scheduler::id::{Run, Step, Task, Token};
use crate::core::scheduler::message::{Inventory, Outcome, Refusal, Start};
use crate::core::scheduler::worker::Entry;

/// A topic of the log.
#[value]
pub enum Topic {
    /// Claims on the cell, in order.
    Claims,
    /// The cell's jobs; the log keeps the newest record of each key.
    Jobs,
}

/// The condition under which the log accepts an append.
#[value]
pub enum AppendCondition {
    /// The topic ends at this offset.
    End(u64),
    /// No writer with a higher token has written, and the appends of this writer arrive in sequence.
    /// A repeated append succeeds without being written again.
    Writer {
        /// The writer's token.
        token: Token,
        /// The number of this append, from 0.
        sequence: u64,
    },
    /// No condition.
    Always,
}

/// A record to append.
#[state]
pub struct Record {
    /// The key, in topics that keep the newest record of each key.
    pub key: Option<Vec<u8>>,
    /// The content; `None` deletes the key.
    pub value: Option<Vec<u8>>,
}

/// The outcome of an append.
#[value]
pub enum AppendOutcome {
    /// The records are in the log.
    Done,
    /// A writer with a higher token has written.
    Fenced,
    /// The topic does not end at the offset of the condition.
    Moved,
    /// The log expects an append with another sequence number.
    OutOfSequence {
        /// The expected sequence number.
        expected: u64,
    },
    /// Nothing was appended; the append may be tried again.
    Refused,
    /// It is not known whether the records are in the log.
    Unknown,
}

/// The result of a read.
#[state]
pub struct Page {
    /// The records with their offsets.
    pub records: Vec<(u64, Bytes)>,
    /// The offset at which the next read continues.
    pub next: u64,
    /// The offset at which the topic ended.
    pub end: u64,
}

/// One page of the newest records of all keys.
#[state]
pub struct LatestPage {
    /// The keys and values.
    pub records: Vec<(Vec<u8>, Vec<u8>)>,
    /// Whether more keys follow after the last one of this page.
    pub has_more: bool,
    /// The offset at which the topic ended when the page was read.
    pub end: u64,
}

/// The changes of keys that a read returns.
#[state]
pub struct Changes {
    /// The keys with their new values, in order; `None` for a key that was deleted.
    pub records: Vec<(Vec<u8>, Option<Vec<u8>>)>,
    /// The offset at which the next read continues.
    pub next: u64,
    /// The offset at which the topic ended.
    pub end: u64,
}

/// Why a read failed.
#[value]
pub enum ReadError {
    /// The log no longer has the requested records.
    Truncated {
        /// The offset of the first record that the log still has.
        first: u64,
    },
    /// The service refused the read for now.
    Refused,
    /// No answer came in time, or the answer was invalid.
    Lost,
}

/// The platform's log.
pub trait Log {
    /// Appends all of the records or none.
    fn append(
        &self,
        topic: Topic,
        records: &[Record],
        condition: AppendCondition,
    ) -> impl Future<Output = AppendOutcome>;

    /// Reads records from offset `from` on. If there are none, waits up to `wait` for one.
    fn read(
        &self,
        topic: Topic,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, ReadError>>;

    /// Reads the newest records of the keys after `after`, or of all keys from the first one on.
    fn newest(
        &self,
        topic: Topic,
        after: Option<&[u8]>,
    ) -> impl Future<Output = Result<LatestPage, ReadError>>;

    /// Reads the changes of keys from offset `from` on, without waiting for one.
    fn changes(&self, topic: Topic, from: u64) -> impl Future<Output = Result<Changes, ReadError>>;
}

/// The address of one incarnation of a worker.
#[state]
pub struct Address {
    /// The worker's name.
    pub name: String,
    /// The incarnation, which changes when the worker restarts.
    pub incarnation: u64,
    /// The network address of its control interface.
    pub address: SocketAddr,
}

impl From<&Entry> for Address {
    fn from(entry: &Entry) -> Address {
        Address {
            name: entry.name.clone(),
            incarnation: entry.incarnation,
            address: entry.address,
        }
    }
}

/// The workers' control interface.
pub trait Workers {
    /// Starts a run.
    fn start(&self, to: &Address, start: &Start, token: Token) -> impl Future<Output = Outcome>;

    /// Stops a run.
    fn stop(
        &self,
        to: &Address,
        task: Task,
        run: Run,
        token: Token,
    ) -> impl Future<Output = Outcome>;

    /// Extends the worker's lease and returns its inventory of runs. The worker delays its response
    /// by up to `wait` until a run ends. `Err(None)` means that the outcome is unknown.
    fn poll(
        &self,
        to: &Address,
        poll: WorkerPoll,
        wait: Duration,
        token: Token,
    ) -> impl Future<Output = Result<Inventory, Option<Refusal>>>;
}

/// The workers that may run a step.
#[state]
pub struct PermittedWorkers {
    /// The workers' names, each with the advisor's ticket for it.
    pub workers: Vec<(String, Arc<str>)>,
    /// How long the tickets are valid.
    pub validity: Duration,
}

/// The service that decides which workers may run a step.
pub trait Advisor {
    /// Returns which of the named workers may run a step; `None` when no answer came within `timeout`.
    fn advise(
        &self,
        step: Step,
        workers: &[String],
        timeout: Duration,
    ) -> impl Future<Output = Option<PermittedWorkers>>;
}

/// A change in the directory of workers.
#[state]
pub enum DirectoryChange {
    /// A worker is listed, with its current description.
    Listed(Entry),
    /// The worker with this name is no longer listed.
    Unlisted(String),
}

/// The directory of workers, as a feed.
pub trait Directory {
    /// Returns the changes since the last call; the first call returns all listed workers.
    ///
    /// # Errors
    ///
    /// Fails when the directory cannot be read. The next successful call then returns all listed
    /// workers, and those that are no longer listed.
    fn changes(&mut self) -> impl Future<Output = Result<Vec<DirectoryChange>, ReadError>>;
}

/// What a read of the configuration returned.
#[state]
pub enum Reading {
    /// No newer table yet.
    Unchanged,
    /// A table.
    Table(Box<QueueTable>),
    /// There are records up to the offset `end`, whose transfer takes long and is paused. The reader either
    /// [finishes](Configuration::finish) it or, if it gets their content elsewhere,
    /// [skips](Configuration::skip_to) them.
    Large {
        /// The offset at which the topic ends.
        end: u64,
    },
}

/// The queues that operators configured, as a feed.
pub trait Configuration {
    /// Waits for a newer table than the last one returned, for a limited time.
    fn next(&mut self) -> impl Future<Output = Result<Reading, ReadError>>;

    /// Completes a paused transfer.
    fn finish(&mut self) -> impl Future<Output = Result<Reading, ReadError>>;

    /// Continues at `position`, and drops a paused transfer.
    fn skip_to(&mut self, position: u64);

    /// Returns the offset up to which the feed has read; `None` before the first read.
    fn position(&self) -> Option<u64>;
}

/// All interfaces of the platform.
pub trait Platform: Log + Workers + Advisor + Clone + 'static {
    /// The feed of the directory.
    type Directory: Directory + 'static;
    /// The feed of the configuration.
    type Configuration: Configuration + 'static;

    /// Opens a new feed of the directory.
    fn directory(&self) -> Self::Directory;

    /// Opens a new feed of the configuration.
    fn configuration(&self) -> Self::Configuration;
}
