//! Unblocking of lanes when capacity is freed.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Cell;
use crate::core::placement::policy::{Policy, TaskRequest, check};
use crate::core::placement::queue::Lane;
use crate::core::placement::table::{JobKey, TeamKey, WorkerEntry, WorkerKey};
use crate::core::workload::Class;

/// All blocked lanes are unblocked once within this interval.
const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// The number of parts in which the blocked lanes are unblocked during one sweep.
const SWEEP_PARTS: u32 = 16;

/// The maximum number of workers with freed capacity that are kept.
const MAX_FREED: usize = 64;

/// Workers and teams with capacity freed since lanes were last unblocked.
#[derive(Debug, Default)]
pub(super) struct Freed {
    workers: Vec<WorkerKey>,
    /// Whether more workers had capacity freed than are kept.
    has_overflowed: bool,
    /// The teams that use less than before.
    pub(super) teams: BTreeSet<TeamKey>,
}

impl Freed {
    /// Records that capacity was freed on a worker.
    pub(super) fn add(&mut self, worker: WorkerKey) {
        if self.workers.last() == Some(&worker) {
            return;
        }
        match self.workers.len() < MAX_FREED {
            true => self.workers.push(worker),
            false => self.has_overflowed = true,
        }
    }
}

impl<P: Policy> Cell<P> {
    /// Unblocks lanes whose first job can use a worker with freed capacity. The other blocked lanes
    /// are unblocked in turn, each once per sweep, so that no lane stays blocked forever.
    pub(super) fn unblock_lanes(&mut self) {
        let freed = std::mem::take(&mut self.freed);
        if freed.has_overflowed {
            self.queue.unblock_where(|_| true);
        }
        let may_unblock = |lane: &Lane| self.may_unblock(*lane, &freed);
        let unblocked: Vec<Lane> = self.queue.blocked().filter(may_unblock).collect();
        unblocked
            .into_iter()
            .for_each(|lane| self.queue.unblock(lane));
        let part = SWEEP_EVERY / SWEEP_PARTS;
        if self.now.since(self.swept_at) >= part {
            self.swept_at = self.now;
            self.queue.unblock_part(SWEEP_PARTS as usize);
        }
    }

    /// Returns whether the freed capacity may allow the first job of a lane to be placed.
    fn may_unblock(&self, lane: Lane, freed: &Freed) -> bool {
        let has_quota = self.teams[lane.team].quota.is_some();
        if has_quota && freed.teams.contains(&lane.team) {
            return true;
        }
        let Some(key) = self.queue.head(lane) else {
            return false;
        };
        if freed.workers.is_empty() {
            return false;
        }
        let job = &self.jobs[key];
        let mut request = TaskRequest::new(key, job, self.now, self.predict_end(key));
        request.is_aged = self.is_aged(job);
        request.failures = &[];
        let suits = |worker: &WorkerKey| {
            let entry = self.workers.get(*worker);
            entry.is_some_and(|entry| {
                is_sufficient(lane, key, entry) && check(&request, entry).is_none()
            })
        };
        freed.workers.iter().any(suits)
    }
}

/// Returns whether capacity on one worker is sufficient reason to unblock a lane. One worker seldom
/// lets a gang start, so a gang waits for its reserved workers or the next sweep.
fn is_sufficient(lane: Lane, key: JobKey, worker: &WorkerEntry) -> bool {
    lane.class != Class::Gang
        || worker
            .reserved
            .is_some_and(|reservation| reservation.job == key)
}
