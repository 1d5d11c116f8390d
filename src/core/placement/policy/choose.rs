//! Selection of a worker for a task.

use std::ops::ControlFlow;

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;

use super::filter::{FreeCapacity, Usable};
use super::{Filter as _, Leftover, Score as _, TaskRequest, check};
use crate::core::placement::index::{Axis, Index};
use crate::core::placement::table::{WorkerEntry, WorkerKey, count_of};
use crate::core::resource::Amount;

/// The number of suitable workers that are compared.
const COMPARED: usize = 8;

/// The number of suitable workers that are compared for a job that is spread.
const COMPARED_SPREAD: usize = 64;

/// The maximum number of workers examined in one decision.
const MAX_EXAMINED: usize = 2_048;

/// The workers to choose from.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// All workers.
    pub workers: &'a SlotMap<WorkerKey, WorkerEntry>,
    /// The keys of all workers in no particular order, for the baseline policies.
    pub roster: &'a [WorkerKey],
    /// The usable workers, by all their free capacity.
    pub index: &'a Index,
    /// The usable workers, by the free capacity that is not kept for accelerators.
    pub plain_index: &'a Index,
    /// The total resources of all workers.
    pub total: Amount,
}

/// An algorithm that chooses a worker for a task.
pub trait Choose {
    /// Returns a worker that may take the task, if one is found.
    fn choose(&mut self, request: &TaskRequest<'_>, view: View<'_>) -> Option<WorkerKey>;
}

/// Best fit among the first suitable workers of the index. For a job that is spread, workers in
/// racks without an attempt of the job are searched first.
#[derive(Debug, Default)]
pub struct BestFit {
    /// Increases with each decision, so that a search does not always begin at the same workers of
    /// a bucket.
    rotation: usize,
}

impl Choose for BestFit {
    fn choose(&mut self, request: &TaskRequest<'_>, view: View<'_>) -> Option<WorkerKey> {
        self.rotation = self.rotation.wrapping_add(1);
        if !request.is_spread {
            return best(request, view, self.rotation, COMPARED, |_| true);
        }
        let in_unused_rack = |worker: &WorkerEntry| count_of(request.racks, &worker.rack) == 0;
        best(
            request,
            view,
            self.rotation,
            COMPARED_SPREAD,
            in_unused_rack,
        )
        .or_else(|| best(request, view, self.rotation, COMPARED_SPREAD, |_| true))
    }
}

/// Returns the best of the first workers that pass all filters and that `accepts` selects.
fn best(
    request: &TaskRequest<'_>,
    view: View<'_>,
    rotation: usize,
    limit: usize,
    accepts: impl Fn(&WorkerEntry) -> bool,
) -> Option<WorkerKey> {
    let mut chosen = None;
    let mut found = 0;
    let mut examined = 0;
    let index = match request.may_use_all() {
        true => view.index,
        false => view.plain_index,
    };
    index.visit(request.size, axis(request, view), rotation, |key| {
        examined += 1;
        let suits = |worker: &&WorkerEntry| check(request, worker).is_none() && accepts(worker);
        if let Some(worker) = view.workers.get(key).filter(suits) {
            let cost = Leftover::cost(request, worker);
            found += 1;
            if chosen.is_none_or(|(best, _)| cost < best) {
                chosen = Some((cost, key));
            }
        }
        if found >= limit || examined >= MAX_EXAMINED {
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    });
    chosen.map(|(_, key)| key)
}

/// Returns the resource of which the task needs the larger share of the cell's total.
fn axis(request: &TaskRequest<'_>, view: View<'_>) -> Axis {
    let processors = u128::from(request.size.cpu_millis) * u128::from(view.total.memory_mib);
    let memory = u128::from(request.size.memory_mib) * u128::from(view.total.cpu_millis);
    match processors >= memory {
        true => Axis::Processors,
        false => Axis::Memory,
    }
}

/// Returns whether a baseline policy may give the task to `worker`: checks availability and free
/// capacity only.
fn can_take(request: &TaskRequest<'_>, worker: &WorkerEntry) -> bool {
    Usable::refuse(request, worker).is_none() && FreeCapacity::refuse(request, worker).is_none()
}

/// Baseline: the first worker of the roster that fits.
#[derive(Debug, Default)]
pub struct FirstFit;

impl Choose for FirstFit {
    fn choose(&mut self, request: &TaskRequest<'_>, view: View<'_>) -> Option<WorkerKey> {
        let fits = |key: &WorkerKey| view.workers.get(*key).is_some_and(|w| can_take(request, w));
        view.roster.iter().copied().find(fits)
    }
}

/// Baseline: a random worker that fits.
#[derive(Debug)]
pub struct RandomFit {
    random: Pcg64Mcg,
}

impl Default for RandomFit {
    fn default() -> RandomFit {
        RandomFit {
            random: Pcg64Mcg::seed_from_u64(1),
        }
    }
}

impl Choose for RandomFit {
    fn choose(&mut self, request: &TaskRequest<'_>, view: View<'_>) -> Option<WorkerKey> {
        if view.roster.is_empty() {
            return None;
        }
        let start = self.random.random_range(0..view.roster.len());
        let (before, after) = view.roster.split_at(start);
        let fits = |key: &WorkerKey| view.workers.get(*key).is_some_and(|w| can_take(request, w));
        after.iter().chain(before).copied().find(fits)
    }
}
