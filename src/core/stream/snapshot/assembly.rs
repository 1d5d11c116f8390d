//! Parts to whole snapshots.

use std::collections::BTreeMap;

use laburnum_derive::{state, value};
use xxhash_rust::xxh3::xxh3_64;

use super::part::{Id, Part};

/// How many unfinished snapshots are kept at once.
const CANDIDATES: usize = 4;

/// The mechanisms of this module, each of which a test can switch off.
#[doc(hidden)]
#[value]
pub struct Rules {
    /// Check the checksums.
    pub checksum: bool,
    /// Check that all parts are there.
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

/// A snapshot of which every part was found and checked.
#[state]
pub struct Whole {
    /// The snapshot.
    pub id: Id,
    /// It holds the effect of all entries before this offset.
    pub covers: u64,
    /// The encoded state.
    pub bytes: Vec<u8>,
}

/// Collects parts in any order and keeps the whole snapshot that covers most.
#[state]
#[derive(Default)]
pub struct Assembly {
    candidates: BTreeMap<Id, BTreeMap<u32, Part>>,
    best: Option<Whole>,
    rules: Rules,
}

impl Assembly {
    /// Makes an empty assembly under `rules`.
    #[doc(hidden)]
    pub fn with_rules(rules: Rules) -> Assembly {
        Assembly {
            rules,
            ..Assembly::default()
        }
    }

    /// Takes a part; an unsound one, or one of a snapshot that covers no more than the best whole
    /// one, is dropped.
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
            .is_some_and(|first| !is_kin(first, &part))
        {
            return;
        }
        parts.insert(part.index, part);
        self.finish(id);
        self.shed();
    }

    /// Returns the whole snapshot that covers most.
    pub fn best(&self) -> Option<&Whole> {
        self.best.as_ref()
    }

    /// Returns the whole snapshot that covers most and forgets everything else.
    pub fn into_best(self) -> Option<Whole> {
        self.best
    }

    /// Returns how many parts the largest unfinished snapshot has in all.
    pub fn wanted(&self) -> u64 {
        let counts = self.candidates.values().flat_map(|parts| parts.values());
        counts.map(|part| u64::from(part.count)).max().unwrap_or(0)
    }

    /// Turns the candidate into the best snapshot if it is whole.
    fn finish(&mut self, id: Id) {
        let Some(parts) = self.candidates.get(&id) else {
            return;
        };
        let Some(whole) = whole(parts, self.rules) else {
            return;
        };
        self.candidates
            .retain(|_, parts| covers(parts) > whole.covers);
        self.best = Some(whole);
    }

    /// Drops the candidate that covers least while there are too many.
    fn shed(&mut self) {
        while self.candidates.len() > CANDIDATES {
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

/// Returns whether two parts agree on the snapshot that they belong to.
fn is_kin(one: &Part, other: &Part) -> bool {
    one.covers == other.covers && one.count == other.count && one.total == other.total
}

fn covers(parts: &BTreeMap<u32, Part>) -> u64 {
    parts.values().next().map_or(0, |part| part.covers)
}

/// Joins the parts if all are there and the checksum of the whole matches.
fn whole(parts: &BTreeMap<u32, Part>, rules: Rules) -> Option<Whole> {
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
    Some(Whole {
        id: first.id,
        covers: first.covers,
        bytes,
    })
}
