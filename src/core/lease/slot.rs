//! The state of one partition in a table.

use std::time::Duration;

use super::port::Origin;
use super::record::{Epoch, STANDBYS};
use super::settings::Settings;
use super::view::Grant;
use crate::core::id::Node;
use crate::core::time::Instant;

/// The nodes that should own a partition, most preferred first.
pub(super) type Candidates = [Option<Node>; STANDBYS + 1];

/// The state of one partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Slot {
    /// The newest valid record.
    pub(super) head: Option<Head>,
    /// The ownership of this node.
    pub(super) ownership: Option<Ownership>,
    /// The last record of this node that succeeds the head and has not been read back.
    pub(super) in_flight: Option<InFlight>,
    /// Nodes that may succeed the head by an offer of this node or by a record of it in flight.
    pub(super) pending_successors: Vec<Node>,
    /// The last promise that this node gave.
    pub(super) given_promise: Option<GivenPromise>,
    /// The last offer that this node received.
    pub(super) received_offer: Option<ReceivedOffer>,
    /// The wait for the former holder's yield before this node acts as owner by an accepted offer.
    pub(super) yield_wait: Option<YieldWait>,
    /// A yield that this node received before it read its own claim.
    pub(super) early_yield: Option<EarlyYield>,
    /// The last offer that this node sent.
    pub(super) sent_offer: Option<SentOffer>,
    /// The nodes that should own the partition.
    pub(super) candidates: Candidates,
    /// Whether the owner has unfinished work and therefore does not hand the partition over yet.
    pub(super) has_unfinished_work: bool,
    /// Whether requests that the log does not describe may have been dispatched under this node's
    /// ownership.
    pub(super) may_have_unlogged: bool,
}

/// The newest valid record that this node has read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Head {
    /// What the record granted.
    pub(super) grant: Grant,
    /// When the lease has ended on the holder's clock too, at any clock rates within the bound.
    pub(super) ends: Instant,
}

/// An ownership of this node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Ownership {
    /// The fencing token.
    pub(super) epoch: Epoch,
    /// When the record that began the ownership was sent.
    pub(super) since: Instant,
    /// When this node must stop acting as owner.
    pub(super) deadline: Instant,
    /// How the ownership began.
    pub(super) origin: Origin,
    /// Whether `Output::Acquired` was output for the ownership.
    pub(super) is_announced: bool,
    /// Promises requested before this time do not allow unlogged requests, because a record that
    /// denies them was sent then, or the log described them then.
    pub(super) unlogged_allowed_from: Instant,
    /// The newest promise of each peer.
    pub(super) promises: Vec<ReceivedPromise>,
    /// When promises were last requested.
    pub(super) requested_at: Option<Instant>,
}

/// A promise that this node received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct ReceivedPromise {
    /// The node that gave the promise.
    pub(super) node: Node,
    /// When this node requested the promise.
    pub(super) requested_at: Instant,
}

/// A promise that this node gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct GivenPromise {
    /// The holder that requested the promise.
    pub(super) holder: Node,
    /// The offset of the newest valid record that the holder had read.
    pub(super) head: u64,
    /// When the holder sent the request, on its clock.
    pub(super) requested_at: Instant,
    /// The time before which this node must not claim.
    pub(super) until: Instant,
}

/// An offer that this node received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct ReceivedOffer {
    /// The offset of the record that this node may succeed.
    pub(super) head: u64,
    /// When the holder has stopped acting as owner, even if it does not yield.
    pub(super) ends: Instant,
}

/// The wait of a node that accepted an offer until the former holder has stopped acting as owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct YieldWait {
    /// The offset of the claim that accepted the offer; the former holder's yield names it.
    pub(super) claim: u64,
    /// When the former holder has stopped acting as owner at the latest.
    pub(super) until: Instant,
}

/// An offer that this node sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct SentOffer {
    /// The node that may claim.
    pub(super) node: Node,
    /// When the offer was sent.
    pub(super) sent: Instant,
}

/// A yield that this node received before it read its own claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct EarlyYield {
    /// The offset of the claim that the yield names.
    pub(super) claim: u64,
    /// Whether the former holder may have dispatched requests unlogged.
    pub(super) may_have_unlogged: bool,
}

/// A record of this node that it has not read back from the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct InFlight {
    /// When it was sent.
    pub(super) sent_at: Instant,
    /// Whether it is a claim.
    pub(super) is_claim: bool,
}

impl Slot {
    /// Returns the offset of the newest valid record.
    pub(super) fn head_offset(&self) -> Option<u64> {
        self.head.as_ref().map(|head| head.grant.offset)
    }

    /// Returns whether `node` holds the newest valid record.
    pub(super) fn is_held_by(&self, node: Node) -> bool {
        self.head
            .as_ref()
            .is_some_and(|head| head.grant.holder == node && !head.grant.released)
    }

    /// Makes `head` the newest valid record, and drops the offers and records in flight that refer
    /// to an older one.
    pub(super) fn set_head(&mut self, head: Head) {
        let offset = head.grant.offset;
        self.head = Some(head);
        self.in_flight = None;
        self.pending_successors.clear();
        self.sent_offer = None;
        self.received_offer = self.received_offer.filter(|offer| offer.head >= offset);
    }

    /// Returns the nodes whose promises this node needs to extend its ownership.
    pub(super) fn required_promisers(&self, settings: &Settings) -> impl Iterator<Item = Node> {
        let named = self.head.iter().flat_map(|head| head.grant.standbys);
        let pending_successors = if settings.rules.pending_successors_promise {
            self.pending_successors.as_slice()
        } else {
            &[]
        };
        named.flatten().chain(pending_successors.iter().copied())
    }

    /// Returns when the oldest of the required promises was requested, if this node has all of
    /// them.
    pub(super) fn oldest_required_promise(&self, settings: &Settings) -> Option<Instant> {
        let ownership = self.ownership.as_ref()?;
        let mut since = None;
        for node in self.required_promisers(settings) {
            let promise = ownership
                .promises
                .iter()
                .find(|promise| promise.node == node)?;
            since = Some(since.map_or(promise.requested_at, |oldest: Instant| {
                oldest.min(promise.requested_at)
            }));
        }
        since
    }

    /// Returns whether requests that the log does not describe may have been dispatched: under this
    /// node's ownership, or because the newest record states so, or because this node has promised
    /// that record's holder, since the record was sent, not to claim.
    pub(super) fn may_have_any_unlogged(&self) -> bool {
        let Some(head) = &self.head else {
            return false;
        };
        let promised = self.given_promise.is_some_and(|given| {
            given.holder == head.grant.holder && given.requested_at >= head.grant.sent
        });
        self.may_have_unlogged || head.grant.may_have_unlogged || promised
    }

    /// Returns whether the promises that this node received allow it to dispatch requests unlogged.
    pub(super) fn may_dispatch_unlogged(&self, now: Instant, settings: &Settings) -> bool {
        let Some(ownership) = &self.ownership else {
            return false;
        };
        self.oldest_required_promise(settings).is_some_and(|since| {
            since >= ownership.unlogged_allowed_from && now < since + settings.duration
        })
    }

    /// Returns whether `node` holds the partition, may claim it, or should own it.
    pub(super) fn involves(&self, node: Node) -> bool {
        let node = Some(node);
        let is_named = self.head.as_ref().is_some_and(|head| {
            let grant = &head.grant;
            let is_named = Some(grant.holder) == node || grant.successor == node;
            is_named || grant.standbys.contains(&node)
        });
        let is_engaged = self.ownership.is_some() || self.received_offer.is_some();
        is_named || is_engaged || self.candidates.contains(&node)
    }

    /// Returns whether the former holder may still act as owner.
    pub(super) fn is_waiting_for_yield(&self, now: Instant) -> bool {
        self.yield_wait.is_some_and(|wait| now < wait.until)
    }

    /// Returns whether a promise that this node gave is in force.
    pub(super) fn has_promised(&self, now: Instant) -> bool {
        self.given_promise.is_some_and(|given| now < given.until)
    }
}

impl Ownership {
    /// Returns whether this node may act as owner.
    pub(super) fn is_active(&self, now: Instant) -> bool {
        self.is_announced && now < self.deadline
    }

    /// Adds a received promise, or replaces an older one of the same node.
    pub(super) fn add_promise(&mut self, node: Node, requested_at: Instant) {
        match self
            .promises
            .iter_mut()
            .find(|promise| promise.node == node)
        {
            Some(promise) => promise.requested_at = promise.requested_at.max(requested_at),
            None => self.promises.push(ReceivedPromise { node, requested_at }),
        }
    }

    /// Drops promises that have ended.
    pub(super) fn drop_ended_promises(&mut self, now: Instant, duration: Duration) {
        self.promises
            .retain(|promise| now < promise.requested_at + duration);
    }
}
