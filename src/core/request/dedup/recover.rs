//! Recovery of the table of keys from the log when a partition is acquired.

use std::collections::BTreeMap;

use laburnum_derive::value;

use super::record::{Attempt, Gap, Outcome, Record, Term};
use super::{KeyState, Now, Output, Progress, Rules, Table};
use crate::core::id::Key;
use crate::core::time::Stamp;

/// How a partition was acquired.
#[value]
pub enum Acquisition {
    /// The partition had no owner before.
    First,
    /// The previous owner handed it over after all its runs were described by the log.
    Handover,
    /// A standby of the previous owner claimed it.
    Standby {
        /// Whether the standby, after the record that its claim follows, may have promised not to
        /// claim the partition. The previous owner may then have run keys without a durable intent.
        promised: bool,
    },
    /// A process that was not a standby claimed it.
    Outsider,
}

/// The claim that acquired a partition.
#[value]
pub struct Acquired {
    /// The new term.
    pub term: Term,
    /// The previous term, if there was one.
    pub before: Option<Term>,
    /// How it was acquired.
    pub how: Acquisition,
}

/// The records of one key.
#[derive(Default)]
struct History {
    fingerprint: u64,
    newest: Option<Attempt>,
    intents: Vec<Attempt>,
    void: Vec<Attempt>,
    outcome: Option<Outcome>,
}

/// The records of the terms.
#[derive(Default)]
struct Terms {
    /// The newest term that has begun.
    opened: Option<Term>,
    floor: Stamp,
    watermarks: BTreeMap<Term, Stamp>,
    gaps: Vec<Gap>,
}

/// Rebuilds the table from all records of the partition's stream before the claim.
///
/// `now` must not be earlier than the claim. The append of the record that opens the new term is
/// added to `out`.
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
        apply(record, &mut histories, &mut terms);
    }
    let floor = terms.watermark();
    let gap = gap(&rules, now, &terms, acquired, floor);
    let keys = histories
        .into_iter()
        .map(|(key, history)| (key, history.into()));
    let mut table = Table::new(rules, acquired.term);
    table.open(now, keys.collect(), floor, terms.gaps, gap, out);
    table
}

/// Returns the range of creation times whose keys the previous owner may have run without a record.
fn gap(rules: &Rules, now: Now, terms: &Terms, acquired: Acquired, floor: Stamp) -> Option<Gap> {
    let is_opened = acquired.before.is_some() && acquired.before == terms.opened;
    let is_described = match acquired.how {
        Acquisition::First => true,
        Acquisition::Handover => is_opened,
        Acquisition::Standby { promised } => is_opened && !promised,
        Acquisition::Outsider => false,
    };
    let until = now.stamp + rules.skew * 2;
    (!is_described && rules.horizon).then_some(Gap {
        after: floor,
        until,
    })
}

/// Adds one record to the histories of keys and terms.
fn apply(record: &Record, histories: &mut BTreeMap<Key, History>, terms: &mut Terms) {
    match record {
        Record::Opened { term, floor, gap } => terms.add_opening(*term, *floor, *gap),
        Record::Watermark { term, up_to } => terms.add_watermark(*term, *up_to),
        Record::Intent {
            key,
            attempt,
            fingerprint,
        } => histories
            .entry(*key)
            .or_default()
            .add_intent(*attempt, *fingerprint),
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
            history.add_intent(*attempt, *fingerprint);
            history.outcome = Some(outcome.clone());
        }
    }
}

impl Terms {
    fn add_opening(&mut self, term: Term, floor: Stamp, gap: Option<Gap>) {
        self.gaps.extend(gap);
        if self.opened < Some(term) {
            self.opened = Some(term);
            self.floor = Stamp(0);
        }
        if self.opened == Some(term) {
            self.floor = self.floor.max(floor);
        }
    }

    /// Adds a watermark. It also proves that the term is open, because a term logs watermarks only
    /// after its opening is durable.
    fn add_watermark(&mut self, term: Term, up_to: Stamp) {
        if self.opened < Some(term) {
            self.opened = Some(term);
            self.floor = Stamp(0);
        }
        let watermark = self.watermarks.entry(term).or_default();
        *watermark = (*watermark).max(up_to);
    }

    /// Returns the creation time up to which the log describes all keys, as the newest opened term
    /// declared.
    fn watermark(&self) -> Stamp {
        let watermark = self.opened.and_then(|term| self.watermarks.get(&term));
        watermark.copied().unwrap_or_default().max(self.floor)
    }
}

impl History {
    fn add_intent(&mut self, attempt: Attempt, fingerprint: u64) {
        self.intents.push(attempt);
        if self.newest <= Some(attempt) {
            self.newest = Some(attempt);
            self.fingerprint = fingerprint;
        }
    }
}

impl From<History> for KeyState {
    fn from(history: History) -> KeyState {
        let is_void = |attempt: &Attempt| history.void.contains(attempt);
        let progress = match history.outcome {
            Some(outcome) => Progress::Ended(outcome),
            None if history.intents.iter().all(is_void) => Progress::Void,
            None => Progress::Ended(Outcome::Unknown),
        };
        let newest_void = history.void.iter().max().copied();
        KeyState {
            fingerprint: history.fingerprint,
            attempt: history.newest.max(newest_void).unwrap_or_default(),
            progress,
            waiting: Vec::new(),
        }
    }
}
