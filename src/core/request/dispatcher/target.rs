//! A dispatcher's state of the targets of its service.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnum_derive::{state, value};

use super::{Listed, Settings};
use crate::core::id::Target;
use crate::core::request::limit::Limit;
use crate::core::request::link::{Connection, Pool};
use crate::core::request::outlier::Detector;
use crate::core::request::queue::SlotsByTier;
use crate::core::request::route::{Candidate, Place, Tier};
use crate::core::request::slot::{Holder, Member, SlotRequest};
use crate::core::time::Instant;

/// The state of one target.
#[state]
pub(super) struct TargetState {
    pub(super) listed: Listed,
    pub(super) tier: Tier,
    pub(super) holder: Holder,
    pub(super) pool: Pool,
    pub(super) limit: Limit,
    /// The demand in the last request for slots.
    last_wanted: Wanted,
    last_request: Instant,
}

/// The slots to request from one target.
#[value]
#[derive(Default)]
struct Wanted {
    needs: u32,
    wants: u32,
}

/// The slots that are still to be requested from the remaining targets.
#[value]
struct Demand {
    needs: u32,
    headroom: u32,
}

/// All targets of the service.
#[state]
pub(super) struct Targets {
    settings: Settings,
    member: Member,
    place: Place,
    pub(super) states: BTreeMap<Target, TargetState>,
    pub(super) detector: Detector,
}

/// The minimum number of slots requested in addition to the current load.
const HEADROOM: u32 = 4;

/// The current load divided by this is requested in addition.
const HEADROOM_DIVISOR: u32 = 4;

/// The maximum share of the nearest tier's slots that is reserved for lookups.
const MAX_RESERVED_PERCENT: u32 = 75;

/// Slots that are held at each target of the same data centre even without load.
const IDLE_SLOTS: u32 = 1;

impl TargetState {
    /// Returns whether the target may get requests, given a free slot.
    fn is_usable(&self, now: Instant, detector: &Detector) -> bool {
        !self.listed.is_leaving && !detector.is_ejected(now, self.listed.target)
    }

    /// Returns how many requests the target may get now.
    fn available_slots(&self, now: Instant, detector: &Detector) -> u32 {
        let free = self.holder.free(now);
        if free == 0 || !self.is_usable(now, detector) {
            return 0;
        }
        let max_used = match detector.is_on_probation(self.listed.target) {
            true => 1,
            false => self.limit.slots(),
        };
        let by_limit = max_used.saturating_sub(self.holder.used());
        let available = free.min(by_limit);
        let can_connect = self.pool.idle().is_some() || self.can_open(now);
        if can_connect { available } else { 0 }
    }

    /// Returns how many slots a request to the target will probably yield: no more than are held
    /// now, if the last answered request was granted in part.
    fn expected_grant(&self, now: Instant, wanted: Wanted) -> u32 {
        let held = self.holder.held(now);
        let was_short = held < self.last_wanted.wants && !self.holder.is_request_pending(now);
        if was_short {
            held.min(wanted.wants)
        } else {
            wanted.wants
        }
    }

    /// Returns whether to request slots now: at each renewal, or when more slots are needed.
    fn is_request_due(&self, now: Instant, wanted: Wanted, renewal: Duration) -> bool {
        let is_due =
            now.since(self.last_request) >= renewal || wanted.needs > self.last_wanted.needs;
        let holds = self.holder.held(now) > 0 || self.holder.used() > 0;
        let is_relevant = wanted.wants > 0 || holds;
        is_due && is_relevant && !self.holder.is_request_pending(now)
    }

    /// Makes the next request for slots due at once, so that the owner of the target's
    /// partition is informed of returned slots without delay.
    pub(super) fn request_soon(&mut self) {
        self.last_request = Instant(0);
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

impl Targets {
    pub(super) fn new(settings: Settings, member: Member, place: Place) -> Targets {
        Targets {
            settings,
            member,
            place,
            states: BTreeMap::new(),
            detector: Detector::new(settings.outlier),
        }
    }

    /// Adds a target or updates its entry from the VM list.
    pub(super) fn update(&mut self, listed: Listed) {
        let target = listed.target;
        self.detector.insert(target);
        let (settings, member) = (&self.settings, self.member);
        let tier = self.place.tier(listed.place);
        let state = self.states.entry(target).or_insert_with(|| TargetState {
            listed,
            tier,
            holder: Holder::new(settings.slot, member, target, tier),
            pool: Pool::new(settings.link),
            limit: Limit::new(settings.limit),
            last_wanted: Wanted::default(),
            last_request: Instant(0),
        });
        state.listed = listed;
        state.tier = tier;
    }

    /// Removes a target.
    pub(super) fn remove(&mut self, target: Target) {
        self.states.remove(&target);
        self.detector.remove(target);
    }

    /// Returns whether any target may get requests.
    pub(super) fn has_usable(&self, now: Instant) -> bool {
        let mut states = self.states.values();
        states.any(|state| state.is_usable(now, &self.detector))
    }

    /// Returns whether any target of this region may get requests.
    pub(super) fn has_usable_in_region(&self, now: Instant) -> bool {
        let mut states = self.states.values();
        states.any(|state| state.tier < Tier::Remote && state.is_usable(now, &self.detector))
    }

    /// Returns the slots of each tier. In the nearest tier with slots, `reserve` of them are
    /// reserved for lookups.
    pub(super) fn slots(&self, now: Instant, reserve: u32) -> SlotsByTier {
        let mut slots = SlotsByTier::default();
        for state in self.states.values() {
            let tier_slots = &mut slots[state.tier as usize];
            tier_slots.free += state.available_slots(now, &self.detector);
            tier_slots.held += state.holder.held(now).min(state.limit.slots());
        }
        if let Some(nearest) = slots.iter_mut().find(|tier_slots| tier_slots.held > 0) {
            nearest.reserved = reserve.min(nearest.held * MAX_RESERVED_PERCENT / 100);
        }
        slots
    }

    /// Fills `out` with the targets of a tier that can take a request now.
    pub(super) fn candidates(&self, now: Instant, tier: Option<usize>, out: &mut Vec<Candidate>) {
        out.clear();
        for (&target, state) in &self.states {
            let is_of_tier = Some(state.tier as usize) == tier;
            if is_of_tier && state.available_slots(now, &self.detector) > 0 {
                out.push(Candidate {
                    target,
                    tier: state.tier,
                    outstanding: state.holder.used(),
                });
            }
        }
    }

    /// Creates requests for slots, nearest targets first: for the requests that are sent, for the
    /// `waiting` ones and as headroom for new ones.
    pub(super) fn request_slots(
        &mut self,
        now: Instant,
        waiting: u32,
        reserve: u32,
        is_draining: bool,
    ) -> Vec<SlotRequest> {
        let used: u32 = self.states.values().map(|state| state.holder.used()).sum();
        let headroom = HEADROOM.max(used / HEADROOM_DIVISOR).max(reserve);
        let mut demand = Demand {
            needs: used + waiting,
            headroom: if is_draining { 0 } else { headroom },
        };
        let mut slot_requests = Vec::new();
        for tier in [Tier::DataCentre, Tier::Region, Tier::Remote] {
            let is_same_data_centre = tier == Tier::DataCentre && !is_draining;
            let idle = if is_same_data_centre { IDLE_SLOTS } else { 0 };
            demand = self.request_tier(now, tier, demand, idle, &mut slot_requests);
        }
        slot_requests
    }

    /// Requests slots from the targets of one tier and returns the demand that is left for the next
    /// tier.
    fn request_tier(
        &mut self,
        now: Instant,
        tier: Tier,
        demand: Demand,
        idle: u32,
        slot_requests: &mut Vec<SlotRequest>,
    ) -> Demand {
        let detector = &self.detector;
        let renewal = self.settings.slot.renewal;
        let of_tier = |state: &TargetState| state.tier == tier && state.is_usable(now, detector);
        let count = self.states.values().filter(|state| of_tier(state)).count() as u32;
        // VMs start at different targets, so the targets that get the remainder differ between VMs.
        let mut position = self.member.node.vm.0;
        let mut left = demand;
        for state in self.states.values_mut().filter(|state| state.tier == tier) {
            let mut wanted = Wanted::default();
            if state.is_usable(now, detector) {
                let share = demand.share(position % count, count, idle);
                wanted = share.at_most(state.listed.capacity.slots);
                position = position.wrapping_add(1);
            }
            left.subtract(state.expected_grant(now, wanted));
            if state.is_request_due(now, wanted, renewal) {
                state.last_wanted = wanted;
                state.last_request = now;
                slot_requests.push(state.holder.request(now, wanted.needs, wanted.wants));
            }
        }
        left
    }
}

impl Demand {
    /// Returns the slots to request from the target at `index` of `count` targets, at least `idle`.
    fn share(self, index: u32, count: u32, idle: u32) -> Wanted {
        let part = |slots: u32| slots / count + u32::from(index < slots % count);
        Wanted {
            needs: part(self.needs),
            wants: part(self.needs + self.headroom).max(idle),
        }
    }

    /// Subtracts the slots that a target will probably grant.
    fn subtract(&mut self, slots: u32) {
        let for_needs = slots.min(self.needs);
        self.needs -= for_needs;
        self.headroom = self.headroom.saturating_sub(slots - for_needs);
    }
}

impl Wanted {
    fn at_most(self, slots: u32) -> Wanted {
        Wanted {
            needs: self.needs.min(slots),
            wants: self.wants.min(slots),
        }
    }
}
