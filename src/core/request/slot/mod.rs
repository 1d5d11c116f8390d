//! Slots and connections of a target, owned and granted.
//!
//! The slots of a target belong to the owner of the target's partition. Its [`Grantor`] lends them
//! to the traffic threads of all entries, whose [`Holder`]s dispatch only within what they hold, so
//! the sum over all entries never exceeds what the target serves at once.
//!
//! A grant is a lease. The holder counts its span from before it asked, the grantor from when it
//! granted plus a margin for clock rates, and a request may take no longer than the longest time
//! that both know; after the span, the longest time and the margin the slots are surely free. A
//! holder states in each [`Ask`] what it keeps and thereafter takes only the [`Grant`] that answers
//! its newest ask, so earlier grants that are still on the way can't add up. A new grantor renews
//! only what holders report until all grants of the one before have ended.

mod grantor;
mod holder;

use std::time::Duration;

use laburnum_derive::{message, value};

pub use self::grantor::Grantor;
pub use self::holder::Holder;
use super::route::Tier;
use crate::core::id::{Node, Target};

/// One traffic thread of one entry, for one service.
#[value]
pub struct Member {
    /// The entry.
    pub node: Node,
    /// The thread's index.
    pub thread: u16,
}

/// What a target serves at once.
#[value]
pub struct Capacity {
    /// Requests at once.
    pub slots: u32,
    /// Open connections at once.
    pub connections: u32,
}

/// The rules of grants, the same at all entries.
#[value]
pub struct Rules {
    /// How long a grant allows new requests.
    pub span: Duration,
    /// The longest time that one request may take at a target.
    pub longest: Duration,
    /// Added by the grantor for clocks that run at different rates.
    pub margin: Duration,
    /// How often a holder asks again.
    pub renewal: Duration,
    /// Whether a new grantor waits for the grants of the one before; tests switch it off.
    #[doc(hidden)]
    pub wait_after_takeover: bool,
    /// Whether a holder stops at the end of its grant; tests switch it off.
    #[doc(hidden)]
    pub stop_at_end: bool,
}

/// Asks the owner of a target's partition for slots.
#[message]
pub struct Ask {
    /// Who asks.
    pub member: Member,
    /// The target.
    pub target: Target,
    /// Grows with each ask of the member for this target.
    pub sequence: u64,
    /// Slots that the member keeps until it has an answer to this ask.
    pub keeps: u32,
    /// Slots that the member has requests for, sent or waiting.
    pub needs: u32,
    /// Slots that the member would like to have, needed ones included.
    pub wants: u32,
    /// How far the member is from the target.
    pub tier: Tier,
}

/// Answers an [`Ask`].
#[message]
pub struct Grant {
    /// The member that asked.
    pub member: Member,
    /// The target.
    pub target: Target,
    /// The sequence number of the ask.
    pub sequence: u64,
    /// Slots that the member may fill from now on, kept ones included.
    pub slots: u32,
    /// Connections that the member may have open.
    pub connections: u32,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            span: Duration::from_secs(3),
            longest: Duration::from_secs(10),
            margin: Duration::from_millis(200),
            renewal: Duration::from_millis(500),
            wait_after_takeover: true,
            stop_at_end: true,
        }
    }
}

impl Rules {
    /// Returns how long after its grant a slot may be filled, by the grantor's clock.
    pub fn lifetime(&self) -> Duration {
        self.span + self.longest + self.margin
    }
}

impl Capacity {
    /// Returns the connections that come with `slots` slots.
    pub fn connections_for(self, slots: u32) -> u32 {
        slots * (self.connections / self.slots.max(1))
    }
}
