//! Which partition a key belongs to and which target takes a request.
//!
//! Keys and targets are hashed to partitions with xxh3, so every entry finds the same owner. Of the
//! targets that can take a request now, the nearest tier is used: the same data centre, then the
//! same region, then another region, whose link is narrow and billed by volume. Within a tier the
//! less loaded of two random targets wins (the power of two choices, Mitzenmacher 2001), which needs
//! no order over all targets and doesn't herd onto one.

use laburnum_derive::value;
use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64;

use crate::core::id::{DataCentre, Key, Partition, Region, Target};

/// Where a process or a target is.
#[value]
pub struct Place {
    /// The region.
    pub region: Region,
    /// The data centre, unique over all regions.
    pub data_centre: DataCentre,
}

/// How far a target is, nearest first.
#[value]
pub enum Tier {
    /// In the same data centre.
    DataCentre,
    /// In the same region.
    Region,
    /// In another region.
    Remote,
}

/// A target that can take a request now.
#[value]
pub struct Candidate {
    /// The target.
    pub target: Target,
    /// How far it is.
    pub tier: Tier,
    /// Requests of this entry that it has not answered.
    pub outstanding: u32,
}

/// How many partitions request keys and targets are hashed to.
#[value]
pub struct Partitions(pub u16);

impl Place {
    /// Returns how far `other` is from here.
    pub fn tier(self, other: Place) -> Tier {
        if self.data_centre == other.data_centre {
            Tier::DataCentre
        } else if self.region == other.region {
            Tier::Region
        } else {
            Tier::Remote
        }
    }
}

impl Partitions {
    /// Returns the partition whose owner knows the history of `key`.
    pub fn of_key(self, key: Key) -> Partition {
        self.of_hash(xxh3_64(key.0.as_bytes()))
    }

    /// Returns the partition whose owner grants the slots of `target`.
    pub fn of_target(self, target: Target) -> Partition {
        self.of_hash(xxh3_64(&target.0.to_le_bytes()))
    }

    /// Maps a hash to a partition.
    fn of_hash(self, hash: u64) -> Partition {
        Partition((hash % u64::from(self.0.max(1))) as u16)
    }
}

/// Chooses a target among `candidates`, or returns `None` when there is none.
pub fn choose<R: Rng>(candidates: &[Candidate], random: &mut R) -> Option<Target> {
    let nearest = candidates.iter().map(|candidate| candidate.tier).min()?;
    let near = || {
        candidates
            .iter()
            .filter(|candidate| candidate.tier == nearest)
    };
    let count = near().count();
    let first = near().nth(random.random_range(0..count))?;
    let second = near().nth(random.random_range(0..count))?;
    let chosen = if second.outstanding < first.outstanding {
        second
    } else {
        first
    };
    Some(chosen.target)
}
