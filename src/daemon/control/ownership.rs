//! What changes with the live entries and with the leases.

use std::collections::HashSet;

use slog::{info, warn};

use crate::core::id::{Node, Partition};
use crate::core::time::Instant;
use crate::core::{lease, membership};
use crate::daemon::control::{Control, PUBLISHER, Pending, archive::Body};
use crate::daemon::dispatch;
use crate::util::metric::label;
use crate::wire::{Estate, Frame};

impl Control {
    /// Tells the leases of which partitions the log describes all that was done. While the log is
    /// down nothing is told, so that the standbys' promises allow work without a record.
    pub(super) fn describe(&mut self, now: Instant) {
        if !self.journal.is_up() {
            return;
        }
        let mut described = self.keys.described();
        described.extend(self.jobs.described());
        for partition in described {
            self.tenure.set_described(now, partition);
        }
    }

    /// Lets time pass for leases and membership, and tells the dispatch part who owns what.
    pub(super) fn tend_tenure(&mut self, now: Instant) {
        let outputs = self.tenure.tick_view(now);
        self.follow_view(now, outputs);
        self.keep_unfinished(now);
        let is_publisher = self.tenure.deadline(PUBLISHER, now).is_some();
        let mut facts = Vec::new();
        self.journal.set_publisher(now, is_publisher, &mut facts);
        self.learn(now, facts);
        let outputs = self
            .tenure
            .tick(now, self.context.clock.stamp(), self.journal.is_up());
        self.follow_leases(outputs);
        for (partition, owner) in self.tenure.changed_owners(now) {
            self.context
                .dispatch(dispatch::Event::Owner(partition, owner));
        }
        let is_listed = !self.vms.vms.is_empty();
        self.context
            .set_ready(is_listed && self.tenure.has_owners());
        self.tend_drain();
    }

    /// Ends a planned stop once nothing is owned any more.
    pub(super) fn tend_drain(&mut self) {
        if self.tenure.is_idle()
            && let Some(done) = self.drain.take()
        {
            info!(self.context.log, "nothing is owned any more");
            let _ = done.send(());
        }
    }

    /// Holds partitions that are to move until what was begun on them is in the log, so that the
    /// next owner finds it there.
    pub(super) fn keep_unfinished(&mut self, now: Instant) {
        let records = self.pending.values().chain(&self.refused);
        let recording: HashSet<Partition> = records.map(|(_, record)| record.partition).collect();
        let keys = &self.keys;
        self.tenure.keep(now, |partition| {
            recording.contains(&partition) || keys.unfinished(partition) > 0
        });
    }

    /// Carries out what the view of the entries wants.
    pub(super) fn follow_view(&mut self, now: Instant, outputs: Vec<membership::Output>) {
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
                    info!(self.context.log, "entry runs anew"; "node" => %node);
                    is_changed = true;
                }
            }
        }
        if is_changed {
            let (region, peers) = (self.tenure.region(), self.tenure.peers());
            let mut facts = Vec::new();
            self.journal.set_members(now, &region, &peers, &mut facts);
            self.learn(now, facts);
            let outputs = self.tenure.prefer(now);
            self.follow_leases(outputs);
        }
    }

    /// Carries out what the lease table wants.
    pub(super) fn follow_leases(&mut self, outputs: Vec<lease::Output>) {
        let now = self.context.clock.now();
        for output in outputs {
            match output {
                lease::Output::Append(append) => {
                    if let Err(error) = self.journal.push_lease(&append) {
                        warn!(self.context.log, "lease record refused"; "error" => %error);
                    }
                }
                lease::Output::Send { to, message } => {
                    self.send_estate(to, &message);
                    let own = self.tenure.node();
                    self.send(to.vm, Frame::Lease(own, message));
                }
                lease::Output::Acquired(acquired) => {
                    self.note_ownership("acquired", acquired.partition);
                    self.tenure.note_acquired(acquired);
                    self.push_body(acquired.partition, Body::Open, Pending::Nothing);
                }
                lease::Output::Lost { partition, .. } => {
                    self.note_ownership("lost", partition);
                    self.close(now, partition);
                }
            }
        }
    }

    /// Hands the grants of a partition's targets to the entry that is yielded to.
    pub(super) fn send_estate(&mut self, to: Node, message: &lease::Message) {
        let lease::Message::Yield(yielded) = message else {
            return;
        };
        let partition = yielded.partition;
        let targets = self.slots.take_left(partition);
        let epoch = lease::Epoch(yielded.claim);
        self.send(
            to.vm,
            Frame::SlotEstate(Estate {
                partition,
                epoch,
                targets,
            }),
        );
    }

    pub(super) fn note_ownership(&self, change: &'static str, partition: Partition) {
        self.context
            .metrics
            .ownership
            .add(1, &label("change", change));
        info!(self.context.log, "partition changed hands"; "change" => change, "partition" => partition.0);
    }

    /// Stops acting on a partition.
    pub(super) fn close(&mut self, now: Instant, partition: Partition) {
        self.tenure.note_lost(partition);
        self.keys.close(partition);
        self.jobs.close(partition);
        self.slots.close(now, partition);
        // The dispatch part must not admit anything under the ownership that ended.
        for (partition, owner) in self.tenure.changed_owners(now) {
            self.context
                .dispatch(dispatch::Event::Owner(partition, owner));
        }
    }
}
