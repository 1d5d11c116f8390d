//! A traffic thread's side of one target's slots.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnum_derive::state;

use super::{Ask, Grant, Member, Rules};
use crate::core::id::Target;
use crate::core::request::call::Id;
use crate::core::request::route::Tier;
use crate::core::time::Instant;

/// The grant in force.
#[state]
struct Lease {
    slots: u32,
    connections: u32,
    until: Instant,
}

/// The newest ask, which may still be answered.
#[state]
struct Pending {
    sequence: u64,
    at: Instant,
}

/// A request that fills a slot.
#[state]
struct Filled {
    /// When the target has given it up at the latest.
    until: Instant,
}

/// Fills the slots that a grant allows.
#[state]
pub struct Holder {
    rules: Rules,
    member: Member,
    target: Target,
    tier: Tier,
    lease: Lease,
    pending: Option<Pending>,
    sequence: u64,
    filled: BTreeMap<Id, Filled>,
    /// Requests whose answer is out of reach but that may still fill a slot.
    stuck: Vec<Filled>,
}

impl Holder {
    /// Makes a holder without slots.
    pub fn new(rules: Rules, member: Member, target: Target, tier: Tier) -> Holder {
        Holder {
            rules,
            member,
            target,
            tier,
            lease: Lease {
                slots: 0,
                connections: 0,
                until: Instant(0),
            },
            pending: None,
            sequence: 0,
            filled: BTreeMap::new(),
            stuck: Vec::new(),
        }
    }

    /// Asks for slots: those that there are requests for, and those to have at hand.
    pub fn ask(&mut self, now: Instant, needs: u32, wants: u32) -> Ask {
        self.expire(now);
        let in_force = if self.is_in_force(now) {
            self.lease.slots
        } else {
            0
        };
        self.lease.slots = self.lease.slots.min(wants);
        self.sequence += 1;
        self.pending = Some(Pending {
            sequence: self.sequence,
            at: now,
        });
        Ask {
            member: self.member,
            target: self.target,
            sequence: self.sequence,
            keeps: in_force.min(wants).max(self.used()),
            needs: needs.max(self.used()),
            wants: wants.max(needs).max(self.used()),
            tier: self.tier,
        }
    }

    /// Returns whether the newest ask may still be answered soon, so that another one would only
    /// make its answer void.
    pub fn is_asking(&self, now: Instant) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|pending| now.since(pending.at) < self.rules.renewal)
    }

    /// Takes the answer to the newest ask; any other is ignored.
    pub fn grant(&mut self, grant: &Grant) {
        let Some(pending) = &self.pending else {
            return;
        };
        if grant.member != self.member || grant.sequence != pending.sequence {
            return;
        }
        self.lease = Lease {
            slots: grant.slots,
            connections: grant.connections,
            until: pending.at + self.rules.span,
        };
        self.pending = None;
    }

    /// Returns how many more requests may be sent now.
    pub fn free(&self, now: Instant) -> u32 {
        if !self.is_in_force(now) {
            return 0;
        }
        self.lease.slots.saturating_sub(self.used())
    }

    /// Returns how many requests may be at the target because of this holder.
    pub fn used(&self) -> u32 {
        (self.filled.len() + self.stuck.len()) as u32
    }

    /// Returns the slots of the grant in force, filled or not.
    pub fn held(&self, now: Instant) -> u32 {
        if self.is_in_force(now) {
            self.lease.slots
        } else {
            0
        }
    }

    /// Returns how many connections may be open.
    pub fn connections(&self, now: Instant) -> u32 {
        if self.is_in_force(now) {
            self.lease.connections
        } else {
            0
        }
    }

    /// Fills a slot and returns the time that the target may take.
    pub fn fill(&mut self, now: Instant, request: Id, deadline: Instant) -> Duration {
        let span = deadline.since(now).min(self.rules.longest);
        let until = now + span + self.rules.margin;
        self.filled.insert(request, Filled { until });
        span
    }

    /// Frees the slot of a request that the target has ended or never got.
    pub fn release(&mut self, request: Id) {
        self.filled.remove(&request);
    }

    /// Keeps the slot of a request whose answer is out of reach until the target has given it up.
    pub fn lose(&mut self, request: Id) {
        self.stuck.extend(self.filled.remove(&request));
    }

    /// Frees the slots of lost requests that the target has given up.
    pub fn expire(&mut self, now: Instant) {
        self.stuck.retain(|filled| now < filled.until);
    }

    fn is_in_force(&self, now: Instant) -> bool {
        now < self.lease.until || !self.rules.stop_at_end
    }
}
