//! Rebuilding the table when a partition is acquired.

use std::collections::BTreeMap;

use laburnum_derive::value;

use super::record::{Attempt, Gap, Outcome, Record, Term};
use super::{Entry, Now, Output, Progress, Rules, Table};
use crate::core::id::Key;
use crate::core::time::Stamp;

/// How a partition was acquired.
#[value]
pub enum How {
    /// Nobody owned it before.
    First,
    /// The owner before handed it over; it had ended all unlogged runs in the log.
    Handover,
    /// By a standby of the owner before.
    Standby {
        /// Whether it may have promised anything since the record that its claim succeeds.
        promised: bool,
    },
    /// By a process that was not named as a standby.
    Outsider,
}

/// The claim that acquired a partition.
#[value]
pub struct Acquired {
    /// The new term.
    pub term: Term,
    /// The term before, if there was one.
    pub before: Option<Term>,
    /// How it was acquired.
    pub how: How,
}

/// What the records say of one key.
#[derive(Default)]
struct History {
    fingerprint: u64,
    newest: Option<Attempt>,
    open: Vec<Attempt>,
    void: Vec<Attempt>,
    outcome: Option<Outcome>,
}

/// What the records say of terms.
#[derive(Default)]
struct Terms {
    opened: Option<Term>,
    floor: Stamp,
    marks: BTreeMap<Term, Stamp>,
    gaps: Vec<Gap>,
}

/// Rebuilds the table from all records of the partition's stream before the claim.
///
/// `now` must not be earlier than the claim. The records of the new term's opening are appended
/// to `out`.
pub fn recover<'a>(
    rules: Rules,
    now: Now,
    records: impl IntoIterator<Item = &'a Record>,
    acquired: Acquired,
    out: &mut Vec<Output>,
) -> Table {
    let mut histories: BTreeMap<Key, History> = BTreeMap::new();
    let mut terms = Terms::default();
    for record in records {
        read(record, &mut histories, &mut terms);
    }
    let floor = terms.watermark();
    let gap = gap(&rules, now, &terms, acquired, floor);
    let entries = histories
        .into_iter()
        .map(|(key, history)| (key, history.into()));
    let mut table = Table::new(rules, acquired.term);
    table.open(now, entries.collect(), floor, terms.gaps, gap, out);
    table
}

/// Returns the creation times whose keys the owner before may have run without a record.
fn gap(rules: &Rules, now: Now, terms: &Terms, acquired: Acquired, floor: Stamp) -> Option<Gap> {
    let is_opened = acquired.before.is_some() && acquired.before == terms.opened;
    let is_described = match acquired.how {
        How::First => true,
        How::Handover => is_opened,
        How::Standby { promised } => is_opened && !promised,
        How::Outsider => false,
    };
    let until = now.stamp + rules.skew * 2;
    (!is_described && rules.horizon).then_some(Gap {
        after: floor,
        until,
    })
}

/// Takes one record into account.
fn read(record: &Record, histories: &mut BTreeMap<Key, History>, terms: &mut Terms) {
    match record {
        Record::Opened { term, floor, gap } => terms.open(*term, *floor, *gap),
        Record::Watermark { term, up_to } => terms.mark(*term, *up_to),
        Record::Intent {
            key,
            attempt,
            fingerprint,
        } => histories
            .entry(*key)
            .or_default()
            .intend(*attempt, *fingerprint),
        Record::Void { key, attempt } => {
            histories.entry(*key).or_default().void.push(*attempt);
        }
        Record::Ended {
            key,
            attempt,
            fingerprint,
            outcome,
        } => {
            let history = histories.entry(*key).or_default();
            history.intend(*attempt, *fingerprint);
            history.outcome = Some(outcome.clone());
        }
    }
}

impl Terms {
    fn open(&mut self, term: Term, floor: Stamp, gap: Option<Gap>) {
        self.gaps.extend(gap);
        if self.opened < Some(term) {
            self.opened = Some(term);
            self.floor = Stamp(0);
        }
        if self.opened == Some(term) {
            self.floor = self.floor.max(floor);
        }
    }

    /// A term logs a watermark only once its opening is durable.
    fn mark(&mut self, term: Term, up_to: Stamp) {
        if self.opened < Some(term) {
            self.opened = Some(term);
            self.floor = Stamp(0);
        }
        let mark = self.marks.entry(term).or_default();
        *mark = (*mark).max(up_to);
    }

    /// Returns the newest creation time that the newest opened term has declared described.
    fn watermark(&self) -> Stamp {
        let mark = self.opened.and_then(|term| self.marks.get(&term));
        mark.copied().unwrap_or_default().max(self.floor)
    }
}

impl History {
    fn intend(&mut self, attempt: Attempt, fingerprint: u64) {
        self.open.push(attempt);
        if self.newest <= Some(attempt) {
            self.newest = Some(attempt);
            self.fingerprint = fingerprint;
        }
    }
}

impl From<History> for Entry {
    fn from(history: History) -> Entry {
        let is_void = |attempt: &Attempt| history.void.contains(attempt);
        let progress = match history.outcome {
            Some(outcome) => Progress::Ended(outcome),
            None if history.open.iter().all(is_void) => Progress::Void,
            None => Progress::Ended(Outcome::Unknown),
        };
        let newest_void = history.void.iter().max().copied();
        Entry {
            fingerprint: history.fingerprint,
            attempt: history.newest.max(newest_void).unwrap_or_default(),
            progress,
            waiting: Vec::new(),
        }
    }
}
