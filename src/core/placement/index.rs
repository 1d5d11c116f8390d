//! Workers by free capacity.
//!
//! Each worker that may be given work is in one bucket, by its free processors, memory and
//! accelerators. Bucket bounds grow geometrically, four to an octave. A search starts at the bucket
//! of the wanted amount and walks towards more room, so the first workers that it meets leave the
//! least behind: best fit without looking at all workers. Only workers in the border buckets, whose
//! bounds straddle the wanted amount, can turn out too small.

use std::ops::ControlFlow;

use super::table::WorkerKey;
use crate::core::resource::Amount;

/// Buckets per axis for processors and memory.
const LEVELS: usize = 64;

/// Buckets per axis for free accelerators: none, 1, 2 or 3, 4 to 7, 8 and more.
const PLANES: usize = 5;

/// The width of the lowest processor bucket, in thousandths of a core.
const PROCESSOR_STEP: u64 = 250;

/// The width of the lowest memory bucket, in MiB.
const MEMORY_STEP: u64 = 256;

/// Where a worker is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot {
    bucket: usize,
    position: usize,
}

/// The resource along which a search grows slowest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Axis {
    /// Leave as few processors as possible.
    Processors,
    /// Leave as little memory as possible.
    Memory,
}

/// Workers by free capacity.
#[derive(Debug)]
pub struct Index {
    buckets: Vec<Vec<WorkerKey>>,
    /// For each plane and processor level, the memory levels that hold workers.
    filled: Vec<u64>,
}

/// A move of another worker that a removal caused.
#[derive(Clone, Copy, Debug)]
pub(super) struct Moved {
    pub(super) worker: WorkerKey,
    pub(super) slot: Slot,
}

/// What changed when a worker was given another room.
#[derive(Clone, Copy, Debug)]
pub(super) struct Update {
    /// Where the worker is now.
    pub(super) slot: Option<Slot>,
    /// Another worker that moved.
    pub(super) moved: Option<Moved>,
}

impl Default for Index {
    fn default() -> Index {
        Index {
            buckets: vec![Vec::new(); PLANES * LEVELS * LEVELS],
            filled: vec![0; PLANES * LEVELS],
        }
    }
}

/// Returns the level of a number of steps.
fn level(steps: u64) -> usize {
    if steps == 0 {
        return 0;
    }
    let octave = steps.ilog2();
    let quarter = ((steps << 2) >> octave) & 3;
    (1 + 4 * octave as usize + quarter as usize).min(LEVELS - 1)
}

/// Returns the plane of a number of accelerators.
fn plane(accelerators: u64) -> usize {
    match accelerators {
        0 => 0,
        1 => 1,
        2..=3 => 2,
        4..=7 => 3,
        _ => 4,
    }
}

/// Returns the bucket of an amount of room.
fn bucket(room: Amount) -> usize {
    let row = level(room.cpu_millis / PROCESSOR_STEP);
    let column = level(room.memory_mib / MEMORY_STEP);
    (plane(room.accelerators) * LEVELS + row) * LEVELS + column
}

impl Index {
    /// Keeps a worker from `slot` on by this room, or out; returns nothing when it stays.
    pub(super) fn update(
        &mut self,
        worker: WorkerKey,
        slot: Option<Slot>,
        room: Option<Amount>,
    ) -> Option<Update> {
        let wanted = room.map(bucket);
        if slot.map(|slot| slot.bucket) == wanted {
            return None;
        }
        Some(Update {
            moved: slot.and_then(|slot| self.remove(slot)),
            slot: wanted.map(|bucket| self.add(worker, bucket)),
        })
    }

    /// Adds a worker to a bucket.
    fn add(&mut self, worker: WorkerKey, bucket: usize) -> Slot {
        let position = self.buckets[bucket].len();
        self.buckets[bucket].push(worker);
        self.filled[bucket / LEVELS] |= 1 << (bucket % LEVELS);
        Slot { bucket, position }
    }

    /// Takes a worker out; another one may move into its slot.
    fn remove(&mut self, slot: Slot) -> Option<Moved> {
        let row = &mut self.buckets[slot.bucket];
        row.swap_remove(slot.position);
        if row.is_empty() {
            self.filled[slot.bucket / LEVELS] &= !(1 << (slot.bucket % LEVELS));
        }
        let worker = *row.get(slot.position)?;
        Some(Moved { worker, slot })
    }

    /// Visits workers that may have room for `need`, tightest first, until `visit` breaks. Within a
    /// bucket the walk starts at a worker chosen by `turn`.
    pub fn visit(
        &self,
        need: Amount,
        axis: Axis,
        turn: usize,
        mut visit: impl FnMut(WorkerKey) -> ControlFlow<()>,
    ) {
        for plane in plane(need.accelerators)..PLANES {
            let flow = match axis {
                Axis::Processors => self.visit_by_processors(plane, need, turn, &mut visit),
                Axis::Memory => self.visit_by_memory(plane, need, turn, &mut visit),
            };
            if flow.is_break() {
                return;
            }
        }
    }

    /// Visits one plane by processor level, then memory level.
    fn visit_by_processors(
        &self,
        plane: usize,
        need: Amount,
        turn: usize,
        visit: &mut impl FnMut(WorkerKey) -> ControlFlow<()>,
    ) -> ControlFlow<()> {
        let lowest = level(need.memory_mib / MEMORY_STEP);
        for row in level(need.cpu_millis / PROCESSOR_STEP)..LEVELS {
            let row = plane * LEVELS + row;
            let mut columns = self.filled[row] & (u64::MAX << lowest);
            while columns != 0 {
                let column = columns.trailing_zeros() as usize;
                columns &= columns - 1;
                visit_bucket(&self.buckets[row * LEVELS + column], turn, visit)?;
            }
        }
        ControlFlow::Continue(())
    }

    /// Visits one plane by memory level, then processor level.
    fn visit_by_memory(
        &self,
        plane: usize,
        need: Amount,
        turn: usize,
        visit: &mut impl FnMut(WorkerKey) -> ControlFlow<()>,
    ) -> ControlFlow<()> {
        let rows = plane * LEVELS + level(need.cpu_millis / PROCESSOR_STEP)..(plane + 1) * LEVELS;
        let all = rows.clone().fold(0, |all, row| all | self.filled[row]);
        let mut columns = all & (u64::MAX << level(need.memory_mib / MEMORY_STEP));
        while columns != 0 {
            let column = columns.trailing_zeros() as usize;
            columns &= columns - 1;
            for row in rows
                .clone()
                .filter(|&row| self.filled[row] & (1 << column) != 0)
            {
                visit_bucket(&self.buckets[row * LEVELS + column], turn, visit)?;
            }
        }
        ControlFlow::Continue(())
    }
}

/// Visits the workers of one bucket, from the one chosen by `turn` on.
fn visit_bucket(
    workers: &[WorkerKey],
    turn: usize,
    visit: &mut impl FnMut(WorkerKey) -> ControlFlow<()>,
) -> ControlFlow<()> {
    let (before, after) = workers.split_at(turn % workers.len().max(1));
    for &worker in after.iter().chain(before) {
        visit(worker)?;
    }
    ControlFlow::Continue(())
}
