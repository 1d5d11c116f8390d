//! Which lanes that were set aside are served again.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Cell;
use crate::core::placement::policy::{Ask, Policy, check};
use crate::core::placement::queue::Lane;
use crate::core::placement::table::{JobKey, TeamKey, WorkerEntry, WorkerKey};
use crate::core::workload::Class;

/// All lanes that were set aside are served again within this span.
const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// In how many parts the lanes that were set aside are served again.
const SWEEP_PARTS: u32 = 16;

/// The most workers remembered on which room came free.
const MAX_FREED: usize = 64;

/// Where room came free since lanes were last looked at.
#[derive(Debug, Default)]
pub(super) struct Freed {
    workers: Vec<WorkerKey>,
    /// Whether there were more workers than are remembered.
    is_many: bool,
    /// The teams that hold less than before.
    pub(super) teams: BTreeSet<TeamKey>,
}

impl Freed {
    /// Notes that room came free on a worker.
    pub(super) fn note(&mut self, worker: WorkerKey) {
        if self.workers.last() == Some(&worker) {
            return;
        }
        match self.workers.len() < MAX_FREED {
            true => self.workers.push(worker),
            false => self.is_many = true,
        }
    }
}

impl<P: Policy> Cell<P> {
    /// Serves lanes again whose head suits a worker on which room came free. The others are served
    /// again in turn, each once per sweep, so that a lane is never forgotten.
    pub(super) fn wake_lanes(&mut self) {
        let freed = std::mem::take(&mut self.freed);
        if freed.is_many {
            self.queue.unblock_where(|_| true);
        }
        let wakes = |lane: &Lane| self.wakes(*lane, &freed);
        let woken: Vec<Lane> = self.queue.blocked().filter(wakes).collect();
        woken.into_iter().for_each(|lane| self.queue.unblock(lane));
        let part = SWEEP_EVERY / SWEEP_PARTS;
        if self.now.since(self.swept_at) >= part {
            self.swept_at = self.now;
            self.queue.unblock_part(SWEEP_PARTS as usize);
        }
    }

    /// Returns whether what came free may let the head of a lane be placed.
    fn wakes(&self, lane: Lane, freed: &Freed) -> bool {
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
        let mut ask = Ask::new(key, job, self.now, self.predict(key));
        ask.is_aged = self.is_aged(job);
        ask.tried = &[];
        let suits = |worker: &WorkerKey| {
            let entry = self.workers.get(*worker);
            entry.is_some_and(|entry| is_due(lane, key, entry) && check(&ask, entry).is_none())
        };
        freed.workers.iter().any(suits)
    }
}

/// Returns whether room on one worker is reason enough to serve a lane. One worker seldom lets a
/// gang start, so a gang waits for its reserved workers or its turn.
fn is_due(lane: Lane, key: JobKey, worker: &WorkerEntry) -> bool {
    lane.class != Class::Gang || worker.reserved.is_some_and(|hold| hold.job == key)
}
