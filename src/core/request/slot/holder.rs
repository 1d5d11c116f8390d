//! The slots of one target that a traffic thread holds.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnum_derive::state;

use super::{Grant, Member, Rules, SlotRequest};
use crate::core::id::Target;
use crate::core::request::call::Id;
use crate::core::request::route::Tier;
use crate::core::time::Instant;

/// The newest accepted grant.
#[state]
struct Lease {
    slots: u32,
    connections: u32,
    until: Instant,
}

/// The newest request for slots, which is not answered yet.
#[state]
struct Pending {
    sequence: u64,
    at: Instant,
}

/// A call that occupies a slot.
#[state]
struct Occupied {
    /// When the target has certainly stopped serving it.
    until: Instant,
}

/// Tracks the slots of one target that are granted to this thread and those that its calls occupy.
#[state]
pub struct Holder {
    rules: Rules,
    member: Member,
    target: Target,
    tier: Tier,
    lease: Lease,
    pending: Option<Pending>,
    sequence: u64,
    occupied: BTreeMap<Id, Occupied>,
    /// Calls that were lost with their connection and may still occupy a slot.
    lost: Vec<Occupied>,
}

impl Holder {
    /// Creates a holder without slots.
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
            occupied: BTreeMap::new(),
            lost: Vec::new(),
        }
    }

    /// Creates a request for slots: `needs` for known calls, and `wants` in total with spare ones.
    pub fn request(&mut self, now: Instant, needs: u32, wants: u32) -> SlotRequest {
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
        SlotRequest {
            member: self.member,
            target: self.target,
            sequence: self.sequence,
            keeps: in_force.min(wants).max(self.used()),
            needs: needs.max(self.used()),
            wants: wants.max(needs).max(self.used()),
            tier: self.tier,
        }
    }

    /// Returns whether the newest request for slots may still be answered soon. Another request
    /// would invalidate that answer.
    pub fn is_request_pending(&self, now: Instant) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|pending| now.since(pending.at) < self.rules.renewal)
    }

    /// Accepts the answer to the newest request for slots; other answers are ignored.
    pub fn accept(&mut self, grant: &Grant) {
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

    /// Returns how many more calls may be sent now.
    pub fn free(&self, now: Instant) -> u32 {
        if !self.is_in_force(now) {
            return 0;
        }
        self.lease.slots.saturating_sub(self.used())
    }

    /// Returns the number of slots that are or may be occupied by calls of this holder.
    pub fn used(&self) -> u32 {
        (self.occupied.len() + self.lost.len()) as u32
    }

    /// Returns the number of slots of the grant in force, free or occupied.
    pub fn held(&self, now: Instant) -> u32 {
        if self.is_in_force(now) {
            self.lease.slots
        } else {
            0
        }
    }

    /// Returns the number of connections that the grant in force allows.
    pub fn connections(&self, now: Instant) -> u32 {
        if self.is_in_force(now) {
            self.lease.connections
        } else {
            0
        }
    }

    /// Occupies a slot and returns the time that the target may take for the call.
    pub fn occupy(&mut self, now: Instant, request: Id, deadline: Instant) -> Duration {
        let span = deadline.since(now).min(self.rules.max_call_time);
        let until = now + span + self.rules.margin;
        self.occupied.insert(request, Occupied { until });
        span
    }

    /// Frees the slot of a call that the target has finished or never received.
    pub fn release(&mut self, request: Id) {
        self.occupied.remove(&request);
    }

    /// Keeps the slot of a call that was lost with its connection until the target has certainly
    /// stopped serving it.
    pub fn mark_lost(&mut self, request: Id) {
        self.lost.extend(self.occupied.remove(&request));
    }

    /// Frees the slots of lost calls that the target has certainly stopped serving.
    pub fn expire(&mut self, now: Instant) {
        self.lost.retain(|occupied| now < occupied.until);
    }

    fn is_in_force(&self, now: Instant) -> bool {
        now < self.lease.until || !self.rules.stop_at_end
    }
}
