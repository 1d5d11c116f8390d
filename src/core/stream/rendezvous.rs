//! Rendezvous hashing: all nodes rank the same nodes alike, and a change of one node moves only what
//! it held.
//!
//! After Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998).

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::id::Node;

/// Returns the weight of `node` for what `seed` stands for.
pub(super) fn weight(node: Node, seed: u64) -> u64 {
    let mut key = [0; 12];
    key[..4].copy_from_slice(&node.vm.0.to_le_bytes());
    key[4..].copy_from_slice(&node.incarnation.0.to_le_bytes());
    xxh3_64_with_seed(&key, seed)
}
