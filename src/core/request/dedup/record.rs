//! Records of a partition's stream that describe its keys.

use bytes::Bytes;
use laburnum_derive::{message, value};

use crate::core::error::Error;
use crate::core::id::Key;
use crate::core::time::Stamp;

/// One term of ownership of the partition; a later owner has a higher one.
#[value]
#[derive(Default)]
pub struct Term(pub u64);

/// Names a record within its term.
#[value]
#[derive(Default)]
pub struct Serial(pub u64);

/// One intent to run a key; a later one is greater.
///
/// The term is part of it, so that a record of an earlier owner that lands late can't speak of an
/// intent of the present one.
#[value]
#[derive(Default)]
pub struct Attempt {
    /// The term of the owner.
    pub term: Term,
    /// Counts the owner's intents for the key, from 1.
    pub number: u32,
}

/// Creation times whose keys have an unknown state unless the log describes them.
#[value]
pub struct Gap {
    /// Keys created up to here are outside the gap.
    pub after: Stamp,
    /// The creation time of the newest key in the gap.
    pub until: Stamp,
}

/// How a run ended.
#[message]
pub enum Outcome {
    /// The target answered.
    Done(Bytes),
    /// The target ran the request and answered that it failed.
    Failed(Error),
    /// It ran, and the answer was too large to keep.
    Oversized,
    /// It may have run.
    Unknown,
}

/// One record.
#[message]
pub enum Record {
    /// A term began and found this.
    Opened {
        /// The term.
        term: Term,
        /// Keys created up to here are described by the log as the term began.
        floor: Stamp,
        /// Keys that the owner before may have run without a record.
        gap: Option<Gap>,
    },
    /// A key is about to run.
    Intent {
        /// The key.
        key: Key,
        /// The intent.
        attempt: Attempt,
        /// A hash over the method and the body.
        fingerprint: u64,
    },
    /// An intent was given up before its run.
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
        /// A hash over the method and the body.
        fingerprint: u64,
        /// How it ended.
        outcome: Outcome,
    },
    /// Keys created up to here that this term ran are described by the log.
    Watermark {
        /// The term.
        term: Term,
        /// The creation time.
        up_to: Stamp,
    },
}

impl Gap {
    /// Returns whether a key created at `created` is in the gap.
    pub fn contains(&self, created: Stamp) -> bool {
        self.after < created && created <= self.until
    }
}
