//! The targets of a service as one dispatcher sees them.

use std::collections::BTreeMap;

use laburnum_derive::state;

use super::{Listed, Settings};
use crate::core::id::Target;
use crate::core::request::limit::Limit;
use crate::core::request::link::{Connection, Pool};
use crate::core::request::outlier::Detector;
use crate::core::request::queue::Room;
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
    /// Slots that were wanted at the last ask.
    wanted: u32,
    asked: Instant,
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

/// Slots that are asked for beyond what the present load fills.
const HEADROOM: u32 = 4;

/// Slots that are kept at each target of the same data centre without any load.
const IDLE_SLOTS: u32 = 1;

impl Peer {
    /// Returns whether the target may get requests at all.
    fn is_usable(&self, now: Instant, detector: &Detector) -> bool {
        !self.listed.is_leaving && !detector.is_ejected(now, self.listed.target)
    }

    /// Returns how many requests the target may get now.
    fn room(&self, now: Instant, detector: &Detector) -> u32 {
        if !self.is_usable(now, detector) {
            return 0;
        }
        let most = match detector.is_on_probation(self.listed.target) {
            true => 1,
            false => self.limit.slots(),
        };
        let by_limit = most.saturating_sub(self.holder.used());
        let room = self.holder.free(now).min(by_limit);
        let can_connect = self.pool.idle().is_some() || self.can_open(now);
        if can_connect { room } else { 0 }
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
            holder: Holder::new(settings.slot, member, target),
            pool: Pool::new(settings.link),
            limit: Limit::new(settings.limit),
            wanted: 0,
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

    /// Returns the slots up to a tier.
    pub(super) fn count_room(&self, now: Instant, farthest: Tier) -> Room {
        let mut room = Room::default();
        for peer in self.peers.values().filter(|peer| peer.tier <= farthest) {
            room.free += peer.room(now, &self.detector);
            room.held += peer.holder.held(now);
        }
        room
    }

    /// Fills `out` with the targets up to a tier that can take a request now.
    pub(super) fn candidates(&self, now: Instant, farthest: Tier, out: &mut Vec<Candidate>) {
        out.clear();
        for (&target, peer) in &self.peers {
            let is_candidate = peer.tier <= farthest && peer.room(now, &self.detector) > 0;
            if is_candidate {
                out.push(Candidate {
                    target,
                    tier: peer.tier,
                    outstanding: peer.holder.used(),
                });
            }
        }
    }

    /// Asks for slots for `waiting` requests, nearest targets first.
    pub(super) fn ask(&mut self, now: Instant, waiting: u32, is_draining: bool) -> Vec<Ask> {
        let used: u32 = self.peers.values().map(|peer| peer.holder.used()).sum();
        let mut need = used + waiting + if is_draining { 0 } else { HEADROOM };
        let mut asks = Vec::new();
        for tier in [Tier::DataCentre, Tier::Region, Tier::Remote] {
            let idle = if tier == Tier::DataCentre && !is_draining {
                IDLE_SLOTS
            } else {
                0
            };
            need = self.ask_tier(now, tier, need, idle, &mut asks);
        }
        asks
    }

    /// Asks the targets of one tier and returns the need that is left for the next.
    fn ask_tier(
        &mut self,
        now: Instant,
        tier: Tier,
        need: u32,
        idle: u32,
        asks: &mut Vec<Ask>,
    ) -> u32 {
        let detector = &self.detector;
        let renewal = self.settings.slot.renewal;
        let of_tier = |peer: &Peer| peer.tier == tier && peer.is_usable(now, detector);
        let count = self.peers.values().filter(|peer| of_tier(peer)).count() as u32;
        let share = need.div_ceil(count.max(1)).max(idle);
        let mut left = need;
        for peer in self.peers.values_mut().filter(|peer| peer.tier == tier) {
            let is_usable = peer.is_usable(now, detector);
            let most = peer.listed.capacity.slots;
            let wants = if is_usable { share.min(most) } else { 0 };
            let held = peer.holder.held(now);
            let is_short = held < peer.wanted.min(wants);
            left = left.saturating_sub(if is_short { held } else { wants });
            let is_due = now.since(peer.asked) >= renewal || wants > peer.wanted;
            let has_business = wants > 0 || held > 0 || peer.holder.used() > 0;
            if is_due && has_business && !peer.holder.is_asking(now) {
                peer.wanted = wants;
                peer.asked = now;
                asks.push(peer.holder.ask(now, wants));
            }
        }
        left
    }
}
