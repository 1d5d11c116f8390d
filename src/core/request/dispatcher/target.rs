//! The targets of a service as one dispatcher sees them.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnum_derive::{state, value};

use super::{Listed, Settings};
use crate::core::id::Target;
use crate::core::request::limit::Limit;
use crate::core::request::link::{Connection, Pool};
use crate::core::request::outlier::Detector;
use crate::core::request::queue::Rooms;
use crate::core::request::route::{Candidate, Place, Tier};
use crate::core::request::slot::{Ask, Holder, Member};
use crate::core::time::Instant;

/// One target.
#[state]
pub(super) struct Peer {
    pub(super) listed: Listed,
    pub(super) tier: Tier,
    pub(super) holder: Holder,
    pub(super) pool: Pool,
    pub(super) limit: Limit,
    /// What was asked for last.
    wanted: Wanted,
    asked: Instant,
}

/// Slots that a target is asked for.
#[value]
#[derive(Default)]
struct Wanted {
    needs: u32,
    wants: u32,
}

/// Slots that are still to be asked for.
#[value]
struct Demand {
    needs: u32,
    spare: u32,
}

/// All targets of the service.
#[state]
pub(super) struct Peers {
    settings: Settings,
    member: Member,
    place: Place,
    pub(super) peers: BTreeMap<Target, Peer>,
    pub(super) detector: Detector,
}

/// Slots that are asked for beyond what the present load fills, at least.
const HEADROOM: u32 = 4;

/// Slots that are asked for beyond the present load, as a share of it.
const HEADROOM_SHARE: u32 = 4;

/// The largest share of the nearest slots that is kept for lookups.
const MOST_KEPT_PERCENT: u32 = 75;

/// Slots that are kept at each target of the same data centre without any load.
const IDLE_SLOTS: u32 = 1;

impl Peer {
    /// Returns whether the target may get requests at all.
    fn is_usable(&self, now: Instant, detector: &Detector) -> bool {
        !self.listed.is_leaving && !detector.is_ejected(now, self.listed.target)
    }

    /// Returns how many requests the target may get now.
    fn room(&self, now: Instant, detector: &Detector) -> u32 {
        let free = self.holder.free(now);
        if free == 0 || !self.is_usable(now, detector) {
            return 0;
        }
        let most = match detector.is_on_probation(self.listed.target) {
            true => 1,
            false => self.limit.slots(),
        };
        let by_limit = most.saturating_sub(self.holder.used());
        let room = free.min(by_limit);
        let can_connect = self.pool.idle().is_some() || self.can_open(now);
        if can_connect { room } else { 0 }
    }

    /// Returns how many slots the target will give; it is judged by what it gave when it was asked.
    fn expected(&self, now: Instant, wanted: Wanted) -> u32 {
        let held = self.holder.held(now);
        let is_short = held < self.wanted.wants && !self.holder.is_asking(now);
        if is_short {
            held.min(wanted.wants)
        } else {
            wanted.wants
        }
    }

    /// Returns whether the target is asked now: at intervals, or when more is needed.
    fn is_ask_due(&self, now: Instant, wanted: Wanted, renewal: Duration) -> bool {
        let is_due = now.since(self.asked) >= renewal || wanted.needs > self.wanted.needs;
        let holds = self.holder.held(now) > 0 || self.holder.used() > 0;
        let has_business = wanted.wants > 0 || holds;
        is_due && has_business && !self.holder.is_asking(now)
    }

    /// Lets the next ask come at once: it tells the owner that slots were given back.
    pub(super) fn ask_soon(&mut self) {
        self.asked = Instant(0);
    }

    /// Closes all connections and returns them.
    pub(super) fn close(&mut self) -> Vec<Connection> {
        self.pool.clear()
    }

    /// Returns whether one more connection may be opened.
    pub(super) fn can_open(&self, now: Instant) -> bool {
        self.pool.open(now) < self.holder.connections(now)
    }
}

impl Peers {
    pub(super) fn new(settings: Settings, member: Member, place: Place) -> Peers {
        Peers {
            settings,
            member,
            place,
            peers: BTreeMap::new(),
            detector: Detector::new(settings.outlier),
        }
    }

    /// Adds a target or updates what is listed of it.
    pub(super) fn list(&mut self, listed: Listed) {
        let target = listed.target;
        self.detector.insert(target);
        let (settings, member) = (&self.settings, self.member);
        let tier = self.place.tier(listed.place);
        let peer = self.peers.entry(target).or_insert_with(|| Peer {
            listed,
            tier,
            holder: Holder::new(settings.slot, member, target, tier),
            pool: Pool::new(settings.link),
            limit: Limit::new(settings.limit),
            wanted: Wanted::default(),
            asked: Instant(0),
        });
        peer.listed = listed;
        peer.tier = tier;
    }

    /// Removes a target.
    pub(super) fn remove(&mut self, target: Target) {
        self.peers.remove(&target);
        self.detector.remove(target);
    }

    /// Returns whether any target may get requests.
    pub(super) fn has_usable(&self, now: Instant) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| peer.is_usable(now, &self.detector))
    }

    /// Returns whether any target of the region may get requests.
    pub(super) fn has_near(&self, now: Instant) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| peer.tier < Tier::Remote && peer.is_usable(now, &self.detector))
    }

    /// Returns the slots of each tier; `reserve` slots of the nearest are kept for lookups.
    pub(super) fn rooms(&self, now: Instant, reserve: u32) -> Rooms {
        let mut rooms = Rooms::default();
        for peer in self.peers.values() {
            let room = &mut rooms[peer.tier as usize];
            room.free += peer.room(now, &self.detector);
            room.held += peer.holder.held(now).min(peer.limit.slots());
        }
        if let Some(nearest) = rooms.iter_mut().find(|room| room.held > 0) {
            nearest.kept = reserve.min(nearest.held * MOST_KEPT_PERCENT / 100);
        }
        rooms
    }

    /// Fills `out` with the targets of a tier that can take a request now.
    pub(super) fn candidates(&self, now: Instant, tier: Option<usize>, out: &mut Vec<Candidate>) {
        out.clear();
        for (&target, peer) in &self.peers {
            let is_of_tier = Some(peer.tier as usize) == tier;
            if is_of_tier && peer.room(now, &self.detector) > 0 {
                out.push(Candidate {
                    target,
                    tier: peer.tier,
                    outstanding: peer.holder.used(),
                });
            }
        }
    }

    /// Asks for slots for `waiting` requests and for some more to come, nearest targets first.
    pub(super) fn ask(
        &mut self,
        now: Instant,
        waiting: u32,
        reserve: u32,
        is_draining: bool,
    ) -> Vec<Ask> {
        let used: u32 = self.peers.values().map(|peer| peer.holder.used()).sum();
        let headroom = HEADROOM.max(used / HEADROOM_SHARE).max(reserve);
        let mut demand = Demand {
            needs: used + waiting,
            spare: if is_draining { 0 } else { headroom },
        };
        let mut asks = Vec::new();
        for tier in [Tier::DataCentre, Tier::Region, Tier::Remote] {
            let is_home = tier == Tier::DataCentre && !is_draining;
            let idle = if is_home { IDLE_SLOTS } else { 0 };
            demand = self.ask_tier(now, tier, demand, idle, &mut asks);
        }
        asks
    }

    /// Asks the targets of one tier and returns the demand that is left for the next.
    fn ask_tier(
        &mut self,
        now: Instant,
        tier: Tier,
        demand: Demand,
        idle: u32,
        asks: &mut Vec<Ask>,
    ) -> Demand {
        let detector = &self.detector;
        let renewal = self.settings.slot.renewal;
        let of_tier = |peer: &Peer| peer.tier == tier && peer.is_usable(now, detector);
        let count = self.peers.values().filter(|peer| of_tier(peer)).count() as u32;
        let mut place = self.member.node.vm.0;
        let mut left = demand;
        for peer in self.peers.values_mut().filter(|peer| peer.tier == tier) {
            let mut wanted = Wanted::default();
            if peer.is_usable(now, detector) {
                let share = demand.share(place % count, count, idle);
                wanted = share.at_most(peer.listed.capacity.slots);
                place = place.wrapping_add(1);
            }
            left.take(peer.expected(now, wanted));
            if peer.is_ask_due(now, wanted, renewal) {
                peer.wanted = wanted;
                peer.asked = now;
                asks.push(peer.holder.ask(now, wanted.needs, wanted.wants));
            }
        }
        left
    }
}

impl Demand {
    /// Returns what the target at `index` of `count` is asked for.
    fn share(self, index: u32, count: u32, idle: u32) -> Wanted {
        let part = |slots: u32| slots / count + u32::from(index < slots % count);
        Wanted {
            needs: part(self.needs),
            wants: part(self.needs + self.spare).max(idle),
        }
    }

    /// Takes off the slots that a target is expected to give.
    fn take(&mut self, slots: u32) {
        let for_needs = slots.min(self.needs);
        self.needs -= for_needs;
        self.spare = self.spare.saturating_sub(slots - for_needs);
    }
}

impl Wanted {
    fn at_most(self, most: u32) -> Wanted {
        Wanted {
            needs: self.needs.min(most),
            wants: self.wants.min(most),
        }
    }
}
