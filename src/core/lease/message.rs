//! Messages between the lease tables of two processes.
//!
//! Any message may be lost, repeated, delayed or reordered.

use laburnum_derive::message;

use crate::core::id::Partition;
use crate::core::time::Instant;

/// A message from one lease table to another.
#[message]
#[derive(Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    /// The holder requests that a standby promise not to claim.
    #[serde(rename = "Ask")]
    PromiseRequest(PromiseRequest),
    /// The standby promises not to claim.
    #[serde(rename = "Answer")]
    PromiseResponse(PromiseResponse),
    /// The holder allows the receiver to claim partitions before the lease ends.
    Offer(Offer),
    /// The former holder has stopped acting as owner, because it read the receiver's claim.
    Yield(Yield),
}

/// Requests promises not to claim partitions.
#[message]
#[derive(Eq, Hash, PartialOrd, Ord)]
pub struct PromiseRequest {
    /// When the holder sent the request, on its own clock.
    #[serde(rename = "asked")]
    pub requested_at: Instant,
    /// How long the promises should last, in milliseconds.
    pub duration_ms: u32,
    /// The partitions for which the holder requests promises.
    #[serde(rename = "wishes")]
    pub partitions: Vec<PartitionHead>,
}

/// One partition in a request for promises or in an offer.
#[message]
#[derive(Copy, Eq, Hash, PartialOrd, Ord)]
pub struct PartitionHead {
    /// The partition.
    pub partition: Partition,
    /// The offset of the newest valid record of the partition that the holder has read.
    pub head: u64,
}

/// Promises not to claim partitions for the requested duration, which the sender of this message
/// counts from when it received the request.
#[message]
#[derive(Eq, Hash, PartialOrd, Ord)]
pub struct PromiseResponse {
    /// The time in the request, on the holder's clock.
    #[serde(rename = "asked")]
    pub requested_at: Instant,
    /// The promised partitions; promises for the other requested partitions are refused.
    pub granted: Vec<Partition>,
}

/// Allows the receiver to claim partitions by succeeding the named records.
#[message]
#[derive(Eq, Hash, PartialOrd, Ord)]
pub struct Offer {
    /// How long the holder may act as owner after it sent the offer, in milliseconds.
    pub duration_ms: u32,
    /// The offered partitions.
    #[serde(rename = "wishes")]
    pub partitions: Vec<PartitionHead>,
}

/// Reports that the sender no longer acts as owner of a partition that the receiver claimed.
#[message]
#[derive(Eq, Hash, PartialOrd, Ord)]
pub struct Yield {
    /// The partition.
    pub partition: Partition,
    /// The offset of the receiver's claim.
    pub claim: u64,
    /// Whether the sender may have dispatched requests that the log does not describe.
    #[serde(rename = "exposed")]
    pub may_have_unlogged: bool,
}
