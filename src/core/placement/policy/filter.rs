//! Which workers must not take a task, and why.

use laburnum_derive::value;

use super::Ask;
use crate::core::placement::table::{Standing, WorkerEntry};
use crate::core::resource::Amount;

/// Of the processors and memory that go with a free accelerator, the share in percent that work
/// without accelerators leaves free.
const KEPT_PERCENT: u64 = 20;

/// Why a worker does not take a task.
#[value]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// Its inventory was not read yet.
    Unknown,
    /// It is leaving or gone.
    Leaving,
    /// It failed everything lately.
    Quarantined,
    /// It has too few free processors.
    Processors,
    /// It has too little free memory.
    Memory,
    /// It has too few free accelerators.
    Accelerators,
    /// What is free goes with its free accelerators.
    KeptForAccelerators,
    /// Its room is kept for another job.
    Reserved,
    /// The task failed on it before.
    Tried,
}

/// A reason to refuse workers.
pub trait Filter {
    /// Returns why `worker` must not take the task, if so.
    fn refuse(ask: &Ask<'_>, worker: &WorkerEntry) -> Option<Refusal>;
}

/// Refuses workers that are not known, leave, or are quarantined.
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

/// Refuses workers without room.
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

/// Keeps processors and memory for the accelerators that are still free, except from urgent work
/// and from what has waited long.
#[derive(Debug)]
pub struct KeepAccelerators;

impl Filter for KeepAccelerators {
    fn refuse(ask: &Ask<'_>, worker: &WorkerEntry) -> Option<Refusal> {
        let is_short = !ask.may_use_all() && !ask.size.fits(KeepAccelerators::room(worker));
        is_short.then_some(Refusal::KeptForAccelerators)
    }
}

impl KeepAccelerators {
    /// Returns the room for work that must leave accelerators usable.
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

/// Keeps reserved room for its job, except from work that ends before the job is to start.
#[derive(Debug)]
pub struct KeepHolds;

impl Filter for KeepHolds {
    fn refuse(ask: &Ask<'_>, worker: &WorkerEntry) -> Option<Refusal> {
        let hold = worker.reserved?;
        let is_backfill = ask.ends_at <= hold.starts_at;
        (hold.job != ask.job && !is_backfill).then_some(Refusal::Reserved)
    }
}

/// Refuses workers that the task failed on.
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

/// Returns why `worker` must not take the task, by all filters.
pub fn check(ask: &Ask<'_>, worker: &WorkerEntry) -> Option<Refusal> {
    Room::refuse(ask, worker)
        .or_else(|| Sound::refuse(ask, worker))
        .or_else(|| KeepHolds::refuse(ask, worker))
        .or_else(|| KeepAccelerators::refuse(ask, worker))
        .or_else(|| Untried::refuse(ask, worker))
}
