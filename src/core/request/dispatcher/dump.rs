//! The state of a dispatcher, for people.

use laburnum_derive::message;

use super::Dispatcher;
use super::target::Peer;
use crate::core::id::Target;
use crate::core::time::Instant;

/// The state of a dispatcher.
#[message]
pub struct Dump {
    /// Requests without a final answer.
    pub in_flight: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// The targets.
    pub targets: Vec<Row>,
}

/// One target.
#[message]
pub struct Row {
    /// The target.
    pub target: Target,
    /// Slots of the grant in force.
    pub held: u32,
    /// Slots that are filled, or may be.
    pub used: u32,
    /// What the adaptive limit allows.
    pub limit: u32,
    /// Connections that the target may hold open.
    pub connections: u32,
    /// Whether the target gets nothing now.
    pub is_ejected: bool,
}

impl<R> Dispatcher<R> {
    /// Returns the state for people.
    pub fn dump(&self, now: Instant) -> Dump {
        let row = |(&target, peer): (&Target, &Peer)| Row {
            target,
            held: peer.holder.held(now),
            used: peer.holder.used(),
            limit: peer.limit.slots(),
            connections: peer.pool.open(now),
            is_ejected: self.peers.detector.is_ejected(now, target),
        };
        Dump {
            in_flight: self.flights.len(),
            waiting: self.queue.len(),
            targets: self.peers.peers.iter().map(row).collect(),
        }
    }
}
