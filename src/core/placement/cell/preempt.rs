//! Pre-emption: checkpointing batch tasks in favour of jobs that must not wait.
//!
//! An urgent job may pre-empt any batch task; a team within its share reclaims what other teams
//! borrowed. The worker is reserved for the job that the tasks were checkpointed for.

use std::time::Duration;

use super::Cell;
use super::reservations::MAX_URGENT;
use crate::core::placement::message::Output;
use crate::core::placement::policy::Policy;
use crate::core::placement::table::{AttemptKey, Intent, JobKey, Phase, WorkerKey, WorkerState};
use crate::core::resource::Amount;
use crate::core::workload::Class;
use crate::platform::worker::Action;

/// The maximum number of workers examined for one pre-emption.
const MAX_PREEMPT_EXAMINED: usize = 4_096;

/// The number of possible pre-emptions that are compared.
const MAX_COMPARED: usize = 4;

/// The minimum time from a search that found no tasks to pre-empt to the next search.
const PREEMPT_EVERY: Duration = Duration::from_millis(100);

/// Which tasks may be checkpointed in favour of another job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Victims {
    /// All batch tasks.
    Batch,
    /// Batch tasks of teams that use more than their share.
    Borrowed,
}

/// A set of attempts whose end frees enough capacity on one worker.
#[derive(Debug)]
struct Preemption {
    worker: WorkerKey,
    attempts: Vec<AttemptKey>,
    /// The sum of the attempts' run times, which is lost if their checkpoints fail.
    lost_run_time: Duration,
}

impl<P: Policy> Cell<P> {
    /// Returns whether the job's team would stay within its share with one more task of the job.
    pub(super) fn is_within_share(&self, key: JobKey) -> bool {
        let job = &self.jobs[key];
        let team = &self.teams[job.team];
        let fits = |share: Amount| (team.used + job.granted_size).fits(share);
        team.quota.is_none_or(|quota| fits(quota.share))
    }

    /// Pre-empts tasks for the waiting tasks of one job. Returns whether workers are reserved for
    /// all of them, up to [`MAX_URGENT`].
    pub(super) fn preempt_for(
        &mut self,
        key: JobKey,
        victims: Victims,
        out: &mut Vec<Output>,
    ) -> bool {
        let has_borrowers = || self.teams.values().any(|team| team.borrows);
        let is_early = self.now < self.reservations.preempt_from;
        if is_early || (victims == Victims::Borrowed && !has_borrowers()) {
            return false;
        }
        let wanted = (self.jobs[key].queued as usize).min(MAX_URGENT);
        let held = self.reservations.workers(key).count();
        for _ in held..wanted {
            let Some(preemption) = self.find_preemption(self.jobs[key].granted_size, victims)
            else {
                self.reservations.preempt_from = self.now + PREEMPT_EVERY;
                return false;
            };
            self.preempt(key, preemption, out);
        }
        true
    }

    /// Checkpoints the chosen tasks and reserves their worker for a job.
    fn preempt(&mut self, key: JobKey, preemption: Preemption, out: &mut Vec<Output>) {
        let tuning = &self.settings.tuning;
        let starts_at = self.now + tuning.checkpoint_grace;
        let until = starts_at + tuning.checkpoint_grace * 2 + tuning.inventory_every * 2;
        self.reserve_workers(key, &[preemption.worker], starts_at, until, false);
        for attempt in preemption.attempts {
            self.counters.preempted += 1;
            self.stop(attempt, Intent::Requeue, Action::Checkpoint, out);
        }
    }

    /// Returns the least costly pre-emption that frees `need` on one of the examined workers.
    fn find_preemption(&mut self, need: Amount, victims: Victims) -> Option<Preemption> {
        let count = self.roster.len();
        let start = self.reservations.cursor;
        let mut best: Option<Preemption> = None;
        let mut found = 0;
        for step in 0..count.min(MAX_PREEMPT_EXAMINED) {
            let worker = self.roster[(start + step) % count];
            self.reservations.cursor = (start + step + 1) % count;
            let Some(preemption) = self.preemption(worker, need, victims) else {
                continue;
            };
            found += 1;
            let cost =
                |preemption: &Preemption| (preemption.attempts.len(), preemption.lost_run_time);
            if best
                .as_ref()
                .is_none_or(|best| cost(&preemption) < cost(best))
            {
                best = Some(preemption);
            }
            if found >= MAX_COMPARED {
                break;
            }
        }
        best
    }

    /// Returns the pre-emption that frees `need` on a worker, which takes the most recently started
    /// tasks first.
    fn preemption(&self, worker: WorkerKey, need: Amount, victims: Victims) -> Option<Preemption> {
        let entry = &self.workers[worker];
        let is_usable = entry.state == WorkerState::Ready && entry.reserved.is_none();
        if !is_usable || !need.fits(entry.size) || entry.health.is_quarantined(self.now) {
            return None;
        }
        let mut candidates: Vec<AttemptKey> = entry.attempts.clone();
        candidates.retain(|&attempt| self.is_victim(attempt, victims));
        candidates.sort_by_key(|&attempt| std::cmp::Reverse(self.attempts[attempt].started_at));
        let mut preemption = Preemption {
            worker,
            attempts: Vec::new(),
            lost_run_time: Duration::ZERO,
        };
        let mut used = entry.used;
        for attempt in candidates {
            if need.fits(entry.size - used) {
                break;
            }
            used -= self.attempts[attempt].accounted;
            preemption.lost_run_time += self.now.since(self.attempts[attempt].started_at);
            preemption.attempts.push(attempt);
        }
        need.fits(entry.size - used).then_some(preemption)
    }

    /// Returns whether an attempt may be checkpointed in favour of another job.
    fn is_victim(&self, key: AttemptKey, victims: Victims) -> bool {
        let attempt = &self.attempts[key];
        let Some(job) = attempt.job.map(|job| &self.jobs[job]) else {
            return false;
        };
        let is_running = attempt.phase == Phase::Running && attempt.intent == Intent::Run;
        let is_borrowed = victims == Victims::Batch || self.teams[job.team].borrows;
        is_running && job.spec.class == Class::Batch && is_borrowed
    }

    /// Checkpoints batch tasks of borrowing teams on a reserved worker.
    pub(super) fn reclaim(&mut self, worker: WorkerKey, out: &mut Vec<Output>) {
        for attempt in self.workers[worker].attempts.clone() {
            if self.is_victim(attempt, Victims::Borrowed) {
                self.counters.preempted += 1;
                self.stop(attempt, Intent::Requeue, Action::Checkpoint, out);
            }
        }
    }
}
