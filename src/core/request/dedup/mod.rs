//! At most once: the history of the keys of one partition.
//!
//! The owner of a partition keeps a [`Table`] of the keys it has seen. A new key's intent is logged
//! and durable before the one run; the outcome is recorded for repeats. A repeat joins the request
//! that is under way or gets its recorded answer. "Not run" is said only of a key that surely was
//! not dispatched, by this owner or an earlier one.
//!
//! While the log is down, an owner that holds the promises of both standbys runs keys without a
//! durable intent, but only keys created after its *watermark*, the newest creation time up to
//! which it has declared that the log describes every key. [`recover`] rebuilds the table after a
//! takeover: a key without an intent is new when no unlogged run is possible or the watermark
//! covers it; up to the *horizon*, the newest creation time that the earlier owner may have
//! accepted, its state is unknown and it never runs.
//!
//! The horizon is the wall-clock time of the claim plus *twice* the skew bound: the earlier owner's
//! clock may be ahead by the bound, and it accepts keys that are ahead of its clock by the bound.
//! Each owner logs the gap that it found before it runs anything unlogged, because the one after it
//! can't tell the gap from the records of its direct predecessor alone.

mod entry;
mod record;
mod recover;
mod run;
mod submit;
mod table;
mod upkeep;

use std::time::Duration;

use bytes::Bytes;
use laburnum_derive::{message, value};

use self::entry::{Entry, Progress};
pub use self::record::{Attempt, Gap, Outcome, Record, Serial, Term};
pub use self::recover::{Acquired, How, recover};
pub use self::table::Table;
use super::call::{Answer, Id};
use crate::core::error::Error;
use crate::core::id::Key;
use crate::core::time::{Instant, Stamp};

/// The rules of the table, the same at all entries.
#[value]
pub struct Rules {
    /// The largest difference between the wall clocks of two VMs.
    pub skew: Duration,
    /// How long after its creation a key is accepted and remembered.
    pub retention: Duration,
    /// How far the watermark stays behind the wall clock.
    pub watermark_lag: Duration,
    /// How often a watermark is logged.
    pub watermark_interval: Duration,
    /// The largest answer that is recorded, in bytes.
    pub answer_bytes: usize,
    /// Answers that are recorded at once, in bytes; beyond that only the effect is kept.
    pub answer_bytes_in_all: usize,
    /// Keys that are remembered at once.
    pub keys: usize,
    /// Whether the intent is durable before the run; tests switch it off.
    #[doc(hidden)]
    pub intent_first: bool,
    /// Whether keys up to the watermark need a durable intent; tests switch it off.
    #[doc(hidden)]
    pub watermark: bool,
    /// Whether keys up to the horizon are unknown after a takeover; tests switch it off.
    #[doc(hidden)]
    pub horizon: bool,
}

/// What the owner may do now.
#[value]
#[derive(Default)]
pub struct Standing {
    /// When the ownership ends.
    pub until: Instant,
    /// Whether the log takes appends.
    pub log_up: bool,
    /// Whether both standbys have promised not to claim, in answer to asks that name the newest
    /// claim or renewal that this owner has sent.
    pub promised: bool,
}

/// A keyed request at the owner of its partition.
#[message]
pub struct Submission {
    /// The request.
    pub id: Id,
    /// Its key.
    pub key: Key,
    /// A hash over the method and the body.
    pub fingerprint: u64,
    /// Why it can't be queued now, if it can't; a key that is not new doesn't need the queue.
    pub refusal: Option<Error>,
}

/// An event for the table.
#[message]
pub enum Input {
    /// A keyed request arrived.
    Submit(Submission),
    /// The run of a key ended; the outcome says how.
    Finished {
        /// The request that ran.
        id: Id,
        /// The key.
        key: Key,
        /// How it ended.
        outcome: Outcome,
    },
    /// A request that was handed over for its run was given up and surely not dispatched.
    GaveUp {
        /// The request.
        id: Id,
        /// The key.
        key: Key,
        /// What the request is told.
        answer: Answer,
    },
    /// A request no longer waits; a run that has begun goes on.
    Left {
        /// The request.
        id: Id,
        /// Its key.
        key: Key,
    },
    /// A record of this term was read back from the log.
    Durable(Serial),
    /// A record of an earlier term was read that the log took after this term's claim.
    Read(Record),
    /// What the owner may do has changed.
    Standing(Standing),
    /// Time has passed.
    Tick,
}

/// What the table wants done.
#[message]
pub enum Output {
    /// Append a record to the partition's stream; report [`Input::Durable`] when it is read back.
    Append {
        /// Names the record within this term.
        serial: Serial,
        /// The record.
        record: Record,
    },
    /// Run the request once, while the ownership lasts.
    Run {
        /// The request.
        id: Id,
        /// Its key.
        key: Key,
    },
    /// Answer a request.
    Answer {
        /// The request.
        id: Id,
        /// Its final answer.
        answer: Answer,
    },
}

/// The time on both clocks of a process.
#[value]
pub struct Now {
    /// The monotonic clock.
    pub instant: Instant,
    /// The wall clock.
    pub stamp: Stamp,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            skew: Duration::from_millis(500),
            retention: Duration::from_secs(900),
            watermark_lag: Duration::from_secs(5),
            watermark_interval: Duration::from_secs(2),
            answer_bytes: 64 << 10,
            answer_bytes_in_all: 2 << 20,
            keys: 1 << 16,
            intent_first: true,
            watermark: true,
            horizon: true,
        }
    }
}

/// Returns the answer to a request whose run ended so.
fn answer_of(outcome: &Outcome) -> Answer {
    use crate::core::error::{Effect, Kind};
    match outcome {
        Outcome::Done(body) => Answer::done(Bytes::clone(body)),
        Outcome::Failed(error) => Answer::from(error.clone()).with_effect(Effect::Ran),
        Outcome::Oversized => Answer::refused(Kind::AnswerLost, "the answer is too large to keep")
            .with_effect(Effect::Ran),
        Outcome::Unknown => Answer::refused(Kind::AnswerLost, "the request may have run"),
    }
}
