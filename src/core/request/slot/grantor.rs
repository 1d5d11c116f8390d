//! The allocation of one target's slots by the owner of its partition.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnum_derive::{state, value};
use xxhash_rust::xxh3::xxh3_64;

use super::{Capacity, Grant, Member, OutstandingGrant, Rules, SlotRequest};
use crate::core::id::Target;
use crate::core::request::route::Tier;
use crate::core::time::Instant;

/// The grant of one member.
#[state]
struct Account {
    sequence: u64,
    /// Slots that the member may occupy.
    counted: u32,
    demand: Demand,
    /// When the member last requested slots.
    last_request: Instant,
    /// When the slots are certainly free, unless the grant is renewed.
    until: Instant,
}

/// The slots that a member requests.
#[value]
struct Demand {
    needs: u32,
    wants: u32,
    tier: Tier,
}

/// The slots that a member requests, and those allocated to it so far.
struct Allocation {
    demand: Demand,
    slots: u32,
}

/// How long a member keeps its place in the order of allocation.
const ROTATION_PERIOD: Duration = Duration::from_secs(30);

/// A number divisible by all numbers of members from 1 to 10, so that members are first equally
/// often.
const ROTATION_MODULUS: u64 = 2520;

/// The number of different times in each period at which targets change the order.
const ROTATION_PHASES: u32 = 64;

/// All tiers, nearest first.
const TIERS: [Tier; 3] = [Tier::DataCentre, Tier::Region, Tier::Remote];

/// Grants the slots of one target.
#[state]
pub struct Grantor {
    rules: Rules,
    capacity: Capacity,
    accounts: BTreeMap<Member, Account>,
    /// When all grants of the previous grantor have certainly ended. Until then only kept slots are
    /// granted, because members that have not reported yet may hold slots.
    previous_grants_until: Instant,
    /// When the ownership of the target's partition ends.
    owned_until: Instant,
}

impl Grantor {
    /// Creates the grantor for a partition that was taken over from another owner at `now`, without
    /// its grants.
    pub fn after_takeover(now: Instant, rules: Rules, capacity: Capacity) -> Grantor {
        let mut grantor = Grantor::first(rules, capacity);
        if rules.wait_after_takeover {
            grantor.previous_grants_until = now + rules.lifetime();
        }
        grantor
    }

    /// Creates the first grantor of a target.
    pub fn first(rules: Rules, capacity: Capacity) -> Grantor {
        Grantor {
            rules,
            capacity,
            accounts: BTreeMap::new(),
            previous_grants_until: Instant(0),
            owned_until: Instant(0),
        }
    }

    /// Creates the grantor for a partition that was handed over with the grants in force.
    pub fn from_handover(
        now: Instant,
        rules: Rules,
        capacity: Capacity,
        grants: &[OutstandingGrant],
    ) -> Grantor {
        let mut grantor = Grantor::first(rules, capacity);
        for grant in grants {
            let account = Account {
                sequence: grant.sequence,
                counted: grant.counted,
                demand: Demand {
                    needs: grant.needs,
                    wants: grant.wants,
                    tier: grant.tier,
                },
                last_request: now,
                until: now + Duration::from_millis(grant.left_ms),
            };
            grantor.accounts.insert(grant.member, account);
        }
        grantor
    }

    /// Returns the grants in force, for a handover to the next owner of the partition. Returns
    /// `None` while unknown grants of the previous owner may be in force. After the call the
    /// grantor must not be used to grant slots.
    pub fn outstanding_grants(&self, now: Instant) -> Option<Vec<OutstandingGrant>> {
        if now < self.previous_grants_until {
            return None;
        }
        let unexpired = self
            .accounts
            .iter()
            .filter(|(_, account)| now < account.until);
        let grants = unexpired.map(|(&member, account)| OutstandingGrant {
            member,
            sequence: account.sequence,
            counted: account.counted,
            needs: account.demand.needs,
            wants: account.demand.wants,
            tier: account.demand.tier,
            left_ms: account.until.since(now).as_millis() as u64 + 1,
        });
        Some(grants.collect())
    }

    /// Sets the time until which this process certainly owns the target's partition. No slots are
    /// granted after it.
    pub fn extend(&mut self, until: Instant) {
        self.owned_until = until;
    }

    /// Grants slots to a member. Returns `None` for a repeated or outdated request and after the
    /// end of the ownership.
    pub fn grant(&mut self, now: Instant, request: &SlotRequest) -> Option<Grant> {
        if now >= self.owned_until {
            return None;
        }
        self.accounts.retain(|_, account| now < account.until);
        let known = self.accounts.get(&request.member);
        if known.is_some_and(|account| request.sequence <= account.sequence) {
            return None;
        }
        let slots = self.allowed_slots(now, request);
        let account = Account {
            sequence: request.sequence,
            counted: slots.max(request.keeps),
            demand: Demand::of(request),
            last_request: now,
            until: now + self.rules.lifetime(),
        };
        self.accounts.insert(request.member, account);
        Some(Grant {
            member: request.member,
            target: request.target,
            sequence: request.sequence,
            slots,
            connections: self.capacity.connections_for(slots),
        })
    }

    /// Returns the number of slots that may be occupied now, over all members.
    pub fn counted(&self, now: Instant) -> u32 {
        let unexpired = self.accounts.values().filter(|account| now < account.until);
        unexpired.map(|account| account.counted).sum()
    }

    /// Returns how many slots the member may occupy.
    fn allowed_slots(&self, now: Instant, request: &SlotRequest) -> u32 {
        if now < self.previous_grants_until {
            return request.keeps.min(request.wants);
        }
        let others: u32 = self
            .others(request.member)
            .map(|account| account.counted)
            .sum();
        let free = self.capacity.slots.saturating_sub(others);
        self.fair_share(now, request).min(free)
    }

    /// Returns the accounts of all members except `member`.
    fn others(&self, member: Member) -> impl Iterator<Item = &Account> {
        let accounts = self.accounts.iter();
        accounts
            .filter(move |(other, _)| **other != member)
            .map(|(_, account)| account)
    }

    /// Returns the member's max-min fair share. Slots are allocated one by one: first to what
    /// members need and then to what they want, each for the nearest members first.
    fn fair_share(&self, now: Instant, request: &SlotRequest) -> u32 {
        let others = self.others(request.member);
        let mut allocations: Vec<Allocation> = others
            .map(|account| self.allocation(now, account))
            .collect();
        let before = self
            .accounts
            .keys()
            .filter(|other| **other < request.member);
        let own_index = before.count();
        allocations.insert(own_index, Allocation::of(Demand::of(request)));
        let start = first_in_round(now, request.target) % allocations.len();
        let mut left = self.capacity.slots;
        for tier in TIERS {
            allocate_rounds(&mut allocations, start, &mut left, tier, |demand| {
                demand.needs
            });
        }
        for tier in TIERS {
            allocate_rounds(&mut allocations, start, &mut left, tier, |demand| {
                demand.wants
            });
        }
        allocations[own_index].slots
    }

    /// Returns the demand of another member. The demand is zero after three renewal intervals
    /// without a request for slots.
    fn allocation(&self, now: Instant, account: &Account) -> Allocation {
        let is_silent = now.since(account.last_request) > self.rules.renewal * 3;
        let demand = Demand {
            needs: if is_silent { 0 } else { account.demand.needs },
            wants: if is_silent { 0 } else { account.demand.wants },
            tier: account.demand.tier,
        };
        Allocation::of(demand)
    }
}

impl Demand {
    fn of(request: &SlotRequest) -> Demand {
        Demand {
            needs: request.needs,
            wants: request.wants,
            tier: request.tier,
        }
    }
}

impl Allocation {
    fn of(demand: Demand) -> Allocation {
        Allocation { demand, slots: 0 }
    }
}

/// Returns the number of the member that is allocated the first slot of a round; the caller takes
/// it modulo the number of members.
///
/// The number rotates, so that each member gets slots at times when there are fewer slots than
/// members. It differs between targets, so that no member is last at all of them, and it changes at
/// different times, so that no member loses slots at all targets at once.
fn first_in_round(now: Instant, target: Target) -> usize {
    let phase = ROTATION_PERIOD * (target.0 % ROTATION_PHASES) / ROTATION_PHASES;
    let periods = (now + phase).0 / ROTATION_PERIOD.as_micros() as u64;
    let offset = xxh3_64(&target.0.to_le_bytes());
    (periods.wrapping_add(offset) % ROTATION_MODULUS) as usize
}

/// Allocates slots round by round to the members of a tier that have less than they request.
fn allocate_rounds(
    allocations: &mut [Allocation],
    start: usize,
    left: &mut u32,
    tier: Tier,
    requested: impl Fn(&Demand) -> u32,
) {
    let mut has_allocated = true;
    while has_allocated {
        has_allocated = false;
        for step in 0..allocations.len() {
            let index = (start + step) % allocations.len();
            let allocation = &mut allocations[index];
            let is_short =
                allocation.demand.tier == tier && allocation.slots < requested(&allocation.demand);
            if is_short && *left > 0 {
                allocation.slots += 1;
                *left -= 1;
                has_allocated = true;
            }
        }
    }
}
