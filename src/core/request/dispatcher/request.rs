//! A request that has no final answer yet, or is still at a target after its final answer.

use laburnum_derive::{state, value};

use crate::core::error::Effect;
use crate::core::id::{Node, Target};
use crate::core::request::call::{Call, Id};
use crate::core::request::link::Connection;
use crate::core::request::queue::Item;
use crate::core::time::Instant;

/// The stage of a request.
#[state]
pub(super) enum Stage {
    /// Forwarded to the owner of its key.
    Forwarded(Node),
    /// Waiting to be forwarded for the first time or again.
    AwaitingForward,
    /// Submitted to the table of keys.
    Admitting,
    /// In the queue.
    Queued,
    /// Waiting for its next attempt after a failed one.
    AwaitingRetry,
    /// Sent to a target.
    Sent {
        target: Target,
        connection: Connection,
        at: Instant,
    },
    /// Given up; the answer of the table of keys is pending.
    GivenUp,
}

/// A request and its progress.
#[state]
pub(super) struct Request {
    pub(super) call: Call,
    pub(super) arrived: Instant,
    pub(super) stage: Stage,
    /// The number of started attempts.
    pub(super) attempts: u32,
    /// Whether a target may have run the request.
    pub(super) may_have_run: bool,
    pub(super) is_answered: bool,
}

/// A timer of a request.
#[value]
pub(super) struct Timer {
    pub(super) at: Instant,
    pub(super) id: Id,
    pub(super) kind: TimerKind,
}

/// The purpose of a timer.
#[value]
pub(super) enum TimerKind {
    /// The next attempt is due.
    Retry,
    /// The final answer is due.
    Deadline,
}

impl Request {
    pub(super) fn new(now: Instant, call: Call, stage: Stage) -> Request {
        Request {
            call,
            arrived: now,
            stage,
            attempts: 0,
            may_have_run: false,
            is_answered: false,
        }
    }

    /// Returns the effect to state when the request ends without an answer from a target.
    pub(super) fn effect(&self) -> Effect {
        if self.may_have_run {
            Effect::Unknown
        } else {
            Effect::NotRun
        }
    }

    /// Returns the queue's item for the request.
    pub(super) fn item(&self) -> Item {
        Item {
            id: self.call.id,
            caller: self.call.caller.clone(),
            priority: self.call.priority,
            arrived: self.arrived,
            deadline: self.call.deadline,
        }
    }
}
