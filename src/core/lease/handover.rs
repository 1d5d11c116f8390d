//! How a holder gives partitions up: it offers them to a successor, or at the end releases them.

use std::collections::BTreeMap;

use super::holder::{Group, Groups, propose};
use super::message::{Message, Offer, Wish};
use super::port::Output;
use super::record::Release;
use super::slot::{Offering, Sent, Slot, Tenure};
use super::table::{Table, end};
use crate::core::id::{Node, Partition};
use crate::core::time::Instant;

impl Table {
    /// Gives up, when the process stops, what nobody took over.
    pub(super) fn releases(&mut self, now: Instant, out: &mut Vec<Output>) -> Vec<Release> {
        if !self.stopping {
            return Vec::new();
        }
        let mut groups = Groups::new();
        for index in self.concerns() {
            if !self.slots[index].is_kept {
                self.release(now, index, &mut groups, out);
            }
        }
        let release = |(group, partitions): (Group, Vec<Partition>)| Release {
            predecessor: group.predecessor,
            successor: group.successor,
            exposed: group.exposed,
            partitions,
        };
        groups.into_iter().map(release).collect()
    }

    /// Gives one partition up, if its offer was not taken.
    fn release(&mut self, now: Instant, index: usize, groups: &mut Groups, out: &mut Vec<Output>) {
        let successor = self.successor(&self.slots[index]);
        let patience = self.settings.renew_after;
        let slot = &mut self.slots[index];
        let is_waiting = slot.is_offer_fresh(now, patience)
            || slot.is_sending(now, patience)
            || slot.is_gated(now);
        if !slot.is_held_by(self.node) || is_waiting {
            return;
        }
        end(slot, index, out);
        let Some(head) = &slot.head else {
            return;
        };
        let group = Group {
            predecessor: head.grant.offset,
            standbys: None,
            successor,
            exposed: slot.exposed,
        };
        slot.sent = Some(Sent {
            at: now,
            is_claim: false,
        });
        groups
            .entry(group)
            .or_default()
            .push(Partition(index as u16));
    }

    /// Returns the node that should own a partition instead of this one.
    fn successor(&self, slot: &Slot) -> Option<Node> {
        let others = slot.candidates.into_iter().flatten();
        let mut present = others.filter(|&node| self.is_present(node));
        if self.stopping {
            return present.find(|&node| node != self.node);
        }
        present.next().filter(|&node| node != self.node)
    }

    /// Returns whether a partition of this node is to be handed over by now.
    pub(super) fn is_moving(&self, now: Instant, slot: &Slot) -> bool {
        if self.stopping {
            return slot.is_held_by(self.node);
        }
        let is_settled = |tenure: &Tenure| now >= tenure.since + self.settings.settle;
        slot.tenure.as_ref().is_some_and(is_settled) && self.successor(slot).is_some()
    }

    /// Offers partitions to the nodes that should own them.
    pub(super) fn hand_over(&mut self, now: Instant, out: &mut Vec<Output>) {
        let mut wishes: BTreeMap<Node, Vec<Wish>> = BTreeMap::new();
        for index in self.concerns() {
            if self.slots[index].is_kept {
                continue;
            }
            let Some(successor) = self.successor(&self.slots[index]) else {
                continue;
            };
            if let Some(wish) = self.offer(now, index, successor) {
                wishes.entry(successor).or_default().push(wish);
            }
        }
        let duration_ms = self.settings.duration_ms();
        for (to, wishes) in wishes {
            let message = Message::Offer(Offer {
                duration_ms,
                wishes,
            });
            out.push(Output::Send { to, message });
        }
    }

    /// Offers one partition, if the log works and no record of this node is in flight.
    fn offer(&mut self, now: Instant, index: usize, successor: Node) -> Option<Wish> {
        let log_up = self.log_up;
        let stopping = self.stopping;
        let settle = self.settings.settle;
        let pace = self.settings.duration;
        let slot = &mut self.slots[index];
        let tenure = slot.tenure.as_ref()?;
        let is_settled = stopping || now >= tenure.since + settle;
        let is_acting = tenure.is_active(now) && is_settled;
        let is_offered = slot.is_offer_fresh(now, pace);
        if !is_acting || !log_up || is_offered || slot.sent.is_some() {
            return None;
        }
        slot.offered = Some(Offering {
            node: successor,
            sent: now,
        });
        propose(&mut slot.proposed, successor);
        Some(Wish {
            partition: Partition(index as u16),
            head: slot.head_offset()?,
        })
    }
}
