//! The rule that decides which copy of a batch is accepted.
//!
//! A writer sends a batch only after the one before it was accepted, so first copies arrive in
//! sequence order, and a batch that doesn't follow its writer's last accepted one is a duplicate.
//!
//! The table must stay small although writers come and go. A batch therefore holds the offset that
//! its writer had read up to, and is rejected when it is appended more than [`WINDOW`] offsets
//! after that. A writer without an accepted batch in the last [`WINDOW`] offsets is removed from
//! the table: every copy of its earlier batches would be rejected as late by then, because a writer
//! that has read its own batch doesn't send it again. The rule uses only offsets and no clock, so
//! its result is the same on every node.

use std::collections::BTreeMap;

use laburnum_derive::{message, value};

use super::batch::{Batch, Sequence};
use crate::core::id::Node;

/// The maximum distance, in offsets, from a writer's read position to the offset of its batch.
pub const WINDOW: u64 = 65_536;

/// The minimum number of offsets between two removals of inactive writers from the table.
const SWEEP_INTERVAL: u64 = 1_024;

/// The checks of this module, each of which a test can switch off.
#[doc(hidden)]
#[value]
pub struct Rules {
    /// Reject duplicates.
    pub dedup: bool,
    /// Reject batches that are appended beyond `window`.
    pub late: bool,
    /// The window, in offsets.
    pub window: u64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            dedup: true,
            late: true,
            window: WINDOW,
        }
    }
}

/// The decision of [`WriterTable`] on a batch.
#[value]
pub enum Admission {
    /// The batch is accepted.
    New,
    /// An earlier copy was accepted.
    Repeat,
    /// The batch was appended more than the window after its read position; its writer sends it
    /// again with a newer read position.
    Late,
    /// The batch is empty, skips sequence numbers, or overlaps an earlier batch.
    Broken,
}

/// The last accepted batch of a writer.
#[value]
struct LastBatch {
    last: Sequence,
    offset: u64,
}

/// A table of the last accepted batch of each writer within the window; part of every snapshot.
#[message]
#[derive(Default)]
pub struct WriterTable {
    writers: BTreeMap<Node, LastBatch>,
    swept: u64,
    #[serde(skip)]
    rules: Rules,
}

impl WriterTable {
    /// Creates an empty table that applies `rules`.
    #[doc(hidden)]
    pub fn with_rules(rules: Rules) -> WriterTable {
        WriterTable {
            rules,
            ..WriterTable::default()
        }
    }

    /// Returns the active rules.
    pub(super) fn rules(&self) -> Rules {
        self.rules
    }

    /// Replaces the rules.
    pub(super) fn set_rules(&mut self, rules: Rules) {
        self.rules = rules;
    }

    /// Decides whether to accept the batch at `offset`, and records it if so.
    ///
    /// Must be called for every batch of the stream, in offset order.
    pub fn admit(&mut self, offset: u64, batch: &Batch) -> Admission {
        let admission = self.evaluate(offset, batch);
        if admission == Admission::New {
            let last = batch.last();
            self.writers.insert(batch.node, LastBatch { last, offset });
        }
        if offset >= self.swept + SWEEP_INTERVAL {
            self.sweep(offset);
        }
        admission
    }

    /// Returns the last accepted sequence number of `node`, or `None` when it has no accepted batch
    /// within the window.
    pub fn last(&self, node: Node) -> Option<Sequence> {
        self.writers.get(&node).map(|last_batch| last_batch.last)
    }

    /// Returns how many writers are in the table.
    pub fn len(&self) -> usize {
        self.writers.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.writers.is_empty()
    }

    fn evaluate(&self, offset: u64, batch: &Batch) -> Admission {
        if batch.records.is_empty() {
            return Admission::Broken;
        }
        if self.rules.late && offset > batch.read_position.saturating_add(self.rules.window) {
            return Admission::Late;
        }
        let Some(last_batch) = self.last_batch(offset, batch.node) else {
            return Admission::New;
        };
        if !self.rules.dedup || batch.first == last_batch.last.plus(1) {
            Admission::New
        } else if batch.last() <= last_batch.last {
            Admission::Repeat
        } else {
            Admission::Broken
        }
    }

    /// Returns the last accepted batch of `node` if it is within the window at `offset`.
    fn last_batch(&self, offset: u64, node: Node) -> Option<LastBatch> {
        let last_batch = self.writers.get(&node)?;
        let window = self.rules.window;
        (offset <= last_batch.offset.saturating_add(window)).then_some(*last_batch)
    }

    /// Removes the writers whose last accepted batch is outside the window at `offset`.
    fn sweep(&mut self, offset: u64) {
        let window = self.rules.window;
        self.writers
            .retain(|_, last_batch| offset <= last_batch.offset.saturating_add(window));
        self.swept = offset;
    }
}
