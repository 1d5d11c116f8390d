//! The dispatcher's report of its state for operators.

use laburnum_derive::message;

use super::Dispatcher;
use super::target::TargetState;
use crate::core::id::Target;
use crate::core::time::Instant;

/// The state of a dispatcher.
#[message]
pub struct Dump {
    /// Requests that have no final answer or are still at a target.
    pub in_flight: usize,
    /// Queued requests, which wait for a slot.
    pub waiting: usize,
    /// The targets.
    pub targets: Vec<Row>,
}

/// The state of one target.
#[message]
pub struct Row {
    /// The target.
    pub target: Target,
    /// Slots of the grant in force.
    pub held: u32,
    /// Slots that are or may be occupied.
    pub used: u32,
    /// The adaptive concurrency limit, in slots.
    pub limit: u32,
    /// Connections that may still be open at the target.
    pub connections: u32,
    /// Whether the target is ejected by outlier detection.
    pub is_ejected: bool,
}

impl<R> Dispatcher<R> {
    /// Returns the current state.
    pub fn dump(&self, now: Instant) -> Dump {
        let row = |(&target, state): (&Target, &TargetState)| Row {
            target,
            held: state.holder.held(now),
            used: state.holder.used(),
            limit: state.limit.slots(),
            connections: state.pool.open(now),
            is_ejected: self.targets.detector.is_ejected(now, target),
        };
        Dump {
            in_flight: self.requests.len(),
            waiting: self.queue.len(),
            targets: self.targets.states.iter().map(row).collect(),
        }
    }
}
