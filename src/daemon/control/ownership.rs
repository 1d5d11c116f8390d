//! Applies changes of the live entries and of the leases.

use std::collections::HashSet;

use slog::{info, warn};

use crate::core::id::{Node, Partition};
use crate::core::time::Instant;
use crate::core::{lease, membership};
use crate::daemon::control::{Control, PUBLISHER, Pending, archive::Body};
use crate::daemon::dispatch;
use crate::util::metric::label;
use crate::wire::{Frame, SlotHandover};

impl Control {
    /// Reports to the lease table the partitions of whose work the log has complete records. It
    /// reports nothing while the log is down, so that the standbys' promises remain and allow work
    /// without a record.
    pub(super) fn report_described(&mut self, now: Instant) {
        if !self.journal.is_up() {
            return;
        }
        let mut described = self.keys.described();
        described.extend(self.jobs.described());
        for partition in described {
            self.leases.set_described(now, partition);
        }
    }

    /// Advances membership and leases, and reports changed owners to the dispatch thread.
    pub(super) fn tick_leases(&mut self, now: Instant) {
        let outputs = self.leases.tick_view(now);
        self.apply_view_outputs(now, outputs);
        self.hold_unfinished(now);
        let is_publisher = self.leases.deadline(PUBLISHER, now).is_some();
        let mut updates = Vec::new();
        self.journal.set_publisher(now, is_publisher, &mut updates);
        self.apply_updates(now, updates);
        let outputs = self
            .leases
            .tick(now, self.context.clock.stamp(), self.journal.is_up());
        self.apply_lease_outputs(outputs);
        for (partition, owner) in self.leases.changed_owners(now) {
            self.context
                .dispatch(dispatch::Event::Owner(partition, owner));
        }
        let is_listed = !self.vms.vms.is_empty();
        self.context
            .set_ready(is_listed && self.leases.has_owners());
        self.finish_drain();
    }

    /// Completes the drain of a planned stop once this entry owns no partition.
    pub(super) fn finish_drain(&mut self) {
        if self.leases.is_idle()
            && let Some(done) = self.drain.take()
        {
            info!(self.context.log, "all partitions released");
            let _ = done.send(());
        }
    }

    /// Delays the handover of moving partitions until the records of the work begun on them are in
    /// the log, so that the next owner reads them there.
    pub(super) fn hold_unfinished(&mut self, now: Instant) {
        let records = self.pending.values().chain(&self.refused);
        let recording: HashSet<Partition> = records.map(|(_, record)| record.partition).collect();
        let keys = &self.keys;
        self.leases.hold_moving(now, |partition| {
            recording.contains(&partition) || keys.unfinished(partition) > 0
        });
    }

    /// Carries out the outputs of the membership view.
    pub(super) fn apply_view_outputs(&mut self, now: Instant, outputs: Vec<membership::Output>) {
        let mut is_changed = false;
        for output in outputs {
            match output {
                membership::Output::Send { to, heartbeat } => {
                    self.send(to, Frame::Membership(heartbeat));
                }
                membership::Output::Changed { vm, state } => {
                    info!(self.context.log, "entry changed state"; "vm" => vm.0, "state" => ?state);
                    is_changed = true;
                }
                membership::Output::Restarted(node) => {
                    info!(self.context.log, "entry restarted"; "node" => %node);
                    is_changed = true;
                }
            }
        }
        if is_changed {
            let (region, peers) = (self.leases.region(), self.leases.peers());
            let mut updates = Vec::new();
            self.journal.set_members(now, &region, &peers, &mut updates);
            self.apply_updates(now, updates);
            let outputs = self.leases.update_preferences(now);
            self.apply_lease_outputs(outputs);
        }
    }

    /// Carries out the outputs of the lease table.
    pub(super) fn apply_lease_outputs(&mut self, outputs: Vec<lease::Output>) {
        let now = self.context.clock.now();
        for output in outputs {
            match output {
                lease::Output::Append(append) => {
                    if let Err(error) = self.journal.push_lease(&append) {
                        warn!(self.context.log, "journal refused a lease record"; "error" => %error);
                    }
                }
                lease::Output::Send { to, message } => {
                    self.send_slot_grants(to, &message);
                    let own = self.leases.node();
                    self.send(to.vm, Frame::Lease(own, message));
                }
                lease::Output::Acquired(acquired) => {
                    self.count_ownership_change("acquired", acquired.partition);
                    self.leases.add_acquired(acquired);
                    self.push_body(acquired.partition, Body::Open, Pending::Nothing);
                }
                lease::Output::Lost { partition, .. } => {
                    self.count_ownership_change("lost", partition);
                    self.close(now, partition);
                }
            }
        }
    }

    /// Sends the slot grants of a yielded partition's targets to its next owner; does nothing for
    /// other messages.
    pub(super) fn send_slot_grants(&mut self, to: Node, message: &lease::Message) {
        let lease::Message::Yield(yielded) = message else {
            return;
        };
        let partition = yielded.partition;
        let targets = self.slots.take_handover(partition);
        let epoch = lease::Epoch(yielded.claim);
        self.send(
            to.vm,
            Frame::SlotHandover(SlotHandover {
                partition,
                epoch,
                targets,
            }),
        );
    }

    pub(super) fn count_ownership_change(&self, change: &'static str, partition: Partition) {
        self.context
            .metrics
            .ownership_changes
            .add(1, &label("change", change));
        info!(self.context.log, "ownership of a partition changed"; "change" => change, "partition" => partition.0);
    }

    /// Drops all state of a partition that this entry lost.
    pub(super) fn close(&mut self, now: Instant, partition: Partition) {
        self.leases.remove_lost(partition);
        self.keys.close(partition);
        self.jobs.close(partition);
        self.slots.close(now, partition);
        // The dispatch thread must not admit anything under the ownership that ended.
        for (partition, owner) in self.leases.changed_owners(now) {
            self.context
                .dispatch(dispatch::Event::Owner(partition, owner));
        }
    }
}
