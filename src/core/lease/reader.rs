//! What a record in the log means.
//!
//! A record is valid for a partition when it names the newest valid record before it. All nodes read
//! the same offsets, so all agree on which records are valid, though not on when.

use super::message::{Message, Yield};
use super::port::{Origin, Output};
use super::record::{Claim, Epoch, Record, Release, Renewal};
use super::slot::{Gate, Head, Slot};
use super::table::{Table, begin, end};
use super::view::{Entry, Grant, Snapshot};
use crate::core::id::{Node, Partition};
use crate::core::time::Instant;

impl Table {
    /// Reads a record.
    pub(super) fn read(
        &mut self,
        now: Instant,
        offset: u64,
        record: &Record,
        out: &mut Vec<Output>,
    ) {
        const LAST: u64 = 1;
        if offset + LAST < self.next {
            return;
        }
        self.next = offset + LAST;
        for claim in &record.claims {
            self.read_claim(now, offset, record, claim, out);
        }
        for renewal in &record.renewals {
            for &partition in &renewal.partitions {
                self.read_renewal(now, offset, record, renewal, partition, out);
            }
        }
        for release in &record.releases {
            for &partition in &release.partitions {
                self.read_release(now, offset, record, release, partition, out);
            }
        }
    }

    /// Reads a claim of one partition.
    fn read_claim(
        &mut self,
        now: Instant,
        offset: u64,
        record: &Record,
        claim: &Claim,
        out: &mut Vec<Output>,
    ) {
        let index = usize::from(claim.partition.0);
        if !self.is_valid(index, claim.predecessor) {
            return;
        }
        self.refresh(now, index, out);
        let node = self.node;
        let origin = origin(&self.slots[index], node, claim);
        let grant = Grant {
            offset,
            epoch: Epoch(offset),
            holder: record.holder,
            standbys: claim.standbys,
            duration_ms: record.duration_ms,
            sent: record.sent,
            stamp: record.stamp,
            listed: record.listed,
            exposed: claim.exposed,
            released: false,
            successor: None,
        };
        let ends = now + self.wait(record.duration_ms);
        let settings = self.settings;
        let slot = &mut self.slots[index];
        let exposed = slot.may_be_exposed();
        let offer = slot
            .offer
            .filter(|offer| Some(offer.head) == claim.predecessor);
        end(slot, index, out);
        yield_to(slot, node, claim.partition, offset, record.holder, out);
        slot.advance(Head { grant, ends });
        if record.holder != node {
            slot.exposed = false;
            slot.gate = None;
            return;
        }
        let yielded = slot
            .yielded
            .take()
            .filter(|yielded| yielded.claim == offset);
        slot.exposed = yielded.map_or(exposed || claim.exposed, |yielded| yielded.exposed);
        if let Some(offer) = offer.filter(|_| settings.rules.wait_for_yield) {
            let until = offer.ends;
            let claim = offset;
            slot.gate = yielded.is_none().then_some(Gate { claim, until });
        }
        let counted = if settings.rules.count_from_sending {
            record.sent
        } else {
            now
        };
        let deadline = counted + settings.duration;
        if now < deadline {
            begin(slot, deadline, origin);
        }
        self.refresh(now, index, out);
    }

    /// Reads a renewal of one partition.
    fn read_renewal(
        &mut self,
        now: Instant,
        offset: u64,
        record: &Record,
        renewal: &Renewal,
        partition: Partition,
        out: &mut Vec<Output>,
    ) {
        let index = usize::from(partition.0);
        if !self.is_own_successor(index, renewal.predecessor, record.holder) {
            return;
        }
        self.refresh(now, index, out);
        let ends = now + self.wait(record.duration_ms);
        let settings = self.settings;
        let slot = &mut self.slots[index];
        let Some(mut head) = slot.head.take() else {
            return;
        };
        head.ends = ends;
        head.grant.offset = offset;
        head.grant.duration_ms = record.duration_ms;
        head.grant.sent = record.sent;
        head.grant.exposed = renewal.exposed;
        if let Some(standbys) = renewal.standbys {
            head.grant.standbys = standbys;
            head.grant.listed = record.listed;
        }
        slot.advance(head);
        let counted = if settings.rules.count_from_sending {
            record.sent
        } else {
            now
        };
        if let Some(tenure) = slot.tenure.as_mut().filter(|_| record.holder == self.node) {
            tenure.deadline = tenure.deadline.max(counted + settings.duration);
        }
    }

    /// Reads a release of one partition.
    fn read_release(
        &mut self,
        now: Instant,
        offset: u64,
        record: &Record,
        release: &Release,
        partition: Partition,
        out: &mut Vec<Output>,
    ) {
        let index = usize::from(partition.0);
        if !self.is_own_successor(index, release.predecessor, record.holder) {
            return;
        }
        let slot = &mut self.slots[index];
        end(slot, index, out);
        let Some(mut head) = slot.head.take() else {
            return;
        };
        head.ends = now;
        head.grant.offset = offset;
        head.grant.sent = record.sent;
        head.grant.exposed = release.exposed;
        head.grant.released = true;
        head.grant.successor = release.successor;
        slot.advance(head);
        slot.exposed = false;
    }

    /// Takes the newest records from a snapshot; leases in it count from now.
    pub(super) fn restore(&mut self, now: Instant, snapshot: &Snapshot, out: &mut Vec<Output>) {
        for Entry { partition, grant } in &snapshot.entries {
            let index = usize::from(partition.0);
            let ends = now + self.wait(grant.duration_ms);
            let Some(slot) = self.slots.get_mut(index) else {
                continue;
            };
            if slot.head_offset() >= Some(grant.offset) {
                continue;
            }
            let epoch = slot.tenure.as_ref().map(|tenure| tenure.epoch);
            if epoch.is_some_and(|epoch| epoch != grant.epoch) || grant.released {
                end(slot, index, out);
                slot.exposed = false;
            }
            let grant = grant.clone();
            slot.advance(Head { grant, ends });
        }
        self.next = self.next.max(snapshot.next);
    }

    /// Returns whether a claim that names `predecessor` is valid.
    fn is_valid(&self, index: usize, predecessor: Option<u64>) -> bool {
        let Some(slot) = self.slots.get(index) else {
            return false;
        };
        !self.settings.rules.predecessor || slot.head_offset() == predecessor
    }

    /// Returns whether a record of `holder` that names `predecessor` succeeds its own.
    fn is_own_successor(&self, index: usize, predecessor: u64, holder: Node) -> bool {
        let Some(slot) = self.slots.get(index) else {
            return false;
        };
        let is_named = !self.settings.rules.predecessor || slot.head_offset() == Some(predecessor);
        is_named && slot.is_held_by(holder)
    }
}

/// Returns how an ownership of `node` by `claim` begins, when the slot still shows what it succeeds.
fn origin(slot: &Slot, node: Node, claim: &Claim) -> Origin {
    let Some(head) = &slot.head else {
        return Origin::First;
    };
    if head.grant.released {
        return Origin::Released;
    }
    if head.grant.holder == node {
        return Origin::Reclaimed;
    }
    if slot
        .offer
        .is_some_and(|offer| Some(offer.head) == claim.predecessor)
    {
        return Origin::Offered;
    }
    if head.grant.standbys.contains(&Some(node)) {
        return Origin::Standby;
    }
    Origin::Orphaned
}

/// Tells `successor` that this node, which offered it the partition, has stopped acting.
fn yield_to(
    slot: &Slot,
    node: Node,
    partition: Partition,
    claim: u64,
    successor: Node,
    out: &mut Vec<Output>,
) {
    let is_offered = slot
        .offered
        .is_some_and(|offering| offering.node == successor);
    if is_offered && slot.is_held_by(node) {
        out.push(Output::Send {
            to: successor,
            message: Message::Yield(Yield {
                partition,
                claim,
                exposed: slot.exposed,
            }),
        });
    }
}
