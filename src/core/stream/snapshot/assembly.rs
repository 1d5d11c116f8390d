//! Assembling snapshots from their parts.

use std::collections::BTreeMap;

use laburnum_derive::{state, value};
use xxhash_rust::xxh3::xxh3_64;

use super::part::{Id, Part};

/// The maximum number of incomplete snapshots that are kept.
const MAX_CANDIDATES: usize = 4;

/// The checks of this module, each of which a test can switch off.
#[doc(hidden)]
#[value]
pub struct Rules {
    /// Check the checksums.
    pub checksum: bool,
    /// Check that all parts are present.
    pub count: bool,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            checksum: true,
            count: true,
        }
    }
}

/// A complete snapshot, whose parts were all found and checked.
#[state]
pub struct CompleteSnapshot {
    /// The identity of the snapshot.
    pub id: Id,
    /// It holds the effect of all entries before this offset.
    pub covers: u64,
    /// The encoded state.
    pub bytes: Vec<u8>,
}

/// Collects parts in any order and keeps the complete snapshot with the highest `covers`.
#[state]
#[derive(Default)]
pub struct Assembly {
    candidates: BTreeMap<Id, BTreeMap<u32, Part>>,
    best: Option<CompleteSnapshot>,
    rules: Rules,
}

impl Assembly {
    /// Creates an empty assembly that applies `rules`.
    #[doc(hidden)]
    pub fn with_rules(rules: Rules) -> Assembly {
        Assembly {
            rules,
            ..Assembly::default()
        }
    }

    /// Adds a part. Drops it if it is damaged, contradicts the other parts of its snapshot, or
    /// belongs to a snapshot that covers no more than the best complete one.
    pub fn insert(&mut self, part: Part) {
        if self.rules.checksum && !part.is_sound() {
            return;
        }
        if self
            .best
            .as_ref()
            .is_some_and(|best| best.covers >= part.covers)
        {
            return;
        }
        let id = part.id;
        let parts = self.candidates.entry(id).or_default();
        if parts
            .values()
            .next()
            .is_some_and(|first| !is_consistent(first, &part))
        {
            return;
        }
        parts.insert(part.index, part);
        self.complete(id);
        self.evict();
    }

    /// Returns the complete snapshot with the highest `covers`.
    pub fn best(&self) -> Option<&CompleteSnapshot> {
        self.best.as_ref()
    }

    /// Returns the complete snapshot with the highest `covers` and drops all other parts.
    pub fn into_best(self) -> Option<CompleteSnapshot> {
        self.best
    }

    /// Returns the total number of parts of the largest incomplete snapshot, or 0.
    pub fn max_part_count(&self) -> u64 {
        let counts = self.candidates.values().flat_map(|parts| parts.values());
        counts.map(|part| u64::from(part.count)).max().unwrap_or(0)
    }

    /// Makes the candidate the best snapshot if it is complete.
    fn complete(&mut self, id: Id) {
        let Some(parts) = self.candidates.get(&id) else {
            return;
        };
        let Some(snapshot) = assemble(parts, self.rules) else {
            return;
        };
        self.candidates
            .retain(|_, parts| covers(parts) > snapshot.covers);
        self.best = Some(snapshot);
    }

    /// Drops the candidates with the lowest `covers` while there are more than [`MAX_CANDIDATES`].
    fn evict(&mut self) {
        while self.candidates.len() > MAX_CANDIDATES {
            let least = self
                .candidates
                .iter()
                .min_by_key(|(_, parts)| covers(parts));
            let Some(id) = least.map(|(id, _)| *id) else {
                return;
            };
            self.candidates.remove(&id);
        }
    }
}

/// Returns whether two parts with the same id have the same properties of the snapshot.
fn is_consistent(one: &Part, other: &Part) -> bool {
    one.covers == other.covers && one.count == other.count && one.total == other.total
}

fn covers(parts: &BTreeMap<u32, Part>) -> u64 {
    parts.values().next().map_or(0, |part| part.covers)
}

/// Concatenates the parts if all are present and the checksum of the state matches.
fn assemble(parts: &BTreeMap<u32, Part>, rules: Rules) -> Option<CompleteSnapshot> {
    let first = parts.values().next()?;
    if rules.count && parts.len() as u64 != u64::from(first.count) {
        return None;
    }
    let size = parts.values().map(|part| part.data.0.len()).sum();
    let mut bytes = Vec::with_capacity(size);
    for part in parts.values() {
        bytes.extend_from_slice(&part.data.0);
    }
    if rules.checksum && xxh3_64(&bytes) != first.total {
        return None;
    }
    Some(CompleteSnapshot {
        id: first.id,
        covers: first.covers,
        bytes,
    })
}
