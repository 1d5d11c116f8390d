//! Log records of a partition's stream that describe its keys.

use bytes::Bytes;
use laburnum_derive::{message, value};

use crate::core::error::Error;
use crate::core::id::Key;
use crate::core::time::Stamp;

/// A term of ownership of the partition; each new ownership has a higher term.
#[value]
#[derive(Default)]
pub struct Term(pub u64);

/// Identifies a record within its term.
#[value]
#[derive(Default)]
pub struct Serial(pub u64);

/// Identifies an intent to run a key; a later intent compares greater.
///
/// It includes the term, so that a record of an earlier owner that reaches the log late can't be
/// taken for one of the current owner's intent.
#[value]
#[derive(Default)]
pub struct Attempt {
    /// The term of the owner.
    pub term: Term,
    /// The number of the owner's intent for the key, from 1.
    pub number: u32,
}

/// A range of creation times. The state of a key created in it is unknown unless the log describes
/// the key.
#[value]
pub struct Gap {
    /// The gap begins after this time.
    pub after: Stamp,
    /// The gap ends with this time.
    pub until: Stamp,
}

/// The outcome of a run.
#[message]
pub enum Outcome {
    /// The target answered.
    Done(Bytes),
    /// The target ran the request and answered that it failed.
    Failed(Error),
    /// The target answered, and the answer was too large to record.
    Oversized,
    /// The target may have run the request.
    Unknown,
}

/// A log record.
#[message]
pub enum Record {
    /// A term began.
    Opened {
        /// The term.
        term: Term,
        /// Keys created up to this time are described by the log at the beginning of the term.
        floor: Stamp,
        /// Keys that the previous owner may have run without a record.
        gap: Option<Gap>,
    },
    /// A request with the key is about to run.
    Intent {
        /// The key.
        key: Key,
        /// The intent.
        attempt: Attempt,
        /// A hash of the method and the body.
        fingerprint: u64,
    },
    /// An intent was cancelled, and certainly no target ran its request.
    Void {
        /// The key.
        key: Key,
        /// The intent.
        attempt: Attempt,
    },
    /// The run of an intent ended.
    Ended {
        /// The key.
        key: Key,
        /// The intent.
        attempt: Attempt,
        /// A hash of the method and the body.
        fingerprint: u64,
        /// The outcome.
        outcome: Outcome,
    },
    /// Keys created up to a time and run in this term are described by the log.
    Watermark {
        /// The term.
        term: Term,
        /// The latest creation time of these keys.
        up_to: Stamp,
    },
}

impl Gap {
    /// Returns whether a key created at `created` is in the gap.
    pub fn contains(&self, created: Stamp) -> bool {
        self.after < created && created <= self.until
    }
}
