//! Choice of the entries that should own a partition, by highest random weight.
//!
//! The entry with the highest weight should own the partition. Its standbys are the entries with
//! the next highest weights in other data centres. Those in the owner's region come first, because
//! promises within a region cause no traffic between regions and can be renewed while regions are
//! disconnected; they are in different data centres if the region has three. Entries in other
//! regions come next, and those in the owner's own data centre last. The weight of an entry does
//! not depend on other entries, so the loss of one changes only the partitions that it had.

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
    /// Its data centre and region.
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

/// Returns the rank of a candidate for the next place after those in `taken`.
fn rank(partition: Partition, candidate: &Candidate, taken: &[Candidate]) -> Rank {
    let site = candidate.site;
    let owner = taken.first().map(|owner| owner.site);
    Rank {
        is_outside_owner_data_centre: owner
            .is_some_and(|owner| owner.data_centre != site.data_centre),
        is_in_owner_region: owner.is_some_and(|owner| owner.region == site.region),
        is_in_unused_data_centre: !taken
            .iter()
            .any(|other| other.site.data_centre == site.data_centre),
        weight: weight(candidate.node.vm, partition),
        vm: Reverse(candidate.node.vm),
    }
}

/// The rank of a candidate; fields are compared in order, and the greatest rank is chosen.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_outside_owner_data_centre: bool,
    is_in_owner_region: bool,
    is_in_unused_data_centre: bool,
    weight: u64,
    vm: Reverse<Vm>,
}
