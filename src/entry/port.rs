//! What an entry needs of the platform it runs on.
//!
//! The implementations translate between these types and what the platform speaks; nothing in the
//! product knows that.

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
    /// The newest record of each key of the cell's jobs.
    Jobs,
}

/// What an append depends on.
#[value]
pub enum Guard {
    /// The topic ends at this offset.
    End(u64),
    /// No writer with a higher token has written, and the appends of this one come in sequence; a
    /// repeat is not appended again.
    Writer {
        /// The writer's token.
        token: Token,
        /// The number of this append, from 0.
        sequence: u64,
    },
    /// Nothing.
    Always,
}

/// A record to append.
#[state]
pub struct Record {
    /// The key, in topics that keep the newest record of each.
    pub key: Option<Vec<u8>>,
    /// The content; `None` drops the key.
    pub value: Option<Vec<u8>>,
}

/// What became of an append.
#[value]
pub enum Appended {
    /// The records are in the log.
    Done,
    /// A writer with a higher token has written.
    Fenced,
    /// The topic does not end where the guard says.
    Moved,
    /// The log expects the append of another number.
    OutOfSequence {
        /// The number.
        expected: u64,
    },
    /// Nothing was appended; it may be tried again.
    Refused,
    /// It is not known whether the records are in the log.
    Unknown,
}

/// Records that were read.
#[state]
pub struct Page {
    /// The records with their offsets.
    pub records: Vec<(u64, Bytes)>,
    /// Where to read on.
    pub next: u64,
}

/// A page of the newest records of each key.
#[state]
pub struct Newest {
    /// Keys and values.
    pub records: Vec<(Vec<u8>, Vec<u8>)>,
    /// Whether more follow after the last key.
    pub has_more: bool,
}

/// Why a read failed.
#[value]
pub enum Failure {
    /// The records asked for are gone.
    Truncated {
        /// The first that is left.
        first: u64,
    },
    /// The service refused, now.
    Refused,
    /// No answer came in time, or one that makes no sense.
    Lost,
}

/// The platform's log.
pub trait Log {
    /// Appends records, all or none.
    fn append(
        &self,
        topic: Topic,
        records: &[Record],
        guard: Guard,
    ) -> impl Future<Output = Appended>;

    /// Reads records from `from` on, waiting up to `wait` for one.
    fn read(
        &self,
        topic: Topic,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, Failure>>;

    /// Reads the newest record of each key, after `after`.
    fn newest(
        &self,
        topic: Topic,
        after: Option<&[u8]>,
    ) -> impl Future<Output = Result<Newest, Failure>>;
}

/// One life of a worker, and where it answers.
#[state]
pub struct Address {
    /// The worker's name.
    pub name: String,
    /// The life that is meant.
    pub incarnation: u64,
    /// Where it answers.
    pub address: SocketAddr,
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

    /// Extends the lease and reads what runs; waits up to `wait` for an end.
    fn look(
        &self,
        to: &Address,
        look: WorkerPoll,
        wait: Duration,
        token: Token,
    ) -> impl Future<Output = Result<Inventory, Option<Refusal>>>;
}

/// The permitted workers of a step.
#[state]
pub struct Allowed {
    /// Names and tickets.
    pub workers: Vec<(String, Arc<str>)>,
    /// How long the tickets hold.
    pub validity: Duration,
}

/// The service that knows which workers may run a step.
pub trait Advisor {
    /// Asks about workers by name; `None` when no answer came.
    fn advise(
        &self,
        step: Step,
        workers: &[String],
        timeout: Duration,
    ) -> impl Future<Output = Option<Allowed>>;
}

/// A change of the directory.
#[state]
pub enum Change {
    /// A worker is listed, with what is known of it now.
    Listed(Entry),
    /// A worker is listed no more.
    Unlisted(String),
}

/// The directory of workers, as a feed.
pub trait Directory {
    /// Returns the changes since the last call; all that is listed at first.
    ///
    /// # Errors
    ///
    /// After an error the next call gives all that is listed, and what is listed no more.
    fn changes(&mut self) -> impl Future<Output = Result<Vec<Change>, Failure>>;
}

/// The queues that operators configured, as a feed.
pub trait Configuration {
    /// Waits for a newer table than the last one returned; `None` when there is none yet.
    fn next(&mut self) -> impl Future<Output = Result<Option<QueueTable>, Failure>>;
}

/// All of the platform.
pub trait Platform: Log + Workers + Advisor + Clone + 'static {
    /// The directory.
    type Directory: Directory + 'static;
    /// The configuration.
    type Configuration: Configuration + 'static;

    /// Opens the directory.
    fn directory(&self) -> Self::Directory;

    /// Opens the configuration.
    fn configuration(&self) -> Self::Configuration;
}
