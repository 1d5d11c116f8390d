//! Where a task is placed, as small parts behind traits.
//!
//! A [`Policy`] names a [`Choose`] (which worker), an [`Order`] (which lane of the queue first) and
//! whether room is reserved and work pre-empted. [`Standard`] is what the daemon runs; the other
//! policies are baselines that it is measured against. A [`Filter`] refuses workers that must not
//! take a task, a [`Score`] orders those that may.

mod choose;
mod filter;
pub mod order;
mod score;

pub use choose::{BestFit, Choose, FirstFit, RandomFit, View};
pub use filter::{Filter, KeepAccelerators, KeepHolds, Refusal, Room, Sound, Untried, check};
pub use order::{ByClass, Fifo, Order};
pub use score::{Leftover, Score};

use super::table::{JobEntry, JobKey, Tried};
use crate::core::id::{DataCentre, Rack};
use crate::core::resource::Amount;
use crate::core::time::Instant;
use crate::core::workload::Class;

/// The parts of a placement policy.
pub trait Policy {
    /// How a worker is chosen.
    type Choose: Choose + Default;
    /// How lanes are ordered.
    type Order: Order;
    /// Whether workers are reserved for jobs that find no place, and borrowed or patient work is
    /// pre-empted.
    const RESERVES: bool;
    /// Whether a job that finds no worker holds up all later ones.
    const IS_STRICT: bool;
}

/// The policy of the daemon.
#[derive(Debug)]
pub struct Standard;

impl Policy for Standard {
    type Choose = BestFit;
    type Order = ByClass;
    const RESERVES: bool = true;
    const IS_STRICT: bool = false;
}

/// Baseline: the first worker that fits; a job that finds none holds up all later ones.
#[derive(Debug)]
pub struct FirstFitFifo;

impl Policy for FirstFitFifo {
    type Choose = FirstFit;
    type Order = Fifo;
    const RESERVES: bool = false;
    const IS_STRICT: bool = true;
}

/// Baseline: the first worker that fits; jobs that find none are passed over.
#[derive(Debug)]
pub struct FirstFitSkipping;

impl Policy for FirstFitSkipping {
    type Choose = FirstFit;
    type Order = Fifo;
    const RESERVES: bool = false;
    const IS_STRICT: bool = false;
}

/// Baseline: a random worker that fits; jobs that find none are passed over.
#[derive(Debug)]
pub struct RandomSkipping;

impl Policy for RandomSkipping {
    type Choose = RandomFit;
    type Order = Fifo;
    const RESERVES: bool = false;
    const IS_STRICT: bool = false;
}

/// One task that asks for a worker.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The job.
    pub job: JobKey,
    /// Its class.
    pub class: Class,
    /// The task's index, if one was picked.
    pub task: Option<u32>,
    /// What the task is counted with.
    pub size: Amount,
    /// When it is expected to end if it starts now.
    pub ends_at: Instant,
    /// Whether the job's tasks are spread.
    pub is_spread: bool,
    /// How many attempts of the job each rack holds.
    pub racks: &'a [(Rack, u32)],
    /// How many attempts of the job each data centre holds.
    pub data_centres: &'a [(DataCentre, u32)],
    /// Workers that tasks of the job failed on.
    pub tried: &'a [Tried],
    /// Whether the job has waited so long that rules of thrift no longer apply to it.
    pub is_aged: bool,
    /// The current time.
    pub now: Instant,
}

impl Ask<'_> {
    /// Returns whether the task may use room that goes with free accelerators.
    pub fn may_use_all(&self) -> bool {
        self.size.accelerators > 0 || self.class == Class::Urgent || self.is_aged
    }
}

impl<'a> Ask<'a> {
    /// Makes the question for one task of `entry`.
    pub fn new(job: JobKey, entry: &'a JobEntry, now: Instant, ends_at: Instant) -> Ask<'a> {
        Ask {
            job,
            class: entry.spec.class,
            task: None,
            size: entry.claim,
            ends_at,
            is_spread: entry.spec.spread == super::job::Spread::Racks,
            racks: &entry.racks,
            data_centres: &entry.data_centres,
            tried: &entry.tried,
            is_aged: false,
            now,
        }
    }
}
