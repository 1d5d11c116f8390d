//! Messages between the lease tables of two processes.
//!
//! All of them may be lost, repeated, delayed and reordered.

use laburnum_derive::message;

use crate::core::id::Partition;
use crate::core::time::Instant;

/// What one lease table says to another.
#[message]
#[derive(Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    /// The holder asks a standby not to claim.
    Ask(Ask),
    /// The standby promises not to claim.
    Answer(Answer),
    /// The holder lets the receiver claim partitions before the lease ends.
    Offer(Offer),
    /// The holder has stopped acting for the receiver's claim.
    Yield(Yield),
}

/// Asks for promises.
#[message]
#[derive(Eq, Hash, PartialOrd, Ord)]
pub struct Ask {
    /// When the holder asked, on its own clock.
    pub asked: Instant,
    /// How long the promises are to last, in milliseconds.
    pub duration_ms: u32,
    /// What the holder wants promised.
    pub wishes: Vec<Wish>,
}

/// One partition that a holder asks about or offers.
#[message]
#[derive(Copy, Eq, Hash, PartialOrd, Ord)]
pub struct Wish {
    /// The partition.
    pub partition: Partition,
    /// The offset of the newest valid record that the holder read.
    pub head: u64,
}

/// Promises not to claim partitions before the sender's own now plus the asked duration.
#[message]
#[derive(Eq, Hash, PartialOrd, Ord)]
pub struct Answer {
    /// When the holder asked, as it said.
    pub asked: Instant,
    /// The promised partitions; those left out are refused.
    pub granted: Vec<Partition>,
}

/// Lets the receiver succeed the named records.
#[message]
#[derive(Eq, Hash, PartialOrd, Ord)]
pub struct Offer {
    /// How long the holder may still act after it sent the offer, in milliseconds.
    pub duration_ms: u32,
    /// The offered partitions.
    pub wishes: Vec<Wish>,
}

/// Says that the sender no longer acts on a partition that the receiver claimed.
#[message]
#[derive(Eq, Hash, PartialOrd, Ord)]
pub struct Yield {
    /// The partition.
    pub partition: Partition,
    /// The offset of the receiver's claim.
    pub claim: u64,
    /// Whether the sender may have dispatched requests that the log does not describe.
    pub exposed: bool,
}
