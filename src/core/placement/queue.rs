//! The order in which waiting jobs are served.
//!
//! Jobs wait in lanes: one per class, team and rough size. A lane is served in order of arrival.
//! Lanes are ordered by [`Rank`]: urgent work first, then by the time at which the head of the lane
//! is due, which is its arrival plus the patience of its class. A later arrival is due later, so
//! nothing waits for ever behind newer work. A lane whose head found no place is set aside until
//! room comes free, so a large job does not stop small ones of other lanes.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use laburnum_derive::value;

use super::table::{JobKey, TeamKey};
use crate::core::resource::Amount;
use crate::core::time::Instant;
use crate::core::workload::Class;

/// A rough size: the position of the highest set bit of each resource.
#[value]
pub struct Shape {
    processors: u8,
    memory: u8,
    accelerators: u8,
}

/// Where jobs of one class, team and rough size wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lane {
    /// The class.
    pub class: Class,
    /// The team.
    pub team: TeamKey,
    /// The rough size.
    pub shape: Shape,
}

/// The order of lanes, lowest first.
#[value]
pub struct Rank {
    /// Work of later tiers waits for that of earlier ones.
    pub tier: u8,
    /// When the head of the lane is due.
    pub due: Instant,
}

/// The place of a job within its lane.
#[value]
pub(super) struct Place {
    /// When it began to wait.
    pub(super) queued_at: Instant,
    /// Its place in the order of arrival.
    pub(super) sequence: u64,
}

/// One lane's jobs.
#[derive(Debug)]
struct Row {
    jobs: BTreeMap<Place, JobKey>,
    rank: Rank,
    is_blocked: bool,
}

/// All lanes.
#[derive(Debug, Default)]
pub(super) struct Queue {
    rows: BTreeMap<Lane, Row>,
    ready: BTreeSet<(Rank, Lane)>,
    blocked: BTreeSet<Lane>,
    /// The lane that was served again last in its turn.
    cursor: Option<Lane>,
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
    /// Adds a job to its lane; `rank` gives the rank of a lane headed by a job queued then.
    pub(super) fn add(
        &mut self,
        lane: Lane,
        place: Place,
        job: JobKey,
        rank: impl Fn(Instant) -> Rank,
    ) {
        let row = self.rows.entry(lane).or_insert_with(|| Row {
            jobs: BTreeMap::new(),
            rank: rank(place.queued_at),
            is_blocked: false,
        });
        row.jobs.insert(place, job);
        self.rank(lane, rank);
        self.unblock(lane);
    }

    /// Takes a job out of its lane.
    pub(super) fn remove(&mut self, lane: Lane, place: Place, rank: impl Fn(Instant) -> Rank) {
        let Some(row) = self.rows.get_mut(&lane) else {
            return;
        };
        row.jobs.remove(&place);
        if row.jobs.is_empty() {
            self.ready.remove(&(row.rank, lane));
            self.blocked.remove(&lane);
            self.rows.remove(&lane);
            return;
        }
        self.rank(lane, rank);
    }

    /// Computes the rank of a lane anew.
    pub(super) fn rank(&mut self, lane: Lane, rank: impl Fn(Instant) -> Rank) {
        let Some(row) = self.rows.get_mut(&lane) else {
            return;
        };
        let Some((first, _)) = row.jobs.first_key_value() else {
            return;
        };
        let rank = rank(first.queued_at);
        let was_ready = self.ready.remove(&(row.rank, lane));
        row.rank = rank;
        if was_ready || !row.is_blocked {
            self.ready.insert((rank, lane));
        }
    }

    /// Returns the lanes of a team.
    pub(super) fn lanes_of(&self, team: TeamKey) -> Vec<Lane> {
        self.rows
            .keys()
            .filter(|lane| lane.team == team)
            .copied()
            .collect()
    }

    /// Returns the first lane that is not set aside.
    pub(super) fn first(&self) -> Option<Lane> {
        self.ready.first().map(|&(_, lane)| lane)
    }

    /// Returns the first job of a lane.
    pub(super) fn head(&self, lane: Lane) -> Option<JobKey> {
        let row = self.rows.get(&lane)?;
        row.jobs.first_key_value().map(|(_, &job)| job)
    }

    /// Returns up to `count` first jobs of a lane.
    pub(super) fn heads(&self, lane: Lane, count: usize) -> Vec<JobKey> {
        let jobs = self.rows.get(&lane).map(|row| row.jobs.values());
        jobs.into_iter().flatten().take(count).copied().collect()
    }

    /// Sets a lane aside until room comes free.
    pub(super) fn block(&mut self, lane: Lane) {
        let Some(row) = self.rows.get_mut(&lane) else {
            return;
        };
        row.is_blocked = true;
        self.ready.remove(&(row.rank, lane));
        self.blocked.insert(lane);
    }

    /// Serves a lane again.
    pub(super) fn unblock(&mut self, lane: Lane) {
        let Some(row) = self.rows.get_mut(&lane) else {
            return;
        };
        row.is_blocked = false;
        self.blocked.remove(&lane);
        self.ready.insert((row.rank, lane));
    }

    /// Serves those lanes again that `fits` selects.
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

    /// Returns the lanes that are set aside.
    pub(super) fn blocked(&self) -> impl Iterator<Item = Lane> {
        self.blocked.iter().copied()
    }

    /// Serves one in `parts` of the lanes that are set aside again, the next ones in turn.
    pub(super) fn unblock_part(&mut self, parts: usize) {
        let count = self.blocked.len().div_ceil(parts);
        let from = self.cursor.map_or(Bound::Unbounded, Bound::Excluded);
        let later = self.blocked.range((from, Bound::Unbounded));
        let chosen: Vec<Lane> = later.chain(&self.blocked).take(count).copied().collect();
        self.cursor = chosen.last().copied();
        chosen.into_iter().for_each(|lane| self.unblock(lane));
    }

    /// Returns how many lanes wait, set aside or not.
    pub(super) fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns how many jobs are served before the job at `place` of `lane`.
    pub(super) fn position(&self, lane: Lane, place: Place) -> usize {
        let Some(own) = self.rows.get(&lane) else {
            return 0;
        };
        let before = own.jobs.range(..place).count();
        let others = self
            .rows
            .iter()
            .filter(|(other, row)| (row.rank, **other) < (own.rank, lane));
        before + others.map(|(_, row)| row.jobs.len()).sum::<usize>()
    }
}
