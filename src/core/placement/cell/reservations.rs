//! Reservations of workers for jobs.
//!
//! A reservation is made for all tasks that a job needs at once: for a gang, it names workers that
//! together can hold all its tasks. A job never reserves only part of what it needs while it waits
//! for the rest, so two gangs cannot block each other. Other tasks may use reserved workers as long
//! as they are expected to end before the reserving job can start (backfilling, after Lifka's EASY
//! scheduler).

use std::collections::BTreeMap;
use std::time::Duration;

use super::Cell;
use super::admit::times_within;
use super::preempt::Victims;
use crate::core::placement::message::Output;
use crate::core::placement::policy::Policy;
use crate::core::placement::queue::Lane;
use crate::core::placement::table::{
    JobKey, WorkerEntry, WorkerKey, WorkerReservation, WorkerState,
};
use crate::core::resource::Amount;
use crate::core::time::Instant;
use crate::core::workload::Class;

/// The maximum number of workers examined for one reservation.
const MAX_RESERVE_EXAMINED: usize = 8_192;

/// The maximum number of urgent jobs per lane, and of tasks per job, for which other tasks are
/// pre-empted at once.
pub(super) const MAX_URGENT: usize = 32;

/// The minimum time between two searches for a reservation.
const RESERVE_EVERY: Duration = Duration::from_secs(1);

/// After a reservation has timed out, no new one is made for the job for this long.
const RESERVE_BACKOFF: Duration = Duration::from_secs(30);

/// Workers reserved for one job.
#[derive(Debug)]
struct Reservation {
    workers: Vec<WorkerKey>,
    until: Instant,
    /// Whether the reservation was made for all tasks that the job needs at once, not for workers
    /// with pre-empted tasks.
    is_complete: bool,
}

/// All reservations.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    jobs: BTreeMap<JobKey, Reservation>,
    /// No search for a reservation happens before this time.
    search_from: Instant,
    /// No search for tasks to pre-empt happens before this time.
    pub(super) preempt_from: Instant,
    /// The position in the roster at which the next search begins.
    pub(super) cursor: usize,
}

/// How many tasks a worker can hold, and from when on.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    at: Instant,
    worker: WorkerKey,
    tasks: u64,
}

impl Reservations {
    /// Returns the workers reserved for a job.
    pub(super) fn workers(&self, job: JobKey) -> impl Iterator<Item = WorkerKey> {
        let reservation = self.jobs.get(&job);
        reservation
            .into_iter()
            .flat_map(|held| held.workers.iter().copied())
    }

    /// Returns the number of complete reservations.
    fn complete_count(&self) -> usize {
        self.jobs.values().filter(|held| held.is_complete).count()
    }

    /// Removes a worker that no longer exists from all reservations.
    pub(super) fn forget_worker(&mut self, worker: WorkerKey) {
        for held in self.jobs.values_mut() {
            held.workers.retain(|&other| other != worker);
        }
    }

    /// Returns the jobs whose reservations have timed out or have no worker left.
    fn expired(&self, now: Instant) -> Vec<JobKey> {
        let is_over = |held: &Reservation| held.until <= now || held.workers.is_empty();
        let over = self.jobs.iter().filter(|(_, held)| is_over(held));
        over.map(|(&job, _)| job).collect()
    }
}

impl<P: Policy> Cell<P> {
    /// Pre-empts tasks or reserves workers for the first job of a lane, after it found no worker.
    pub(super) fn preempt_or_reserve(&mut self, lane: Lane, key: JobKey, out: &mut Vec<Output>) {
        let waited = self.now.since(self.jobs[key].queued_at);
        let reclaims = waited >= self.settings.tuning.return_after && self.is_within_share(key);
        match lane.class {
            Class::Urgent => {
                for job in self.queue.heads(lane, MAX_URGENT) {
                    if !self.preempt_for(job, Victims::Batch, out) {
                        break;
                    }
                }
            }
            Class::Gang => self.reserve(key, reclaims, out),
            Class::Service | Class::Batch => {
                let is_done = reclaims && self.preempt_for(key, Victims::Borrowed, out);
                let reserve_after = match lane.class {
                    Class::Service => self.settings.tuning.return_after,
                    _ => self.settings.tuning.reserve_after,
                };
                if !is_done && waited >= reserve_after {
                    self.reserve(key, false, out);
                }
            }
        }
    }

    /// Reserves workers for a job.
    pub(super) fn reserve_workers(
        &mut self,
        job: JobKey,
        workers: &[WorkerKey],
        starts_at: Instant,
        until: Instant,
        is_complete: bool,
    ) {
        let held = self
            .reservations
            .jobs
            .entry(job)
            .or_insert_with(|| Reservation {
                workers: Vec::new(),
                until,
                is_complete,
            });
        held.until = held.until.max(until);
        for &worker in workers {
            held.workers.push(worker);
            self.workers[worker].reserved = Some(WorkerReservation { job, starts_at });
        }
    }

    /// Reserves workers for all tasks that the job needs at once, or none. When `reclaims` is set,
    /// borrowed tasks on these workers are checkpointed.
    fn reserve(&mut self, key: JobKey, reclaims: bool, out: &mut Vec<Output>) {
        let is_early =
            self.now < self.reservations.search_from || self.now < self.jobs[key].reserve_from;
        let is_full = self.reservations.complete_count() >= self.settings.tuning.max_reservations;
        if is_early || is_full || self.reservations.jobs.contains_key(&key) {
            return;
        }
        self.reservations.search_from = self.now + RESERVE_EVERY;
        let job = &self.jobs[key];
        let needed = match job.spec.class {
            Class::Gang => u64::from(job.queued),
            _ => 1,
        };
        let Some(chosen) = self.choose_candidates(job.granted_size, needed) else {
            return;
        };
        let starts_at = chosen.iter().map(|candidate| candidate.at).max();
        let workers: Vec<WorkerKey> = chosen.iter().map(|candidate| candidate.worker).collect();
        let until = self.now + self.settings.tuning.reserve_timeout;
        self.counters.reserved += 1;
        self.reserve_workers(key, &workers, starts_at.unwrap_or(self.now), until, true);
        if reclaims {
            workers.iter().for_each(|&worker| self.reclaim(worker, out));
        }
    }

    /// Returns the workers that can hold `needed` tasks soonest, or `None` when all examined
    /// workers together cannot.
    fn choose_candidates(&mut self, size: Amount, needed: u64) -> Option<Vec<Candidate>> {
        let count = self.roster.len();
        let start = self.reservations.cursor;
        let examined = count.min(MAX_RESERVE_EXAMINED);
        self.reservations.cursor = (start + examined) % count.max(1);
        let mut candidates: Vec<Candidate> = (0..examined)
            .filter_map(|step| self.candidate(self.roster[(start + step) % count], size))
            .collect();
        candidates.sort_by_key(|candidate| (candidate.at, std::cmp::Reverse(candidate.tasks)));
        let mut held = 0;
        let taken = candidates.iter().take_while(|candidate| {
            let is_needed = held < needed;
            held += candidate.tasks;
            is_needed
        });
        let taken = taken.count();
        candidates.truncate(taken);
        let total: u64 = candidates.iter().map(|candidate| candidate.tasks).sum();
        (total >= needed).then_some(candidates)
    }

    /// Returns when a worker can hold tasks of `size`, and how many, or `None` when the worker
    /// cannot be reserved for them.
    fn candidate(&self, worker: WorkerKey, size: Amount) -> Option<Candidate> {
        let entry = &self.workers[worker];
        let is_usable = entry.state == WorkerState::Ready && entry.reserved.is_none();
        if !is_usable || entry.health.is_on_probation() {
            return None;
        }
        let now = times_within(size, entry.free());
        let later = times_within(size, entry.size - self.service_usage(entry));
        if later == 0 {
            return None;
        }
        let ends = entry
            .attempts
            .iter()
            .map(|&attempt| self.attempts[attempt].ends_at);
        let ending = ends.filter(|&at| at != Instant(u64::MAX));
        let at = match now >= later {
            true => self.now,
            false => ending.max().unwrap_or(self.now).max(self.now),
        };
        Some(Candidate {
            at,
            worker,
            tasks: later,
        })
    }

    /// Returns the resources that a worker's services use, which are not expected to end.
    fn service_usage(&self, entry: &WorkerEntry) -> Amount {
        let attempts = entry
            .attempts
            .iter()
            .map(|&attempt| &self.attempts[attempt]);
        attempts
            .filter(|attempt| attempt.ends_at == Instant(u64::MAX))
            .fold(Amount::default(), |sum, attempt| sum + attempt.accounted)
    }

    /// Releases the reservation of a job.
    pub(super) fn release_reservation(&mut self, key: JobKey) {
        let Some(held) = self.reservations.jobs.remove(&key) else {
            return;
        };
        for worker in held.workers {
            let Some(entry) = self.workers.get_mut(worker) else {
                continue;
            };
            if entry
                .reserved
                .is_some_and(|reservation| reservation.job == key)
            {
                entry.reserved = None;
                self.freed.add(worker);
            }
        }
    }

    /// Releases reservations that have timed out or have no worker left.
    pub(super) fn expire_reservations(&mut self) {
        for key in self.reservations.expired(self.now) {
            let was_complete = self
                .reservations
                .jobs
                .get(&key)
                .is_some_and(|held| held.is_complete);
            self.release_reservation(key);
            if let Some(job) = self.jobs.get_mut(key).filter(|_| was_complete) {
                job.reserve_from = self.now + RESERVE_BACKOFF;
            }
        }
    }

    /// Returns when a job with a reservation is expected to start.
    pub(super) fn reserved_start(&self, key: JobKey) -> Option<Instant> {
        let reservations = self.reservations.workers(key);
        let starts = reservations.filter_map(|worker| self.workers[worker].reserved);
        starts.map(|reservation| reservation.starts_at).max()
    }
}
