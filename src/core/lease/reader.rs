//! How records read from the log change the table.
//!
//! A record is valid for a partition when it names the newest valid record before it. All nodes
//! read the same offsets, so all agree on which records are valid, though not on when.

use super::message::{Message, Yield};
use super::port::{Origin, Output};
use super::record::{Claim, Epoch, Record, Release, Renewal};
use super::slot::{Head, Slot, YieldWait};
use super::table::{Table, begin_ownership, end_ownership};
use super::view::{Entry, Grant, Snapshot};
use crate::core::id::{Node, Partition};
use crate::core::time::Instant;

/// A record read from the log.
#[derive(Clone, Copy)]
struct LoggedRecord<'a> {
    now: Instant,
    offset: u64,
    record: &'a Record,
}

impl Table {
    /// Applies a record, unless its offset was read before.
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
        let logged = LoggedRecord {
            now,
            offset,
            record,
        };
        for claim in &record.claims {
            self.read_claim(logged, claim, out);
            self.update_active_partition(claim.partition);
        }
        for renewal in &record.renewals {
            for &partition in &renewal.partitions {
                self.read_renewal(logged, renewal, partition, out);
                self.update_active_partition(partition);
            }
        }
        for release in &record.releases {
            for &partition in &release.partitions {
                self.read_release(logged, release, partition, out);
                self.update_active_partition(partition);
            }
        }
    }

    /// Updates whether a partition named in a record is among the active slots.
    fn update_active_partition(&mut self, partition: Partition) {
        let index = usize::from(partition.0);
        if index < self.slots.len() {
            self.update_active_slot(index);
        }
    }

    /// Applies a claim of one partition if it is valid.
    fn read_claim(&mut self, logged: LoggedRecord<'_>, claim: &Claim, out: &mut Vec<Output>) {
        let index = usize::from(claim.partition.0);
        if !self.is_valid(index, claim.predecessor) {
            return;
        }
        self.refresh(logged.now, index, out);
        if logged.record.holder == self.node {
            self.read_own_claim(logged, claim, index, out);
        } else {
            self.read_other_claim(logged, claim, index, out);
        }
    }

    /// Applies a valid claim of another node.
    fn read_other_claim(
        &mut self,
        logged: LoggedRecord<'_>,
        claim: &Claim,
        index: usize,
        out: &mut Vec<Output>,
    ) {
        let head = self.head_of_claim(logged, claim);
        let node = self.node;
        let slot = &mut self.slots[index];
        end_ownership(slot, index, out);
        if slot.is_held_by(node) {
            send_yield(slot, logged, claim.partition, out);
        }
        slot.set_head(head);
        slot.may_have_unlogged = false;
        slot.yield_wait = None;
    }

    /// Applies a valid claim of this node.
    fn read_own_claim(
        &mut self,
        logged: LoggedRecord<'_>,
        claim: &Claim,
        index: usize,
        out: &mut Vec<Output>,
    ) {
        let head = self.head_of_claim(logged, claim);
        let deadline = self.lease_start(logged) + self.settings.duration;
        let waits_for_yield = self.settings.rules.wait_for_yield;
        let node = self.node;
        let slot = &mut self.slots[index];
        let origin = origin(slot, node, claim);
        let may_have_unlogged = claim.may_have_unlogged || slot.may_have_any_unlogged();
        let accepted = slot
            .received_offer
            .filter(|offer| Some(offer.head) == claim.predecessor);
        end_ownership(slot, index, out);
        slot.set_head(head);
        let yielded = slot.early_yield.take();
        let yielded = yielded.filter(|yielded| yielded.claim == logged.offset);
        slot.may_have_unlogged =
            yielded.map_or(may_have_unlogged, |yielded| yielded.may_have_unlogged);
        if let Some(offer) = accepted.filter(|_| waits_for_yield) {
            let wait = YieldWait {
                claim: logged.offset,
                until: offer.ends,
            };
            slot.yield_wait = yielded.is_none().then_some(wait);
        }
        if logged.now < deadline {
            begin_ownership(slot, deadline, origin);
        }
        self.refresh(logged.now, index, out);
    }

    /// Applies a renewal of one partition if it is valid.
    fn read_renewal(
        &mut self,
        logged: LoggedRecord<'_>,
        renewal: &Renewal,
        partition: Partition,
        out: &mut Vec<Output>,
    ) {
        let record = logged.record;
        let index = usize::from(partition.0);
        if !self.is_own_successor(index, renewal.predecessor, record.holder) {
            return;
        }
        self.refresh(logged.now, index, out);
        let ends = logged.now + self.lease_wait(record.duration_ms);
        let deadline = self.lease_start(logged) + self.settings.duration;
        let is_own = record.holder == self.node;
        let slot = &mut self.slots[index];
        let Some(mut head) = slot.head.take() else {
            return;
        };
        head.ends = ends;
        head.grant.offset = logged.offset;
        head.grant.duration_ms = record.duration_ms;
        head.grant.sent = record.sent;
        head.grant.may_have_unlogged = renewal.may_have_unlogged;
        if let Some(standbys) = renewal.standbys {
            head.grant.standbys = standbys;
            head.grant.list_version = record.list_version;
        }
        slot.set_head(head);
        if let Some(ownership) = slot.ownership.as_mut().filter(|_| is_own) {
            ownership.deadline = ownership.deadline.max(deadline);
        }
    }

    /// Applies a release of one partition if it is valid.
    fn read_release(
        &mut self,
        logged: LoggedRecord<'_>,
        release: &Release,
        partition: Partition,
        out: &mut Vec<Output>,
    ) {
        let index = usize::from(partition.0);
        if !self.is_own_successor(index, release.predecessor, logged.record.holder) {
            return;
        }
        let slot = &mut self.slots[index];
        end_ownership(slot, index, out);
        let Some(mut head) = slot.head.take() else {
            return;
        };
        head.ends = logged.now;
        head.grant.offset = logged.offset;
        head.grant.sent = logged.record.sent;
        head.grant.may_have_unlogged = release.may_have_unlogged;
        head.grant.released = true;
        head.grant.successor = release.successor;
        slot.set_head(head);
        slot.may_have_unlogged = false;
    }

    /// Returns the newest valid record after `claim`.
    fn head_of_claim(&self, logged: LoggedRecord<'_>, claim: &Claim) -> Head {
        let record = logged.record;
        Head {
            ends: logged.now + self.lease_wait(record.duration_ms),
            grant: Grant {
                offset: logged.offset,
                epoch: Epoch(logged.offset),
                holder: record.holder,
                standbys: claim.standbys,
                duration_ms: record.duration_ms,
                sent: record.sent,
                stamp: record.stamp,
                list_version: record.list_version,
                may_have_unlogged: claim.may_have_unlogged,
                released: false,
                successor: None,
            },
        }
    }

    /// Returns the time from which this node counts its own lease.
    fn lease_start(&self, logged: LoggedRecord<'_>) -> Instant {
        if self.settings.rules.count_from_sending {
            logged.record.sent
        } else {
            logged.now
        }
    }

    /// Adopts the records of a snapshot that are newer than those of the table. Their leases count
    /// from `now`.
    pub(super) fn restore(&mut self, now: Instant, snapshot: &Snapshot, out: &mut Vec<Output>) {
        for Entry { partition, grant } in &snapshot.entries {
            let index = usize::from(partition.0);
            let ends = now + self.lease_wait(grant.duration_ms);
            let Some(slot) = self.slots.get_mut(index) else {
                continue;
            };
            if slot.head_offset() >= Some(grant.offset) {
                continue;
            }
            let epoch = slot.ownership.as_ref().map(|ownership| ownership.epoch);
            if epoch.is_some_and(|epoch| epoch != grant.epoch) || grant.released {
                end_ownership(slot, index, out);
                slot.may_have_unlogged = false;
            }
            let is_own = grant.holder == self.node;
            let is_known = slot
                .head
                .as_ref()
                .is_some_and(|head| head.grant.epoch == grant.epoch);
            if !is_known {
                slot.yield_wait = slot
                    .restored_yield_wait(grant)
                    .or(slot.yield_wait)
                    .filter(|_| is_own);
            }
            let grant = grant.clone();
            slot.set_head(Head { grant, ends });
            self.update_active_slot(index);
        }
        self.next = self.next.max(snapshot.next);
    }

    /// Returns whether a claim that names `predecessor` is valid.
    fn is_valid(&self, index: usize, predecessor: Option<u64>) -> bool {
        let Some(slot) = self.slots.get(index) else {
            return false;
        };
        !self.settings.rules.check_predecessor || slot.head_offset() == predecessor
    }

    /// Returns whether a record of `holder` that names `predecessor` succeeds the newest valid
    /// record, which `holder` must hold.
    fn is_own_successor(&self, index: usize, predecessor: u64, holder: Node) -> bool {
        let Some(slot) = self.slots.get(index) else {
            return false;
        };
        let is_named =
            !self.settings.rules.check_predecessor || slot.head_offset() == Some(predecessor);
        is_named && slot.is_held_by(holder)
    }
}

impl Slot {
    /// Returns the wait of this node for the former holder when a snapshot shows that a claim of
    /// this node was valid. The snapshot does not contain the record that the claim succeeded, so
    /// any offer counts as accepted.
    fn restored_yield_wait(&self, grant: &Grant) -> Option<YieldWait> {
        let claim = grant.epoch.0;
        let has_yielded = self
            .early_yield
            .is_some_and(|yielded| yielded.claim == claim);
        let until = self.received_offer.filter(|_| !has_yielded)?.ends;
        Some(YieldWait { claim, until })
    }
}

/// Returns how the ownership of `node` by `claim` begins. The slot must still hold the record that
/// the claim succeeds.
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
        .received_offer
        .is_some_and(|offer| Some(offer.head) == claim.predecessor)
    {
        return Origin::Offered;
    }
    if head.grant.standbys.contains(&Some(node)) {
        return Origin::Standby;
    }
    Origin::Orphaned
}

/// Sends a yield to the claimant, if this node offered the partition to it.
fn send_yield(slot: &Slot, logged: LoggedRecord<'_>, partition: Partition, out: &mut Vec<Output>) {
    let to = logged.record.holder;
    if slot.sent_offer.is_some_and(|offer| offer.node == to) {
        out.push(Output::Send {
            to,
            message: Message::Yield(Yield {
                partition,
                claim: logged.offset,
                may_have_unlogged: slot.may_have_unlogged,
            }),
        });
    }
}
