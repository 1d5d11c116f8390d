//! Records of the lease stream.
//!
//! One [`Record`] contains the claims, renewals and releases that one node makes at one time, for
//! any number of partitions, so that all renewals of a node fit in one append. Partitions that
//! share a predecessor share one group; after the first renewal that is nearly always one group for
//! the whole node.

use laburnum_derive::{message, value};

use crate::core::id::{Node, Partition};
use crate::core::time::{Instant, Stamp};

/// The maximum number of standbys that a claim names.
pub const STANDBYS: usize = 2;

/// The nodes that may claim a partition after its lease has ended.
pub type Standbys = [Option<Node>; STANDBYS];

/// A fencing token: the offset of the claim that began an ownership.
#[value]
pub struct Epoch(pub u64);

/// The claims, renewals and releases of one node.
#[message]
#[derive(Eq, Hash)]
pub struct Record {
    /// The node that holds or claims the partitions.
    #[serde(rename = "h")]
    pub holder: Node,
    /// When the record was made, on the holder's own clock; other nodes may only use it to order
    /// the holder's records.
    #[serde(rename = "t")]
    pub sent: Instant,
    /// When the record was made, by the holder's wall clock.
    #[serde(rename = "s")]
    pub stamp: Stamp,
    /// How long the lease lasts, in milliseconds.
    #[serde(rename = "d")]
    pub duration_ms: u32,
    /// The version of the VM list on which the writer saw every node that the record names.
    #[serde(rename = "v")]
    pub list_version: u64,
    /// Partitions that the holder claims.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<Claim>,
    /// Partitions whose leases the holder extends.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub renewals: Vec<Renewal>,
    /// Partitions that the holder releases; it stopped acting as owner before it sent the record.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub releases: Vec<Release>,
}

/// Begins an ownership.
#[message]
#[derive(Eq, Hash)]
pub struct Claim {
    /// The partition.
    #[serde(rename = "p")]
    pub partition: Partition,
    /// The offset of the record that this one succeeds; `None` when the partition had no owner yet.
    #[serde(rename = "o")]
    pub predecessor: Option<u64>,
    /// The nodes that may claim after the lease has ended.
    #[serde(rename = "b")]
    pub standbys: Standbys,
    /// Whether former holders may have dispatched requests that the log does not describe.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub may_have_unlogged: bool,
}

/// Extends the leases of partitions that share a predecessor.
#[message]
#[derive(Eq, Hash)]
pub struct Renewal {
    /// The offset of the record that this one succeeds.
    #[serde(rename = "o")]
    pub predecessor: u64,
    /// The new standbys, if they change.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub standbys: Option<Standbys>,
    /// Whether the holder may have dispatched requests that the log does not describe.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub may_have_unlogged: bool,
    /// The partitions.
    #[serde(rename = "p")]
    pub partitions: Vec<Partition>,
}

/// Ends the leases of partitions that share a predecessor; any node may claim them at once.
#[message]
#[derive(Eq, Hash)]
pub struct Release {
    /// The offset of the record that this one succeeds.
    #[serde(rename = "o")]
    pub predecessor: u64,
    /// The node that should claim the partitions first.
    #[serde(rename = "n")]
    pub successor: Option<Node>,
    /// Whether the holder may have dispatched requests that the log does not describe.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub may_have_unlogged: bool,
    /// The partitions.
    #[serde(rename = "p")]
    pub partitions: Vec<Partition>,
}

impl Record {
    /// Returns whether the record has no claims, renewals or releases.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty() && self.renewals.is_empty() && self.releases.is_empty()
    }
}
