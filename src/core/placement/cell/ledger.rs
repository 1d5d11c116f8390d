//! Accounting of the resources that attempts use on workers and in team quotas.
//!
//! An attempt counts from the placement decision until it is certain not to run any more. Its
//! accounted size counts against its worker, and its granted size against its team.

use super::Cell;
use crate::core::id::Team;
use crate::core::placement::policy::{KeepAccelerators, Order as _, Policy, order::Head};
use crate::core::placement::queue::{Lane, Rank};
use crate::core::placement::table::{AttemptKey, TeamEntry, TeamKey, WorkerKey, WorkerState};
use crate::core::resource::Amount;
use crate::core::time::Instant;

impl<P: Policy> Cell<P> {
    /// Counts an attempt against its worker and team, and in the job's counts per rack and data
    /// centre.
    pub(super) fn count(&mut self, key: AttemptKey) {
        let attempt = &mut self.attempts[key];
        if attempt.counted {
            return;
        }
        attempt.counted = true;
        let (worker, job) = (attempt.worker, attempt.job);
        let (accounted, size) = (attempt.accounted, attempt.size);
        self.workers[worker].used += accounted;
        self.refresh_index(worker);
        if let Some(job) = job {
            let entry = &self.workers[worker];
            self.jobs[job].count_location(entry.rack, entry.data_centre, true);
            let team = self.jobs[job].team;
            self.teams[team].used += size;
            self.refresh_team(team);
        }
    }

    /// Stops counting an attempt.
    pub(super) fn uncount(&mut self, key: AttemptKey) {
        let attempt = &mut self.attempts[key];
        if !attempt.counted {
            return;
        }
        attempt.counted = false;
        let (worker, job) = (attempt.worker, attempt.job);
        let (accounted, size) = (attempt.accounted, attempt.size);
        self.workers[worker].used -= accounted;
        self.refresh_index(worker);
        self.freed.add(worker);
        if let Some(job) = job {
            let entry = &self.workers[worker];
            self.jobs[job].count_location(entry.rack, entry.data_centre, false);
            let team = self.jobs[job].team;
            self.teams[team].used -= size;
            self.freed.teams.insert(team);
            self.refresh_team(team);
        }
    }

    /// Changes the size that an attempt counts with.
    pub(super) fn recount(&mut self, key: AttemptKey, accounted: Amount) {
        let attempt = &mut self.attempts[key];
        if attempt.accounted == accounted {
            return;
        }
        let before = std::mem::replace(&mut attempt.accounted, accounted);
        if !attempt.counted {
            return;
        }
        let worker = attempt.worker;
        let entry = &mut self.workers[worker];
        entry.used = entry.used - before + accounted;
        self.refresh_index(worker);
        self.freed.add(worker);
    }

    /// Updates a worker's position in the indexes to its current free capacity, or removes it from
    /// them when it is not usable.
    pub(super) fn refresh_index(&mut self, key: WorkerKey) {
        let entry = &self.workers[key];
        let is_usable = entry.state == WorkerState::Ready && !entry.health.is_quarantined(self.now);
        let all = is_usable.then(|| entry.free());
        let plain = is_usable.then(|| KeepAccelerators::free(entry));
        if let Some(update) = self.index.update(key, entry.slots.all, all) {
            if let Some(moved) = update.moved {
                self.workers[moved.worker].slots.all = Some(moved.slot);
            }
            self.workers[key].slots.all = update.slot;
        }
        let slot = self.workers[key].slots.plain;
        if let Some(update) = self.plain_index.update(key, slot, plain) {
            if let Some(moved) = update.moved {
                self.workers[moved.worker].slots.plain = Some(moved.slot);
            }
            self.workers[key].slots.plain = update.slot;
        }
    }

    /// Returns the key of a team, and creates its entry when it is new.
    pub(super) fn team_key(&mut self, name: &Team) -> TeamKey {
        if let Some(&key) = self.team_names.get(name) {
            return key;
        }
        let key = self.teams.insert(TeamEntry {
            name: name.clone(),
            quota: self.settings.quotas.get(name).copied(),
            used: Amount::default(),
            borrows: false,
            jobs: 0,
        });
        self.team_names.insert(name.clone(), key);
        key
    }

    /// Updates whether a team borrows, and the ranks of its lanes when that changes.
    pub(super) fn refresh_team(&mut self, key: TeamKey) {
        let team = &mut self.teams[key];
        let borrows = team.quota.is_some_and(|quota| !team.used.fits(quota.share));
        if team.borrows == borrows {
            return;
        }
        team.borrows = borrows;
        for lane in self.queue.lanes_of(key) {
            let rank = rank::<P>(&self.settings.tuning, borrows, lane);
            self.queue.update_rank(lane, rank);
        }
    }

    /// Removes a team that has neither jobs nor a quota.
    pub(super) fn forget_team(&mut self, key: TeamKey) {
        let team = &self.teams[key];
        if team.jobs > 0 || team.quota.is_some() {
            return;
        }
        if let Some(team) = self.teams.remove(key) {
            self.team_names.remove(&team.name);
        }
    }
}

/// Returns a function from the time at which a lane's first job began to wait to the lane's rank.
pub(super) fn rank<P: Policy>(
    tuning: &crate::core::placement::Tuning,
    borrows: bool,
    lane: Lane,
) -> impl Fn(Instant) -> Rank {
    let head = move |queued_at| Head {
        class: lane.class,
        borrows,
        queued_at,
    };
    move |queued_at| P::Order::rank(head(queued_at), tuning)
}
