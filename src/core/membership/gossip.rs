//! Sending and receiving heartbeats, which also carry updates on other entries.

use super::entry::Entry;
use super::message::{Heartbeat, Status, Update};
use super::port::Output;
use super::view::View;
use crate::core::id::Vm;
use crate::core::time::Instant;

/// In how many heartbeats an update is sent, as a multiple of the binary logarithm of the cell's
/// size.
const SENDS_FACTOR: u32 = 3;

impl View {
    /// Handles a heartbeat: adopts its updates and responds to the sender if needed.
    pub(super) fn receive_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        out: &mut Vec<Output>,
    ) {
        let sender = heartbeat.sender.node.vm;
        if sender == self.own.node.vm {
            return;
        }
        self.entry(now, sender).last_heard = now;
        self.apply_update(now, heartbeat.sender, out);
        for &update in &heartbeat.updates {
            self.apply_update(now, update, out);
        }
        if heartbeat.requests_all_updates {
            self.send_all_updates(sender, out);
        } else {
            self.notify_if_suspected(heartbeat.sender, out);
        }
    }

    /// Adopts an update if it overrides the known one.
    fn apply_update(&mut self, now: Instant, update: Update, out: &mut Vec<Output>) {
        if update.node == self.own.node {
            self.refute(update);
            return;
        }
        if update.node.vm == self.own.node.vm {
            return;
        }
        let vm = update.node.vm;
        let sends = self.sends_per_update();
        let must_override = self.settings.rules.order_updates;
        let before = self.state(vm);
        let entry = self.entry(now, vm);
        let known = entry.update;
        let is_older = known.is_some_and(|known| !update.overrides(&known));
        if is_older && must_override {
            return;
        }
        entry.update = Some(update);
        entry.updated_at = now;
        entry.sends_left = sends;
        if known.is_some_and(|known| known.node != update.node) {
            out.push(Output::Restarted(update.node));
        }
        self.output_change(vm, before, out);
    }

    /// Raises this node's number of refutations so that its own update overrides `update`, which is
    /// wrong.
    fn refute(&mut self, update: Update) {
        if update.overrides(&self.own) && self.settings.rules.refute {
            self.own.refutations = update.refutations + 1;
        }
    }

    /// Sends the heartbeats of one round.
    pub(super) fn send_heartbeats(&mut self, out: &mut Vec<Output>) {
        let own = self.own.node.vm;
        let mut targets: Vec<Vm> = self.ring.watchers(own, self.settings.watchers).collect();
        targets.extend(self.ring.gossip_target(own, self.round));
        targets.sort_unstable();
        targets.dedup();
        self.round += 1;
        for to in targets {
            let updates = self.take_updates(to);
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
            requests_all_updates: unknown > self.settings.watchers,
            updates,
        }
    }

    /// Returns the updates for a heartbeat to `to`, those with the most sends left first.
    fn take_updates(&mut self, to: Vm) -> Vec<Update> {
        let due = |(&vm, entry): (&Vm, &Entry)| {
            (entry.sends_left > 0 && vm != to).then_some((entry.sends_left, vm))
        };
        let mut due: Vec<(u32, Vm)> = self.entries.iter().filter_map(due).collect();
        due.sort_unstable_by(|one, other| other.cmp(one));
        due.truncate(self.settings.updates);
        let mut updates = Vec::with_capacity(due.len());
        for (_, vm) in due {
            if let Some(entry) = self.entries.get_mut(&vm) {
                entry.sends_left -= 1;
                updates.extend(entry.update);
            }
        }
        updates
    }

    /// Sends all updates to an entry that requested them.
    fn send_all_updates(&self, to: Vm, out: &mut Vec<Output>) {
        let updates = self.entries.values().filter_map(|entry| entry.update);
        let mut heartbeat = self.heartbeat(updates.collect());
        heartbeat.requests_all_updates = false;
        out.push(Output::Send { to, heartbeat });
    }

    /// Sends an entry the update that it is suspected or dead, if there is one, so that it can
    /// refute it.
    fn notify_if_suspected(&self, sender: Update, out: &mut Vec<Output>) {
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

    /// Returns in how many heartbeats a new update is sent.
    pub(super) fn sends_per_update(&self) -> u32 {
        let size = self.entries.len().max(1);
        SENDS_FACTOR * (usize::BITS - size.leading_zeros())
    }
}
