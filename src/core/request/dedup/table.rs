//! The table of keys that the owner of a partition keeps.

use std::collections::BTreeMap;

use laburnum_derive::state;

use super::record::{Gap, Record, Serial, Term};
use super::{Input, KeyState, Now, Output, OwnerStatus, Rules};
use crate::core::id::Key;
use crate::core::time::{Instant, Stamp};

/// The subject of a record that is not durable yet.
#[state]
pub(super) enum Pending {
    Opened,
    Intent {
        key: Key,
        /// Whether the key was passed to the dispatcher before the intent was durable.
        dispatched: bool,
    },
}

/// The state of the keys of one partition at its owner.
#[state]
pub struct Table {
    pub(super) rules: Rules,
    pub(super) term: Term,
    pub(super) status: OwnerStatus,
    pub(super) keys: BTreeMap<Key, KeyState>,
    /// The total size of recorded answers, in bytes.
    pub(super) recorded_bytes: usize,
    pub(super) gaps: Vec<Gap>,
    pub(super) pending: BTreeMap<Serial, Pending>,
    pub(super) serial: Serial,
    /// Whether the opening of this term is durable.
    pub(super) is_opening_durable: bool,
    /// The highest watermark that may be in the log.
    pub(super) watermark: Stamp,
    /// When a watermark was last due.
    pub(super) watermark_at: Instant,
    /// The latest wall-clock time that was passed to the table; it never goes back.
    pub(super) latest_stamp: Stamp,
}

impl Table {
    /// Creates an empty table.
    pub(super) fn new(rules: Rules, term: Term) -> Table {
        Table {
            rules,
            term,
            status: OwnerStatus::default(),
            keys: BTreeMap::new(),
            recorded_bytes: 0,
            gaps: Vec::new(),
            pending: BTreeMap::new(),
            serial: Serial(0),
            is_opening_durable: false,
            watermark: Stamp(0),
            watermark_at: Instant(0),
            latest_stamp: Stamp(0),
        }
    }

    /// Fills the table with the recovered state and logs the opening of the term.
    pub(super) fn open(
        &mut self,
        now: Now,
        keys: BTreeMap<Key, KeyState>,
        floor: Stamp,
        mut gaps: Vec<Gap>,
        gap: Option<Gap>,
        out: &mut Vec<Output>,
    ) {
        gaps.extend(gap);
        self.recorded_bytes = keys.values().map(KeyState::size).sum();
        self.keys = keys;
        self.gaps = gaps;
        self.watermark = floor;
        self.watermark_at = now.instant;
        self.advance_clock(now);
        let term = self.term;
        let serial = self.append(Record::Opened { term, floor, gap }, out);
        self.pending.insert(serial, Pending::Opened);
    }

    /// Handles one event.
    pub fn step(&mut self, now: Now, input: Input, out: &mut Vec<Output>) {
        self.advance_clock(now);
        match input {
            Input::Submit(submission) => self.submit(now, &submission, out),
            Input::Finished { id, key, outcome } => self.finish(id, key, outcome, out),
            Input::NotDispatched { id, key, answer } => self.give_up(now, id, key, answer, out),
            Input::Abandoned { id, key } => self.remove_waiter(id, key, out),
            Input::Durable(serial) => self.record_durable(now, serial, out),
            Input::Read(record) => self.adopt_outcome(record),
            Input::OwnerStatus(status) => self.set_owner_status(status, out),
            Input::Tick => self.tick(now, out),
        }
    }

    /// Advances the wall-clock time, which never goes back.
    fn advance_clock(&mut self, now: Now) {
        self.latest_stamp = self.latest_stamp.max(now.stamp);
    }

    /// Emits the append of a record and returns the record's serial.
    pub(super) fn append(&mut self, record: Record, out: &mut Vec<Output>) -> Serial {
        self.serial.0 += 1;
        let serial = self.serial;
        out.push(Output::Append { serial, record });
        serial
    }
}
