//! The order in which the streams of a process append.

use std::collections::BTreeSet;

use laburnum_derive::state;

use super::super::batch::Name;

/// Streams take turns in the order of their names; every second turn is for urgent streams.
#[state]
pub(in super::super) struct Turns {
    urgent: BTreeSet<Name>,
    last_urgent: Option<Name>,
    last_ordinary: Option<Name>,
    was_urgent: bool,
}

impl Turns {
    /// Makes the turns of streams of which some are urgent.
    pub(in super::super) fn new(urgent: &[Name]) -> Turns {
        Turns {
            urgent: urgent.iter().cloned().collect(),
            last_urgent: None,
            last_ordinary: None,
            was_urgent: false,
        }
    }

    /// Returns the stream whose turn it is among `due`, which are in the order of their names.
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

    /// Takes note that it was the turn of `stream`.
    pub(in super::super) fn end(&mut self, stream: Name) {
        self.was_urgent = self.urgent.contains(&stream);
        if self.was_urgent {
            self.last_urgent = Some(stream);
        } else {
            self.last_ordinary = Some(stream);
        }
    }
}

/// Returns the first name after `last`, beginning again at the end.
fn after<'a>(names: &[&'a Name], last: Option<&Name>) -> Option<&'a Name> {
    let later = names.iter().find(|name| Some(**name) > last);
    later.or(names.first()).copied()
}
