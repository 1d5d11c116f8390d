//! Failure detection: a neighbour that sends no heartbeats is suspected, and counts as dead if it
//! stays suspected.

use super::entry::Entry;
use super::message::{Status, Update};
use super::port::Output;
use super::view::View;
use crate::core::id::Vm;
use crate::core::time::Instant;

/// How long an entry that is not on the VM list is kept, as a multiple of `dead_after`.
const FORGET_FACTOR: u32 = 10;

impl View {
    /// Updates the states of silent entries, and sends heartbeats if they are due.
    pub(super) fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        let was_paused = now.since(self.ticked) >= self.settings.suspect_after / 2;
        self.ticked = now;
        if was_paused && self.settings.rules.detect_own_pause {
            self.restart_silence_timers(now);
        }
        self.mark_suspect(now, out);
        self.mark_dead(now, out);
        let is_due = self
            .sent
            .is_none_or(|sent| now >= sent + self.settings.interval);
        if is_due {
            self.sent = Some(now);
            self.send_heartbeats(out);
        }
    }

    /// Restarts the silence timers of all entries.
    pub(super) fn restart_silence_timers(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            entry.last_heard = now;
        }
    }

    /// Marks watched entries as suspect that have been silent for too long.
    fn mark_suspect(&mut self, now: Instant, out: &mut Vec<Output>) {
        let own = self.own.node.vm;
        let watched: Vec<Vm> = self.ring.watched(own, self.settings.watchers).collect();
        let after = self.settings.suspect_after;
        for vm in watched {
            let entry = self.entries.get(&vm);
            let is_silent = entry.is_some_and(|entry| now >= entry.last_heard + after);
            if is_silent {
                self.set_status(now, vm, Status::Suspect, out);
            }
        }
    }

    /// Marks entries as dead whose suspicion was not refuted in time, and drops entries that have
    /// not been on the VM list for long.
    fn mark_dead(&mut self, now: Instant, out: &mut Vec<Output>) {
        let after = self.settings.dead_after;
        let is_suspect =
            |update: Option<Update>| update.is_some_and(|update| update.status == Status::Suspect);
        let overdue = |(&vm, entry): (&Vm, &Entry)| {
            let is_overdue = is_suspect(entry.update) && now >= entry.updated_at + after;
            is_overdue.then_some(vm)
        };
        let overdue: Vec<Vm> = self.entries.iter().filter_map(overdue).collect();
        for vm in overdue {
            self.set_status(now, vm, Status::Dead, out);
        }
        self.entries.retain(|_, entry| {
            let newest = entry.updated_at.max(entry.last_heard);
            entry.listed.is_some() || now < newest + after * FORGET_FACTOR
        });
    }

    /// Sets the status of an entry to `status`, if the known status is lower.
    fn set_status(&mut self, now: Instant, vm: Vm, status: Status, out: &mut Vec<Output>) {
        let before = self.state(vm);
        let sends = self.sends_per_update();
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
        entry.updated_at = now;
        entry.sends_left = sends;
        self.output_change(vm, before, out);
    }
}
