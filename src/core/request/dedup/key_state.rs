//! The state of one key.

use laburnum_derive::state;

use super::record::{Attempt, Outcome, Record, Serial};
use crate::core::error::Error;
use crate::core::id::Key;
use crate::core::request::call::Id;

/// The progress of the run of a key.
#[state]
pub(super) enum Progress {
    /// The intent is not durable yet, and no request was dispatched.
    Logging(Serial),
    /// A request was passed to the dispatcher.
    Running {
        /// The request that runs.
        request: Id,
        /// The record of the intent, while it is not durable.
        undurable: Option<Serial>,
    },
    /// The newest intent was cancelled, and certainly no target ran its request.
    Void,
    /// The run has ended.
    Ended(Outcome),
}

/// The state of one key.
#[state]
pub(super) struct KeyState {
    pub(super) fingerprint: u64,
    /// The newest intent.
    pub(super) attempt: Attempt,
    pub(super) progress: Progress,
    /// Requests that wait for the outcome; the first is the one that is run.
    pub(super) waiting: Vec<Id>,
}

impl KeyState {
    /// Returns the size of the recorded answer, in bytes.
    pub(super) fn size(&self) -> usize {
        match &self.progress {
            Progress::Ended(outcome) => outcome.size(),
            _ => 0,
        }
    }

    /// Returns whether the key's intent is being logged or its run goes on.
    pub(super) fn is_unfinished(&self) -> bool {
        matches!(
            self.progress,
            Progress::Logging(_) | Progress::Running { .. }
        )
    }

    /// Returns whether `id` is the request that runs.
    pub(super) fn is_run_of(&self, id: Id) -> bool {
        matches!(self.progress, Progress::Running { request, .. } if request == id)
    }

    /// Returns the record of the running intent, if it is not durable.
    pub(super) fn undurable(&self) -> Option<Serial> {
        match self.progress {
            Progress::Running { undurable, .. } => undurable,
            _ => None,
        }
    }

    /// Returns whether the key is neither being logged nor running.
    pub(super) fn is_inactive(&self) -> bool {
        matches!(self.progress, Progress::Void | Progress::Ended(_))
    }

    /// Returns the log records that describe the key.
    pub(super) fn records(&self, key: Key) -> Vec<Record> {
        let (attempt, fingerprint) = (self.attempt, self.fingerprint);
        let intent = Record::Intent {
            key,
            attempt,
            fingerprint,
        };
        match &self.progress {
            Progress::Logging(_) => Vec::new(),
            Progress::Running { .. } => vec![intent],
            Progress::Void => vec![intent, Record::Void { key, attempt }],
            Progress::Ended(outcome) => vec![Record::Ended {
                key,
                attempt,
                fingerprint,
                outcome: outcome.clone(),
            }],
        }
    }
}

impl Outcome {
    /// Returns the size of the answer or error message, in bytes.
    pub(super) fn size(&self) -> usize {
        match self {
            Outcome::Done(body) => body.len(),
            Outcome::Failed(error) => error.message.len(),
            Outcome::Oversized | Outcome::Unknown => 0,
        }
    }

    /// Returns the outcome to record when the answer may take at most `max_bytes`.
    pub(super) fn limit_size(self, max_bytes: usize) -> Outcome {
        if self.size() <= max_bytes {
            return self;
        }
        match self {
            Outcome::Failed(error) => Outcome::Failed(Error {
                message: String::new(),
                ..error
            }),
            _ => Outcome::Oversized,
        }
    }
}
