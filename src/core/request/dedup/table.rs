//! The table of keys of the partition's owner.

use std::collections::BTreeMap;

use laburnum_derive::state;

use super::record::{Gap, Record, Serial, Term};
use super::{Entry, Input, Now, Output, Rules, Standing};
use crate::core::id::Key;
use crate::core::time::{Instant, Stamp};

/// What an append that is not durable yet describes.
#[state]
pub(super) enum Pending {
    Opened,
    Intent {
        key: Key,
        /// Whether the key was handed over for its run meanwhile.
        ran: bool,
    },
}

/// The keys of one partition, as its owner knows them.
#[state]
pub struct Table {
    pub(super) rules: Rules,
    pub(super) term: Term,
    pub(super) standing: Standing,
    pub(super) entries: BTreeMap<Key, Entry>,
    /// Bytes of recorded answers.
    pub(super) kept: usize,
    pub(super) gaps: Vec<Gap>,
    pub(super) pending: BTreeMap<Serial, Pending>,
    pub(super) serial: Serial,
    /// Whether the opening of this term is durable.
    pub(super) is_open: bool,
    /// The highest watermark that may be in the log.
    pub(super) mark: Stamp,
    pub(super) marked: Instant,
    /// The newest wall-clock time seen, so that time never goes back.
    pub(super) stamp: Stamp,
}

impl Table {
    /// Makes an empty table.
    pub(super) fn new(rules: Rules, term: Term) -> Table {
        Table {
            rules,
            term,
            standing: Standing::default(),
            entries: BTreeMap::new(),
            kept: 0,
            gaps: Vec::new(),
            pending: BTreeMap::new(),
            serial: Serial(0),
            is_open: false,
            mark: Stamp(0),
            marked: Instant(0),
            stamp: Stamp(0),
        }
    }

    /// Fills the table with what the records said and logs the opening of the term.
    pub(super) fn open(
        &mut self,
        now: Now,
        entries: BTreeMap<Key, Entry>,
        floor: Stamp,
        mut gaps: Vec<Gap>,
        gap: Option<Gap>,
        out: &mut Vec<Output>,
    ) {
        gaps.extend(gap);
        self.kept = entries.values().map(Entry::size).sum();
        self.entries = entries;
        self.gaps = gaps;
        self.mark = floor;
        self.marked = now.instant;
        self.see(now);
        let term = self.term;
        let serial = self.append(Record::Opened { term, floor, gap }, out);
        self.pending.insert(serial, Pending::Opened);
    }

    /// Handles one event.
    pub fn step(&mut self, now: Now, input: Input, out: &mut Vec<Output>) {
        self.see(now);
        match input {
            Input::Submit(submission) => self.submit(now, &submission, out),
            Input::Finished { id, key, outcome } => self.finish(id, key, outcome, out),
            Input::GaveUp { id, key, answer } => self.give_up(now, id, key, answer, out),
            Input::Left { id, key } => self.leave(id, key, out),
            Input::Durable(serial) => self.durable(now, serial, out),
            Input::Read(record) => self.read(record),
            Input::Standing(standing) => self.stand(standing, out),
            Input::Tick => self.tick(now, out),
        }
    }

    /// Keeps the wall clock from going back.
    fn see(&mut self, now: Now) {
        self.stamp = self.stamp.max(now.stamp);
    }

    pub(super) fn append(&mut self, record: Record, out: &mut Vec<Output>) -> Serial {
        self.serial.0 += 1;
        let serial = self.serial;
        out.push(Output::Append { serial, record });
        serial
    }
}
