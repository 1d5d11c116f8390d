//! How a holder hands partitions over: it offers them to a successor, or releases them when its
//! process stops and no successor has taken them.

use std::collections::BTreeMap;

use super::holder::{Group, Groups, add_pending_successor};
use super::message::{Message, Offer, PartitionHead};
use super::port::Output;
use super::record::Release;
use super::slot::{InFlight, Ownership, SentOffer, Slot};
use super::table::{Table, end_ownership};
use crate::core::id::{Node, Partition};
use crate::core::time::Instant;

impl Table {
    /// Returns the releases of partitions that no successor took over, if the process is stopping.
    pub(super) fn due_releases(&mut self, now: Instant, out: &mut Vec<Output>) -> Vec<Release> {
        if !self.stopping {
            return Vec::new();
        }
        let mut groups = Groups::new();
        for index in self.active_slots() {
            if !self.slots[index].has_unfinished_work {
                self.release(now, index, &mut groups, out);
            }
        }
        let release = |(group, partitions): (Group, Vec<Partition>)| Release {
            predecessor: group.predecessor,
            successor: group.successor,
            may_have_unlogged: group.may_have_unlogged,
            partitions,
        };
        groups.into_iter().map(release).collect()
    }

    /// Ends the ownership of one partition and adds its release to its group, unless an offer or a
    /// record of this node is pending or the former holder may still act as owner.
    fn release(&mut self, now: Instant, index: usize, groups: &mut Groups, out: &mut Vec<Output>) {
        let successor = self.successor(&self.slots[index]);
        let retry_after = self.settings.renew_after;
        let slot = &mut self.slots[index];
        let is_waiting = slot.has_recent_offer(now, retry_after)
            || slot.has_recent_record_in_flight(now, retry_after)
            || slot.is_waiting_for_yield(now);
        if !slot.is_held_by(self.node) || is_waiting {
            return;
        }
        end_ownership(slot, index, out);
        let Some(head) = &slot.head else {
            return;
        };
        let group = Group {
            predecessor: head.grant.offset,
            standbys: None,
            successor,
            may_have_unlogged: slot.may_have_unlogged,
        };
        slot.in_flight = Some(InFlight {
            sent_at: now,
            is_claim: false,
        });
        groups
            .entry(group)
            .or_default()
            .push(Partition(index as u16));
    }

    /// Returns the node that should own a partition instead of this one, if any.
    fn successor(&self, slot: &Slot) -> Option<Node> {
        let others = slot.candidates.into_iter().flatten();
        let mut present = others.filter(|&node| self.is_present(node));
        if self.stopping {
            return present.find(|&node| node != self.node);
        }
        present.next().filter(|&node| node != self.node)
    }

    /// Returns whether this node owns the partition and should hand it over now.
    pub(super) fn should_hand_over(&self, now: Instant, slot: &Slot) -> bool {
        if self.stopping {
            return slot.is_held_by(self.node);
        }
        let is_past_min_hold =
            |ownership: &Ownership| now >= ownership.since + self.settings.min_hold;
        slot.ownership.as_ref().is_some_and(is_past_min_hold) && self.successor(slot).is_some()
    }

    /// Offers partitions to the nodes that should own them.
    pub(super) fn hand_over(&mut self, now: Instant, out: &mut Vec<Output>) {
        let mut offers: BTreeMap<Node, Vec<PartitionHead>> = BTreeMap::new();
        for index in self.active_slots() {
            if self.slots[index].has_unfinished_work {
                continue;
            }
            let Some(successor) = self.successor(&self.slots[index]) else {
                continue;
            };
            if let Some(offered) = self.offer(now, index, successor) {
                offers.entry(successor).or_default().push(offered);
            }
        }
        let duration_ms = self.settings.duration_ms();
        for (to, partitions) in offers {
            let message = Message::Offer(Offer {
                duration_ms,
                partitions,
            });
            out.push(Output::Send { to, message });
        }
    }

    /// Offers one partition to `successor`, if this node may act as its owner, the log accepts
    /// appends, and no record or recent offer of this node for it is pending.
    fn offer(&mut self, now: Instant, index: usize, successor: Node) -> Option<PartitionHead> {
        let log_up = self.log_up;
        let stopping = self.stopping;
        let min_hold = self.settings.min_hold;
        let repeat_after = self.settings.duration;
        let slot = &mut self.slots[index];
        let ownership = slot.ownership.as_ref()?;
        let is_past_min_hold = stopping || now >= ownership.since + min_hold;
        let is_acting = ownership.is_active(now) && is_past_min_hold;
        let is_offered = slot.has_recent_offer(now, repeat_after);
        if !is_acting || !log_up || is_offered || slot.in_flight.is_some() {
            return None;
        }
        slot.sent_offer = Some(SentOffer {
            node: successor,
            sent: now,
        });
        add_pending_successor(&mut slot.pending_successors, successor);
        Some(PartitionHead {
            partition: Partition(index as u16),
            head: slot.head_offset()?,
        })
    }
}
