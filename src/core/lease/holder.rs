//! How a holder keeps partitions: it renews their leases in the log, and requests promises from the
//! standbys while the log is down.

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::{Message, PartitionHead, PromiseRequest};
use super::port::{Append, Output};
use super::record::{Record, Renewal, Standbys};
use super::slot::{InFlight, Slot};
use super::table::Table;
use crate::core::id::{Node, Partition};
use crate::core::time::{Instant, Stamp};

/// The values that all partitions in one group of a record share.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Group {
    pub(super) predecessor: u64,
    pub(super) standbys: Option<Standbys>,
    pub(super) successor: Option<Node>,
    pub(super) may_have_unlogged: bool,
}

/// Partitions by group.
pub(super) type Groups = BTreeMap<Group, Vec<Partition>>;

impl Table {
    /// Returns a record of all releases, renewals and claims that this node should append now.
    pub(super) fn build_record(
        &mut self,
        now: Instant,
        stamp: Stamp,
        out: &mut Vec<Output>,
    ) -> Record {
        let releases = self.due_releases(now, out);
        let renewals = self.due_renewals(now);
        let claims = self.due_claims(now);
        Record {
            holder: self.node,
            sent: now,
            stamp,
            duration_ms: self.settings.duration_ms(),
            list_version: self.list_version,
            claims,
            renewals,
            releases,
        }
    }

    /// Outputs an append of `record` unless it is empty.
    pub(super) fn append(&self, now: Instant, record: Record, out: &mut Vec<Output>) {
        if record.is_empty() {
            return;
        }
        out.push(Output::Append(Append {
            record,
            expires: now + self.settings.duration,
        }));
    }

    /// Returns the renewals that are due. If any is due, partitions that will be due soon are
    /// included, so that fewer records are appended.
    fn due_renewals(&mut self, now: Instant) -> Vec<Renewal> {
        let mut active_slots = self.active_slots().into_iter();
        let is_any_due = active_slots.any(|index| self.is_due(now, index));
        if !is_any_due {
            return Vec::new();
        }
        let mut groups = Groups::new();
        for index in self.active_slots() {
            if self.is_due(now, index) || self.is_due_soon(now, index) {
                self.renew(now, index, &mut groups);
            }
        }
        let renewal = |(group, partitions): (Group, Vec<Partition>)| Renewal {
            predecessor: group.predecessor,
            standbys: group.standbys,
            may_have_unlogged: group.may_have_unlogged,
            partitions,
        };
        groups.into_iter().map(renewal).collect()
    }

    /// Returns whether a partition must be renewed.
    fn is_due(&self, now: Instant, index: usize) -> bool {
        let slot = &self.slots[index];
        let age = self.settings.renew_after;
        slot.is_older_than(now, age) && !slot.has_recent_offer(now, age)
            || self.has_replaceable_standby(slot)
    }

    /// Returns whether a partition may be renewed along with others that are due.
    fn is_due_soon(&self, now: Instant, index: usize) -> bool {
        let slot = &self.slots[index];
        let age = self.settings.renew_after;
        slot.in_flight.is_none()
            && slot.is_older_than(now, age / 2)
            && !slot.has_recent_offer(now, age)
    }

    /// Returns whether this node owns the partition, one of its standbys is gone and can be
    /// replaced, and no record of this node is in flight.
    fn has_replaceable_standby(&self, slot: &Slot) -> bool {
        let (Some(head), Some(_), None) = (&slot.head, &slot.ownership, slot.in_flight) else {
            return false;
        };
        let named = head.grant.standbys;
        let has_gone = named
            .iter()
            .flatten()
            .any(|&node| self.is_gone(node, head.grant.list_version));
        has_gone && self.standbys(slot) != named
    }

    /// Adds the renewal of one partition to its group. The standbys do not change while the log is
    /// down, because promises of the new ones would be needed as well.
    fn renew(&mut self, now: Instant, index: usize, groups: &mut Groups) {
        let wanted = self.standbys(&self.slots[index]);
        let records_unlogged = self.settings.rules.record_unlogged;
        let log_up = self.log_up;
        let slot = &mut self.slots[index];
        let (Some(head), Some(ownership)) = (&slot.head, &mut slot.ownership) else {
            return;
        };
        let is_change = wanted != head.grant.standbys && log_up;
        let standbys = is_change.then_some(wanted);
        let group = Group {
            predecessor: head.grant.offset,
            standbys,
            successor: None,
            may_have_unlogged: slot.may_have_unlogged && records_unlogged,
        };
        if !slot.may_have_unlogged {
            ownership.unlogged_allowed_from = now;
        }
        for node in standbys.into_iter().flatten().flatten() {
            add_pending_successor(&mut slot.pending_successors, node);
        }
        slot.in_flight = Some(InFlight {
            sent_at: now,
            is_claim: false,
        });
        groups
            .entry(group)
            .or_default()
            .push(Partition(index as u16));
    }

    /// Requests promises for partitions whose lease the log does not extend in time.
    pub(super) fn request_promises(&mut self, now: Instant, out: &mut Vec<Output>) {
        let mut requests: BTreeMap<Node, Vec<PartitionHead>> = BTreeMap::new();
        for index in self.active_slots() {
            if !self.needs_promises(now, index) {
                continue;
            }
            let settings = self.settings;
            let slot = &mut self.slots[index];
            let Some(head) = slot.head_offset() else {
                continue;
            };
            let requested = PartitionHead {
                partition: Partition(index as u16),
                head,
            };
            for node in slot.required_promisers(&settings) {
                requests.entry(node).or_default().push(requested);
            }
            if let Some(ownership) = &mut slot.ownership {
                ownership.requested_at = Some(now);
                ownership.drop_ended_promises(now, settings.duration);
            }
        }
        let duration_ms = self.settings.duration_ms();
        for (to, partitions) in requests {
            let message = Message::PromiseRequest(PromiseRequest {
                requested_at: now,
                duration_ms,
                partitions,
            });
            out.push(Output::Send { to, message });
        }
    }

    /// Returns whether this node should request promises to extend its ownership now.
    fn needs_promises(&self, now: Instant, index: usize) -> bool {
        let slot = &self.slots[index];
        let Some(ownership) = &slot.ownership else {
            return false;
        };
        let is_recent = ownership.requested_at.is_some_and(|requested_at| {
            now < requested_at + self.settings.promise_request_interval
        });
        let half = self.settings.duration / 2;
        let ends_soon = |until: Instant| until <= now + half;
        let promised = slot.oldest_required_promise(&self.settings);
        let promises_end_soon =
            promised.is_none_or(|since| ends_soon(since + self.settings.duration));
        let is_late = ends_soon(ownership.deadline) || !self.log_up && promises_end_soon;
        let may_extend = now < ownership.deadline || !self.settings.rules.lapse_is_final;
        is_late && !is_recent && may_extend
    }
}

impl Slot {
    /// Returns whether this node owns the partition and sent its last record at least `age` ago.
    fn is_older_than(&self, now: Instant, age: Duration) -> bool {
        let (Some(head), Some(_)) = (&self.head, &self.ownership) else {
            return false;
        };
        let last = self
            .in_flight
            .map_or(head.grant.sent, |record| record.sent_at);
        now >= last + age
    }

    /// Returns whether this node offered the partition less than `age` ago.
    pub(super) fn has_recent_offer(&self, now: Instant, age: Duration) -> bool {
        self.sent_offer.is_some_and(|offer| now < offer.sent + age)
    }

    /// Returns whether a record of this node is in flight that was sent less than `age` ago.
    pub(super) fn has_recent_record_in_flight(&self, now: Instant, age: Duration) -> bool {
        self.in_flight
            .is_some_and(|record| now < record.sent_at + age)
    }
}

/// Adds `node` to the nodes that may succeed the newest valid record, unless it is among them.
pub(super) fn add_pending_successor(pending_successors: &mut Vec<Node>, node: Node) {
    if !pending_successors.contains(&node) {
        pending_successors.push(node);
    }
}
