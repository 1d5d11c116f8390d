//! Deduplication of keyed calls: each key runs at most once.
//!
//! The owner of a partition keeps a [`Table`] of the partition's keys. An intent to run a new key
//! is logged and durable before its only run; the outcome is recorded for repeats of the call. A
//! repeat waits for the request that is being run or gets the recorded answer. The effect "not run"
//! is stated only for a key that neither this owner nor an earlier one can have dispatched.
//!
//! While the log is down, an owner that has promises of both standbys runs keys without a durable
//! intent, but only keys created after its *watermark*: the creation time up to which it has
//! declared in the log that the log describes every key. [`recover`] rebuilds the table after a
//! takeover. A key without an intent is new if the previous owner can't have run keys without a
//! durable intent, or if the watermark covers the key. Otherwise, up to the *horizon*, the latest
//! creation time that the previous owner may have accepted, its state is unknown and it never runs.
//!
//! The horizon is the wall-clock time of the claim plus *twice* the skew bound: the previous
//! owner's clock may be ahead by the bound, and it accepts keys that are ahead of its clock by the
//! bound. Each owner logs the gap that it found before it runs a key without a durable intent,
//! because the next owner can't derive the gap from the records of its direct predecessor alone.

mod key_state;
mod record;
mod recover;
mod run;
mod submit;
mod table;
mod upkeep;

use std::time::Duration;

use bytes::Bytes;
use laburnum_derive::{message, value};

use self::key_state::{KeyState, Progress};
pub use self::record::{Attempt, Gap, Outcome, Record, Serial, Term};
pub use self::recover::{Acquired, Acquisition, recover};
pub use self::table::Table;
use super::call::{Answer, Id};
use crate::core::error::Error;
use crate::core::id::Key;
use crate::core::time::{Instant, Stamp};

/// The parameters of the table, which are the same at all entries.
#[value]
pub struct Rules {
    /// The largest difference between the wall clocks of two VMs.
    pub skew: Duration,
    /// How long after its creation a key is accepted and kept in the table.
    pub retention: Duration,
    /// The minimum distance of the watermark behind the wall clock.
    pub watermark_lag: Duration,
    /// The interval between watermark records.
    pub watermark_interval: Duration,
    /// The maximum size of a recorded answer, in bytes.
    pub max_answer_bytes: usize,
    /// The maximum total size of all recorded answers, in bytes. Beyond it only the effect is kept.
    pub max_total_answer_bytes: usize,
    /// The maximum number of keys in the table.
    pub max_keys: usize,
    /// Whether the intent must be durable before the run; tests disable this.
    #[doc(hidden)]
    pub intent_first: bool,
    /// Whether keys up to the watermark always need a durable intent; tests disable this.
    #[doc(hidden)]
    pub watermark: bool,
    /// Whether keys up to the horizon have an unknown state after a takeover; tests disable this.
    #[doc(hidden)]
    pub horizon: bool,
}

/// The conditions under which the owner may act.
#[value]
#[derive(Default)]
pub struct OwnerStatus {
    /// When the ownership ends.
    pub until: Instant,
    /// Whether the log takes appends.
    pub log_up: bool,
    /// Whether both standbys have promised not to claim the partition, in answer to requests that
    /// name the newest claim or renewal that this owner has sent.
    pub promised: bool,
}

/// A keyed request that arrived at the owner of the key's partition.
#[message]
pub struct Submission {
    /// The request.
    pub id: Id,
    /// Its key.
    pub key: Key,
    /// A hash of the method and the body.
    pub fingerprint: u64,
    /// The error to refuse the request with if the key is new, because it can't be queued now. A
    /// repeat of a known key needs no place in the queue.
    pub refusal: Option<Error>,
}

/// An event for the table.
#[message]
pub enum Input {
    /// A keyed request arrived.
    Submit(Submission),
    /// The run of a key ended.
    Finished {
        /// The request that ran.
        id: Id,
        /// The key.
        key: Key,
        /// The outcome.
        outcome: Outcome,
    },
    /// The dispatcher gave up a request to run, and certainly no target ran it.
    NotDispatched {
        /// The request.
        id: Id,
        /// The key.
        key: Key,
        /// The answer for the request.
        answer: Answer,
    },
    /// A request no longer waits for its answer; a run that has begun goes on.
    Abandoned {
        /// The request.
        id: Id,
        /// Its key.
        key: Key,
    },
    /// A record of this term was read back from the log.
    Durable(Serial),
    /// A record of an earlier term was read that follows this term's claim in the log.
    Read(Record),
    /// The conditions under which the owner may act have changed.
    OwnerStatus(OwnerStatus),
    /// Time has passed.
    Tick,
}

/// An action for the caller of the table.
#[message]
pub enum Output {
    /// Append a record to the partition's stream; report [`Input::Durable`] when it is read back.
    Append {
        /// Identifies the record within this term.
        serial: Serial,
        /// The record.
        record: Record,
    },
    /// Run the request once, and start it only while the ownership lasts.
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

/// The current time on both clocks of a process.
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
            max_answer_bytes: 64 << 10,
            max_total_answer_bytes: 2 << 20,
            max_keys: 1 << 16,
            intent_first: true,
            watermark: true,
            horizon: true,
        }
    }
}

/// Returns the answer to a request whose run had this outcome.
fn answer_of(outcome: &Outcome) -> Answer {
    use crate::core::error::{Effect, Kind};
    match outcome {
        Outcome::Done(body) => Answer::done(Bytes::clone(body)),
        Outcome::Failed(error) => Answer::from(error.clone()).with_effect(Effect::Ran),
        Outcome::Oversized => {
            Answer::refused(Kind::AnswerLost, "the answer was too large to record")
                .with_effect(Effect::Ran)
        }
        Outcome::Unknown => Answer::refused(Kind::AnswerLost, "the request may have run"),
    }
}
