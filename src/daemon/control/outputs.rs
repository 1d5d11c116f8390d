//! Carries out the outputs of key tables and cells, and sends slot grants.

use slog::warn;

use super::archive::{Body, Record};
use super::{Control, Pending};
use crate::core::id::{Partition, Vm};
use crate::core::placement::{self, Batch};
use crate::core::request::dedup;
use crate::core::request::dispatcher::Verdict;
use crate::core::request::slot::{Grant, SlotRequest};
use crate::core::time::Instant;
use crate::daemon::dispatch;
use crate::wire::{Frame, Stream};

impl Control {
    /// Carries out the outputs of a partition's key table.
    pub(super) fn apply_key_outputs(&mut self, partition: Partition, outputs: Vec<dedup::Output>) {
        for output in outputs {
            match output {
                dedup::Output::Append { serial, record } => {
                    self.push_body(
                        partition,
                        Body::Key(record),
                        Pending::Key(partition, serial),
                    );
                }
                dedup::Output::Run { id, key } => {
                    if let Some(service) = self.keys.service(partition, id).cloned() {
                        let verdict = Verdict::Run(id, key);
                        self.context
                            .dispatch(dispatch::Event::Verdict { service, verdict });
                    }
                }
                dedup::Output::Answer { id, answer } => {
                    if let Some(service) = self.keys.take_service(partition, id) {
                        let verdict = Verdict::Answer(id, answer);
                        self.context
                            .dispatch(dispatch::Event::Verdict { service, verdict });
                    }
                }
            }
        }
    }

    /// Carries out the outputs of a partition's cell.
    pub(super) fn apply_cell_outputs(
        &mut self,
        partition: Partition,
        outputs: Vec<placement::Output>,
    ) {
        for output in outputs {
            match output {
                placement::Output::Commit(Batch { number, records }) => {
                    self.push_body(
                        partition,
                        Body::Cell(records),
                        Pending::Batch(partition, number),
                    );
                }
                placement::Output::Canceled(job) => self.respond_canceled(partition, job),
                placement::Output::Fenced => {
                    warn!(self.context.log, "lease ended before it was renewed"; "partition" => partition.0);
                }
                _ => {}
            }
        }
    }

    /// Queues a record of a partition that this entry owns; drops it when the entry does not own
    /// the partition.
    pub(super) fn push_body(&mut self, partition: Partition, body: Body, pending: Pending) {
        if let Some(epoch) = self.leases.epoch(partition) {
            self.push_work(
                Record {
                    partition,
                    epoch,
                    body,
                },
                pending,
            );
        }
    }

    /// Queues a record of a partition; a record that the journal refuses is retried later.
    pub(super) fn push_work(&mut self, record: Record, pending: Pending) {
        match self.journal.push(Stream::Work, &record) {
            Ok(push_id) => {
                self.pending.insert(push_id, (pending, record));
            }
            Err(error) => {
                slog::debug!(self.context.log, "journal refused a record; retrying later"; "error" => %error);
                self.refused.push((pending, record));
            }
        }
    }

    /// Queues the refused records again, except those of partitions that are no longer owned.
    pub(super) fn push_refused(&mut self) {
        for (pending, record) in std::mem::take(&mut self.refused) {
            self.push_again(record, pending);
        }
    }

    /// Queues a record again if this entry still owns the partition under the same epoch.
    pub(super) fn push_again(&mut self, record: Record, pending: Pending) {
        if self.leases.epoch(record.partition) == Some(record.epoch) {
            self.push_work(record, pending);
        }
    }

    /// Handles a request for slots: grants them as the owner, or forwards the request to the owner.
    pub(super) fn grant(&mut self, now: Instant, request: &SlotRequest) {
        let Some(grant) = self.slots.grant(now, &self.leases, request) else {
            self.forward_slot_request(request);
            return;
        };
        self.deliver_grant(grant);
    }

    /// Forwards a slot request of this entry to the owner of the target's partition.
    fn forward_slot_request(&self, request: &SlotRequest) {
        let is_own = request.member.node == self.leases.node();
        let owner = self.leases.owner(self.slots.partition_of(request.target));
        if let Some(owner) = owner.filter(|owner| is_own && *owner != self.leases.node()) {
            self.send(owner.vm, Frame::SlotRequest(request.clone()));
        }
    }

    fn deliver_grant(&self, grant: Grant) {
        let Vm(vm) = grant.member.node.vm;
        if grant.member.node == self.leases.node() {
            self.context.dispatch(dispatch::Event::Granted(grant));
        } else {
            self.send(Vm(vm), Frame::SlotGrant(grant));
        }
    }
}
