//! The owner's side of one target's slots.

use std::collections::BTreeMap;

use laburnum_derive::{state, value};

use super::{Ask, Capacity, Grant, Member, Rules};
use crate::core::request::route::Tier;
use crate::core::time::Instant;

/// What one member may hold.
#[state]
struct Account {
    sequence: u64,
    counted: u32,
    demand: Demand,
    /// When the member asked last.
    asked: Instant,
    /// When the slots are surely free, unless renewed.
    until: Instant,
}

/// What a member asks for.
#[value]
struct Demand {
    needs: u32,
    wants: u32,
    tier: Tier,
}

/// What a member asks for and is dealt.
struct Hand {
    demand: Demand,
    dealt: u32,
}

/// Distances, nearest first.
const TIERS: [Tier; 3] = [Tier::DataCentre, Tier::Region, Tier::Remote];

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
            demand: Demand::of(ask),
            asked: now,
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

    /// Returns the member's max-min fair share: slots are dealt out one by one, nearest members
    /// first, for what members need before what they want.
    fn fair_share(&self, now: Instant, ask: &Ask) -> u32 {
        let others = self.others(ask.member);
        let mut hands: Vec<Hand> = others.map(|account| self.hand(now, account)).collect();
        let before = self.accounts.keys().filter(|other| **other < ask.member);
        let own = before.count();
        hands.insert(own, Hand::of(Demand::of(ask)));
        let start = self.turn(now) % hands.len();
        let mut left = self.capacity.slots;
        for tier in TIERS {
            deal(&mut hands, start, &mut left, tier, |demand| demand.needs);
        }
        for tier in TIERS {
            deal(&mut hands, start, &mut left, tier, |demand| demand.wants);
        }
        hands[own].dealt
    }

    /// Returns what another member asks for; one that no longer asks gets nothing new.
    fn hand(&self, now: Instant, account: &Account) -> Hand {
        let is_silent = now.since(account.asked) > self.rules.renewal * 3;
        let demand = Demand {
            needs: if is_silent { 0 } else { account.demand.needs },
            wants: if is_silent { 0 } else { account.demand.wants },
            tier: account.demand.tier,
        };
        Hand::of(demand)
    }

    /// Returns which member is dealt the first slot, so that all have a turn when slots are few.
    fn turn(&self, now: Instant) -> usize {
        (now.0 / self.rules.span.as_micros().max(1) as u64) as usize
    }
}

impl Demand {
    fn of(ask: &Ask) -> Demand {
        Demand {
            needs: ask.needs,
            wants: ask.wants,
            tier: ask.tier,
        }
    }
}

impl Hand {
    fn of(demand: Demand) -> Hand {
        Hand { demand, dealt: 0 }
    }
}

/// Deals slots round by round to the members of a tier that have less than they ask for.
fn deal(
    hands: &mut [Hand],
    start: usize,
    left: &mut u32,
    tier: Tier,
    asks: impl Fn(&Demand) -> u32,
) {
    let mut is_dealing = true;
    while is_dealing {
        is_dealing = false;
        for step in 0..hands.len() {
            let index = (start + step) % hands.len();
            let hand = &mut hands[index];
            let is_short = hand.demand.tier == tier && hand.dealt < asks(&hand.demand);
            if is_short && *left > 0 {
                hand.dealt += 1;
                *left -= 1;
                is_dealing = true;
            }
        }
    }
}
