//! Filters that refuse workers for a task, and the reasons they give.

use laburnum_derive::value;

use super::TaskRequest;
use crate::core::placement::table::{WorkerEntry, WorkerState};
use crate::core::resource::Amount;

/// Each accelerator of a worker has an equal part of the worker's processors and memory. For each
/// free accelerator, tasks without accelerators must leave this percentage of that part free.
const KEPT_PERCENT: u64 = 20;

/// Why a worker must not take a task.
#[value]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The cell has no current inventory of the worker.
    Unknown,
    /// The worker is leaving or gone.
    Leaving,
    /// The worker is quarantined after failures, or on probation and already runs a task.
    Quarantined,
    /// The worker has too few free processors.
    Processors,
    /// The worker has too little free memory.
    Memory,
    /// The worker has too few free accelerators.
    Accelerators,
    /// The worker's free processors or memory are kept for its free accelerators.
    KeptForAccelerators,
    /// The worker is reserved for another job.
    Reserved,
    /// The task has failed on the worker before.
    Tried,
}

/// A rule that refuses workers.
pub trait Filter {
    /// Returns why `worker` must not take the task, or `None` when it may.
    fn refuse(request: &TaskRequest<'_>, worker: &WorkerEntry) -> Option<Refusal>;
}

/// Refuses workers whose inventory is unknown, those that are leaving, gone or quarantined, and
/// those on probation that already run a task.
#[derive(Debug)]
pub struct Usable;

impl Filter for Usable {
    fn refuse(request: &TaskRequest<'_>, worker: &WorkerEntry) -> Option<Refusal> {
        match worker.state {
            WorkerState::Unknown => return Some(Refusal::Unknown),
            WorkerState::Leaving | WorkerState::Gone => return Some(Refusal::Leaving),
            WorkerState::Ready => {}
        }
        let is_busy = worker.health.is_on_probation() && !worker.attempts.is_empty();
        (is_busy || worker.health.is_quarantined(request.now)).then_some(Refusal::Quarantined)
    }
}

/// Refuses workers without enough free capacity.
#[derive(Debug)]
pub struct FreeCapacity;

impl Filter for FreeCapacity {
    fn refuse(request: &TaskRequest<'_>, worker: &WorkerEntry) -> Option<Refusal> {
        let free = worker.free();
        if request.size.accelerators > free.accelerators {
            return Some(Refusal::Accelerators);
        }
        if request.size.memory_mib > free.memory_mib {
            return Some(Refusal::Memory);
        }
        (request.size.cpu_millis > free.cpu_millis).then_some(Refusal::Processors)
    }
}

/// Keeps processors and memory for accelerators that are still free, except from urgent tasks and
/// from jobs that have waited long.
#[derive(Debug)]
pub struct KeepAccelerators;

impl Filter for KeepAccelerators {
    fn refuse(request: &TaskRequest<'_>, worker: &WorkerEntry) -> Option<Refusal> {
        let is_short = !request.may_use_all() && !request.size.fits(KeepAccelerators::free(worker));
        is_short.then_some(Refusal::KeptForAccelerators)
    }
}

impl KeepAccelerators {
    /// Returns the free capacity for tasks that must leave accelerators usable.
    pub fn free(worker: &WorkerEntry) -> Amount {
        let total = worker.size.accelerators;
        let mut free = worker.free();
        if total > 0 {
            let keep = |size: u64| size * free.accelerators * KEPT_PERCENT / (total * 100);
            free.cpu_millis = free.cpu_millis.saturating_sub(keep(worker.size.cpu_millis));
            free.memory_mib = free.memory_mib.saturating_sub(keep(worker.size.memory_mib));
        }
        free
    }
}

/// Keeps reserved workers for their job, except from tasks that end before that job is expected to
/// start.
#[derive(Debug)]
pub struct KeepReservations;

impl Filter for KeepReservations {
    fn refuse(request: &TaskRequest<'_>, worker: &WorkerEntry) -> Option<Refusal> {
        let reservation = worker.reserved?;
        let is_backfill = request.ends_at <= reservation.starts_at;
        (reservation.job != request.job && !is_backfill).then_some(Refusal::Reserved)
    }
}

/// Refuses workers that the task has failed on.
#[derive(Debug)]
pub struct NotFailed;

impl Filter for NotFailed {
    fn refuse(request: &TaskRequest<'_>, worker: &WorkerEntry) -> Option<Refusal> {
        let has_failed = request.failures.iter().any(|failure| {
            failure.worker == worker.id && request.task.is_none_or(|task| task == failure.task)
        });
        has_failed.then_some(Refusal::Tried)
    }
}

/// Returns why `worker` must not take the task according to all filters, or `None` when it may.
pub fn check(request: &TaskRequest<'_>, worker: &WorkerEntry) -> Option<Refusal> {
    FreeCapacity::refuse(request, worker)
        .or_else(|| Usable::refuse(request, worker))
        .or_else(|| KeepReservations::refuse(request, worker))
        .or_else(|| KeepAccelerators::refuse(request, worker))
        .or_else(|| NotFailed::refuse(request, worker))
}
