//! The workers on which tasks may be placed, by service.
//!
//! The load that this answers is a backlog: hundreds of steps wait, and each of them may run on a small
//! part of a large cell. The workers with room are kept as sets, so that those which a step may use and
//! which have room are found without a look at the others. Pools last from one placement to the next, and
//! only the workers that have changed in between are looked at again.

use std::cell::{OnceCell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use fixedbitset::FixedBitSet;

use super::fleet::Fleet;
use super::id::Worker;
use super::worker::Worker as WorkerState;
use crate::core::resource::Amount;
use crate::core::time::Instant;

/// Needs that differ by less than this share a set of workers, in thousandths of a core.
const ROOM_STEP_CPU_MILLIS: u64 = 256;
/// Larger needs share the set of this one, in multiples of [`ROOM_STEP_CPU_MILLIS`].
const MAX_ROOM_STEPS: u64 = 256;

/// A worker of a pool, as it was when the placement began.
#[derive(Clone, PartialEq)]
struct Member {
    key: Worker,
    /// Its free capacity. Tasks that the placement starts only make it less.
    free: Amount,
    capacity_cpu_millis: u64,
}

/// The workers of one service on which new tasks may be placed.
#[derive(Clone, Default)]
pub(super) struct Pool {
    /// The workers by seat.
    members: Vec<Option<Member>>,
    /// The processors of all of them, in thousandths of a core.
    cpu_millis: u64,
    /// The workers, those with the most free processors first.
    by_room: OnceCell<Vec<Worker>>,
    /// The seats of the workers with at least this many times [`ROOM_STEP_CPU_MILLIS`] free.
    with_room: RefCell<BTreeMap<u64, Rc<FixedBitSet>>>,
}

impl Pool {
    /// Replaces the worker at a seat.
    fn set(&mut self, seat: usize, member: Option<Member>) {
        if self.members.len() <= seat {
            self.members.resize(seat + 1, None);
        }
        if self.members[seat] == member {
            return;
        }
        self.by_room.take();
        let cpu_millis = |member: &Option<Member>| {
            let member = member.as_ref();
            member.map_or(0, |member| member.capacity_cpu_millis)
        };
        self.cpu_millis -= cpu_millis(&self.members[seat]);
        self.cpu_millis += cpu_millis(&member);
        for (&steps, seats) in self.with_room.get_mut() {
            let seats = Rc::make_mut(seats);
            seats.grow(seat + 1);
            seats.set(seat, has_room(member.as_ref(), steps));
        }
        self.members[seat] = member;
    }

    /// Returns the processors of all workers, in thousandths of a core.
    pub(super) fn cpu_millis(&self) -> u64 {
        self.cpu_millis
    }

    /// Returns the workers, those with the most free processors first.
    pub(super) fn by_room(&self) -> &[Worker] {
        self.by_room.get_or_init(|| {
            let mut members: Vec<&Member> = self.members.iter().flatten().collect();
            members.sort_unstable_by_key(|member| (Reverse(member.free.cpu_millis), member.key));
            members.into_iter().map(|member| member.key).collect()
        })
    }

    /// Returns the worker at a seat if it had room for `need` when the placement began.
    pub(super) fn worker_with_room(&self, seat: usize, need: Amount) -> Option<Worker> {
        let member = self.members.get(seat)?.as_ref()?;
        need.fits(member.free).then_some(member.key)
    }

    /// Returns the seats of all workers with this many free processors, in thousandths of a core, and
    /// maybe of some with fewer.
    pub(super) fn with_room(&self, cpu_millis: u64) -> Rc<FixedBitSet> {
        let steps = (cpu_millis / ROOM_STEP_CPU_MILLIS).min(MAX_ROOM_STEPS);
        let mut with_room = self.with_room.borrow_mut();
        let found = with_room.entry(steps).or_insert_with(|| {
            let members = self.members.iter().enumerate();
            let with_room = members.filter(|(_, member)| has_room(member.as_ref(), steps));
            Rc::new(with_room.map(|(seat, _)| seat).collect())
        });
        Rc::clone(found)
    }
}

fn has_room(member: Option<&Member>, steps: u64) -> bool {
    member.is_some_and(|member| member.free.cpu_millis >= steps * ROOM_STEP_CPU_MILLIS)
}

/// The pools of all services.
#[derive(Clone, Default)]
pub(super) struct Pools {
    by_service: HashMap<String, Pool>,
    /// The service in whose pool the worker of a seat is.
    service_of: Vec<Option<Rc<str>>>,
    /// The seats of workers that may join or leave a pool by the passing of time alone.
    timed: FixedBitSet,
}

impl Pools {
    /// Returns the pools of a fleet.
    pub(super) fn of(fleet: &Fleet, now: Instant) -> Pools {
        let mut pools = Pools::default();
        let seats: FixedBitSet = fleet.values().map(|worker| worker.seat).collect();
        pools.refresh(fleet, &seats, now);
        pools
    }

    /// Looks again at the workers with the seats in `changed`, and returns how many workers were looked
    /// at.
    pub(super) fn refresh(&mut self, fleet: &Fleet, changed: &FixedBitSet, now: Instant) -> usize {
        let seats: Vec<usize> = changed.union(&self.timed).collect();
        for &seat in &seats {
            let found = fleet.at(seat).and_then(|key| Some((key, fleet.get(key)?)));
            self.refresh_seat(seat, found, now);
        }
        seats.len()
    }

    fn refresh_seat(&mut self, seat: usize, found: Option<(Worker, &WorkerState)>, now: Instant) {
        self.timed.grow(seat + 1);
        let is_timed = found.is_some_and(|(_, worker)| worker.history.is_paused());
        self.timed.set(seat, is_timed);
        if self.service_of.len() <= seat {
            self.service_of.resize(seat + 1, None);
        }
        let placeable = found.filter(|(_, worker)| is_placeable(worker, now));
        let service = placeable.map(|(_, worker)| worker.entry.service.as_str());
        if self.service_of[seat].as_deref() != service {
            let former = std::mem::replace(&mut self.service_of[seat], service.map(Rc::from));
            if let Some(pool) = former.and_then(|service| self.by_service.get_mut(&*service)) {
                pool.set(seat, None);
            }
        }
        let Some((key, worker)) = placeable else {
            return;
        };
        let service = &worker.entry.service;
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.clone(), Pool::default());
        }
        if let Some(pool) = self.by_service.get_mut(service) {
            let member = Member {
                key,
                free: worker.free(),
                capacity_cpu_millis: worker.entry.capacity.cpu_millis,
            };
            pool.set(seat, Some(member));
        }
    }

    /// Returns the pool of a service; `None` if it never had a worker.
    pub(super) fn get(&self, service: &str) -> Option<&Pool> {
        self.by_service.get(service)
    }

    /// Returns the processors of all workers, in thousandths of a core.
    pub(super) fn cpu_millis(&self) -> u64 {
        self.by_service.values().map(Pool::cpu_millis).sum()
    }

    /// Whether both have the same workers with the same room.
    pub(super) fn is_same(&self, other: &Pools) -> bool {
        let members = |pools: &Pools, service: &str| -> Vec<Member> {
            let pool = pools.by_service.get(service);
            let members = pool.into_iter().flat_map(|pool| pool.members.iter());
            members.flatten().cloned().collect()
        };
        let mut services = self.by_service.keys().chain(other.by_service.keys());
        services.all(|service| members(self, service) == members(other, service))
            && self.cpu_millis() == other.cpu_millis()
    }
}

/// Whether new tasks may be placed on a worker if it has the capacity.
pub(super) fn is_placeable(worker: &WorkerState, now: Instant) -> bool {
    worker.is_usable() && worker.history.allows_run(now, worker.attempts.len())
}
