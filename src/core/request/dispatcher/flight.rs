//! A request that has no final answer yet, or whose run goes on without a caller.

use laburnum_derive::{state, value};

use crate::core::error::Effect;
use crate::core::id::{Node, Target};
use crate::core::request::call::{Call, Id};
use crate::core::request::link::Connection;
use crate::core::request::queue::Item;
use crate::core::time::Instant;

/// Where a request is.
#[state]
pub(super) enum Stage {
    /// At the owner of its key.
    Forwarded(Node),
    /// Waiting to be forwarded again.
    Reforward,
    /// At the table of keys.
    Admitting,
    /// In the queue.
    Queued,
    /// Waiting for its next attempt.
    Waiting,
    /// At a target.
    Sent {
        target: Target,
        connection: Connection,
        at: Instant,
    },
    /// Given up; the table of keys has still to say what is known.
    GivenUp,
}

/// A request.
#[state]
pub(super) struct Flight {
    pub(super) call: Call,
    pub(super) arrived: Instant,
    pub(super) stage: Stage,
    /// Attempts that were begun.
    pub(super) attempts: u32,
    /// Whether an attempt may have run.
    pub(super) may_have_run: bool,
    pub(super) is_answered: bool,
}

/// When a request needs attention.
#[value]
pub(super) struct Timer {
    pub(super) at: Instant,
    pub(super) id: Id,
    pub(super) alarm: Alarm,
}

/// What a timer is for.
#[value]
pub(super) enum Alarm {
    /// The next attempt is due.
    Retry,
    /// The final answer is due.
    Deadline,
}

impl Flight {
    pub(super) fn new(now: Instant, call: Call, stage: Stage) -> Flight {
        Flight {
            call,
            arrived: now,
            stage,
            attempts: 0,
            may_have_run: false,
            is_answered: false,
        }
    }

    /// Returns what is known of the effect when the request ends without an answer of a target.
    pub(super) fn effect(&self) -> Effect {
        if self.may_have_run {
            Effect::Unknown
        } else {
            Effect::NotRun
        }
    }

    /// Returns the request as the queue sees it.
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
