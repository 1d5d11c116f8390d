//! The order in which lanes of the queue are served.

use std::time::Duration;

use crate::core::placement::queue::Rank;
use crate::core::placement::settings::Tuning;
use crate::core::time::Instant;
use crate::core::workload::Class;

/// The first job of a lane, as far as it decides the lane's rank.
#[derive(Clone, Copy, Debug)]
pub struct Head {
    /// The class of the lane.
    pub class: Class,
    /// Whether the team uses more than its share.
    pub borrows: bool,
    /// When the first job of the lane began to wait.
    pub queued_at: Instant,
}

/// An order of lanes.
pub trait Order {
    /// Returns the rank of a lane whose first job is `head`.
    fn rank(head: Head, tuning: &Tuning) -> Rank;
}

/// Urgent jobs first, then by arrival plus the delay of the class; jobs of borrowing teams are
/// delayed further.
#[derive(Debug)]
pub struct ByClass;

impl Order for ByClass {
    fn rank(head: Head, tuning: &Tuning) -> Rank {
        let delay = match head.borrows {
            true => tuning.borrow_delay,
            false => Duration::ZERO,
        };
        Rank {
            tier: u8::from(head.class != Class::Urgent),
            due: head.queued_at + tuning.class_delay(head.class) + delay,
        }
    }
}

/// First in, first out, across all lanes.
#[derive(Debug)]
pub struct Fifo;

impl Order for Fifo {
    fn rank(head: Head, _tuning: &Tuning) -> Rank {
        Rank {
            tier: 0,
            due: head.queued_at,
        }
    }
}
