//! Which entries should own a partition, by highest random weight.
//!
//! The entry of the highest weight owns the partition. Standbys are the next by weight in other
//! data centres: first in the owner's region, where promises cost no traffic between regions and
//! hold while regions lose each other, and in different data centres where the region has three;
//! then in other regions; last in the owner's own data centre. Every entry has its own weight, so
//! the loss of one changes only the partitions that it had.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::settings::Site;
use crate::core::id::{Node, Partition, Vm};
use crate::core::lease::{Preference, STANDBYS};

/// An entry that may own partitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The entry.
    pub node: Node,
    /// Where it is.
    pub site: Site,
}

/// Returns the weight of `vm` for `partition`.
pub fn weight(vm: Vm, partition: Partition) -> u64 {
    xxh3_64_with_seed(&vm.0.to_le_bytes(), u64::from(partition.0))
}

/// Returns the preferred owner of `partition` and its standbys.
pub fn prefer(partition: Partition, candidates: &[Candidate]) -> Preference {
    let mut chosen = [None; STANDBYS + 1];
    let mut taken: Vec<Candidate> = Vec::with_capacity(chosen.len());
    for place in &mut chosen {
        let free = candidates
            .iter()
            .filter(|candidate| !taken.contains(candidate));
        let best = free.max_by_key(|candidate| rank(partition, candidate, &taken));
        let Some(best) = best else {
            break;
        };
        *place = Some(best.node);
        taken.push(*best);
    }
    Preference {
        partition,
        candidates: chosen,
    }
}

/// Orders candidates for the next place after those `taken`.
fn rank(partition: Partition, candidate: &Candidate, taken: &[Candidate]) -> Rank {
    let site = candidate.site;
    let owner = taken.first().map(|owner| owner.site);
    Rank {
        is_elsewhere: owner.is_some_and(|owner| owner.data_centre != site.data_centre),
        is_near: owner.is_some_and(|owner| owner.region == site.region),
        is_apart: !taken
            .iter()
            .any(|other| other.site.data_centre == site.data_centre),
        weight: weight(candidate.node.vm, partition),
        vm: Reverse(candidate.node.vm),
    }
}

/// The order of candidates; the first difference decides.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_elsewhere: bool,
    is_near: bool,
    is_apart: bool,
    weight: u64,
    vm: Reverse<Vm>,
}
