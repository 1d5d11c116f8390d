//! What a table knows of one partition.

use std::time::Duration;

use super::port::Origin;
use super::record::{Epoch, STANDBYS};
use super::settings::Settings;
use super::view::Grant;
use crate::core::id::Node;
use crate::core::time::Instant;

/// The nodes that should own a partition, best first.
pub(super) type Candidates = [Option<Node>; STANDBYS + 1];

/// What a table knows of one partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Slot {
    /// The newest valid record.
    pub(super) head: Option<Head>,
    /// This node's ownership.
    pub(super) tenure: Option<Tenure>,
    /// The last record of this node that names the head.
    pub(super) sent: Option<Sent>,
    /// Nodes that a record of this node in flight, or an offer, entitles to succeed the head.
    pub(super) proposed: Vec<Node>,
    /// The promise that this node gave.
    pub(super) given: Option<Given>,
    /// The offer that this node got.
    pub(super) offer: Option<Offered>,
    /// What this node waits for before it acts on an accepted offer.
    pub(super) gate: Option<Gate>,
    /// The yield that this node got.
    pub(super) yielded: Option<Yielded>,
    /// The offer that this node made.
    pub(super) offered: Option<Offering>,
    /// The nodes that should own the partition.
    pub(super) candidates: Candidates,
    /// Whether requests may have been dispatched in this node's ownership that the log does not
    /// describe.
    pub(super) exposed: bool,
}

/// The newest valid record, as this node read it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Head {
    /// What the record granted.
    pub(super) grant: Grant,
    /// When the lease has ended for the holder, whatever the clocks.
    pub(super) ends: Instant,
}

/// This node's ownership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Tenure {
    /// The fencing token.
    pub(super) epoch: Epoch,
    /// When it began.
    pub(super) since: Instant,
    /// Until when this node may act.
    pub(super) deadline: Instant,
    /// How the ownership began.
    pub(super) origin: Origin,
    /// Whether the owner was told that it may act.
    pub(super) is_open: bool,
    /// When the last record that denies exposure was sent; older promises allow no such request.
    pub(super) quiet: Instant,
    /// The newest promise of each peer.
    pub(super) promises: Vec<Promise>,
    /// When promises were last asked for.
    pub(super) asked: Option<Instant>,
}

/// A promise that this node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Promise {
    /// Who promised.
    pub(super) node: Node,
    /// When this node asked.
    pub(super) asked: Instant,
}

/// A promise that this node gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Given {
    /// The holder that asked.
    pub(super) holder: Node,
    /// The newest record that the holder had read.
    pub(super) head: u64,
    /// When the holder asked, on its clock.
    pub(super) asked: Instant,
    /// Until when this node does not claim.
    pub(super) until: Instant,
}

/// An offer that this node got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Offered {
    /// The record that this node may succeed.
    pub(super) head: u64,
    /// Until when the holder may act without yielding.
    pub(super) ends: Instant,
}

/// What the receiver of an offer waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Gate {
    /// The claim by which it accepted the offer, and for which the former holder yields.
    pub(super) claim: u64,
    /// When the former holder stops at the latest.
    pub(super) until: Instant,
}

/// An offer that this node made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Offering {
    /// Who may claim.
    pub(super) node: Node,
    /// When the offer was sent.
    pub(super) sent: Instant,
}

/// A yield that this node got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Yielded {
    /// The claim for which the former holder yields.
    pub(super) claim: u64,
    /// Whether the former holder may have dispatched requests unlogged.
    pub(super) exposed: bool,
}

/// A record in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Sent {
    /// When it was sent.
    pub(super) at: Instant,
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

    /// Makes `head` the newest valid record; what was said about the one before is void.
    pub(super) fn advance(&mut self, head: Head) {
        let offset = head.grant.offset;
        self.head = Some(head);
        self.sent = None;
        self.proposed.clear();
        self.offered = None;
        self.offer = self.offer.filter(|offer| offer.head >= offset);
    }

    /// Returns the nodes whose promises an extension needs.
    pub(super) fn promisers(&self, settings: &Settings) -> impl Iterator<Item = Node> {
        let named = self.head.iter().flat_map(|head| head.grant.standbys);
        let proposed = if settings.rules.ask_proposed {
            self.proposed.as_slice()
        } else {
            &[]
        };
        named.flatten().chain(proposed.iter().copied())
    }

    /// Returns when the oldest of the needed promises was asked for, if all are there.
    pub(super) fn promised_since(&self, settings: &Settings) -> Option<Instant> {
        let tenure = self.tenure.as_ref()?;
        let mut since = None;
        for node in self.promisers(settings) {
            let promise = tenure.promises.iter().find(|held| held.node == node)?;
            since = Some(since.map_or(promise.asked, |at: Instant| at.min(promise.asked)));
        }
        since
    }

    /// Returns whether requests may have been dispatched that the log does not describe: the newest
    /// record says so, or this node, a standby, gave its holder a promise since.
    pub(super) fn may_be_exposed(&self) -> bool {
        let Some(head) = &self.head else {
            return false;
        };
        let promised = self.given.is_some_and(|given| {
            given.holder == head.grant.holder && given.asked >= head.grant.sent
        });
        self.exposed || head.grant.exposed || promised
    }

    /// Returns whether the holder may dispatch requests unlogged by its promises.
    pub(super) fn has_promises(&self, now: Instant, settings: &Settings) -> bool {
        let Some(tenure) = &self.tenure else {
            return false;
        };
        self.promised_since(settings)
            .is_some_and(|since| since >= tenure.quiet && now < since + settings.duration)
    }

    /// Returns whether a former holder may still act.
    pub(super) fn is_gated(&self, now: Instant) -> bool {
        self.gate.is_some_and(|gate| now < gate.until)
    }

    /// Returns whether a promise still binds this node.
    pub(super) fn is_bound(&self, now: Instant) -> bool {
        self.given.is_some_and(|given| now < given.until)
    }
}

impl Tenure {
    /// Returns whether the owner may act.
    pub(super) fn is_active(&self, now: Instant) -> bool {
        self.is_open && now < self.deadline
    }

    /// Takes note of a promise.
    pub(super) fn promise(&mut self, node: Node, asked: Instant) {
        match self.promises.iter_mut().find(|held| held.node == node) {
            Some(held) => held.asked = held.asked.max(asked),
            None => self.promises.push(Promise { node, asked }),
        }
    }

    /// Forgets promises that ended.
    pub(super) fn forget_promises(&mut self, now: Instant, duration: Duration) {
        self.promises.retain(|held| now < held.asked + duration);
    }
}
