//! The rule that says which copy of a batch counts.
//!
//! A writer sends a batch only after the one before it was accepted, so first copies arrive in
//! sequence order, and a batch that doesn't follow its writer's last accepted one is a repeat.
//!
//! The table must stay small although writers come and go. A batch therefore names the offset that
//! its writer had read up to and is void when it lands more than [`WINDOW`] offsets further on. A
//! writer that was silent for so long is forgotten: every copy of what it wrote before is void by
//! then, because a writer that had read its own batch doesn't send it again. The rule uses offsets
//! only, no clock, and gives the same answer on every node.

use std::collections::BTreeMap;

use laburnum_derive::{message, value};

use super::batch::{Batch, Sequence};
use crate::core::id::Node;

/// How many offsets after its writer's read position a batch may land.
pub const WINDOW: u64 = 65_536;

/// How many offsets pass between two sweeps of forgotten writers.
const SWEEP_INTERVAL: u64 = 1_024;

/// The mechanisms of this module, each of which a test can switch off.
#[doc(hidden)]
#[value]
pub struct Rules {
    /// Drop repeats.
    pub dedup: bool,
    /// Void batches that land beyond `window`.
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

/// What [`Seen`] says of a batch.
#[value]
pub enum Admission {
    /// The batch counts.
    New,
    /// An earlier copy counted.
    Repeat,
    /// The batch landed too long after it was sealed; its writer seals it again.
    Late,
    /// The batch leaves out sequence numbers, or holds part of an earlier batch.
    Broken,
}

/// The last accepted batch of a writer.
#[value]
struct Mark {
    last: Sequence,
    offset: u64,
}

/// The last accepted batch of each writer within the window; part of every snapshot.
#[message]
#[derive(Default)]
pub struct Seen {
    writers: BTreeMap<Node, Mark>,
    swept: u64,
    #[serde(skip)]
    rules: Rules,
}

impl Seen {
    /// Makes an empty table under `rules`.
    #[doc(hidden)]
    pub fn with_rules(rules: Rules) -> Seen {
        Seen {
            rules,
            ..Seen::default()
        }
    }

    /// Returns the rules.
    pub(super) fn rules(&self) -> Rules {
        self.rules
    }

    /// Replaces the rules.
    pub(super) fn set_rules(&mut self, rules: Rules) {
        self.rules = rules;
    }

    /// Judges the batch at `offset` and remembers it when it counts.
    ///
    /// Must be called for every batch of the stream, in offset order.
    pub fn admit(&mut self, offset: u64, batch: &Batch) -> Admission {
        let admission = self.judge(offset, batch);
        if admission == Admission::New {
            let last = batch.last();
            self.writers.insert(batch.node, Mark { last, offset });
        }
        if offset >= self.swept + SWEEP_INTERVAL {
            self.sweep(offset);
        }
        admission
    }

    /// Returns the last accepted sequence number of `node`, unless it was silent for the window.
    pub fn last(&self, node: Node) -> Option<Sequence> {
        self.writers.get(&node).map(|mark| mark.last)
    }

    /// Returns how many writers are remembered.
    pub fn len(&self) -> usize {
        self.writers.len()
    }

    /// Returns whether no writer is remembered.
    pub fn is_empty(&self) -> bool {
        self.writers.is_empty()
    }

    fn judge(&self, offset: u64, batch: &Batch) -> Admission {
        if batch.records.is_empty() {
            return Admission::Broken;
        }
        if self.rules.late && offset > batch.seen.saturating_add(self.rules.window) {
            return Admission::Late;
        }
        let Some(mark) = self.mark(offset, batch.node) else {
            return Admission::New;
        };
        if !self.rules.dedup || batch.first == mark.last.plus(1) {
            Admission::New
        } else if batch.last() <= mark.last {
            Admission::Repeat
        } else {
            Admission::Broken
        }
    }

    /// Returns the mark of `node`, unless it is forgotten at `offset`.
    fn mark(&self, offset: u64, node: Node) -> Option<Mark> {
        let mark = self.writers.get(&node)?;
        let window = self.rules.window;
        (offset <= mark.offset.saturating_add(window)).then_some(*mark)
    }

    /// Drops the writers that are forgotten at `offset`.
    fn sweep(&mut self, offset: u64) {
        let window = self.rules.window;
        self.writers
            .retain(|_, mark| offset <= mark.offset.saturating_add(window));
        self.swept = offset;
    }
}
