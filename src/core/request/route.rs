//! Mapping of keys to partitions and choice of the target of a request.
//!
//! Keys and targets are hashed to partitions with xxh3, so every entry finds the same owner. Of the
//! targets that can take a request now, the nearest tier is used: the same data centre, then the
//! same region, then another region, whose link has little bandwidth and is billed by volume.
//! Within a tier the less loaded of two random targets is chosen (the power of two choices,
//! Mitzenmacher 2001), which needs no sorting of all targets and doesn't send all load to the least
//! loaded one.

use laburnum_derive::value;
use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64;

use crate::core::id::{DataCentre, Key, Partition, Region, Target};

/// The location of a process or a target.
#[value]
pub struct Place {
    /// The region.
    pub region: Region,
    /// The data centre, unique over all regions.
    pub data_centre: DataCentre,
}

/// The distance of a target, nearest first.
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
    /// Its distance.
    pub tier: Tier,
    /// Requests of this traffic thread that occupy a slot of the target.
    pub outstanding: u32,
}

/// The number of partitions that request keys and targets are hashed to.
#[value]
pub struct Partitions(pub u16);

impl Place {
    /// Returns the distance to `other`.
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
    /// Returns the partition whose owner deduplicates calls with `key`.
    pub fn of_key(self, key: Key) -> Partition {
        self.of_hash(xxh3_64(key.0.as_bytes()))
    }

    /// Returns the partition whose owner grants the slots of `target`.
    pub fn of_target(self, target: Target) -> Partition {
        self.of_hash(xxh3_64(&target.0.to_le_bytes()))
    }

    fn of_hash(self, hash: u64) -> Partition {
        Partition((hash % u64::from(self.0.max(1))) as u16)
    }
}

/// Chooses one of the nearest `candidates`, or returns `None` when there are none.
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
