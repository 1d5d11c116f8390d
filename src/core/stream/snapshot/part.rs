//! The parts of a snapshot.

use laburnum_derive::{message, value};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use super::super::batch::Body;
use crate::core::error::{Error, Kind, Result};
use crate::core::id::Node;

/// How many bytes of state one part carries at most.
pub const PART_BYTES: usize = 64 << 10;

/// How many parts a snapshot has at most.
pub const PARTS: u32 = 256;

/// Which snapshot a part belongs to.
#[value]
pub struct Id {
    /// Who wrote the snapshot.
    pub node: Node,
    /// Its number among those of the writer, growing.
    pub number: u64,
}

/// One part of a snapshot.
#[message]
pub struct Part {
    /// The snapshot.
    pub id: Id,
    /// The snapshot holds the effect of all entries before this offset.
    pub covers: u64,
    /// The index of the part, from 0.
    pub index: u32,
    /// How many parts the snapshot has.
    pub count: u32,
    /// The checksum of this part.
    pub checksum: u64,
    /// The checksum of the whole snapshot.
    pub total: u64,
    /// The part's share of the bytes.
    pub data: Body,
}

/// Cuts an encoded state that covers the entries before `covers` into parts.
///
/// # Errors
///
/// Fails with [`Kind::TooLarge`] when the state needs more than [`PARTS`] parts.
pub fn split(id: Id, covers: u64, state: &[u8]) -> Result<Vec<Part>> {
    let count = state.len().div_ceil(PART_BYTES).max(1);
    if count > PARTS as usize {
        let message = format!(
            "the state has {} bytes; raise the number of streams",
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
    /// Returns whether the part is as it was written and its place makes sense.
    pub fn is_sound(&self) -> bool {
        self.index < self.count && self.count <= PARTS && self.checksum == self.digest()
    }

    /// Returns the checksum of everything in the part but the checksum itself.
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
