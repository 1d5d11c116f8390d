//! How nodes other than the holder act: they promise not to claim, accept offers, and claim
//! partitions.

use super::message::{Message, Offer, PartitionHead, PromiseRequest, PromiseResponse, Yield};
use super::port::Output;
use super::record::Claim;
use super::slot::{EarlyYield, GivenPromise, Head, InFlight, ReceivedOffer, Slot};
use super::table::Table;
use crate::core::id::{Node, Partition};
use crate::core::time::Instant;

impl Table {
    /// Handles a message from a peer.
    pub(super) fn deliver(
        &mut self,
        now: Instant,
        from: Node,
        message: &Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::PromiseRequest(request) => self.respond_with_promises(now, from, request, out),
            Message::PromiseResponse(response) => self.receive_promises(now, from, response, out),
            Message::Offer(offer) => self.receive_offer(now, offer),
            Message::Yield(yielded) => self.receive_yield(now, yielded, out),
        }
    }

    /// Responds to a request for promises with those that this node can give.
    fn respond_with_promises(
        &mut self,
        now: Instant,
        from: Node,
        request: &PromiseRequest,
        out: &mut Vec<Output>,
    ) {
        let until = now + self.lease_wait(request.duration_ms);
        let claim_prevents_promise = self.settings.rules.claim_prevents_promise;
        let mut granted = Vec::new();
        for requested in &request.partitions {
            let Some(slot) = self.slots.get_mut(usize::from(requested.partition.0)) else {
                continue;
            };
            if slot.try_promise(
                from,
                request.requested_at,
                *requested,
                until,
                claim_prevents_promise,
            ) {
                granted.push(requested.partition);
            }
        }
        let message = Message::PromiseResponse(PromiseResponse {
            requested_at: request.requested_at,
            granted,
        });
        out.push(Output::Send { to: from, message });
    }

    /// Extends ownerships of this node by promises of a peer.
    fn receive_promises(
        &mut self,
        now: Instant,
        from: Node,
        response: &PromiseResponse,
        out: &mut Vec<Output>,
    ) {
        let rules = self.settings.rules;
        let requested_at = if rules.count_from_request {
            response.requested_at
        } else {
            now
        };
        for partition in &response.granted {
            let index = usize::from(partition.0);
            if index >= self.slots.len() {
                continue;
            }
            self.refresh(now, index, out);
            let settings = self.settings;
            let slot = &mut self.slots[index];
            let Some(ownership) = &mut slot.ownership else {
                continue;
            };
            ownership.add_promise(from, requested_at);
            slot.extend_ownership(&settings);
            self.refresh(now, index, out);
        }
    }

    /// Stores the offers that do not refer to a record older than the newest valid one.
    fn receive_offer(&mut self, now: Instant, offer: &Offer) {
        let ends = now + self.lease_wait(offer.duration_ms);
        for offered in &offer.partitions {
            let index = usize::from(offered.partition.0);
            let Some(slot) = self.slots.get_mut(index) else {
                continue;
            };
            if slot.head_offset() <= Some(offered.head) {
                slot.received_offer = Some(ReceivedOffer {
                    head: offered.head,
                    ends,
                });
                self.update_active_slot(index);
            }
        }
    }

    /// Handles a yield: this node may act as owner at once if it waits for this yield. A yield for
    /// a claim that this node has not read yet is stored.
    fn receive_yield(&mut self, now: Instant, yielded: &Yield, out: &mut Vec<Output>) {
        let index = usize::from(yielded.partition.0);
        if index >= self.slots.len() {
            return;
        }
        self.refresh(now, index, out);
        let slot = &mut self.slots[index];
        if slot
            .yield_wait
            .is_some_and(|wait| wait.claim == yielded.claim)
        {
            slot.yield_wait = None;
            slot.may_have_unlogged = yielded.may_have_unlogged;
            self.refresh(now, index, out);
        } else if slot.head_offset() < Some(yielded.claim) {
            slot.early_yield = Some(EarlyYield {
                claim: yielded.claim,
                may_have_unlogged: yielded.may_have_unlogged,
            });
        }
    }

    /// Returns claims of all partitions that this node may and should own.
    pub(super) fn due_claims(&mut self, now: Instant) -> Vec<Claim> {
        let may_claim = !self.stopping && self.is_present(self.node);
        if !may_claim {
            return Vec::new();
        }
        let active_slots = self.active_slots().into_iter();
        let claims = active_slots.filter_map(|index| self.claim(now, index));
        claims.collect()
    }

    /// Returns a claim of one partition, if this node may and should own it.
    fn claim(&mut self, now: Instant, index: usize) -> Option<Claim> {
        let slot = &self.slots[index];
        let is_claiming =
            slot.has_recent_record_in_flight(now, self.settings.duration) && slot.is_claiming();
        if slot.ownership.is_some() || is_claiming || !self.should_claim(now, slot) {
            return None;
        }
        let claim = Claim {
            partition: Partition(index as u16),
            predecessor: slot.head_offset(),
            standbys: self.standbys(slot),
            may_have_unlogged: self.claim_may_have_unlogged(slot),
        };
        self.slots[index].in_flight = Some(InFlight {
            sent_at: now,
            is_claim: true,
        });
        Some(claim)
    }

    /// Returns whether this node may and should claim the partition now.
    fn should_claim(&self, now: Instant, slot: &Slot) -> bool {
        let Some(head) = &slot.head else {
            return slot.candidates[0] == Some(self.node);
        };
        if head.grant.holder == self.node && !head.grant.released {
            return true;
        }
        if head.grant.released {
            return self.is_turn_after_release(now, slot, head);
        }
        if slot.has_promised(now) && self.settings.rules.keep_promises {
            return false;
        }
        let is_offered = slot
            .received_offer
            .is_some_and(|offer| offer.head == head.grant.offset);
        is_offered || self.is_turn_after_lease(now, slot, head)
    }

    /// Returns whether it is this node's turn to claim a released partition.
    fn is_turn_after_release(&self, now: Instant, slot: &Slot, head: &Head) -> bool {
        let stagger = self.settings.stagger;
        if head.grant.successor == Some(self.node) {
            return true;
        }
        match slot
            .candidates
            .iter()
            .position(|&node| node == Some(self.node))
        {
            Some(0) if head.grant.successor.is_none() => true,
            Some(rank) => now >= head.ends + stagger * (rank as u32 + 1),
            None => false,
        }
    }

    /// Returns whether the lease has ended and it is this node's turn to take the partition over.
    fn is_turn_after_lease(&self, now: Instant, slot: &Slot, head: &Head) -> bool {
        let stagger = self.settings.stagger;
        let rank = head
            .grant
            .standbys
            .iter()
            .position(|&node| node == Some(self.node));
        if let Some(rank) = rank {
            return now >= head.ends + stagger * rank as u32;
        }
        let rank = slot
            .candidates
            .iter()
            .position(|&node| node == Some(self.node));
        let is_turn = rank.is_some_and(|rank| now >= head.ends + stagger * (rank as u32));
        is_turn && (self.is_orphaned(head) || !self.settings.rules.outsider_waits)
    }

    /// Returns whether the holder and all standbys that the record names are gone.
    fn is_orphaned(&self, head: &Head) -> bool {
        let list_version = head.grant.list_version;
        let standbys = head.grant.standbys.into_iter().flatten();
        let mut named = standbys.chain([head.grant.holder]);
        named.all(|node| self.is_gone(node, list_version))
    }

    /// Returns whether a claim must state that requests may have been dispatched unlogged. A node
    /// that the newest record does not name cannot exclude it, unless the partition was released.
    fn claim_may_have_unlogged(&self, slot: &Slot) -> bool {
        let Some(head) = &slot.head else {
            return false;
        };
        let is_known = head.grant.released
            || head.grant.holder == self.node
            || head.grant.standbys.contains(&Some(self.node));
        !is_known || slot.may_have_any_unlogged()
    }
}

impl Slot {
    /// Returns whether a claim of this node that succeeds the head is in flight.
    fn is_claiming(&self) -> bool {
        self.in_flight.is_some_and(|record| record.is_claim)
    }

    /// Promises not to claim before `until`, and returns whether that was possible.
    fn try_promise(
        &mut self,
        holder: Node,
        requested_at: Instant,
        requested: PartitionHead,
        until: Instant,
        claim_prevents_promise: bool,
    ) -> bool {
        let is_stale = self.head.as_ref().is_some_and(|head| {
            let grant = &head.grant;
            let is_other = grant.offset == requested.head && grant.holder != holder;
            grant.offset > requested.head
                || is_other
                || grant.offset == requested.head && grant.released
        });
        let is_older = self
            .given_promise
            .is_some_and(|given| given.head > requested.head);
        let has_claimed = self.is_claiming() && claim_prevents_promise;
        if is_stale || is_older || has_claimed || self.ownership.is_some() {
            return false;
        }
        let previous = self.given_promise;
        let same_holder = previous.filter(|given| given.holder == holder);
        self.given_promise = Some(GivenPromise {
            holder,
            head: requested.head,
            requested_at: same_holder
                .map_or(requested_at, |given| given.requested_at.max(requested_at)),
            until: previous.map_or(until, |given| given.until.max(until)),
        });
        true
    }

    /// Extends this node's ownership by the promises that it received.
    fn extend_ownership(&mut self, settings: &super::settings::Settings) {
        let Some(since) = self.oldest_required_promise(settings) else {
            return;
        };
        let Some(ownership) = &mut self.ownership else {
            return;
        };
        ownership.deadline = ownership.deadline.max(since + settings.duration);
    }
}
