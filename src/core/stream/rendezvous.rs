//! Rendezvous hashing: all nodes compute the same ranking of the same nodes, and adding or removing
//! one node moves only what that node was assigned.
//!
//! After Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998).

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::id::Node;

/// Returns the weight of `node` in the ranking that `seed` identifies; the highest weight wins.
pub(super) fn weight(node: Node, seed: u64) -> u64 {
    let mut key = [0; 12];
    key[..4].copy_from_slice(&node.vm.0.to_le_bytes());
    key[4..].copy_from_slice(&node.incarnation.0.to_le_bytes());
    xxh3_64_with_seed(&key, seed)
}
