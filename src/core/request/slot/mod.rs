//! Allocation of the slots and connections of a target to traffic threads.
//!
//! The owner of a target's partition manages the target's slots. Its [`Grantor`] grants them to the
//! traffic threads of all entries. Each thread's [`Holder`] sends requests only within its grant,
//! so the number of requests of all entries never exceeds what the target serves at once.
//!
//! A grant is a lease. The holder counts the grant's span from the time of its request for slots;
//! the grantor counts it from the time of the grant and adds a margin for clocks that run at
//! different rates. A call takes no longer at a target than a maximum that both sides use. So the
//! slots are certainly free after the sum of the span, the maximum and the margin.
//!
//! In each [`SlotRequest`] a holder states the slots that it keeps until the answer. It then
//! accepts only the [`Grant`] that answers its newest [`SlotRequest`], so earlier grants that
//! arrive late don't add up. After a change of ownership, and until all grants of the previous
//! grantor have ended, the new grantor grants only slots that holders report as held.

mod grantor;
mod holder;

use std::time::Duration;

use laburnum_derive::{message, value};

pub use self::grantor::Grantor;
pub use self::holder::Holder;
use super::route::Tier;
use crate::core::id::{Node, Target};

/// A traffic thread of an entry, which holds slots for one service.
#[value]
pub struct Member {
    /// The entry.
    pub node: Node,
    /// The thread's index.
    pub thread: u16,
}

/// The capacity of a target.
#[value]
pub struct Capacity {
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The maximum number of open connections.
    pub connections: u32,
}

/// The parameters of grants, which are the same at all entries.
#[value]
pub struct Rules {
    /// How long a holder may start requests under a grant.
    pub span: Duration,
    /// The maximum time of one request at a target.
    pub max_call_time: Duration,
    /// Time that the grantor adds for clocks that run at different rates.
    pub margin: Duration,
    /// The interval between a holder's renewals of its grant.
    pub renewal: Duration,
    /// Whether a new grantor waits until the grants of the previous one have ended; tests disable
    /// this.
    #[doc(hidden)]
    pub wait_after_takeover: bool,
    /// Whether a holder starts no request after the end of its grant; tests disable this.
    #[doc(hidden)]
    pub stop_at_end: bool,
}

/// A request for slots, sent to the owner of the target's partition.
#[message]
pub struct SlotRequest {
    /// The requesting member.
    pub member: Member,
    /// The target.
    pub target: Target,
    /// A number that grows with each request for slots of the member for this target.
    pub sequence: u64,
    /// Slots that the member keeps until this request is answered.
    pub keeps: u32,
    /// Slots for calls that are sent or queued.
    pub needs: u32,
    /// Slots that the member could use in total: the needed ones and spare ones for new calls.
    pub wants: u32,
    /// The distance between the member and the target.
    pub tier: Tier,
}

/// The grant of one member, sent by an owner of the target's partition to the next owner.
#[message]
pub struct OutstandingGrant {
    /// The member.
    pub member: Member,
    /// The sequence number of its newest request for slots.
    pub sequence: u64,
    /// Slots that it may occupy.
    pub counted: u32,
    /// Slots for the calls that it had sent or queued.
    pub needs: u32,
    /// Slots that it could use in total.
    pub wants: u32,
    /// Its distance from the target.
    pub tier: Tier,
    /// The remaining time after which the slots are certainly free, in milliseconds.
    pub left_ms: u64,
}

/// The answer to a [`SlotRequest`].
#[message]
pub struct Grant {
    /// The member that the slots are granted to.
    pub member: Member,
    /// The target.
    pub target: Target,
    /// The sequence number of the request for slots.
    pub sequence: u64,
    /// Slots that the member may occupy from now on, including those that it kept.
    pub slots: u32,
    /// The maximum number of connections that the member may have open.
    pub connections: u32,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            span: Duration::from_secs(3),
            max_call_time: Duration::from_secs(10),
            margin: Duration::from_millis(200),
            renewal: Duration::from_millis(500),
            wait_after_takeover: true,
            stop_at_end: true,
        }
    }
}

impl Rules {
    /// Returns how long after a grant its slots may be occupied, by the grantor's clock.
    pub fn lifetime(&self) -> Duration {
        self.span + self.max_call_time + self.margin
    }
}

impl Capacity {
    /// Returns the number of connections granted with `slots` slots.
    pub fn connections_for(self, slots: u32) -> u32 {
        slots * (self.connections / self.slots.max(1))
    }
}
