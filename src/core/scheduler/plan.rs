//! Plans on which worker each waiting task of a step is placed.
//!
//! The functions are pure and depend on the free capacity only. Tasks are placed by best fit, a gang
//! is placed whole or not at all, and [`capacity_to_await`] returns the capacity that a gang that
//! does not fit should wait for.

use std::collections::HashMap;
use std::sync::Arc;

use super::id::Worker;
use super::spec;
use crate::core::resource::Amount;
use crate::core::time::Instant;

/// Capacity that is reserved for steps that come earlier in the order, by worker.
pub(super) type Reserved = HashMap<Worker, Amount, foldhash::fast::RandomState>;

/// Capacity that is reserved for a gang. Steps that come later in the order cannot use it.
pub(super) enum Reservation {
    /// The capacity is free, and the gang starts there once it has its permits.
    Planned(Reserved),
    /// Part of the capacity is still in use.
    Wanted(Awaited),
}

/// Capacity that is reserved until all of it is free.
#[derive(Default)]
pub(super) struct Awaited {
    pub(super) amounts: Reserved,
    /// When all of it is expected to be free.
    pub(super) ready_at: Instant,
}

/// A worker that may run tasks of a step if it has the capacity.
pub(super) struct Candidate {
    pub(super) worker: Worker,
    /// The capacity that is neither used nor reserved.
    pub(super) free: Amount,
    pub(super) capacity: Amount,
    /// How many more tasks of the step may be placed there.
    pub(super) max_tasks: usize,
    /// Whether a start needs no call to the advisor first.
    pub(super) has_permit: bool,
    /// Whether it is not on the rack of the step's data.
    pub(super) is_remote: bool,
    /// Whether the last failed run of one of the step's tasks was there, or the worker did not
    /// carry its last start command out. Other workers are preferred: a run on another worker shows whether the task or
    /// the worker is at fault.
    pub(super) has_failed: bool,
    /// The number of runs there, if the tasks should have few beside them.
    pub(super) neighbours: usize,
    /// Its rack, for a step whose tasks should share one.
    pub(super) rack: Option<Arc<str>>,
}

impl Candidate {
    /// Returns how many tasks that need `need` each may be placed there now.
    pub(super) fn fits(&self, need: Amount) -> usize {
        fits(self.free, need).min(self.max_tasks)
    }
}

/// Returns how many tasks that need `need` each fit into `free`.
pub(super) fn fits(free: Amount, need: Amount) -> usize {
    let ratio = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
    ratio(free.cpu_millis, need.cpu_millis)
        .min(ratio(free.memory_mib, need.memory_mib))
        .min(ratio(free.accelerators, need.accelerators))
        .min(u64::from(u16::MAX)) as usize
}

/// Returns the parts of a worker's processors and memory that stay free, in thousandths of its
/// capacity, added up; the lowest value is the best fit.
fn leftover(free: Amount, need: Amount, capacity: Amount) -> u64 {
    let part = |free: u64, need: u64, capacity: u64| {
        (free.saturating_sub(need) * 1_000)
            .checked_div(capacity)
            .unwrap_or(0)
    };
    part(free.cpu_millis, need.cpu_millis, capacity.cpu_millis)
        + part(free.memory_mib, need.memory_mib, capacity.memory_mib)
}

/// Places tasks one by one, each on its best fit, until one has no candidate. Returns the placed
/// tasks with the indices of their candidates.
pub(super) fn single(candidates: &[Candidate], waiting: &[u16], need: Amount) -> Vec<(u16, usize)> {
    let mut remaining: Vec<(Amount, usize)> =
        candidates.iter().map(|c| (c.free, c.max_tasks)).collect();
    let mut plan = Vec::new();
    for &task in waiting {
        let best = candidates
            .iter()
            .enumerate()
            .filter(|(index, _)| {
                let (free, max_tasks) = remaining[*index];
                max_tasks > 0 && need.fits(free)
            })
            .min_by_key(|(index, candidate)| {
                let left = leftover(remaining[*index].0, need, candidate.capacity);
                (
                    candidate.neighbours,
                    candidate.has_failed,
                    !candidate.has_permit,
                    candidate.is_remote,
                    left,
                )
            });
        let Some((index, _)) = best else {
            break;
        };
        remaining[index].0 -= need;
        remaining[index].1 = remaining[index].1.saturating_sub(1);
        plan.push((task, index));
    }
    plan
}

/// Places all tasks of a gang or none: with `same_rack` on one rack, if one has the capacity.
pub(super) fn gang(
    candidates: &[Candidate],
    waiting: &[u16],
    need: Amount,
    spec: &spec::Step,
) -> Vec<(u16, usize)> {
    let all: Vec<usize> = (0..candidates.len()).collect();
    if spec.same_rack {
        let mut racks: Vec<&Arc<str>> = candidates
            .iter()
            .filter_map(|candidate| candidate.rack.as_ref())
            .collect();
        racks.sort_unstable();
        racks.dedup();
        for rack in racks {
            let there: Vec<usize> = all
                .iter()
                .copied()
                .filter(|&index| candidates[index].rack.as_ref() == Some(rack))
                .collect();
            let plan = fill(candidates, &there, waiting, need);
            if !plan.is_empty() {
                return plan;
            }
        }
    }
    fill(candidates, &all, waiting, need)
}

/// Fills one candidate after the other with the tasks of a gang, in the order of best fit. Returns an
/// empty plan when the gang does not fit.
fn fill(
    candidates: &[Candidate],
    usable: &[usize],
    waiting: &[u16],
    need: Amount,
) -> Vec<(u16, usize)> {
    let mut order: Vec<usize> = usable
        .iter()
        .copied()
        .filter(|&index| candidates[index].fits(need) > 0)
        .collect();
    order.sort_by_key(|&index| {
        let candidate = &candidates[index];
        let taken = need.times(candidate.fits(need) as u64);
        (
            candidate.has_failed,
            !candidate.has_permit,
            candidate.is_remote,
            leftover(candidate.free, taken, candidate.capacity),
        )
    });
    let mut left = waiting.iter().copied();
    let mut plan = Vec::with_capacity(waiting.len());
    for index in order {
        let count = candidates[index].fits(need);
        plan.extend(left.by_ref().take(count).map(|task| (task, index)));
        if plan.len() == waiting.len() {
            return plan;
        }
    }
    Vec::new()
}

/// Returns the capacity that a plan uses.
pub(super) fn planned_capacity(
    candidates: &[Candidate],
    plan: &[(u16, usize)],
    need: Amount,
) -> Reserved {
    let mut reserved = Reserved::default();
    for &(_, index) in plan {
        *reserved.entry(candidates[index].worker).or_default() += need;
    }
    reserved
}

/// Capacity for one task that a worker has now or is expected to have later.
#[derive(Clone, Copy)]
pub(super) struct Slot {
    /// When the capacity is expected to be free.
    pub(super) at: Instant,
    /// The index of the worker's candidate.
    pub(super) candidate: usize,
}

/// Capacity that a gang should wait for.
pub(super) struct AwaitedCapacity {
    pub(super) amounts: Reserved,
    /// When all of it is expected to be free.
    pub(super) ready_at: Instant,
    /// Whether it is enough for the whole gang.
    pub(super) is_sufficient: bool,
}

/// Returns the capacity that a gang of `tasks` tasks should wait for: the slots that become free
/// first, on one rack if the tasks should share one and a rack can hold them.
pub(super) fn capacity_to_await(
    slots: Vec<Slot>,
    tasks: usize,
    need: Amount,
    spec: &spec::Step,
    candidates: &[Candidate],
) -> AwaitedCapacity {
    let on_one_rack = if spec.same_rack {
        earliest_rack(&slots, tasks, need, candidates)
    } else {
        None
    };
    on_one_rack.unwrap_or_else(|| earliest_slots(slots, tasks, need, candidates))
}

/// Returns the capacity on the rack that can hold the gang first; `None` if no rack can hold it.
fn earliest_rack(
    slots: &[Slot],
    tasks: usize,
    need: Amount,
    candidates: &[Candidate],
) -> Option<AwaitedCapacity> {
    let mut by_rack: HashMap<Option<&Arc<str>>, Vec<Slot>> = HashMap::new();
    for slot in slots {
        let rack = candidates[slot.candidate].rack.as_ref();
        by_rack.entry(rack).or_default().push(*slot);
    }
    by_rack
        .into_values()
        .map(|slots| earliest_slots(slots, tasks, need, candidates))
        .filter(|awaited| awaited.is_sufficient)
        .min_by_key(|awaited| awaited.ready_at)
}

fn earliest_slots(
    mut slots: Vec<Slot>,
    tasks: usize,
    need: Amount,
    candidates: &[Candidate],
) -> AwaitedCapacity {
    slots.sort_by_key(|slot| slot.at);
    slots.truncate(tasks);
    let mut amounts = Reserved::default();
    for slot in &slots {
        *amounts
            .entry(candidates[slot.candidate].worker)
            .or_default() += need;
    }
    AwaitedCapacity {
        amounts,
        ready_at: slots.last().map_or(Instant(0), |slot| slot.at),
        is_sufficient: slots.len() == tasks,
    }
}
