//! The records that an owner keeps in the log. The newest record of a key replaces the earlier ones.
//!
//! A job has two keys. [`Key::Job`] holds the accepted job and, once it has ended, only how it ended.
//! [`Key::Progress`] holds the done tasks and failed runs, and is deleted after the record of the
//! job's end: records are in the log in the order of their marks, and an owner may be lost after any
//! of them. The end of a run is acknowledged to the worker only after the record that contains it is
//! in the log.

use std::net::SocketAddr;

use laburnum_derive::{message, value};

use super::id::{Job, Run};
use super::ledger::Remainder;
use super::poison;
use super::spec::{Queue, Spec};
use crate::core::account;
use crate::core::queue::Endpoint;
use crate::core::time::Stamp;

/// The phase of a job, as reported to its client.
#[value]
pub enum Phase {
    /// No task has been started.
    Queued,
    /// At least one task has been started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// The client cancelled the job.
    Cancelled,
}

impl Phase {
    /// Whether the job has ended and its phase will not change.
    pub fn is_final(self) -> bool {
        matches!(self, Phase::Completed | Phase::Failed | Phase::Cancelled)
    }

    /// Returns the name that log lines use.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Queued => "queued",
            Phase::Running => "running",
            Phase::Completed => "completed",
            Phase::Failed => "failed",
            Phase::Cancelled => "cancelled",
        }
    }
}

/// The value of [`Key::Job`].
#[message]
pub enum Record {
    /// The job is accepted.
    Accepted {
        /// The time of day, on the clock of the owner that accepted it.
        at: Stamp,
        /// The queue as configured at that time.
        queue: Queue,
        /// The job.
        spec: Spec,
        /// The client account of the job. Records of versions without accounts have none.
        #[serde(default)]
        account: Option<account::Name>,
        /// Whether the account has sent more than its weight entitles it to.
        #[serde(default, skip_serializing_if = "is_false")]
        is_surplus: bool,
        /// Where the client handed the job in. Records of earlier releases have none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        endpoint: Option<Endpoint>,
    },
    /// The job has ended.
    Ended {
        /// The time of day, on the clock of the owner that ended it.
        at: Stamp,
        /// The queue's name.
        queue: String,
        /// The final phase.
        phase: Phase,
        /// The client account of the job. Records of versions without accounts have none.
        #[serde(default)]
        account: Option<account::Name>,
        /// The runs that the job may have left. Records of jobs without an account have none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        remainder: Option<Remainder>,
        /// Where the client handed the job in. Records of earlier releases have none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        endpoint: Option<Endpoint>,
    },
}

/// The progress of a job.
#[message]
#[derive(Default)]
pub struct Progress {
    /// The incomplete occurrences with done tasks or failed runs.
    pub occurrences: Vec<Occurrence>,
    /// All occurrences with lower numbers are complete.
    pub complete_before: u32,
    /// The complete occurrences with higher numbers, in ascending order. Records of versions that did
    /// not list them have none.
    #[serde(default)]
    pub complete: Vec<Span>,
}

/// Occurrences with successive numbers.
#[message]
pub struct Span {
    /// The first number.
    pub first: u32,
    /// The number after the last.
    pub end: u32,
}

/// The progress of an occurrence.
#[message]
pub struct Occurrence {
    /// The number of the occurrence.
    pub index: u32,
    /// The steps, by index.
    pub steps: Vec<Step>,
}

/// The progress of a step.
#[message]
#[derive(Default)]
pub struct Step {
    /// Bit `i % 8` of byte `i / 8` is set when task `i` is done.
    #[serde(with = "serde_bytes")]
    pub done: Vec<u8>,
    /// Tasks with failed runs.
    pub failures: Vec<Failures>,
    /// Tasks under whose runs workers have crashed. Records of versions that did not count crashes
    /// have none.
    #[serde(default)]
    pub crashes: Vec<Crashes>,
}

/// The crashes of workers under the runs of a task.
#[message]
pub struct Crashes {
    /// The index of the task in its step.
    pub task: u16,
    /// What is known of them.
    pub history: poison::Record,
}

/// The failed runs of a task.
#[message]
pub struct Failures {
    /// The index of the task in its step.
    pub task: u16,
    /// The numbers of the runs. A count would not do: workers report an end to every owner until it
    /// is acknowledged, and the ends of different workers arrive in any order.
    pub runs: Vec<Run>,
}

impl Progress {
    /// Whether an occurrence is complete.
    pub fn is_complete(&self, index: u32) -> bool {
        let is_listed = |span: &Span| (span.first..span.end).contains(&index);
        index < self.complete_before || self.complete.iter().any(is_listed)
    }
}

impl Step {
    /// Marks a task as done.
    pub fn set_done(&mut self, task: u16) {
        let byte = usize::from(task / 8);
        if self.done.len() <= byte {
            self.done.resize(byte + 1, 0);
        }
        self.done[byte] |= 1 << (task % 8);
    }

    /// Whether a task is done.
    pub fn is_done(&self, task: u16) -> bool {
        let byte = self.done.get(usize::from(task / 8)).copied();
        byte.is_some_and(|byte| byte & (1 << (task % 8)) != 0)
    }
}

/// A key of the log topic of jobs.
#[value]
pub enum Key {
    /// The key of a job's [`Record`].
    Job(Job),
    /// The key of a job's [`Progress`].
    Progress(Job),
    /// The key of the [`Workers`] record.
    Workers,
    /// The key of the [`Addresses`] record.
    Addresses,
    /// The key of the record of [`Losses`](super::loss::Losses).
    Losses,
}

/// The workers on which the owner may start tasks, by name and incarnation. A worker is in the record
/// before anything is started on it, so that the next owner knows which inventories it has to read.
#[message]
#[derive(Default)]
pub struct Workers(pub Vec<(String, u64)>);

/// The addresses at which workers have responded to the owner, by name and incarnation. The next owner takes a rejection
/// for the end of a worker only there. Apart from [`Workers`], whose form earlier releases read.
#[message]
#[derive(Default)]
pub struct Addresses(pub Vec<(String, u64, SocketAddr)>);

/// The text of [`Key::Addresses`].
const ADDRESSES_KEY: &str = "addresses";
/// The text of [`Key::Workers`].
const WORKERS_KEY: &str = "workers";
/// The text of [`Key::Losses`].
const LOSSES_KEY: &str = "losses";
/// The suffix that distinguishes [`Key::Progress`] from [`Key::Job`].
const PROGRESS_SUFFIX: &str = ".p";

impl Key {
    /// Returns the key as the log stores it.
    pub fn encode(self) -> Vec<u8> {
        match self {
            Key::Job(job) => job.to_string().into_bytes(),
            Key::Progress(job) => format!("{job}{PROGRESS_SUFFIX}").into_bytes(),
            Key::Workers => WORKERS_KEY.as_bytes().to_vec(),
            Key::Addresses => ADDRESSES_KEY.as_bytes().to_vec(),
            Key::Losses => LOSSES_KEY.as_bytes().to_vec(),
        }
    }

    /// Parses a key from the log; `None` for a key that is not one of the scheduler's.
    pub fn decode(bytes: &[u8]) -> Option<Key> {
        let text = std::str::from_utf8(bytes).ok()?;
        if text == WORKERS_KEY {
            return Some(Key::Workers);
        }
        if text == ADDRESSES_KEY {
            return Some(Key::Addresses);
        }
        if text == LOSSES_KEY {
            return Some(Key::Losses);
        }
        match text.strip_suffix(PROGRESS_SUFFIX) {
            Some(job) => Job::parse(job).map(Key::Progress),
            None => Job::parse(text).map(Key::Job),
        }
    }
}

#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature is serde's"
)]
fn is_false(value: &bool) -> bool {
    !value
}

/// Encodes a record as CBOR.
pub(super) fn encode<T: serde::Serialize>(record: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(record, &mut bytes).expect("records are plain data");
    bytes
}
