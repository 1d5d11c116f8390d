//! The order in which waiting jobs are served.
//!
//! Jobs wait in lanes: one per class, team and rough size. Jobs of a lane are served in order of
//! arrival. Lanes are ordered by [`Rank`]: urgent work first, then by the due time of the lane's
//! first job, which is its arrival plus the delay of its class. A later arrival is due later, so no
//! job waits forever behind newer ones. A lane whose first job could not be placed is blocked until
//! capacity is freed or the next periodic retry, so a large job does not stop small jobs of other lanes.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use laburnum_derive::value;

use super::table::{JobKey, TeamKey};
use crate::core::resource::Amount;
use crate::core::time::Instant;
use crate::core::workload::Class;

/// A rough size: the number of significant bits of each resource amount.
#[value]
pub struct Shape {
    processors: u8,
    memory: u8,
    accelerators: u8,
}

/// The key of the queue for jobs of one class, team and rough size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lane {
    /// The class of the lane's jobs.
    pub class: Class,
    /// The team of the lane's jobs.
    pub team: TeamKey,
    /// The rough size of the lane's tasks.
    pub shape: Shape,
}

/// The priority of a lane; the lowest is served first.
#[value]
pub struct Rank {
    /// The tier; jobs of a lower tier are always served before those of a higher one.
    pub tier: u8,
    /// When the first job of the lane is due.
    pub due: Instant,
}

/// The position of a job within its lane.
#[value]
pub(super) struct LanePosition {
    /// When the job began to wait.
    pub(super) queued_at: Instant,
    /// The job's sequence number in order of arrival, which breaks ties.
    pub(super) sequence: u64,
}

/// The waiting jobs and the state of one lane.
#[derive(Debug)]
struct LaneEntry {
    jobs: BTreeMap<LanePosition, JobKey>,
    rank: Rank,
    is_blocked: bool,
}

/// All lanes with waiting jobs.
#[derive(Debug, Default)]
pub(super) struct Queue {
    lanes: BTreeMap<Lane, LaneEntry>,
    ready: BTreeSet<(Rank, Lane)>,
    blocked: BTreeSet<Lane>,
    /// The last lane that [`Queue::unblock_part`] unblocked.
    last_unblocked: Option<Lane>,
}

impl Shape {
    /// Returns the rough size of `amount`.
    pub fn of(amount: Amount) -> Shape {
        Shape {
            processors: magnitude(amount.cpu_millis),
            memory: magnitude(amount.memory_mib),
            accelerators: magnitude(amount.accelerators),
        }
    }
}

/// Returns how many bits `number` takes.
fn magnitude(number: u64) -> u8 {
    (u64::BITS - number.leading_zeros()) as u8
}

impl Queue {
    /// Adds a job to its lane. `rank` returns the rank of a lane whose first job was queued at a
    /// given time.
    pub(super) fn add(
        &mut self,
        lane: Lane,
        position: LanePosition,
        job: JobKey,
        rank: impl Fn(Instant) -> Rank,
    ) {
        let entry = self.lanes.entry(lane).or_insert_with(|| LaneEntry {
            jobs: BTreeMap::new(),
            rank: rank(position.queued_at),
            is_blocked: false,
        });
        entry.jobs.insert(position, job);
        self.update_rank(lane, rank);
        self.unblock(lane);
    }

    /// Removes a job from its lane.
    pub(super) fn remove(
        &mut self,
        lane: Lane,
        position: LanePosition,
        rank: impl Fn(Instant) -> Rank,
    ) {
        let Some(entry) = self.lanes.get_mut(&lane) else {
            return;
        };
        entry.jobs.remove(&position);
        if entry.jobs.is_empty() {
            self.ready.remove(&(entry.rank, lane));
            self.blocked.remove(&lane);
            self.lanes.remove(&lane);
            return;
        }
        self.update_rank(lane, rank);
    }

    /// Recomputes the rank of a lane.
    pub(super) fn update_rank(&mut self, lane: Lane, rank: impl Fn(Instant) -> Rank) {
        let Some(entry) = self.lanes.get_mut(&lane) else {
            return;
        };
        let Some((first, _)) = entry.jobs.first_key_value() else {
            return;
        };
        let rank = rank(first.queued_at);
        let was_ready = self.ready.remove(&(entry.rank, lane));
        entry.rank = rank;
        if was_ready || !entry.is_blocked {
            self.ready.insert((rank, lane));
        }
    }

    /// Returns the lanes of a team.
    pub(super) fn lanes_of(&self, team: TeamKey) -> Vec<Lane> {
        self.lanes
            .keys()
            .filter(|lane| lane.team == team)
            .copied()
            .collect()
    }

    /// Returns the first lane that is not blocked.
    pub(super) fn first(&self) -> Option<Lane> {
        self.ready.first().map(|&(_, lane)| lane)
    }

    /// Returns the first job of a lane.
    pub(super) fn head(&self, lane: Lane) -> Option<JobKey> {
        let entry = self.lanes.get(&lane)?;
        entry.jobs.first_key_value().map(|(_, &job)| job)
    }

    /// Returns the first `count` jobs of a lane, or all when there are fewer.
    pub(super) fn heads(&self, lane: Lane, count: usize) -> Vec<JobKey> {
        let jobs = self.lanes.get(&lane).map(|entry| entry.jobs.values());
        jobs.into_iter().flatten().take(count).copied().collect()
    }

    /// Blocks a lane: [`Queue::first`] skips it until it is unblocked.
    pub(super) fn block(&mut self, lane: Lane) {
        let Some(entry) = self.lanes.get_mut(&lane) else {
            return;
        };
        entry.is_blocked = true;
        self.ready.remove(&(entry.rank, lane));
        self.blocked.insert(lane);
    }

    /// Unblocks a lane.
    pub(super) fn unblock(&mut self, lane: Lane) {
        let Some(entry) = self.lanes.get_mut(&lane) else {
            return;
        };
        entry.is_blocked = false;
        self.blocked.remove(&lane);
        self.ready.insert((entry.rank, lane));
    }

    /// Unblocks the blocked lanes for which `fits` returns true.
    pub(super) fn unblock_where(&mut self, fits: impl Fn(Lane) -> bool) {
        let chosen: Vec<Lane> = self
            .blocked
            .iter()
            .copied()
            .filter(|&lane| fits(lane))
            .collect();
        for lane in chosen {
            self.unblock(lane);
        }
    }

    /// Returns the blocked lanes.
    pub(super) fn blocked(&self) -> impl Iterator<Item = Lane> {
        self.blocked.iter().copied()
    }

    /// Unblocks one in `parts` of the blocked lanes, continuing after those of the previous call.
    pub(super) fn unblock_part(&mut self, parts: usize) {
        let count = self.blocked.len().div_ceil(parts);
        let from = self
            .last_unblocked
            .map_or(Bound::Unbounded, Bound::Excluded);
        let later = self.blocked.range((from, Bound::Unbounded));
        let chosen: Vec<Lane> = later.chain(&self.blocked).take(count).copied().collect();
        self.last_unblocked = chosen.last().copied();
        chosen.into_iter().for_each(|lane| self.unblock(lane));
    }

    /// Returns the number of lanes, blocked or not.
    pub(super) fn len(&self) -> usize {
        self.lanes.len()
    }

    /// Returns how many jobs are ahead of the job at `position` of `lane`.
    pub(super) fn position(&self, lane: Lane, position: LanePosition) -> usize {
        let Some(own) = self.lanes.get(&lane) else {
            return 0;
        };
        let before = own.jobs.range(..position).count();
        let others = self
            .lanes
            .iter()
            .filter(|(other, entry)| (entry.rank, **other) < (own.rank, lane));
        before + others.map(|(_, entry)| entry.jobs.len()).sum::<usize>()
    }
}
