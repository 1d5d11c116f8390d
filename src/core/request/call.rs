//! Calls and their final answers.
//!
//! A [`Call`] is what the decisions need to know of a request; its body stays with the I/O code,
//! which finds it by [`Id`]. An [`Answer`] says beside the result what is known of the effect,
//! because "not run" may only be said of a key by the owner that knows its history.

use bytes::Bytes;
use laburnum_derive::{message, value};

use crate::core::error::{Effect, Error, Kind};
use crate::core::id::{Caller, Key};
use crate::core::time::Instant;
use crate::core::workload::Priority;

/// A request, unique within one run of one traffic thread.
#[value]
pub struct Id(pub u64);

/// Whether a call may be repeated at the targets.
#[value]
pub enum Safety {
    /// Running it again changes nothing.
    Idempotent,
    /// It runs at most once; the key names it through all its repeats.
    AtMostOnce {
        /// The caller's key.
        key: Key,
        /// A hash over the method and the body, which tells a repeat from a reuse of the key.
        fingerprint: u64,
    },
}

/// Who sent a call to this entry.
#[value]
pub enum Origin {
    /// A caller; the call may be forwarded to the owner of its key.
    Caller,
    /// Another entry that took this one for the owner; the call is not forwarded again.
    Peer,
}

/// A request as the decisions see it.
#[message]
pub struct Call {
    /// The request.
    pub id: Id,
    /// Who asked, for fair queueing.
    pub caller: Caller,
    /// The class that it is queued in.
    pub priority: Priority,
    /// Whether it may be repeated at the targets.
    pub safety: Safety,
    /// Who sent it here.
    pub origin: Origin,
    /// When the final answer is due at the latest.
    pub deadline: Instant,
    /// The size of its body, in bytes.
    pub size: u32,
}

/// The final answer to a request.
#[message]
pub struct Answer {
    /// The target's answer, or why there is none.
    pub result: Result<Bytes, Error>,
    /// What is known of the effect.
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
    /// Makes the answer of a request that ran.
    pub fn done(body: Bytes) -> Answer {
        Answer {
            result: Ok(body),
            effect: Effect::Ran,
        }
    }

    /// Makes an answer of `kind` with the effect that the kind usually has.
    pub fn refused(kind: Kind, message: &str) -> Answer {
        Answer::from(Error::new(kind, message))
    }

    /// Returns the same answer with `effect` in place of the kind's usual one.
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
