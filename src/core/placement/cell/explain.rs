//! Explanations of why a job waits.

use std::collections::BTreeMap;

use serde::Serialize;

use super::Cell;
use super::jobs::lane_position;
use crate::core::id;
use crate::core::placement::policy::{Policy, Refusal, TaskRequest, check};
use crate::core::placement::table::{JobKey, TaskPhase, WorkerEntry, WorkerState};
use crate::core::resource::Amount;
use crate::core::time::Instant;

/// What a job waits for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Waiting {
    /// None of the job's tasks waits.
    Nothing,
    /// The end of the leases that a previous owner may have granted without records.
    Takeover,
    /// Jobs ahead of it in the queue; a worker could take one of its tasks now.
    #[serde(rename = "turn")]
    Queue,
    /// The team would exceed its ceiling.
    Quota,
    /// A worker with enough free capacity.
    Worker,
    /// The workers that are reserved for the job.
    Reservation,
    /// The rate limit on queueing lost tasks again.
    #[serde(rename = "pace")]
    RateLimit,
}

/// Why a job waits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// What the job waits for.
    pub waiting: Waiting,
    /// The number of refused workers per reason.
    pub refused: BTreeMap<Refusal, usize>,
    /// The number of workers that could take a task of the job now.
    pub suited: usize,
    /// The number of jobs ahead of it, while it is queued.
    pub position: Option<usize>,
    /// When the job is expected to start, if a time can be estimated.
    pub expected: Option<Instant>,
}

impl<P: Policy> Cell<P> {
    /// Returns why a job waits, or `None` when it is unknown or has ended. Checks every worker.
    pub fn explain(&self, id: id::Job) -> Option<Explanation> {
        let key = *self.job_ids.get(&id)?;
        let job = &self.jobs[key];
        let mut request = TaskRequest::new(key, job, self.now, self.predict_end(key));
        request.is_aged = self.is_aged(job);
        request.failures = &[];
        let mut refused = BTreeMap::new();
        let mut suited = 0;
        for worker in self.workers.values() {
            match check(&request, worker) {
                Some(refusal) => *refused.entry(refusal).or_default() += 1,
                None => suited += 1,
            }
        }
        let lane = job.lane;
        Some(Explanation {
            waiting: self.waiting(key, suited),
            refused,
            suited,
            position: lane.map(|lane| self.queue.position(lane, lane_position(job))),
            expected: self.expected(key, suited),
        })
    }

    /// Returns what a job waits for.
    fn waiting(&self, key: JobKey, suited: usize) -> Waiting {
        let job = &self.jobs[key];
        let is_delayed = job
            .tasks
            .iter()
            .any(|task| task.phase == TaskPhase::Delayed);
        if job.is_held {
            return Waiting::Takeover;
        }
        if job.queued == 0 || job.ending.is_some() {
            return match is_delayed {
                true => Waiting::RateLimit,
                false => Waiting::Nothing,
            };
        }
        if !self.teams[job.team].allows(job.granted_size) {
            return Waiting::Quota;
        }
        if self.reserved_start(key).is_some() {
            return Waiting::Reservation;
        }
        match suited {
            0 => Waiting::Worker,
            _ => Waiting::Queue,
        }
    }

    /// Returns when a waiting job is expected to start: when its reservation starts, or when enough
    /// tasks of one worker are expected to have ended.
    fn expected(&self, key: JobKey, suited: usize) -> Option<Instant> {
        let job = &self.jobs[key];
        if job.queued == 0 || job.ending.is_some() {
            return None;
        }
        if let Some(at) = self.reserved_start(key) {
            return Some(at);
        }
        if suited > 0 {
            return Some(self.now);
        }
        let free_at = |worker| self.free_at(worker, job.granted_size);
        self.workers.values().filter_map(free_at).min()
    }

    /// Returns when a worker is expected to have `need` free.
    fn free_at(&self, worker: &WorkerEntry, need: Amount) -> Option<Instant> {
        if worker.state != WorkerState::Ready {
            return None;
        }
        let attempts = worker.attempts.iter().map(|&key| &self.attempts[key]);
        let mut ends: Vec<_> = attempts
            .filter(|attempt| attempt.ends_at != Instant(u64::MAX))
            .map(|attempt| (attempt.ends_at.max(self.now), attempt.accounted))
            .collect();
        ends.sort_unstable();
        let mut free = worker.free();
        for (at, amount) in ends {
            free += amount;
            if need.fits(free) {
                return Some(at);
            }
        }
        None
    }
}
