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
    needs: u32,
    wants: u32,
    /// When the slots are surely free, unless renewed.
    until: Instant,
}

/// What a member asks for and is dealt.
struct Hand {
    needs: u32,
    wants: u32,
    dealt: u32,
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
            needs: ask.needs,
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
        self.fair_share(now, ask).min(free)
    }

    /// Returns the accounts of all members but one.
    fn others(&self, member: Member) -> impl Iterator<Item = &Account> {
        let accounts = self.accounts.iter();
        accounts
            .filter(move |(other, _)| **other != member)
            .map(|(_, account)| account)
    }

    /// Returns the member's max-min fair share: slots are dealt out one by one, first for what
    /// members need and then for what they want.
    fn fair_share(&self, now: Instant, ask: &Ask) -> u32 {
        let mut hands: Vec<Hand> = self.others(ask.member).map(Hand::of).collect();
        let before = self.accounts.keys().filter(|other| **other < ask.member);
        let own = before.count();
        let hand = Hand {
            needs: ask.needs,
            wants: ask.wants,
            dealt: 0,
        };
        hands.insert(own, hand);
        let start = self.turn(now) % hands.len();
        let mut left = self.capacity.slots;
        deal(&mut hands, start, &mut left, |hand| hand.needs);
        deal(&mut hands, start, &mut left, |hand| hand.wants);
        hands[own].dealt
    }

    /// Returns which member is dealt the first slot, so that all have a turn when slots are few.
    fn turn(&self, now: Instant) -> usize {
        (now.0 / self.rules.span.as_micros().max(1) as u64) as usize
    }
}

impl Hand {
    fn of(account: &Account) -> Hand {
        Hand {
            needs: account.needs,
            wants: account.wants,
            dealt: 0,
        }
    }
}

/// Deals slots round by round to those that have less than they ask for.
fn deal(hands: &mut [Hand], start: usize, left: &mut u32, asks: impl Fn(&Hand) -> u32) {
    let mut is_dealing = true;
    while is_dealing {
        is_dealing = false;
        for step in 0..hands.len() {
            let index = (start + step) % hands.len();
            let is_short = hands[index].dealt < asks(&hands[index]);
            if is_short && *left > 0 {
                hands[index].dealt += 1;
                *left -= 1;
                is_dealing = true;
            }
        }
    }
}
