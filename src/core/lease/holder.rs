//! How a holder keeps partitions: it renews them, and asks for promises when the log is down.

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::{Ask, Message, Wish};
use super::port::{Append, Output};
use super::record::{Record, Renewal, Standbys};
use super::slot::{Sent, Slot};
use super::table::Table;
use crate::core::id::{Node, Partition};
use crate::core::time::{Instant, Stamp};

/// What partitions in one group of a record share.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Group {
    pub(super) predecessor: u64,
    pub(super) standbys: Option<Standbys>,
    pub(super) successor: Option<Node>,
    pub(super) exposed: bool,
}

/// The partitions of each group.
pub(super) type Groups = BTreeMap<Group, Vec<Partition>>;

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
        let mut concerns = self.concerns().into_iter();
        let is_any_due = concerns.any(|index| self.is_due(now, index));
        if !is_any_due {
            return Vec::new();
        }
        let mut groups = Groups::new();
        for index in self.concerns() {
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

    /// Adds the renewal of one partition to its group. Standbys stay the same while the log is
    /// down, since new ones would have to promise, too.
    fn renew(&mut self, now: Instant, index: usize, groups: &mut Groups) {
        let wanted = self.standbys(&self.slots[index]);
        let tells = self.settings.rules.tell_exposure;
        let log_up = self.log_up;
        let slot = &mut self.slots[index];
        let (Some(head), Some(tenure)) = (&slot.head, &mut slot.tenure) else {
            return;
        };
        let is_change = wanted != head.grant.standbys && log_up;
        let standbys = is_change.then_some(wanted);
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

    /// Asks for promises where the log does not extend a lease in time.
    pub(super) fn ask(&mut self, now: Instant, out: &mut Vec<Output>) {
        let mut wishes: BTreeMap<Node, Vec<Wish>> = BTreeMap::new();
        for index in self.concerns() {
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
    pub(super) fn is_offer_fresh(&self, now: Instant, age: Duration) -> bool {
        self.offered
            .is_some_and(|offering| now < offering.sent + age)
    }

    /// Returns whether a record was sent less than `age` ago.
    pub(super) fn is_sending(&self, now: Instant, age: Duration) -> bool {
        self.sent.is_some_and(|sent| now < sent.at + age)
    }
}

/// Adds `node` to those that may succeed a head.
pub(super) fn propose(proposed: &mut Vec<Node>, node: Node) {
    if !proposed.contains(&node) {
        proposed.push(node);
    }
}
