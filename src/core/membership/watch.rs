//! Watching neighbours: who is silent is suspected, and who stays suspected counts as dead.

use super::entry::Entry;
use super::message::{Status, Update};
use super::port::Output;
use super::view::View;
use crate::core::id::Vm;
use crate::core::time::Instant;

/// How many times as long as for a death an entry that is off the list is remembered.
const FORGET_FACTOR: u32 = 10;

impl View {
    /// Suspects the silent and sends heartbeats.
    pub(super) fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        let was_paused = now.since(self.ticked) >= self.settings.suspect_after / 2;
        self.ticked = now;
        if was_paused && self.settings.rules.notice_pause {
            self.watch_anew(now);
        }
        self.suspect(now, out);
        self.bury(now, out);
        let is_due = self
            .sent
            .is_none_or(|sent| now >= sent + self.settings.interval);
        if is_due {
            self.sent = Some(now);
            self.send(out);
        }
    }

    /// Counts the silence of watched entries from now.
    pub(super) fn watch_anew(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            entry.heard = now;
        }
    }

    /// Suspects watched entries that are silent.
    fn suspect(&mut self, now: Instant, out: &mut Vec<Output>) {
        let own = self.own.node.vm;
        let watched: Vec<Vm> = self.ring.before(own, self.settings.watchers).collect();
        let after = self.settings.suspect_after;
        for vm in watched {
            let entry = self.entries.get(&vm);
            let is_silent = entry.is_some_and(|entry| now >= entry.heard + after);
            if is_silent {
                self.mark(now, vm, Status::Suspect, out);
            }
        }
    }

    /// Counts as dead whom nobody cleared of suspicion, and forgets VMs that are off the list.
    fn bury(&mut self, now: Instant, out: &mut Vec<Output>) {
        let after = self.settings.dead_after;
        let is_suspect =
            |update: Option<Update>| update.is_some_and(|update| update.status == Status::Suspect);
        let overdue = |(&vm, entry): (&Vm, &Entry)| {
            let is_overdue = is_suspect(entry.update) && now >= entry.learnt + after;
            is_overdue.then_some(vm)
        };
        let overdue: Vec<Vm> = self.entries.iter().filter_map(overdue).collect();
        for vm in overdue {
            self.mark(now, vm, Status::Dead, out);
        }
        self.entries.retain(|_, entry| {
            let newest = entry.learnt.max(entry.heard);
            entry.listed.is_some() || now < newest + after * FORGET_FACTOR
        });
    }

    /// Says `status` of an entry of which less was said.
    fn mark(&mut self, now: Instant, vm: Vm, status: Status, out: &mut Vec<Output>) {
        let before = self.state(vm);
        let carries = self.carries();
        let Some(entry) = self.entries.get_mut(&vm) else {
            return;
        };
        let Some(update) = entry
            .update
            .as_mut()
            .filter(|update| update.status < status)
        else {
            return;
        };
        update.status = status;
        entry.learnt = now;
        entry.carries = carries;
        self.report(vm, before, out);
    }
}
