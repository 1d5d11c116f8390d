//! The order in which the streams of a process append their batches.

use std::collections::BTreeSet;

use laburnum_derive::state;

use super::super::batch::Name;

/// Selects streams round-robin in the order of their names; every second turn goes to an urgent
/// stream if one is due.
#[state]
pub(in super::super) struct RoundRobin {
    urgent: BTreeSet<Name>,
    last_urgent: Option<Name>,
    last_ordinary: Option<Name>,
    was_urgent: bool,
}

impl RoundRobin {
    /// Creates the order, in which the streams `urgent` are urgent.
    pub(in super::super) fn new(urgent: &[Name]) -> RoundRobin {
        RoundRobin {
            urgent: urgent.iter().cloned().collect(),
            last_urgent: None,
            last_ordinary: None,
            was_urgent: false,
        }
    }

    /// Returns the next stream among `due`, which must be sorted by name.
    pub(in super::super) fn next<'a>(
        &self,
        due: impl Iterator<Item = &'a Name>,
    ) -> Option<&'a Name> {
        let (urgent, ordinary): (Vec<&Name>, Vec<&Name>) =
            due.partition(|name| self.urgent.contains(name));
        let urgent = after(&urgent, self.last_urgent.as_ref());
        let ordinary = after(&ordinary, self.last_ordinary.as_ref());
        if self.was_urgent {
            ordinary.or(urgent)
        } else {
            urgent.or(ordinary)
        }
    }

    /// Records that `stream` has had its turn.
    pub(in super::super) fn record(&mut self, stream: Name) {
        self.was_urgent = self.urgent.contains(&stream);
        if self.was_urgent {
            self.last_urgent = Some(stream);
        } else {
            self.last_ordinary = Some(stream);
        }
    }
}

/// Returns the first of the sorted `names` after `last`, or the first of all when there is none.
fn after<'a>(names: &[&'a Name], last: Option<&Name>) -> Option<&'a Name> {
    let later = names.iter().find(|name| Some(**name) > last);
    later.or(names.first()).copied()
}
