//! Calls and their final answers.
//!
//! A [`Call`] holds the properties of a request that the dispatcher needs; its body stays with the
//! I/O code, which finds it by [`Id`]. An [`Answer`] carries the result and the [`Effect`], because
//! only the owner of a key's partition can state that a call with the key was not run.

use bytes::Bytes;
use laburnum_derive::{message, value};

use crate::core::error::{Effect, Error, Kind};
use crate::core::id::{Caller, Key};
use crate::core::time::Instant;
use crate::core::workload::Priority;

/// Identifies a request; unique within one traffic thread until the process ends.
#[value]
pub struct Id(pub u64);

/// Whether a call may be sent to targets more than once.
#[value]
pub enum Safety {
    /// Running the call again has no further effect.
    Idempotent,
    /// The call runs at most once; all its repeats carry the same key.
    AtMostOnce {
        /// The caller's key.
        key: Key,
        /// A hash of the method and the body. It differs when the key is reused for another
        /// request.
        fingerprint: u64,
    },
}

/// The sender of a call to this entry.
#[value]
pub enum Origin {
    /// A caller; the call may be forwarded to the owner of its key.
    Caller,
    /// Another entry that considers this one the owner; the call is not forwarded again.
    Peer,
}

/// The properties of a request that the dispatcher needs.
#[message]
pub struct Call {
    /// The request.
    pub id: Id,
    /// The caller, for fair queueing.
    pub caller: Caller,
    /// The class that the request is queued in.
    pub priority: Priority,
    /// Whether it may be sent to targets more than once.
    pub safety: Safety,
    /// Its sender.
    pub origin: Origin,
    /// The latest time for the final answer.
    pub deadline: Instant,
    /// The size of its body, in bytes.
    pub size: u32,
}

/// The final answer to a request.
#[message]
pub struct Answer {
    /// The target's answer, or the reason why there is none.
    pub result: Result<Bytes, Error>,
    /// Whether the request ran.
    pub effect: Effect,
}

impl Call {
    /// Returns the key of an at-most-once call.
    pub fn key(&self) -> Option<Key> {
        match self.safety {
            Safety::Idempotent => None,
            Safety::AtMostOnce { key, .. } => Some(key),
        }
    }
}

impl Answer {
    /// Creates the answer of a request that ran.
    pub fn done(body: Bytes) -> Answer {
        Answer {
            result: Ok(body),
            effect: Effect::Ran,
        }
    }

    /// Creates an error answer of `kind` with the kind's default effect.
    pub fn refused(kind: Kind, message: &str) -> Answer {
        Answer::from(Error::new(kind, message))
    }

    /// Replaces the effect.
    pub fn with_effect(mut self, effect: Effect) -> Answer {
        self.effect = effect;
        self
    }
}

impl From<Error> for Answer {
    fn from(error: Error) -> Answer {
        Answer {
            effect: error.kind.answer().effect,
            result: Err(error),
        }
    }
}
