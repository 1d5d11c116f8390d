//! Placement policies, composed of traits.
//!
//! A [`Policy`] combines a [`Choose`] (which worker), an [`Order`] (which lane of the queue first)
//! and flags that enable reservations and pre-emption. The daemon runs [`Standard`]; the other
//! policies are baselines for comparison. A [`Filter`] refuses workers that must not take a task, a
//! [`Score`] orders those that may.

mod choose;
mod filter;
pub mod order;
mod score;

pub use choose::{BestFit, Choose, FirstFit, RandomFit, View};
pub use filter::{
    Filter, FreeCapacity, KeepAccelerators, KeepReservations, NotFailed, Refusal, Usable, check,
};
pub use order::{ByClass, Fifo, Order};
pub use score::{Leftover, Score};

use super::table::{JobEntry, JobKey, TaskFailure};
use crate::core::id::{DataCentre, Rack};
use crate::core::resource::Amount;
use crate::core::time::Instant;
use crate::core::workload::Class;

/// The components of a placement policy.
pub trait Policy {
    /// The algorithm that chooses a worker.
    type Choose: Choose + Default;
    /// The order of the queue's lanes.
    type Order: Order;
    /// Whether workers are reserved, and batch tasks pre-empted, for jobs that cannot be placed.
    const RESERVES: bool;
    /// Whether a job that cannot be placed blocks all later ones.
    const IS_STRICT: bool;
}

/// The policy that the daemon runs.
#[derive(Debug)]
pub struct Standard;

impl Policy for Standard {
    type Choose = BestFit;
    type Order = ByClass;
    const RESERVES: bool = true;
    const IS_STRICT: bool = false;
}

/// Baseline: the first worker that fits; a job that cannot be placed blocks all later ones.
#[derive(Debug)]
pub struct FirstFitFifo;

impl Policy for FirstFitFifo {
    type Choose = FirstFit;
    type Order = Fifo;
    const RESERVES: bool = false;
    const IS_STRICT: bool = true;
}

/// Baseline: the first worker that fits; jobs that cannot be placed are skipped.
#[derive(Debug)]
pub struct FirstFitSkipping;

impl Policy for FirstFitSkipping {
    type Choose = FirstFit;
    type Order = Fifo;
    const RESERVES: bool = false;
    const IS_STRICT: bool = false;
}

/// Baseline: a random worker that fits; jobs that cannot be placed are skipped.
#[derive(Debug)]
pub struct RandomSkipping;

impl Policy for RandomSkipping {
    type Choose = RandomFit;
    type Order = Fifo;
    const RESERVES: bool = false;
    const IS_STRICT: bool = false;
}

/// A request to place one task.
#[derive(Clone, Copy, Debug)]
pub struct TaskRequest<'a> {
    /// The task's job.
    pub job: JobKey,
    /// The class of the job.
    pub class: Class,
    /// The task's index within the job, or `None` for any task of the job.
    pub task: Option<u32>,
    /// The size granted to the task.
    pub size: Amount,
    /// When the task is expected to end if it starts now.
    pub ends_at: Instant,
    /// Whether the job's tasks are spread over racks.
    pub is_spread: bool,
    /// The number of the job's attempts per rack.
    pub racks: &'a [(Rack, u32)],
    /// The number of the job's attempts per data centre.
    pub data_centres: &'a [(DataCentre, u32)],
    /// The failures of the job's tasks, with the workers that they failed on.
    pub failures: &'a [TaskFailure],
    /// Whether the job has waited so long that it may use capacity that is kept for accelerators.
    pub is_aged: bool,
    /// The current time.
    pub now: Instant,
}

impl TaskRequest<'_> {
    /// Returns whether the task may use capacity that is kept for free accelerators.
    pub fn may_use_all(&self) -> bool {
        self.size.accelerators > 0 || self.class == Class::Urgent || self.is_aged
    }
}

impl<'a> TaskRequest<'a> {
    /// Returns a request for any task of `entry`.
    pub fn new(
        job: JobKey,
        entry: &'a JobEntry,
        now: Instant,
        ends_at: Instant,
    ) -> TaskRequest<'a> {
        TaskRequest {
            job,
            class: entry.spec.class,
            task: None,
            size: entry.granted_size,
            ends_at,
            is_spread: entry.spec.spread == super::job::Spread::Racks,
            racks: &entry.racks,
            data_centres: &entry.data_centres,
            failures: &entry.failures,
            is_aged: false,
            now,
        }
    }
}
