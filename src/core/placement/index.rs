//! Index of workers by free capacity.
//!
//! Each usable worker is in one bucket, chosen by its free processors, memory and accelerators.
//! Bucket bounds grow geometrically, with four buckets per doubling. A search starts at the bucket
//! of the wanted amount and proceeds to buckets with more free capacity, so the first workers found
//! leave the least unused: this gives best fit without a scan of all workers. Only workers in the
//! buckets whose bounds straddle the wanted amount can turn out too small.

use std::ops::ControlFlow;

use super::table::WorkerKey;
use crate::core::resource::Amount;

/// The number of bucket levels for free processors, and for free memory.
const LEVELS: usize = 64;

/// The number of bucket levels for free accelerators: 0, 1, 2 or 3, 4 to 7, 8 and more. All buckets
/// of one such level form a plane.
const PLANES: usize = 5;

/// The width of the lowest processor level, in thousandths of a core.
const PROCESSOR_STEP: u64 = 250;

/// The width of the lowest memory level, in MiB.
const MEMORY_STEP: u64 = 256;

/// The position of a worker in the index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot {
    bucket: usize,
    position: usize,
}

/// The resource by which a search orders buckets first, in ascending order; the other resource
/// orders the buckets of one level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Axis {
    /// Visit buckets with the fewest free processors first.
    Processors,
    /// Visit buckets with the least free memory first.
    Memory,
}

/// An index of workers by free capacity.
#[derive(Debug)]
pub struct Index {
    buckets: Vec<Vec<WorkerKey>>,
    /// For each plane and processor level, a bit set of the memory levels that have workers.
    filled: Vec<u64>,
}

/// The new position of another worker that a removal has moved.
#[derive(Clone, Copy, Debug)]
pub(super) struct Moved {
    pub(super) worker: WorkerKey,
    pub(super) slot: Slot,
}

/// The effect of an update of one worker's free capacity.
#[derive(Clone, Copy, Debug)]
pub(super) struct Update {
    /// The worker's new position, or `None` when it is out of the index.
    pub(super) slot: Option<Slot>,
    /// Another worker whose position changed.
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

/// Returns the bucket level of a number of steps.
fn level(steps: u64) -> usize {
    if steps == 0 {
        return 0;
    }
    let octave = steps.ilog2();
    let quarter = ((steps << 2) >> octave) & 3;
    (1 + 4 * octave as usize + quarter as usize).min(LEVELS - 1)
}

/// Returns the plane for a number of accelerators.
fn plane(accelerators: u64) -> usize {
    match accelerators {
        0 => 0,
        1 => 1,
        2..=3 => 2,
        4..=7 => 3,
        _ => 4,
    }
}

/// Returns the bucket for an amount of free capacity.
fn bucket(free: Amount) -> usize {
    let row = level(free.cpu_millis / PROCESSOR_STEP);
    let column = level(free.memory_mib / MEMORY_STEP);
    (plane(free.accelerators) * LEVELS + row) * LEVELS + column
}

impl Index {
    /// Moves a worker from `slot` to the bucket for `free`, or out of the index when `free` is
    /// `None`. Returns `None` when the bucket stays the same.
    pub(super) fn update(
        &mut self,
        worker: WorkerKey,
        slot: Option<Slot>,
        free: Option<Amount>,
    ) -> Option<Update> {
        let wanted = free.map(bucket);
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

    /// Removes the worker at `slot`; another worker may move into the slot.
    fn remove(&mut self, slot: Slot) -> Option<Moved> {
        let row = &mut self.buckets[slot.bucket];
        row.swap_remove(slot.position);
        if row.is_empty() {
            self.filled[slot.bucket / LEVELS] &= !(1 << (slot.bucket % LEVELS));
        }
        let worker = *row.get(slot.position)?;
        Some(Moved { worker, slot })
    }

    /// Visits workers that may have `need` free, those with the least free capacity first, until
    /// `visit` breaks. Within a bucket the iteration starts at the worker with index `rotation` modulo
    /// the number of workers.
    pub fn visit(
        &self,
        need: Amount,
        axis: Axis,
        rotation: usize,
        mut visit: impl FnMut(WorkerKey) -> ControlFlow<()>,
    ) {
        for plane in plane(need.accelerators)..PLANES {
            let flow = match axis {
                Axis::Processors => self.visit_by_processors(plane, need, rotation, &mut visit),
                Axis::Memory => self.visit_by_memory(plane, need, rotation, &mut visit),
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
        rotation: usize,
        visit: &mut impl FnMut(WorkerKey) -> ControlFlow<()>,
    ) -> ControlFlow<()> {
        let lowest = level(need.memory_mib / MEMORY_STEP);
        for row in level(need.cpu_millis / PROCESSOR_STEP)..LEVELS {
            let row = plane * LEVELS + row;
            let mut columns = self.filled[row] & (u64::MAX << lowest);
            while columns != 0 {
                let column = columns.trailing_zeros() as usize;
                columns &= columns - 1;
                visit_bucket(&self.buckets[row * LEVELS + column], rotation, visit)?;
            }
        }
        ControlFlow::Continue(())
    }

    /// Visits one plane by memory level, then processor level.
    fn visit_by_memory(
        &self,
        plane: usize,
        need: Amount,
        rotation: usize,
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
                visit_bucket(&self.buckets[row * LEVELS + column], rotation, visit)?;
            }
        }
        ControlFlow::Continue(())
    }
}

/// Visits the workers of one bucket, starting at index `rotation` modulo their number.
fn visit_bucket(
    workers: &[WorkerKey],
    rotation: usize,
    visit: &mut impl FnMut(WorkerKey) -> ControlFlow<()>,
) -> ControlFlow<()> {
    let (before, after) = workers.split_at(rotation % workers.len().max(1));
    for &worker in after.iter().chain(before) {
        visit(worker)?;
    }
    ControlFlow::Continue(())
}
