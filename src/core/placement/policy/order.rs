//! Which lane of the queue is served first.

use std::time::Duration;

use crate::core::placement::queue::Rank;
use crate::core::placement::settings::Knobs;
use crate::core::time::Instant;
use crate::core::workload::Class;

/// What the order of a lane depends on.
#[derive(Clone, Copy, Debug)]
pub struct Head {
    /// The class of the lane.
    pub class: Class,
    /// Whether the team holds more than its share.
    pub borrows: bool,
    /// When the head of the lane began to wait.
    pub queued_at: Instant,
}

/// An order of lanes.
pub trait Order {
    /// Returns the rank of a lane with this head.
    fn rank(head: Head, knobs: &Knobs) -> Rank;
}

/// Urgent work first, then by arrival plus the patience of the class; borrowers later.
#[derive(Debug)]
pub struct ByClass;

impl Order for ByClass {
    fn rank(head: Head, knobs: &Knobs) -> Rank {
        let delay = match head.borrows {
            true => knobs.borrow_delay,
            false => Duration::ZERO,
        };
        Rank {
            tier: u8::from(head.class != Class::Urgent),
            due: head.queued_at + knobs.patience(head.class) + delay,
        }
    }
}

/// By arrival.
#[derive(Debug)]
pub struct Fifo;

impl Order for Fifo {
    fn rank(head: Head, _knobs: &Knobs) -> Rank {
        Rank {
            tier: 0,
            due: head.queued_at,
        }
    }
}
