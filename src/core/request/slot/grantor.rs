//! The owner's side of one target's slots.

use std::collections::BTreeMap;

use laburnum_derive::state;

use super::{Ask, Capacity, Grant, Member, Rules};
use crate::core::time::Instant;

/// What one member may hold.
#[state]
struct Account {
    sequence: u64,
    counted: u32,
    wants: u32,
    /// When the slots are surely free, unless renewed.
    until: Instant,
}

/// Lends the slots of one target.
#[state]
pub struct Grantor {
    rules: Rules,
    capacity: Capacity,
    accounts: BTreeMap<Member, Account>,
    /// Until then grants of an earlier grantor may be in force that nobody reports.
    closed_until: Instant,
    /// When the ownership of the target's partition ends.
    authority: Instant,
}

impl Grantor {
    /// Makes the grantor of a partition that was acquired at `now` after an earlier owner.
    pub fn after_takeover(now: Instant, rules: Rules, capacity: Capacity) -> Grantor {
        let mut grantor = Grantor::first(rules, capacity);
        if rules.wait_after_takeover {
            grantor.closed_until = now + rules.lifetime();
        }
        grantor
    }

    /// Makes the grantor of a target that never had one.
    pub fn first(rules: Rules, capacity: Capacity) -> Grantor {
        Grantor {
            rules,
            capacity,
            accounts: BTreeMap::new(),
            closed_until: Instant(0),
            authority: Instant(0),
        }
    }

    /// Notes until when this process surely owns the target's partition; nothing is granted after.
    pub fn extend(&mut self, until: Instant) {
        self.authority = until;
    }

    /// Answers an ask; a repeated or late one has no answer.
    pub fn ask(&mut self, now: Instant, ask: &Ask) -> Option<Grant> {
        if now >= self.authority {
            return None;
        }
        self.accounts.retain(|_, account| now < account.until);
        let known = self.accounts.get(&ask.member);
        if known.is_some_and(|account| ask.sequence <= account.sequence) {
            return None;
        }
        let slots = self.slots_for(now, ask);
        let account = Account {
            sequence: ask.sequence,
            counted: slots.max(ask.keeps),
            wants: ask.wants,
            until: now + self.rules.lifetime(),
        };
        self.accounts.insert(ask.member, account);
        Some(Grant {
            member: ask.member,
            target: ask.target,
            sequence: ask.sequence,
            slots,
            connections: self.capacity.connections_for(slots),
        })
    }

    /// Returns the slots that may be filled now, over all members.
    pub fn counted(&self, now: Instant) -> u32 {
        let living = self.accounts.values().filter(|account| now < account.until);
        living.map(|account| account.counted).sum()
    }

    /// Decides how many slots the member may fill.
    fn slots_for(&self, now: Instant, ask: &Ask) -> u32 {
        if now < self.closed_until {
            return ask.keeps.min(ask.wants);
        }
        let others: u32 = self.others(ask.member).map(|account| account.counted).sum();
        let free = self.capacity.slots.saturating_sub(others);
        self.fair_share(ask).min(free).min(ask.wants)
    }

    /// Returns the accounts of all members but one.
    fn others(&self, member: Member) -> impl Iterator<Item = &Account> {
        let accounts = self.accounts.iter();
        accounts
            .filter(move |(other, _)| **other != member)
            .map(|(_, account)| account)
    }

    /// Returns the member's max-min fair share of the capacity by what all want.
    fn fair_share(&self, ask: &Ask) -> u32 {
        let mut wants: Vec<u32> = self.others(ask.member).map(|other| other.wants).collect();
        wants.push(ask.wants);
        wants.sort_unstable();
        let mut left = self.capacity.slots;
        let mut members = wants.len() as u32;
        for want in wants {
            let level = left.div_ceil(members);
            if want > level {
                return level;
            }
            left -= want;
            members -= 1;
        }
        ask.wants
    }
}
