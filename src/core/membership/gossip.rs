//! Heartbeats that carry news, and what is learnt from them.

use super::entry::Entry;
use super::message::{Heartbeat, Status, Update};
use super::port::Output;
use super::view::View;
use crate::core::id::Vm;
use crate::core::time::Instant;

/// How many times the logarithm of the cell's size an update is carried on.
const CARRY_FACTOR: u32 = 3;

impl View {
    /// Takes a heartbeat.
    pub(super) fn hear(&mut self, now: Instant, heartbeat: &Heartbeat, out: &mut Vec<Output>) {
        let sender = heartbeat.sender.node.vm;
        if sender == self.own.node.vm {
            return;
        }
        self.entry(now, sender).heard = now;
        self.learn(now, heartbeat.sender, out);
        for &update in &heartbeat.updates {
            self.learn(now, update, out);
        }
        if heartbeat.is_new {
            self.tell_all(sender, out);
        } else {
            self.tell_suspect(heartbeat.sender, out);
        }
    }

    /// Adopts an update that overrides what is known.
    fn learn(&mut self, now: Instant, update: Update, out: &mut Vec<Output>) {
        if update.node == self.own.node {
            self.refute(update);
            return;
        }
        if update.node.vm == self.own.node.vm {
            return;
        }
        let vm = update.node.vm;
        let carries = self.carries();
        let is_ordered = self.settings.rules.order;
        let before = self.state(vm);
        let entry = self.entry(now, vm);
        let known = entry.update;
        let is_older = known.is_some_and(|known| !update.overrides(&known));
        if is_older && is_ordered {
            return;
        }
        entry.update = Some(update);
        entry.learnt = now;
        entry.carries = carries;
        if known.is_some_and(|known| known.node != update.node) {
            out.push(Output::Returned(update.node));
        }
        self.report(vm, before, out);
    }

    /// Overrides what others wrongly say of this node.
    fn refute(&mut self, update: Update) {
        if update.overrides(&self.own) && self.settings.rules.refute {
            self.own.count = update.count + 1;
        }
    }

    /// Sends this round's heartbeats.
    pub(super) fn send(&mut self, out: &mut Vec<Output>) {
        let own = self.own.node.vm;
        let mut targets: Vec<Vm> = self.ring.after(own, self.settings.watchers).collect();
        targets.extend(self.ring.finger(own, self.round));
        targets.sort_unstable();
        targets.dedup();
        self.round += 1;
        for to in targets {
            let updates = self.news(to);
            let heartbeat = self.heartbeat(updates);
            out.push(Output::Send { to, heartbeat });
        }
    }

    /// Returns a heartbeat of this node.
    pub(super) fn heartbeat(&self, updates: Vec<Update>) -> Heartbeat {
        let is_unknown = |entry: &Entry| entry.listed.is_some() && entry.update.is_none();
        let unknown = self
            .entries
            .values()
            .filter(|entry| is_unknown(entry))
            .count();
        Heartbeat {
            sender: self.own,
            is_new: unknown > self.settings.watchers,
            updates,
        }
    }

    /// Returns the updates to carry to `to`, most often due first.
    fn news(&mut self, to: Vm) -> Vec<Update> {
        let due = |(&vm, entry): (&Vm, &Entry)| {
            (entry.carries > 0 && vm != to).then_some((entry.carries, vm))
        };
        let mut due: Vec<(u32, Vm)> = self.entries.iter().filter_map(due).collect();
        due.sort_unstable_by(|one, other| other.cmp(one));
        due.truncate(self.settings.updates);
        let mut updates = Vec::with_capacity(due.len());
        for (_, vm) in due {
            if let Some(entry) = self.entries.get_mut(&vm) {
                entry.carries -= 1;
                updates.extend(entry.update);
            }
        }
        updates
    }

    /// Sends all updates to a newcomer.
    fn tell_all(&self, to: Vm, out: &mut Vec<Output>) {
        let updates = self.entries.values().filter_map(|entry| entry.update);
        let mut heartbeat = self.heartbeat(updates.collect());
        heartbeat.is_new = false;
        out.push(Output::Send { to, heartbeat });
    }

    /// Tells an entry that answers again what is said of it, so that it can refute it.
    fn tell_suspect(&self, sender: Update, out: &mut Vec<Output>) {
        let known = self
            .entries
            .get(&sender.node.vm)
            .and_then(|entry| entry.update);
        if let Some(update) = known.filter(|known| known.status >= Status::Suspect) {
            let to = sender.node.vm;
            let heartbeat = self.heartbeat(vec![update]);
            out.push(Output::Send { to, heartbeat });
        }
    }

    /// Returns how often a new update is carried on.
    pub(super) fn carries(&self) -> u32 {
        let size = self.entries.len().max(1);
        CARRY_FACTOR * (usize::BITS - size.leading_zeros())
    }
}
