//! Filters that refuse workers for a task, and the reasons they give.

use laburnum_derive::value;

use super::Ask;
use crate::core::placement::table::{Standing, WorkerEntry};
use crate::core::resource::Amount;

/// The share of the processors and memory that go with a free accelerator, in percent, that tasks
/// without accelerators must leave free.
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
    fn refuse(ask: &Ask<'_>, worker: &WorkerEntry) -> Option<Refusal>;
}

/// Refuses workers whose inventory is unknown, and those that are leaving or quarantined.
#[derive(Debug)]
pub struct Sound;

impl Filter for Sound {
    fn refuse(ask: &Ask<'_>, worker: &WorkerEntry) -> Option<Refusal> {
        match worker.standing {
            Standing::Unknown => return Some(Refusal::Unknown),
            Standing::Leaving | Standing::Gone => return Some(Refusal::Leaving),
            Standing::Ready => {}
        }
        let is_busy = worker.health.is_on_probation() && !worker.attempts.is_empty();
        (is_busy || worker.health.is_quarantined(ask.now)).then_some(Refusal::Quarantined)
    }
}

/// Refuses workers without enough free capacity.
#[derive(Debug)]
pub struct Room;

impl Filter for Room {
    fn refuse(ask: &Ask<'_>, worker: &WorkerEntry) -> Option<Refusal> {
        let room = worker.room();
        if ask.size.accelerators > room.accelerators {
            return Some(Refusal::Accelerators);
        }
        if ask.size.memory_mib > room.memory_mib {
            return Some(Refusal::Memory);
        }
        (ask.size.cpu_millis > room.cpu_millis).then_some(Refusal::Processors)
    }
}

/// Keeps processors and memory for accelerators that are still free, except from urgent tasks and
/// from jobs that have waited long.
#[derive(Debug)]
pub struct KeepAccelerators;

impl Filter for KeepAccelerators {
    fn refuse(ask: &Ask<'_>, worker: &WorkerEntry) -> Option<Refusal> {
        let is_short = !ask.may_use_all() && !ask.size.fits(KeepAccelerators::room(worker));
        is_short.then_some(Refusal::KeptForAccelerators)
    }
}

impl KeepAccelerators {
    /// Returns the free capacity for tasks that must leave accelerators usable.
    pub fn room(worker: &WorkerEntry) -> Amount {
        let total = worker.size.accelerators;
        let mut room = worker.room();
        if total > 0 {
            let keep = |size: u64| size * room.accelerators * KEPT_PERCENT / (total * 100);
            room.cpu_millis = room.cpu_millis.saturating_sub(keep(worker.size.cpu_millis));
            room.memory_mib = room.memory_mib.saturating_sub(keep(worker.size.memory_mib));
        }
        room
    }
}

/// Keeps reserved workers for their job, except from tasks that end before that job is expected to
/// start.
#[derive(Debug)]
pub struct KeepHolds;

impl Filter for KeepHolds {
    fn refuse(ask: &Ask<'_>, worker: &WorkerEntry) -> Option<Refusal> {
        let hold = worker.reserved?;
        let is_backfill = ask.ends_at <= hold.starts_at;
        (hold.job != ask.job && !is_backfill).then_some(Refusal::Reserved)
    }
}

/// Refuses workers that the task has failed on.
#[derive(Debug)]
pub struct Untried;

impl Filter for Untried {
    fn refuse(ask: &Ask<'_>, worker: &WorkerEntry) -> Option<Refusal> {
        let is_tried = ask.tried.iter().any(|tried| {
            tried.worker == worker.id && ask.task.is_none_or(|task| task == tried.task)
        });
        is_tried.then_some(Refusal::Tried)
    }
}

/// Returns why `worker` must not take the task according to all filters, or `None` when it may.
pub fn check(ask: &Ask<'_>, worker: &WorkerEntry) -> Option<Refusal> {
    Room::refuse(ask, worker)
        .or_else(|| Sound::refuse(ask, worker))
        .or_else(|| KeepHolds::refuse(ask, worker))
        .or_else(|| KeepAccelerators::refuse(ask, worker))
        .or_else(|| Untried::refuse(ask, worker))
}
