//! Streams: fuzzing against simple oracles, and focused tests.

pub(crate) mod cell;
mod funnel;
mod fuzz;
mod pace;
mod relay;
mod snapshot;

use laburnumplank::core::id::{Incarnation, Node, Vm};
use laburnumplank::platform::log::{Entry, Page};
use proptest::test_runner::{Config, RngSeed};

/// Returns the settings of a run with a fixed seed; `PROPTEST_CASES` makes it longer.
pub(crate) fn config(cases: u32) -> Config {
    let longer = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|text| text.parse().ok());
    Config {
        cases: longer.unwrap_or(cases),
        rng_seed: RngSeed::Fixed(0x6c61_6275),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Returns a node of an incarnation.
pub(crate) fn node(vm: u32, incarnation: u64) -> Node {
    Node {
        vm: Vm(vm),
        incarnation: Incarnation(incarnation),
    }
}

/// One stream of the log service, in memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    pub(crate) entries: Vec<Vec<u8>>,
    pub(crate) first: u64,
}

impl Log {
    pub(crate) fn append(&mut self, bytes: &[u8]) -> u64 {
        self.entries.push(bytes.to_vec());
        self.next() - 1
    }

    pub(crate) fn next(&self) -> u64 {
        self.entries.len() as u64
    }

    pub(crate) fn page(&self, from: u64, most: usize) -> Page {
        let entry = |offset: u64| Entry {
            offset,
            data: self.entries[offset as usize].clone(),
        };
        let is_kept = from >= self.first;
        let offsets = (from..self.next()).take(if is_kept { most } else { 0 });
        Page {
            first: self.first,
            next: self.next(),
            entries: offsets.map(entry).collect(),
        }
    }
}
