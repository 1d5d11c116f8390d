//! The parts of a snapshot.

use laburnum_derive::{message, value};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use super::super::batch::Body;
use crate::core::error::{Error, Kind, Result};
use crate::core::id::Node;

/// The maximum size of the state in one part, in bytes.
pub const PART_BYTES: usize = 64 << 10;

/// The maximum number of parts of a snapshot.
pub const PARTS: u32 = 256;

/// Identifies a snapshot of a stream.
#[value]
pub struct Id {
    /// The node that wrote the snapshot.
    pub node: Node,
    /// The snapshot's number, increasing among the snapshots of the same node.
    pub number: u64,
}

/// One part of a snapshot.
#[message]
pub struct Part {
    /// The snapshot that the part belongs to.
    pub id: Id,
    /// The snapshot holds the effect of all entries before this offset.
    pub covers: u64,
    /// The index of the part within the snapshot, from 0.
    pub index: u32,
    /// How many parts the snapshot has.
    pub count: u32,
    /// The XXH3 checksum of all other fields of this part.
    pub checksum: u64,
    /// The XXH3 checksum of the state of the whole snapshot.
    pub total: u64,
    /// The bytes of the state that this part holds.
    pub data: Body,
}

/// Splits an encoded state that holds the effect of all entries before `covers` into parts.
///
/// # Errors
///
/// Fails with [`Kind::TooLarge`] when the state needs more than [`PARTS`] parts.
pub fn split(id: Id, covers: u64, state: &[u8]) -> Result<Vec<Part>> {
    let count = state.len().div_ceil(PART_BYTES).max(1);
    if count > PARTS as usize {
        let message = format!(
            "the state has {} bytes, too many for one snapshot; raise the number of streams",
            state.len()
        );
        return Err(Error::new(Kind::TooLarge, message));
    }
    let total = xxh3_64(state);
    let part = |index: usize| {
        let start = index * PART_BYTES;
        let end = (start + PART_BYTES).min(state.len());
        let mut part = Part {
            id,
            covers,
            index: index as u32,
            count: count as u32,
            checksum: 0,
            total,
            data: Body(state[start..end].to_vec()),
        };
        part.checksum = part.digest();
        part
    };
    Ok((0..count).map(part).collect())
}

impl Part {
    /// Returns whether the checksum matches and the index and the count are valid.
    pub fn is_sound(&self) -> bool {
        self.index < self.count && self.count <= PARTS && self.checksum == self.digest()
    }

    /// Returns the checksum of all fields of the part except the checksum itself.
    fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        let fields = [
            u64::from(self.id.node.vm.0),
            self.id.node.incarnation.0,
            self.id.number,
            self.covers,
            u64::from(self.index),
            u64::from(self.count),
            self.total,
        ];
        for field in fields {
            hash.update(&field.to_le_bytes());
        }
        hash.update(&self.data.0);
        hash.digest()
    }
}
