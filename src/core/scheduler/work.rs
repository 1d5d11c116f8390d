//! Counts the work of the scheduler's decisions.
//!
//! The load that this answers is an overload: an owner whose work grows with what waits stays late after
//! the cause is gone. Counts show that on any machine, and tests can limit them.

use std::cell::Cell;
use std::ops::Sub;

use laburnum_derive::value;

/// The work of the decisions of one ownership.
#[value]
#[derive(Default)]
pub struct Work {
    /// Inputs that were processed.
    pub inputs: u64,
    /// Placements of all steps.
    pub placements: u64,
    /// Placements of the urgent steps only.
    pub urgent_placements: u64,
    /// Steps that placements visited.
    pub steps: u64,
    /// Workers that placements looked at.
    pub workers: u64,
    /// Jobs that were looked at to count those without a started task.
    pub jobs: u64,
}

impl Sub for Work {
    type Output = Work;

    /// Returns the work that was done since `earlier`.
    fn sub(self, earlier: Work) -> Work {
        Work {
            inputs: self.inputs - earlier.inputs,
            placements: self.placements - earlier.placements,
            urgent_placements: self.urgent_placements - earlier.urgent_placements,
            steps: self.steps - earlier.steps,
            workers: self.workers - earlier.workers,
            jobs: self.jobs - earlier.jobs,
        }
    }
}

/// Counts work, also where the scheduler is only read.
#[derive(Clone, Default)]
pub(super) struct Counter(Cell<Work>);

impl Counter {
    pub(super) fn total(&self) -> Work {
        self.0.get()
    }

    pub(super) fn count_input(&self) {
        self.update(|work| work.inputs += 1);
    }

    pub(super) fn count_placement(&self, is_urgent_only: bool) {
        self.update(|work| {
            if is_urgent_only {
                work.urgent_placements += 1;
            } else {
                work.placements += 1;
            }
        });
    }

    pub(super) fn count_step(&self) {
        self.update(|work| work.steps += 1);
    }

    pub(super) fn count_workers(&self, workers: usize) {
        self.update(|work| work.workers += workers as u64);
    }

    pub(super) fn count_job(&self) {
        self.update(|work| work.jobs += 1);
    }

    fn update(&self, change: impl FnOnce(&mut Work)) {
        let mut work = self.0.get();
        change(&mut work);
        self.0.set(work);
    }
}
