//! What an owner keeps in the log, one record a key, of which the newest counts.
//!
//! A job has two keys. Under its id stands the job as it was accepted and, once it has ended, only
//! how it ended. Under [`Key::Progress`] stands what has been achieved so far, which is dropped at
//! the end. Ends of runs are acknowledged to workers only after they stand here.

use laburnum_derive::{message, value};

use super::id::{Job, Run};
use super::spec::{Queue, Spec};
use crate::core::time::Stamp;

/// How a job stands, for its client.
#[value]
pub enum Phase {
    /// No task has started.
    Queued,
    /// Some task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// Its client cancelled it.
    Cancelled,
}

impl Phase {
    /// Whether nothing more happens to the job.
    pub fn is_final(self) -> bool {
        matches!(self, Phase::Completed | Phase::Failed | Phase::Cancelled)
    }

    /// Returns the name in logs.
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

/// What stands under a job's id.
#[message]
pub enum Record {
    /// The job is accepted.
    Accepted {
        /// When, on the clock of the owner of that time.
        at: Stamp,
        /// The queue at that time.
        queue: Queue,
        /// The job.
        spec: Spec,
    },
    /// The job has ended.
    Ended {
        /// When, on the clock of the owner of that time.
        at: Stamp,
        /// The queue's name.
        queue: String,
        /// How.
        phase: Phase,
    },
}

/// What has been achieved of a job.
#[message]
#[derive(Default)]
pub struct Progress {
    /// The occurrences with anything to note; later ones have begun nothing.
    pub occurrences: Vec<Occurrence>,
    /// All occurrences before this one are complete.
    pub complete_before: u32,
}

/// What has been achieved of an occurrence.
#[message]
pub struct Occurrence {
    /// Its number.
    pub index: u32,
    /// By step.
    pub steps: Vec<Step>,
}

/// What has been achieved of a step.
#[message]
#[derive(Default)]
pub struct Step {
    /// Bit `i % 8` of byte `i / 8` is set when task `i` is done.
    #[serde(with = "serde_bytes")]
    pub done: Vec<u8>,
    /// Tasks with failed runs.
    pub failures: Vec<Failures>,
}

/// The failed runs of a task.
#[message]
pub struct Failures {
    /// The task.
    pub task: u16,
    /// Which: workers list ends that are not acknowledged to every owner, in any order.
    pub runs: Vec<Run>,
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

/// A key of the topic of jobs.
#[value]
pub enum Key {
    /// A [`Record`].
    Job(Job),
    /// A [`Progress`].
    Progress(Job),
    /// The [`Workers`] that may run something.
    Workers,
}

/// The workers that the owner may have started something on, by name and incarnation. It is in the
/// log before the first start, so that the next owner knows whom to ask.
#[message]
#[derive(Default)]
pub struct Workers(pub Vec<(String, u64)>);

/// The key of [`Workers`].
const WORKERS_KEY: &str = "workers";
/// The key bytes that tell progress from the job itself.
const PROGRESS_SUFFIX: &str = ".p";

impl Key {
    /// Returns the bytes in the log.
    pub fn encode(self) -> Vec<u8> {
        match self {
            Key::Job(job) => job.to_string().into_bytes(),
            Key::Progress(job) => format!("{job}{PROGRESS_SUFFIX}").into_bytes(),
            Key::Workers => WORKERS_KEY.as_bytes().to_vec(),
        }
    }

    /// Reads the bytes of a key; `None` for those of something else.
    pub fn decode(bytes: &[u8]) -> Option<Key> {
        let text = std::str::from_utf8(bytes).ok()?;
        if text == WORKERS_KEY {
            return Some(Key::Workers);
        }
        match text.strip_suffix(PROGRESS_SUFFIX) {
            Some(job) => Job::parse(job).map(Key::Progress),
            None => Job::parse(text).map(Key::Job),
        }
    }
}

/// Encodes a record.
pub(super) fn encode<T: serde::Serialize>(record: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(record, &mut bytes).expect("records are plain data");
    bytes
}
