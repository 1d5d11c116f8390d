//! Whose steps go first when client accounts compete for a full cell.
//!
//! The load that this answers: one account sends several times what it usually does, and the cell has too
//! little room. Accounts that stay within their weights must be served as if the others did too.
//!
//! An account is entitled to as many jobs a second as its weight says, counted over a sliding window. A
//! job beyond that is a surplus: its steps come after those of all other jobs, and it is refused while the
//! cell is full. In a cell with room, nothing of this has an effect.
//!
//! What is left of a full cell is shared by weight. An account's share is its dominant share, the part that
//! it uses of the resource of which it uses the largest part (Ghodsi et al., Dominant Resource Fairness,
//! NSDI 2011). Steps of accounts that use all that their weight entitles them to come after those of the
//! others. Accounts with nothing to run don't count, so that their share is lent.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use laburnum_derive::value;

use super::Scheduler;
use super::id::Step;
use crate::core::account;
use crate::core::error::{Error, Kind, Result};
use crate::core::resource::Amount;
use crate::core::time::Instant;

/// The span over which jobs of an account are counted; specified by the platform.
pub const WINDOW: Duration = Duration::from_secs(5);
/// How many jobs an account may send within [`WINDOW`] in addition to those that its weight allows;
/// specified by the platform.
pub const SLACK_JOBS: f64 = 20.0;

/// The standing of a step's account; the lowest is placed first.
#[value]
pub(super) enum Standing {
    /// The account uses less than its share, or the cell is not full.
    WithinShare,
    /// The account uses its share of a full cell or more.
    BeyondShare,
    /// The job is a surplus.
    Surplus,
}

/// The jobs that accounts have sent within their weights, as far as they fall into the present window.
#[derive(Clone, Default)]
struct Intake {
    by_account: HashMap<account::Name, VecDeque<Instant>>,
}

impl Intake {
    /// Counts a job that an account sends at `now` if the account is entitled to it, and returns whether it
    /// is.
    fn count(&mut self, name: &account::Name, weight: f64, now: Instant) -> bool {
        let most = weight * WINDOW.as_secs_f64() + SLACK_JOBS;
        let recent = self.by_account.entry(name.clone()).or_default();
        while recent.front().is_some_and(|&at| now.since(at) >= WINDOW) {
            recent.pop_front();
        }
        let is_entitled = (recent.len() + 1) as f64 <= most;
        if is_entitled {
            recent.push_back(now);
        }
        is_entitled
    }

    /// Returns when an account that has sent all that it is entitled to is entitled to a further job.
    fn next_at(&self, name: &account::Name, now: Instant) -> Instant {
        let oldest = self.by_account.get(name).and_then(VecDeque::front);
        oldest.map_or(now, |&at| at + WINDOW)
    }
}

/// What the order of accounts is based on.
#[derive(Clone, Default)]
pub(super) struct Share {
    intake: Intake,
    /// Whether the steps that could run needed more than the free capacity at the last placement.
    is_full: bool,
}

/// What the waiting steps of a placement need.
#[derive(Default)]
pub(super) struct Waiting(Amount);

impl Waiting {
    /// Adds `tasks` tasks that need `need` each.
    fn add(&mut self, need: Amount, tasks: usize) {
        self.0 += need.times(tasks as u64);
    }
}

/// The accounts that use their share of a full cell or more.
pub(super) struct Beyond(HashSet<account::Name>);

/// Returns the part of a cell that an account uses of the resource of which it uses the largest part.
pub fn dominant_share(used: Amount, capacity: Amount) -> f64 {
    let part = |used: u64, capacity: u64| {
        if capacity == 0 {
            0.0
        } else {
            used as f64 / capacity as f64
        }
    };
    part(used.cpu_millis, capacity.cpu_millis)
        .max(part(used.memory_mib, capacity.memory_mib))
        .max(part(used.accelerators, capacity.accelerators))
}

impl Scheduler {
    /// Returns whether a job that an account sends now is a surplus.
    ///
    /// # Errors
    ///
    /// [`Kind::Overloaded`] for a surplus while the cell is full.
    pub(super) fn admit(&mut self, name: &account::Name, now: Instant) -> Result<bool> {
        let Some(weight) = self.ledger.weight(name) else {
            return Ok(false);
        };
        if self.share.intake.count(name, weight, now) {
            return Ok(false);
        }
        let is_refused = self.share.is_full;
        self.ledger.count_surplus(name, is_refused);
        if !is_refused {
            return Ok(true);
        }
        let wait = self.share.intake.next_at(name, now).since(now);
        let message = format!(
            "the client account sends more than its {weight} jobs a second, and the cell is full"
        );
        Err(Error::new(Kind::Overloaded, message).with_retry_after(wait))
    }

    /// Counts the jobs of earlier owners that fall into the present window.
    pub(super) fn recover_intake(&mut self, now: Instant) {
        let jobs = self.jobs.values();
        let recent = jobs.filter(|job| !job.is_surplus && now.since(job.accepted_at) < WINDOW);
        let mut recent: Vec<(Instant, &account::Name)> = recent
            .filter_map(|job| Some((job.accepted_at, job.account.as_ref()?)))
            .collect();
        recent.sort_unstable();
        for (at, name) in recent {
            let of_account = self.share.intake.by_account.entry(name.clone());
            of_account.or_default().push_back(at);
        }
    }

    /// Returns the accounts that use their share or more; none while the cell is not full.
    pub(super) fn accounts_beyond_share(&self) -> Beyond {
        if !self.share.is_full || self.ledger.is_empty() {
            return Beyond(HashSet::new());
        }
        let workers = self.workers.values().filter(|worker| worker.is_usable());
        let capacity = workers.fold(Amount::default(), |sum, worker| sum + worker.entry.capacity);
        let jobs = self
            .ready
            .iter()
            .filter_map(|step| self.jobs.get(&step.job));
        let waiting: HashSet<&account::Name> =
            jobs.filter_map(|job| job.account.as_ref()).collect();
        let active: Vec<(&account::Name, f64, f64)> = self
            .ledger
            .weights()
            .map(|(name, weight)| {
                (
                    name,
                    weight,
                    dominant_share(self.ledger.used(name), capacity),
                )
            })
            .filter(|(name, _, share)| *share > 0.0 || waiting.contains(name))
            .collect();
        let weights: f64 = active.iter().map(|(_, weight, _)| weight).sum();
        let beyond = active
            .into_iter()
            .filter(|(_, weight, share)| share * weights >= *weight);
        Beyond(beyond.map(|(name, ..)| name.clone()).collect())
    }

    /// Returns the standing of a step.
    pub(super) fn standing(&self, id: Step, beyond: &Beyond) -> Standing {
        let job = self.jobs.get(&id.job);
        if job.is_some_and(|job| job.is_surplus) {
            return Standing::Surplus;
        }
        let account = job.and_then(|job| job.account.as_ref());
        match account {
            Some(name) if beyond.0.contains(name) => Standing::BeyondShare,
            _ => Standing::WithinShare,
        }
    }

    /// Counts the tasks of a step that wait after it was visited, and of which the cap of its account
    /// allowed to start `max_starts`.
    pub(super) fn count_waiting(&self, id: Step, max_starts: usize, waiting: &mut Waiting) {
        let job = self.jobs.get(&id.job);
        let found = job.and_then(|job| {
            let spec = job.spec.steps.get(usize::from(id.index))?;
            Some((spec, job.step(id)?))
        });
        if let Some((spec, step)) = found {
            waiting.add(spec.capacity_need(), step.waiting.min(max_starts));
        }
    }

    /// Compares what waits with what is free.
    pub(super) fn note_fullness(&mut self, waiting: &Waiting) {
        let usable = self.workers.values().filter(|worker| worker.is_usable());
        let free = usable.fold(Amount::default(), |sum, worker| sum + worker.free());
        self.share.is_full = !waiting.0.fits(free);
    }
}
