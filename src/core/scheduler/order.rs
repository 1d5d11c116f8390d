//! In which order waiting steps get room.
//!
//! The load that this answers: a burst of bulk jobs asks for more than there is, while short lookups
//! and jobs that must start now keep coming. Lookups go first; the rest goes by the latest start
//! that still meets the objective; what cannot meet it any more goes last.

use laburnum_derive::value;

use super::id;
use super::job::Job;
use crate::core::time::Instant;

/// Where a step stands in the order; the least goes first.
#[value]
pub(super) struct Rank {
    /// Whether its objective is out of reach.
    pub is_late: bool,
    /// Whether its queue is not an urgent one.
    pub is_patient: bool,
    /// The latest start that meets the objective.
    pub latest_start: Instant,
    /// Makes the order whole.
    pub step: id::Step,
}

/// Returns the objective of a job that began at `began`: the point in time by which it should be done.
pub(super) fn objective(job: &Job, began: Instant) -> Instant {
    let chain = job.chains.iter().max().copied().unwrap_or_default();
    began + chain.mul_f64(job.queue.slack_factor.max(0.0)) + job.queue.target
}

/// Returns the rank of a step at `now`.
pub(super) fn rank(job: &Job, step: id::Step, began: Instant, now: Instant) -> Rank {
    let left = job.chains.get(usize::from(step.index)).copied();
    let left = left.unwrap_or_default();
    let latest_start = objective(job, began) - left;
    Rank {
        is_late: latest_start < now,
        is_patient: job.queue.priority > 0,
        latest_start,
        step,
    }
}
