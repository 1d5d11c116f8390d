//! Finds the workers on which the tasks of a step may be placed.
//!
//! The load that this is made for is a long queue on a large cell: a hundred steps wait, and each may
//! run on a small part of a thousand workers only. A step visits the workers that the advisor has
//! permitted; the others matter only while the advisor can be called, and those with too few free
//! processors are not visited.

use std::rc::Rc;

use fixedbitset::FixedBitSet;

use super::id::{Step, Worker};
use super::job::Step as StepState;
use super::plan::{Candidate, Reserved};
use super::pool::{Pool, is_placeable};
use super::worker::Worker as WorkerState;
use super::{Scheduler, spec};
use crate::core::resource::Amount;
use crate::core::time::Instant;

/// Which other runs may be on the workers on which tasks are placed.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
pub(super) enum Isolation {
    /// Any, but workers that are kept for trials are left out.
    None,
    /// None.
    Empty,
    /// As few as possible, and members of a gang only if all workers have some.
    Shared,
}

/// The waiting tasks of a step and what they need.
#[derive(Clone)]
pub(super) struct Demand {
    pub(super) step: Step,
    pub(super) waiting: Vec<u16>,
    /// The capacity that one task needs.
    pub(super) need: Amount,
    pub(super) needs_permit: bool,
    /// Whether the job's acceptance is in the log and no earlier owner may run its tasks.
    pub(super) may_start: bool,
    pub(super) isolation: Isolation,
}

/// Where the tasks of a step may be placed.
#[derive(Clone, Copy)]
pub(super) struct Scope<'a> {
    pub(super) pool: &'a Pool,
    /// The capacity that steps earlier in the order have reserved.
    pub(super) reserved: &'a Reserved,
    /// How many tasks the cap of the job's client account allows to start.
    pub(super) max_starts: usize,
}

/// Which workers are candidates.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Room {
    /// Those on which a task fits now.
    Free,
    /// Also those that are full.
    Any,
}

/// What makes a worker a candidate for a step.
struct CandidateRequest<'a> {
    demand: &'a Demand,
    spec: &'a spec::Step,
    step: &'a StepState,
    reserved: &'a Reserved,
    room: Room,
    now: Instant,
    /// The workers on which the last run of a task of the step failed.
    failed_on: Vec<Worker>,
    /// The workers that others keep for themselves, or that have runs which the tasks must not join.
    excluded: Vec<Worker>,
    /// The workers with members of gangs, on which a trial runs only if there is no other.
    gang_workers: Vec<Worker>,
}

impl CandidateRequest<'_> {
    /// Returns the seats of the workers of a pool that may be candidates.
    fn seats(&self, pool: &Pool) -> Rc<FixedBitSet> {
        pool.with_room(match self.room {
            Room::Free => self.demand.need.cpu_millis,
            Room::Any => 0,
        })
    }

    /// Returns the worker at a seat of a pool unless it cannot be a candidate for lack of room.
    fn worker_at(&self, pool: &Pool, seat: usize) -> Option<Worker> {
        let need = match self.room {
            Room::Free => self.demand.need,
            Room::Any => Amount::default(),
        };
        pool.worker_with_room(seat, need)
    }

    /// Returns the worker as a candidate; `None` if it may not run the step or lacks the room.
    fn candidate(&self, key: Worker, worker: &WorkerState) -> Option<Candidate> {
        let reserved = self.reserved.get(&key).copied().unwrap_or_default();
        let free = worker.free() - reserved;
        if self.room == Room::Free && !self.demand.need.fits(free) {
            return None;
        }
        if worker.has_trial() || self.excluded.contains(&key) {
            return None;
        }
        let label = self.spec.label.as_ref();
        if label.is_some_and(|label| !worker.entry.labels.contains(label)) {
            return None;
        }
        // A suspect worker gets one run at a time, and an earlier step of this placement may have
        // taken it.
        let is_suspect = worker.history.is_suspect(self.now);
        if is_suspect && !worker.attempts.is_empty() {
            return None;
        }
        let max_tasks = match self.spec.max_per_worker {
            _ if is_suspect => 1,
            Some(max) => usize::from(max).saturating_sub(worker.tasks_of(self.demand.step)),
            None => usize::MAX,
        };
        let permits = &self.step.permits;
        let data_rack = &self.spec.data_rack;
        Some(Candidate {
            worker: key,
            free,
            capacity: worker.entry.capacity,
            max_tasks,
            has_permit: !self.demand.needs_permit || permits.usable(key, self.now).is_some(),
            is_remote: data_rack.is_some() && *data_rack != worker.entry.rack,
            has_failed: self.failed_on.contains(&key) || worker.history.has_missed_start(),
            neighbours: match self.demand.isolation {
                Isolation::Shared if self.gang_workers.contains(&key) => usize::MAX,
                Isolation::Shared => worker.attempts.len(),
                _ => 0,
            },
            rack: self.spec.same_rack.then(|| worker.rack.clone()).flatten(),
        })
    }
}

impl Scheduler {
    /// Returns the workers that may run a step without a further answer of the advisor; their permits
    /// may have to be renewed.
    pub(super) fn candidates(
        &self,
        demand: &Demand,
        spec: &spec::Step,
        scope: Scope<'_>,
        room: Room,
        now: Instant,
    ) -> Vec<Candidate> {
        let Some(request) = self.candidate_request(demand, spec, scope, room, now) else {
            return Vec::new();
        };
        if !demand.needs_permit {
            let pool = scope.pool.by_room().iter();
            return pool
                .inspect(|_| self.work.count_workers(1))
                .filter_map(|&key| request.candidate(key, self.workers.get(key)?))
                .collect();
        }
        let mut permitted: Vec<Candidate> = self.permitted(&request, scope.pool).collect();
        permitted.sort_unstable_by_key(|candidate| candidate.worker);
        permitted
    }

    /// Whether there is a worker, maybe without room, that may run a step without a further answer of the
    /// advisor.
    pub(super) fn has_permitted_candidate(
        &self,
        demand: &Demand,
        spec: &spec::Step,
        scope: Scope<'_>,
        now: Instant,
    ) -> bool {
        let request = self.candidate_request(demand, spec, scope, Room::Any, now);
        request.is_some_and(|request| self.permitted(&request, scope.pool).next().is_some())
    }

    /// Returns the candidates that the last answers of the advisor permitted.
    fn permitted<'a>(
        &'a self,
        request: &'a CandidateRequest<'a>,
        pool: &'a Pool,
    ) -> impl Iterator<Item = Candidate> + 'a {
        let permits = &request.step.permits;
        let mut seats = (*request.seats(pool)).clone();
        seats.intersect_with(permits.permitted_seats());
        seats.into_ones().filter_map(move |seat| {
            self.work.count_workers(1);
            let key = request.worker_at(pool, seat)?;
            let worker = self.workers.get(key)?;
            let is_permitted = permits.verdict(key) == Some(true);
            let is_candidate = is_permitted && is_placeable(worker, request.now);
            is_candidate
                .then(|| request.candidate(key, worker))
                .flatten()
        })
    }

    /// Returns the workers of the pool on which the advisor has given no answer for a step; none while
    /// the advisor cannot be called.
    pub(super) fn unknown_candidates(
        &self,
        demand: &Demand,
        spec: &spec::Step,
        scope: Scope<'_>,
        room: Room,
        now: Instant,
    ) -> Vec<Candidate> {
        if !self.may_call_advisor(demand.step, now) {
            return Vec::new();
        }
        self.unasked_candidates(demand, spec, scope, room, now)
    }

    /// Returns the workers of the pool on which the advisor has given no answer for a step.
    pub(super) fn unasked_candidates(
        &self,
        demand: &Demand,
        spec: &spec::Step,
        scope: Scope<'_>,
        room: Room,
        now: Instant,
    ) -> Vec<Candidate> {
        let Some(request) = self.candidate_request(demand, spec, scope, room, now) else {
            return Vec::new();
        };
        self.unasked(&request, scope.pool).collect()
    }

    /// Whether there is a worker in the pool on which the advisor has given no answer for a step.
    pub(super) fn has_unasked_candidate(
        &self,
        demand: &Demand,
        spec: &spec::Step,
        scope: Scope<'_>,
        now: Instant,
    ) -> bool {
        let request = self.candidate_request(demand, spec, scope, Room::Any, now);
        request.is_some_and(|request| self.unasked(&request, scope.pool).next().is_some())
    }

    /// Returns the candidates that the advisor has not been asked about, or has to be asked about again.
    fn unasked<'a>(
        &'a self,
        request: &'a CandidateRequest<'a>,
        pool: &'a Pool,
    ) -> impl Iterator<Item = Candidate> + 'a {
        let permits = &request.step.permits;
        let seats = request.seats(pool);
        let open = permits.open_seats(&seats, self.workers.reused());
        debug_assert!(
            seats.ones().all(|seat| {
                let key = pool.worker_with_room(seat, Amount::default());
                open.contains(seat) || key.is_none_or(|key| !permits.is_open(key))
            }),
            "the advisor has to be asked about a worker whose seat is closed"
        );
        open.into_ones().filter_map(move |seat| {
            self.work.count_workers(1);
            let key = request.worker_at(pool, seat)?;
            let is_open = permits.is_open(key);
            is_open
                .then(|| request.candidate(key, self.workers.get(key)?))
                .flatten()
        })
    }

    fn candidate_request<'a>(
        &'a self,
        demand: &'a Demand,
        spec: &'a spec::Step,
        scope: Scope<'a>,
        room: Room,
        now: Instant,
    ) -> Option<CandidateRequest<'a>> {
        let job = self.jobs.get(&demand.step.job)?;
        let step = job.step(demand.step)?;
        let tasks = step.tasks.iter();
        Some(CandidateRequest {
            demand,
            spec,
            step,
            reserved: scope.reserved,
            room,
            now,
            failed_on: tasks.filter_map(|task| task.failed_on).collect(),
            excluded: self.excluded_workers(demand.isolation),
            gang_workers: self.gang_workers(demand.isolation),
        })
    }
}
