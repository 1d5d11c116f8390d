//! What tables of keys and cells want done.

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
    /// Carries out what the table of a partition wants.
    pub(super) fn follow_keys(&mut self, partition: Partition, outputs: Vec<dedup::Output>) {
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

    /// Carries out what the cell of a partition wants.
    pub(super) fn follow_cell(&mut self, partition: Partition, outputs: Vec<placement::Output>) {
        for output in outputs {
            match output {
                placement::Output::Commit(Batch { number, records }) => {
                    self.push_body(
                        partition,
                        Body::Cell(records),
                        Pending::Batch(partition, number),
                    );
                }
                placement::Output::Canceled(job) => self.answer_canceled(partition, job),
                placement::Output::Fenced => {
                    warn!(self.context.log, "lease ended before it was renewed"; "partition" => partition.0);
                }
                _ => {}
            }
        }
    }

    /// Queues a record of an own partition; without the ownership it is dropped.
    pub(super) fn push_body(&mut self, partition: Partition, body: Body, pending: Pending) {
        if let Some(epoch) = self.tenure.epoch(partition) {
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

    /// Queues a record of a partition; one that the journal refuses is tried again later.
    pub(super) fn push_work(&mut self, record: Record, pending: Pending) {
        match self.journal.push(Stream::Work, &record) {
            Ok(push_id) => {
                self.pending.insert(push_id, (pending, record));
            }
            Err(error) => {
                slog::debug!(self.context.log, "record waits"; "error" => %error);
                self.refused.push((pending, record));
            }
        }
    }

    /// Queues the records that the journal refused, unless their partition is not owned any more.
    pub(super) fn push_refused(&mut self) {
        for (pending, record) in std::mem::take(&mut self.refused) {
            self.push_again(record, pending);
        }
    }

    /// Queues a record again, unless its partition is not owned any more.
    pub(super) fn push_again(&mut self, record: Record, pending: Pending) {
        if self.tenure.epoch(record.partition) == Some(record.epoch) {
            self.push_work(record, pending);
        }
    }

    /// Answers an ask for slots, here or to the entry that asked.
    pub(super) fn grant(&mut self, now: Instant, ask: &SlotRequest) {
        let Some(grant) = self.slots.ask(now, &self.tenure, ask) else {
            self.pass_on(ask);
            return;
        };
        self.deliver_grant(grant);
    }

    /// Sends an ask of this entry to the owner of the target's partition.
    fn pass_on(&self, ask: &SlotRequest) {
        let is_own = ask.member.node == self.tenure.node();
        let owner = self.tenure.owner(self.slots.partition_of(ask.target));
        if let Some(owner) = owner.filter(|owner| is_own && *owner != self.tenure.node()) {
            self.send(owner.vm, Frame::SlotAsk(ask.clone()));
        }
    }

    fn deliver_grant(&self, grant: Grant) {
        let Vm(vm) = grant.member.node.vm;
        if grant.member.node == self.tenure.node() {
            self.context.dispatch(dispatch::Event::Granted(grant));
        } else {
            self.send(Vm(vm), Frame::SlotGrant(grant));
        }
    }
}
