//! What others than the holder do: promise, claim and take over.

use super::message::{Answer, Ask, Message, Offer, Wish, Yield};
use super::port::Output;
use super::record::Claim;
use super::slot::{Given, Head, Offered, Sent, Slot, Yielded};
use super::table::Table;
use crate::core::id::{Node, Partition};
use crate::core::time::Instant;

impl Table {
    /// Takes a message of a peer.
    pub(super) fn deliver(
        &mut self,
        now: Instant,
        from: Node,
        message: &Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Ask(ask) => self.answer(now, from, ask, out),
            Message::Answer(answer) => self.take_promises(now, from, answer, out),
            Message::Offer(offer) => self.take_offer(now, offer),
            Message::Yield(yielded) => self.take_yield(now, yielded, out),
        }
    }

    /// Promises what can be promised.
    fn answer(&mut self, now: Instant, from: Node, ask: &Ask, out: &mut Vec<Output>) {
        let until = now + self.wait(ask.duration_ms);
        let bars = self.settings.rules.claim_bars_promise;
        let mut granted = Vec::new();
        for wish in &ask.wishes {
            let Some(slot) = self.slots.get_mut(usize::from(wish.partition.0)) else {
                continue;
            };
            if slot.promise(from, ask.asked, *wish, until, bars) {
                granted.push(wish.partition);
            }
        }
        let message = Message::Answer(Answer {
            asked: ask.asked,
            granted,
        });
        out.push(Output::Send { to: from, message });
    }

    /// Extends ownerships by promises.
    fn take_promises(&mut self, now: Instant, from: Node, answer: &Answer, out: &mut Vec<Output>) {
        let rules = self.settings.rules;
        let asked = if rules.count_from_asking {
            answer.asked
        } else {
            now
        };
        for partition in &answer.granted {
            let index = usize::from(partition.0);
            if index >= self.slots.len() {
                continue;
            }
            self.refresh(now, index, out);
            let settings = self.settings;
            let slot = &mut self.slots[index];
            let Some(tenure) = &mut slot.tenure else {
                continue;
            };
            tenure.promise(from, asked);
            slot.extend(&settings);
            self.refresh(now, index, out);
        }
    }

    /// Takes note of offers that are not out of date.
    fn take_offer(&mut self, now: Instant, offer: &Offer) {
        let ends = now + self.wait(offer.duration_ms);
        for wish in &offer.wishes {
            let Some(slot) = self.slots.get_mut(usize::from(wish.partition.0)) else {
                continue;
            };
            if slot.head_offset() <= Some(wish.head) {
                slot.offer = Some(Offered {
                    head: wish.head,
                    ends,
                });
            }
        }
    }

    /// Begins to act in place of a holder that stopped.
    fn take_yield(&mut self, now: Instant, yielded: &Yield, out: &mut Vec<Output>) {
        let index = usize::from(yielded.partition.0);
        if index >= self.slots.len() {
            return;
        }
        self.refresh(now, index, out);
        let slot = &mut self.slots[index];
        if slot.gate.is_some_and(|gate| gate.claim == yielded.claim) {
            slot.gate = None;
            slot.exposed = yielded.exposed;
            self.refresh(now, index, out);
        } else if slot.head_offset() < Some(yielded.claim) {
            slot.yielded = Some(Yielded {
                claim: yielded.claim,
                exposed: yielded.exposed,
            });
        }
    }

    /// Claims what this node may and should own.
    pub(super) fn claims(&mut self, now: Instant) -> Vec<Claim> {
        let may_claim = !self.stopping && self.is_present(self.node);
        if !may_claim {
            return Vec::new();
        }
        let claims = (0..self.slots.len()).filter_map(|index| self.claim(now, index));
        claims.collect()
    }

    /// Claims one partition, if this node may and should own it.
    fn claim(&mut self, now: Instant, index: usize) -> Option<Claim> {
        let slot = &self.slots[index];
        let is_claiming = slot.is_sending(now, self.settings.duration) && slot.is_claiming();
        if slot.tenure.is_some() || is_claiming || !self.is_entitled(now, slot) {
            return None;
        }
        let claim = Claim {
            partition: Partition(index as u16),
            predecessor: slot.head_offset(),
            standbys: self.standbys(slot),
            exposed: self.inherits_exposure(slot),
        };
        self.slots[index].sent = Some(Sent {
            at: now,
            is_claim: true,
        });
        Some(claim)
    }

    /// Returns whether this node may and should claim.
    fn is_entitled(&self, now: Instant, slot: &Slot) -> bool {
        let Some(head) = &slot.head else {
            return slot.candidates[0] == Some(self.node);
        };
        if head.grant.holder == self.node && !head.grant.released {
            return true;
        }
        if head.grant.released {
            return self.is_next(now, slot, head);
        }
        if slot.is_bound(now) && self.settings.rules.keep_promises {
            return false;
        }
        let is_offered = slot
            .offer
            .is_some_and(|offer| offer.head == head.grant.offset);
        is_offered || self.is_heir(now, slot, head)
    }

    /// Returns whether a released partition falls to this node now.
    fn is_next(&self, now: Instant, slot: &Slot, head: &Head) -> bool {
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

    /// Returns whether the lease has ended and this node may take over.
    fn is_heir(&self, now: Instant, slot: &Slot, head: &Head) -> bool {
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

    /// Returns whether the holder and all standbys are gone.
    fn is_orphaned(&self, head: &Head) -> bool {
        let listed = head.grant.listed;
        let standbys = head.grant.standbys.into_iter().flatten();
        let mut named = standbys.chain([head.grant.holder]);
        named.all(|node| self.is_gone(node, listed))
    }

    /// Returns whether a claim must admit that requests may have been dispatched unlogged.
    fn inherits_exposure(&self, slot: &Slot) -> bool {
        let Some(head) = &slot.head else {
            return false;
        };
        let is_known = head.grant.released
            || head.grant.holder == self.node
            || head.grant.standbys.contains(&Some(self.node));
        !is_known || slot.may_be_exposed()
    }
}

impl Slot {
    /// Returns whether a claim that names the head is in flight.
    fn is_claiming(&self) -> bool {
        self.sent.is_some_and(|sent| sent.is_claim)
    }

    /// Promises not to claim, and returns whether that was possible.
    fn promise(
        &mut self,
        holder: Node,
        asked: Instant,
        wish: Wish,
        until: Instant,
        bars: bool,
    ) -> bool {
        let is_stale = self.head.as_ref().is_some_and(|head| {
            let grant = &head.grant;
            let is_other = grant.offset == wish.head && grant.holder != holder;
            grant.offset > wish.head || is_other || grant.offset == wish.head && grant.released
        });
        let is_older = self.given.is_some_and(|given| given.head > wish.head);
        let is_barred = self.is_claiming() && bars;
        if is_stale || is_older || is_barred || self.tenure.is_some() {
            return false;
        }
        let before = self.given;
        let same = before.filter(|given| given.holder == holder);
        self.given = Some(Given {
            holder,
            head: wish.head,
            asked: same.map_or(asked, |given| given.asked.max(asked)),
            until: before.map_or(until, |given| given.until.max(until)),
        });
        true
    }

    /// Extends this node's ownership by the promises that it holds.
    fn extend(&mut self, settings: &super::settings::Settings) {
        let Some(since) = self.promised_since(settings) else {
            return;
        };
        let Some(tenure) = &mut self.tenure else {
            return;
        };
        tenure.deadline = tenure.deadline.max(since + settings.duration);
    }
}
