//! The workers of a cell, and which of them have changed.
//!
//! The load that this answers is thousands of inputs a second on a large cell: between two placements a few
//! workers change, and what placements derive from workers is brought up to date for these only.

use std::ops::Index;

use fixedbitset::FixedBitSet;
use slab::Slab;
use slotmap::SlotMap;

use super::id;
use super::worker::Worker;

/// The workers of a cell by their keys.
#[derive(Clone, Default)]
pub(super) struct Fleet {
    workers: SlotMap<id::Worker, Worker>,
    /// The keys by seat. Seats number the workers without gaps.
    seats: Slab<id::Worker>,
    /// The seats whose workers may have changed since these were last taken.
    changed: FixedBitSet,
    /// The seats that got a further worker, in the order in which they got it.
    reused: Vec<usize>,
    /// How many seats have had a worker.
    used: usize,
}

impl Fleet {
    /// Adds a worker; `new` creates it for its seat.
    pub(super) fn insert(&mut self, new: impl FnOnce(usize) -> Worker) -> id::Worker {
        let seat = self.seats.vacant_entry();
        let number = seat.key();
        let key = self.workers.insert(new(number));
        seat.insert(key);
        self.changed.grow_and_insert(number);
        if number < self.used {
            self.reused.push(number);
        }
        self.used = self.used.max(number + 1);
        key
    }

    /// Returns the seats that got a further worker, in the order in which they got it.
    pub(super) fn reused(&self) -> &[usize] {
        &self.reused
    }

    pub(super) fn remove(&mut self, key: id::Worker) -> Option<Worker> {
        let worker = self.workers.remove(key)?;
        self.seats.remove(worker.seat);
        self.changed.grow_and_insert(worker.seat);
        Some(worker)
    }

    pub(super) fn get(&self, key: id::Worker) -> Option<&Worker> {
        self.workers.get(key)
    }

    pub(super) fn get_mut(&mut self, key: id::Worker) -> Option<&mut Worker> {
        let worker = self.workers.get_mut(key)?;
        self.changed.grow_and_insert(worker.seat);
        worker.discard_ends();
        Some(worker)
    }

    /// Returns the key of the worker with a seat.
    pub(super) fn at(&self, seat: usize) -> Option<id::Worker> {
        self.seats.get(seat).copied()
    }

    pub(super) fn len(&self) -> usize {
        self.workers.len()
    }

    pub(super) fn iter(&self) -> slotmap::basic::Iter<'_, id::Worker, Worker> {
        self.workers.iter()
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = id::Worker> {
        self.workers.keys()
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &Worker> + Clone {
        self.workers.values()
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Worker> {
        for worker in self.workers.values_mut() {
            self.changed.grow_and_insert(worker.seat);
            worker.discard_ends();
        }
        self.workers.values_mut()
    }

    /// Returns the seats whose workers may have changed, were added or were removed since the last call.
    pub(super) fn take_changed(&mut self) -> FixedBitSet {
        std::mem::take(&mut self.changed)
    }
}

impl Index<id::Worker> for Fleet {
    type Output = Worker;

    fn index(&self, key: id::Worker) -> &Worker {
        &self.workers[key]
    }
}

impl<'a> IntoIterator for &'a Fleet {
    type Item = (id::Worker, &'a Worker);
    type IntoIter = slotmap::basic::Iter<'a, id::Worker, Worker>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}
