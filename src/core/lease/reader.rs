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

/// A record as it was read.
#[derive(Clone, Copy)]
struct Landed<'a> {
    now: Instant,
    offset: u64,
    record: &'a Record,
}

impl Table {
    /// Reads a record.
    pub(super) fn read(
        &mut self,
        now: Instant,
        offset: u64,
        record: &Record,
        out: &mut Vec<Output>,
    ) {
        let next = offset + 1;
        if next < self.next {
            return;
        }
        self.next = next;
        let landed = Landed {
            now,
            offset,
            record,
        };
        for claim in &record.claims {
            self.read_claim(landed, claim, out);
            self.reconsider(claim.partition);
        }
        for renewal in &record.renewals {
            for &partition in &renewal.partitions {
                self.read_renewal(landed, renewal, partition, out);
                self.reconsider(partition);
            }
        }
        for release in &record.releases {
            for &partition in &release.partitions {
                self.read_release(landed, release, partition, out);
                self.reconsider(partition);
            }
        }
    }

    /// Notes what a record changed for this node.
    fn reconsider(&mut self, partition: Partition) {
        let index = usize::from(partition.0);
        if index < self.slots.len() {
            self.concern(index);
        }
    }

    /// Reads a claim of one partition.
    fn read_claim(&mut self, landed: Landed<'_>, claim: &Claim, out: &mut Vec<Output>) {
        let index = usize::from(claim.partition.0);
        if !self.is_valid(index, claim.predecessor) {
            return;
        }
        self.refresh(landed.now, index, out);
        if landed.record.holder == self.node {
            self.read_own_claim(landed, claim, index, out);
        } else {
            self.read_other_claim(landed, claim, index, out);
        }
    }

    /// Reads a valid claim of another node.
    fn read_other_claim(
        &mut self,
        landed: Landed<'_>,
        claim: &Claim,
        index: usize,
        out: &mut Vec<Output>,
    ) {
        let head = self.claimed(landed, claim);
        let node = self.node;
        let slot = &mut self.slots[index];
        end(slot, index, out);
        if slot.is_held_by(node) {
            yield_to(slot, landed, claim.partition, out);
        }
        slot.advance(head);
        slot.exposed = false;
        slot.gate = None;
    }

    /// Reads a valid claim of this node.
    fn read_own_claim(
        &mut self,
        landed: Landed<'_>,
        claim: &Claim,
        index: usize,
        out: &mut Vec<Output>,
    ) {
        let head = self.claimed(landed, claim);
        let deadline = self.counted(landed) + self.settings.duration;
        let waits = self.settings.rules.wait_for_yield;
        let node = self.node;
        let slot = &mut self.slots[index];
        let origin = origin(slot, node, claim);
        let exposed = claim.exposed || slot.may_be_exposed();
        let accepted = slot
            .offer
            .filter(|offer| Some(offer.head) == claim.predecessor);
        end(slot, index, out);
        slot.advance(head);
        let yielded = slot.yielded.take();
        let yielded = yielded.filter(|yielded| yielded.claim == landed.offset);
        slot.exposed = yielded.map_or(exposed, |yielded| yielded.exposed);
        if let Some(offer) = accepted.filter(|_| waits) {
            let gate = Gate {
                claim: landed.offset,
                until: offer.ends,
            };
            slot.gate = yielded.is_none().then_some(gate);
        }
        if landed.now < deadline {
            begin(slot, deadline, origin);
        }
        self.refresh(landed.now, index, out);
    }

    /// Reads a renewal of one partition.
    fn read_renewal(
        &mut self,
        landed: Landed<'_>,
        renewal: &Renewal,
        partition: Partition,
        out: &mut Vec<Output>,
    ) {
        let record = landed.record;
        let index = usize::from(partition.0);
        if !self.is_own_successor(index, renewal.predecessor, record.holder) {
            return;
        }
        self.refresh(landed.now, index, out);
        let ends = landed.now + self.wait(record.duration_ms);
        let deadline = self.counted(landed) + self.settings.duration;
        let is_own = record.holder == self.node;
        let slot = &mut self.slots[index];
        let Some(mut head) = slot.head.take() else {
            return;
        };
        head.ends = ends;
        head.grant.offset = landed.offset;
        head.grant.duration_ms = record.duration_ms;
        head.grant.sent = record.sent;
        head.grant.exposed = renewal.exposed;
        if let Some(standbys) = renewal.standbys {
            head.grant.standbys = standbys;
            head.grant.listed = record.listed;
        }
        slot.advance(head);
        if let Some(tenure) = slot.tenure.as_mut().filter(|_| is_own) {
            tenure.deadline = tenure.deadline.max(deadline);
        }
    }

    /// Reads a release of one partition.
    fn read_release(
        &mut self,
        landed: Landed<'_>,
        release: &Release,
        partition: Partition,
        out: &mut Vec<Output>,
    ) {
        let index = usize::from(partition.0);
        if !self.is_own_successor(index, release.predecessor, landed.record.holder) {
            return;
        }
        let slot = &mut self.slots[index];
        end(slot, index, out);
        let Some(mut head) = slot.head.take() else {
            return;
        };
        head.ends = landed.now;
        head.grant.offset = landed.offset;
        head.grant.sent = landed.record.sent;
        head.grant.exposed = release.exposed;
        head.grant.released = true;
        head.grant.successor = release.successor;
        slot.advance(head);
        slot.exposed = false;
    }

    /// Returns the head that a claim makes.
    fn claimed(&self, landed: Landed<'_>, claim: &Claim) -> Head {
        let record = landed.record;
        Head {
            ends: landed.now + self.wait(record.duration_ms),
            grant: Grant {
                offset: landed.offset,
                epoch: Epoch(landed.offset),
                holder: record.holder,
                standbys: claim.standbys,
                duration_ms: record.duration_ms,
                sent: record.sent,
                stamp: record.stamp,
                listed: record.listed,
                exposed: claim.exposed,
                released: false,
                successor: None,
            },
        }
    }

    /// Returns from when this node counts its own lease.
    fn counted(&self, landed: Landed<'_>) -> Instant {
        if self.settings.rules.count_from_sending {
            landed.record.sent
        } else {
            landed.now
        }
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
            let is_own = grant.holder == self.node;
            let is_known = slot
                .head
                .as_ref()
                .is_some_and(|head| head.grant.epoch == grant.epoch);
            if !is_known {
                slot.gate = slot.restored_gate(grant).or(slot.gate).filter(|_| is_own);
            }
            let grant = grant.clone();
            slot.advance(Head { grant, ends });
            self.concern(index);
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

impl Slot {
    /// Returns what this node waits for when it learns from a snapshot that its claim was valid.
    /// The snapshot does not say what the claim succeeded, so any offer counts as accepted.
    fn restored_gate(&self, grant: &Grant) -> Option<Gate> {
        let claim = grant.epoch.0;
        let has_yielded = self.yielded.is_some_and(|yielded| yielded.claim == claim);
        let until = self.offer.filter(|_| !has_yielded)?.ends;
        Some(Gate { claim, until })
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

/// Tells the claimant, if this node offered it the partition, that this node has stopped acting.
fn yield_to(slot: &Slot, landed: Landed<'_>, partition: Partition, out: &mut Vec<Output>) {
    let to = landed.record.holder;
    if slot.offered.is_some_and(|offering| offering.node == to) {
        out.push(Output::Send {
            to,
            message: Message::Yield(Yield {
                partition,
                claim: landed.offset,
                exposed: slot.exposed,
            }),
        });
    }
}
