//! Plans which worker each waiting task of a step goes to.
//!
//! Pure functions of the room that is free: a task goes where it leaves the least over, a gang fits
//! whole or not at all, and [`wish`] says which room a gang that does not fit should wait for.

use std::collections::HashMap;
use std::sync::Arc;

use super::id::Worker;
use super::spec;
use crate::core::resource::Amount;
use crate::core::time::Instant;

/// Room that steps of better rank hold, by worker.
pub(super) type Held = HashMap<Worker, Amount>;

/// Room that a gang keeps from steps of lesser rank.
pub(super) enum Reservation {
    /// It is free, and the gang starts there when its permits have come.
    Planned(Held),
    /// It is not all free yet.
    Wanted(Held),
}

/// A worker that may run a step, room aside.
pub(super) struct Candidate {
    pub(super) worker: Worker,
    /// What is free and not held.
    pub(super) free: Amount,
    pub(super) capacity: Amount,
    /// How many more tasks of the step may go there.
    pub(super) most: usize,
    /// Whether a start needs no call to the advisor first.
    pub(super) has_ticket: bool,
    /// Whether the advisor was asked about it for this step.
    pub(super) is_known: bool,
    /// Whether it is away from the step's data.
    pub(super) is_remote: bool,
    /// Whether a task of the step failed there: the next try tells whose fault it was.
    pub(super) has_failed: bool,
    pub(super) rack: Option<Arc<str>>,
}

impl Candidate {
    /// Returns how many tasks that need `need` fit.
    pub(super) fn fits(&self, need: Amount) -> usize {
        fits(self.free, need).min(self.most)
    }
}

fn fits(free: Amount, need: Amount) -> usize {
    let ratio = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
    ratio(free.cpu_millis, need.cpu_millis)
        .min(ratio(free.memory_mib, need.memory_mib))
        .min(ratio(free.accelerators, need.accelerators))
        .min(u64::from(u16::MAX)) as usize
}

/// Returns which part of a worker stays free; the least is the best fit.
fn leftover(free: Amount, need: Amount, capacity: Amount) -> u64 {
    let part = |free: u64, need: u64, capacity: u64| {
        (free.saturating_sub(need) * 1_000)
            .checked_div(capacity)
            .unwrap_or(0)
    };
    part(free.cpu_millis, need.cpu_millis, capacity.cpu_millis)
        + part(free.memory_mib, need.memory_mib, capacity.memory_mib)
}

/// Places tasks one by one, each where it leaves the least over. Returns tasks with the indices of
/// their candidates.
pub(super) fn single(
    candidates: &[Candidate],
    waiting: &[u16],
    need: Amount,
    needs_permit: bool,
) -> Vec<(u16, usize)> {
    let mut room: Vec<(Amount, usize)> = candidates.iter().map(|c| (c.free, c.most)).collect();
    let mut plan = Vec::new();
    for &task in waiting {
        let best = candidates
            .iter()
            .enumerate()
            .filter(|(index, candidate)| {
                let (free, most) = room[*index];
                most > 0 && need.fits(free) && (!needs_permit || candidate.is_known)
            })
            .min_by_key(|(index, candidate)| {
                let left = leftover(room[*index].0, need, candidate.capacity);
                (
                    candidate.has_failed,
                    !candidate.has_ticket,
                    candidate.is_remote,
                    left,
                )
            });
        let Some((index, _)) = best else {
            break;
        };
        room[index].0 -= need;
        room[index].1 = room[index].1.saturating_sub(1);
        plan.push((task, index));
    }
    plan
}

/// Places all tasks of a gang or none.
pub(super) fn gang(
    candidates: &[Candidate],
    waiting: &[u16],
    need: Amount,
    spec: &spec::Step,
    needs_permit: bool,
) -> Vec<(u16, usize)> {
    let usable: Vec<usize> = (0..candidates.len())
        .filter(|&index| !needs_permit || candidates[index].is_known)
        .collect();
    if spec.same_rack {
        let mut racks: Vec<&Arc<str>> = usable
            .iter()
            .filter_map(|&index| candidates[index].rack.as_ref())
            .collect();
        racks.sort_unstable();
        racks.dedup();
        for rack in racks {
            let there: Vec<usize> = usable
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
    fill(candidates, &usable, waiting, need)
}

/// Fills candidates with a gang, those first that it leaves the least over on; empty when it does
/// not fit.
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
            !candidate.has_ticket,
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

/// Returns the room that a plan takes.
pub(super) fn planned(candidates: &[Candidate], plan: &[(u16, usize)], need: Amount) -> Held {
    let mut held = Held::new();
    for &(_, index) in plan {
        *held.entry(candidates[index].worker).or_default() += need;
    }
    held
}

/// Room for one task that a worker has or will have.
pub(super) struct Slot {
    /// When.
    pub(super) at: Instant,
    /// The index of the worker's candidate.
    pub(super) candidate: usize,
}

/// Room that a gang should wait for.
pub(super) struct Wish {
    /// By worker.
    pub(super) room: Held,
    /// When all of it should be free.
    pub(super) ready_at: Instant,
    /// Whether it is enough for the gang.
    pub(super) is_whole: bool,
}

/// Returns the room that a gang of `tasks` should wait for: the slots that are free first, on one
/// rack if the tasks should share one.
pub(super) fn wish(
    slots: Vec<Slot>,
    tasks: usize,
    need: Amount,
    spec: &spec::Step,
    candidates: &[Candidate],
) -> Wish {
    if !spec.same_rack {
        return first_slots(slots, tasks, need, candidates);
    }
    let mut by_rack: HashMap<Option<&Arc<str>>, Vec<Slot>> = HashMap::new();
    for slot in slots {
        let rack = candidates[slot.candidate].rack.as_ref();
        by_rack.entry(rack).or_default().push(slot);
    }
    by_rack
        .into_values()
        .map(|slots| first_slots(slots, tasks, need, candidates))
        .min_by_key(|wish| (!wish.is_whole, wish.ready_at))
        .unwrap_or_else(|| first_slots(Vec::new(), tasks, need, candidates))
}

fn first_slots(mut slots: Vec<Slot>, tasks: usize, need: Amount, candidates: &[Candidate]) -> Wish {
    slots.sort_by_key(|slot| slot.at);
    slots.truncate(tasks);
    let mut room = Held::new();
    for slot in &slots {
        *room.entry(candidates[slot.candidate].worker).or_default() += need;
    }
    Wish {
        room,
        ready_at: slots.last().map_or(Instant(0), |slot| slot.at),
        is_whole: slots.len() == tasks,
    }
}
