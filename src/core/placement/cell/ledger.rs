//! What is committed on workers and held by teams.
//!
//! An attempt counts from the decision to place it until it surely runs nowhere any more. It counts
//! against its worker with its accounted size and against its team with its granted size.

use super::Cell;
use crate::core::id::Team;
use crate::core::placement::policy::{KeepAccelerators, Order as _, Policy, order::Head};
use crate::core::placement::queue::{Lane, Rank};
use crate::core::placement::table::{AttemptKey, Standing, TeamEntry, TeamKey, WorkerKey};
use crate::core::resource::Amount;
use crate::core::time::Instant;

impl<P: Policy> Cell<P> {
    /// Counts an attempt against its worker, team and place.
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
            self.jobs[job].count_place(entry.rack, entry.data_centre, true);
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
        self.freed.note(worker);
        if let Some(job) = job {
            let entry = &self.workers[worker];
            self.jobs[job].count_place(entry.rack, entry.data_centre, false);
            let team = self.jobs[job].team;
            self.teams[team].used -= size;
            self.freed.teams.insert(team);
            self.refresh_team(team);
        }
    }

    /// Counts an attempt with another size from now on.
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
        self.freed.note(worker);
    }

    /// Keeps a worker in the indexes by its present room, or out of them.
    pub(super) fn refresh_index(&mut self, key: WorkerKey) {
        let entry = &self.workers[key];
        let is_usable = entry.standing == Standing::Ready && !entry.health.is_quarantined(self.now);
        let all = is_usable.then(|| entry.room());
        let plain = is_usable.then(|| KeepAccelerators::room(entry));
        if let Some(slot) = self.index.update(key, entry.slots.all, all) {
            if let Some(moved) = slot.moved {
                self.workers[moved.worker].slots.all = Some(moved.slot);
            }
            self.workers[key].slots.all = slot.slot;
        }
        let slot = self.workers[key].slots.plain;
        if let Some(slot) = self.plain_index.update(key, slot, plain) {
            if let Some(moved) = slot.moved {
                self.workers[moved.worker].slots.plain = Some(moved.slot);
            }
            self.workers[key].slots.plain = slot.slot;
        }
    }

    /// Returns the key of a team, which is made when it is new.
    pub(super) fn team(&mut self, name: &Team) -> TeamKey {
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

    /// Ranks a team's lanes anew when it begins or ends to borrow.
    pub(super) fn refresh_team(&mut self, key: TeamKey) {
        let team = &mut self.teams[key];
        let borrows = team.quota.is_some_and(|quota| !team.used.fits(quota.share));
        if team.borrows == borrows {
            return;
        }
        team.borrows = borrows;
        for lane in self.queue.lanes_of(key) {
            let rank = rank::<P>(&self.settings.knobs, borrows, lane);
            self.queue.rank(lane, rank);
        }
    }

    /// Forgets a team that has neither jobs nor a quota.
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

/// Returns how a lane is ranked by the time its head began to wait.
pub(super) fn rank<P: Policy>(
    knobs: &crate::core::placement::Knobs,
    borrows: bool,
    lane: Lane,
) -> impl Fn(Instant) -> Rank {
    let head = move |queued_at| Head {
        class: lane.class,
        borrows,
        queued_at,
    };
    move |queued_at| P::Order::rank(head(queued_at), knobs)
}
