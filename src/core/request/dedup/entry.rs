//! What is known of one key.

use laburnum_derive::state;

use super::record::{Attempt, Outcome, Record, Serial};
use crate::core::error::Error;
use crate::core::id::Key;
use crate::core::request::call::Id;

/// The state of the run of one key.
#[state]
pub(super) enum Progress {
    /// The intent is not durable yet and nothing was dispatched.
    Logging(Serial),
    /// Handed over for its run; the serial of the intent while it is not durable.
    Running {
        /// The request whose run it is.
        runner: Id,
        /// The intent's record while it is not durable.
        undurable: Option<Serial>,
    },
    /// Surely not dispatched.
    Void,
    /// Ended.
    Ended(Outcome),
}

/// What is known of one key.
#[state]
pub(super) struct Entry {
    pub(super) fingerprint: u64,
    /// The newest intent.
    pub(super) attempt: Attempt,
    pub(super) progress: Progress,
    /// Requests that wait for the outcome; the first is the one that runs.
    pub(super) waiting: Vec<Id>,
}

impl Entry {
    /// Returns the bytes that a recorded answer takes.
    pub(super) fn size(&self) -> usize {
        match &self.progress {
            Progress::Ended(outcome) => outcome.size(),
            _ => 0,
        }
    }

    /// Returns whether the key is being logged or run.
    pub(super) fn is_unfinished(&self) -> bool {
        matches!(
            self.progress,
            Progress::Logging(_) | Progress::Running { .. }
        )
    }

    /// Returns whether the key's run is that of a request.
    pub(super) fn is_run_of(&self, id: Id) -> bool {
        matches!(self.progress, Progress::Running { runner, .. } if runner == id)
    }

    /// Returns the record of the intent that runs and is not durable.
    pub(super) fn undurable(&self) -> Option<Serial> {
        match self.progress {
            Progress::Running { undurable, .. } => undurable,
            _ => None,
        }
    }

    /// Returns whether nothing is under way for the key.
    pub(super) fn is_at_rest(&self) -> bool {
        matches!(self.progress, Progress::Void | Progress::Ended(_))
    }

    /// Returns the records that describe the key.
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
    /// Returns the bytes that the outcome takes beside its record.
    pub(super) fn size(&self) -> usize {
        match self {
            Outcome::Done(body) => body.len(),
            Outcome::Failed(error) => error.message.len(),
            Outcome::Oversized | Outcome::Unknown => 0,
        }
    }

    /// Returns the outcome as it is kept within so many bytes.
    pub(super) fn bounded(self, most: usize) -> Outcome {
        if self.size() <= most {
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
