//! What a holder does: renews, asks standbys for promises and hands over.

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::{Ask, Message, Offer, Wish};
use super::port::{Append, Output};
use super::record::{Record, Release, Renewal, Standbys};
use super::slot::{Offering, Sent, Slot};
use super::table::{Table, end};
use crate::core::id::{Node, Partition};
use crate::core::time::{Instant, Stamp};

/// What partitions in one group of a record share.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Group {
    predecessor: u64,
    standbys: Option<Standbys>,
    successor: Option<Node>,
    exposed: bool,
}

/// The partitions of each group.
type Groups = BTreeMap<Group, Vec<Partition>>;

impl Table {
    /// Returns all that this node has to say in the log now.
    pub(super) fn record(&mut self, now: Instant, stamp: Stamp, out: &mut Vec<Output>) -> Record {
        let releases = self.releases(now, out);
        let renewals = self.renewals(now);
        let claims = self.claims(now);
        Record {
            holder: self.node,
            sent: now,
            stamp,
            duration_ms: self.settings.duration_ms(),
            listed: self.listed,
            claims,
            renewals,
            releases,
        }
    }

    /// Appends `record` if it says something.
    pub(super) fn append(&self, now: Instant, record: Record, out: &mut Vec<Output>) {
        if record.is_empty() {
            return;
        }
        out.push(Output::Append(Append {
            record,
            expires: now + self.settings.duration,
        }));
    }

    /// Renews what is due, and along with it what will be due soon.
    fn renewals(&mut self, now: Instant) -> Vec<Renewal> {
        let is_any_due = (0..self.slots.len()).any(|index| self.is_due(now, index));
        if !is_any_due {
            return Vec::new();
        }
        let mut groups = Groups::new();
        for index in 0..self.slots.len() {
            if self.is_due(now, index) || self.is_due_soon(now, index) {
                self.renew(now, index, &mut groups);
            }
        }
        let renewal = |(group, partitions): (Group, Vec<Partition>)| Renewal {
            predecessor: group.predecessor,
            standbys: group.standbys,
            exposed: group.exposed,
            partitions,
        };
        groups.into_iter().map(renewal).collect()
    }

    /// Returns whether a partition must be renewed.
    fn is_due(&self, now: Instant, index: usize) -> bool {
        let slot = &self.slots[index];
        let age = self.settings.renew_after;
        slot.is_older_than(now, age) && !slot.is_offer_fresh(now, age)
            || self.has_gone_standby(slot)
    }

    /// Returns whether a partition may as well be renewed.
    fn is_due_soon(&self, now: Instant, index: usize) -> bool {
        let slot = &self.slots[index];
        let age = self.settings.renew_after;
        slot.sent.is_none() && slot.is_older_than(now, age / 2) && !slot.is_offer_fresh(now, age)
    }

    /// Returns whether a standby is gone, can be replaced and no record in flight does so.
    fn has_gone_standby(&self, slot: &Slot) -> bool {
        let (Some(head), Some(_), None) = (&slot.head, &slot.tenure, slot.sent) else {
            return false;
        };
        let named = head.grant.standbys;
        let has_gone = named
            .iter()
            .flatten()
            .any(|&node| self.is_gone(node, head.grant.listed));
        has_gone && self.standbys(slot) != named
    }

    /// Adds the renewal of one partition to its group.
    fn renew(&mut self, now: Instant, index: usize, groups: &mut Groups) {
        let wanted = self.standbys(&self.slots[index]);
        let tells = self.settings.rules.tell_exposure;
        let slot = &mut self.slots[index];
        let (Some(head), Some(tenure)) = (&slot.head, &mut slot.tenure) else {
            return;
        };
        let standbys = (wanted != head.grant.standbys).then_some(wanted);
        let group = Group {
            predecessor: head.grant.offset,
            standbys,
            successor: None,
            exposed: slot.exposed && tells,
        };
        if !slot.exposed {
            tenure.quiet = now;
        }
        for node in standbys.into_iter().flatten().flatten() {
            propose(&mut slot.proposed, node);
        }
        slot.sent = Some(Sent {
            at: now,
            is_claim: false,
        });
        groups
            .entry(group)
            .or_default()
            .push(Partition(index as u16));
    }

    /// Gives up, when the process stops, what nobody took over.
    fn releases(&mut self, now: Instant, out: &mut Vec<Output>) -> Vec<Release> {
        if !self.stopping {
            return Vec::new();
        }
        let mut groups = Groups::new();
        for index in 0..self.slots.len() {
            self.release(now, index, &mut groups, out);
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

    /// Offers partitions to the nodes that should own them.
    pub(super) fn hand_over(&mut self, now: Instant, out: &mut Vec<Output>) {
        let mut wishes: BTreeMap<Node, Vec<Wish>> = BTreeMap::new();
        for index in 0..self.slots.len() {
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

    /// Asks for promises where the log does not extend a lease in time.
    pub(super) fn ask(&mut self, now: Instant, out: &mut Vec<Output>) {
        let mut wishes: BTreeMap<Node, Vec<Wish>> = BTreeMap::new();
        for index in 0..self.slots.len() {
            if !self.needs_promises(now, index) {
                continue;
            }
            let settings = self.settings;
            let slot = &mut self.slots[index];
            let Some(head) = slot.head_offset() else {
                continue;
            };
            let wish = Wish {
                partition: Partition(index as u16),
                head,
            };
            for node in slot.promisers(&settings) {
                wishes.entry(node).or_default().push(wish);
            }
            if let Some(tenure) = &mut slot.tenure {
                tenure.asked = Some(now);
                tenure.forget_promises(now, settings.duration);
            }
        }
        let duration_ms = self.settings.duration_ms();
        for (to, wishes) in wishes {
            let message = Message::Ask(Ask {
                asked: now,
                duration_ms,
                wishes,
            });
            out.push(Output::Send { to, message });
        }
    }

    /// Returns whether an ownership should be extended by promises.
    fn needs_promises(&self, now: Instant, index: usize) -> bool {
        let slot = &self.slots[index];
        let Some(tenure) = &slot.tenure else {
            return false;
        };
        let is_recent = tenure
            .asked
            .is_some_and(|asked| now < asked + self.settings.ask_every);
        let half = self.settings.duration / 2;
        let lacks = |until: Instant| until <= now + half;
        let promised = slot.promised_since(&self.settings);
        let lacks_promises = promised.is_none_or(|since| lacks(since + self.settings.duration));
        let is_late = lacks(tenure.deadline) || !self.log_up && lacks_promises;
        let may_extend = now < tenure.deadline || !self.settings.rules.lapse_is_final;
        is_late && !is_recent && may_extend
    }
}

impl Slot {
    /// Returns whether the newest renewal of this node's ownership was sent `age` ago.
    fn is_older_than(&self, now: Instant, age: Duration) -> bool {
        let (Some(head), Some(_)) = (&self.head, &self.tenure) else {
            return false;
        };
        let last = self.sent.map_or(head.grant.sent, |sent| sent.at);
        now >= last + age
    }

    /// Returns whether an offer was made less than `age` ago.
    fn is_offer_fresh(&self, now: Instant, age: Duration) -> bool {
        self.offered
            .is_some_and(|offering| now < offering.sent + age)
    }

    /// Returns whether a record was sent less than `age` ago.
    pub(super) fn is_sending(&self, now: Instant, age: Duration) -> bool {
        self.sent.is_some_and(|sent| now < sent.at + age)
    }
}

/// Adds `node` to those that may succeed a head.
fn propose(proposed: &mut Vec<Node>, node: Node) {
    if !proposed.contains(&node) {
        proposed.push(node);
    }
}
