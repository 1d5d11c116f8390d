//! In which order waiting steps get room.
//!
//! The load that this answers: a burst of bulk jobs asks for more than there is, while short lookups
//! and jobs that must start now keep coming. Lookups go first; the rest goes by the latest start
//! that still meets the objective. What cannot meet it any more comes after, by the latest start
//! that is still of some use, and what is of none comes last.

use laburnum_derive::value;

use super::id;
use super::job::Job;
use crate::core::time::Instant;

/// A job that is done later than so many times its objective is of no use any more; from the
/// platform's description.
const USEFUL_FACTOR: u32 = 3;

/// What can still be achieved for a job.
#[value]
pub(super) enum Prospect {
    /// It can meet its objective.
    InTime,
    /// It can be done late.
    Late,
    /// It comes too late to be of use.
    TooLate,
}

/// Where a step stands in the order; the least goes first.
#[value]
pub(super) struct Rank {
    /// What can still be achieved.
    pub prospect: Prospect,
    /// Whether its queue is not an urgent one.
    pub is_patient: bool,
    /// The latest start that achieves it.
    pub latest_start: Instant,
    /// Makes the order whole.
    pub step: id::Step,
}

/// Returns the rank of a step at `now`; its job began at `began`.
pub(super) fn rank(job: &Job, step: id::Step, began: Instant, now: Instant) -> Rank {
    let chain = job.chains.iter().max().copied().unwrap_or_default();
    let objective = chain.mul_f64(job.queue.slack_factor.max(0.0)) + job.queue.target;
    let left = job.chains.get(usize::from(step.index)).copied();
    let left = left.unwrap_or_default();
    let in_time = began + objective - left;
    let of_use = began + objective * USEFUL_FACTOR - left;
    let (prospect, latest_start) = if in_time >= now {
        (Prospect::InTime, in_time)
    } else if of_use >= now {
        (Prospect::Late, of_use)
    } else {
        (Prospect::TooLate, in_time)
    };
    Rank {
        prospect,
        is_patient: job.queue.priority > 0,
        latest_start,
        step,
    }
}
