//! The order in which waiting steps are placed.
//!
//! The order is made for a burst of bulk jobs that need more capacity than the cell has, while short
//! lookups and jobs that must start at once keep arriving. Steps that can still meet the objective
//! of their job are placed first, then those that are late but still of use, then those that come
//! too late to be of use. Within each of these groups, steps of urgent queues precede the others,
//! and steps with an earlier latest start precede those with a later one.
//!
//! Long-running steps serve users for as long as their tasks run, so no start of theirs is too late.
//! When workers are taken away from a full cell, their tasks must not wait behind the bulk jobs of
//! that load: a task that has waited for [`LONG_RUNNING_PATIENCE`] is urgent.

use std::time::Duration;

use laburnum_derive::value;

use super::id;
use super::job::Job;
use crate::core::time::Instant;

/// A job that ends after more than this many times its objective is of no use; specified by the
/// platform.
const USEFUL_FACTOR: u32 = 3;
/// A long-running step whose tasks have waited this long is urgent.
pub(super) const LONG_RUNNING_PATIENCE: Duration = Duration::from_secs(1);

/// The best completion that is still possible for a job.
#[value]
pub(super) enum Prospect {
    /// The job can meet its objective.
    InTime,
    /// The job can end late, but while it is of use.
    Late,
    /// The job cannot end while it is of use.
    TooLate,
}

/// The position of a step in the order; the lowest is placed first.
#[value]
pub(super) struct Rank {
    /// The best completion that is still possible for the job.
    pub prospect: Prospect,
    /// Whether the job's queue is not an urgent one.
    pub is_non_urgent: bool,
    /// The latest start of the step with which the job can still reach `prospect`; for
    /// [`Prospect::TooLate`], the start that would have met the objective.
    pub latest_start: Instant,
    /// The tie breaker, which makes the order total.
    pub step: id::Step,
}

/// Returns the rank of a step at `now`; `began` is when its occurrence was due or, without a
/// schedule, when its job was accepted.
pub(super) fn rank(job: &Job, step: id::Step, began: Instant, now: Instant) -> Rank {
    let spec = job.spec.steps.get(usize::from(step.index));
    if spec.is_some_and(|spec| spec.long_running) {
        let waiting_since = job.step(step).and_then(|step| step.waiting_since);
        return rank_long_running(job, step, waiting_since.unwrap_or(now), now);
    }
    let chain = job.chains.iter().max().copied().unwrap_or_default();
    let objective = chain.mul_f64(job.queue.slack_factor.max(0.0)) + job.queue.target;
    let left = job.chains.get(usize::from(step.index)).copied();
    let left = left.unwrap_or_default();
    let latest_in_time = began + objective - left;
    let latest_useful = began + objective * USEFUL_FACTOR - left;
    let (prospect, latest_start) = if latest_in_time >= now {
        (Prospect::InTime, latest_in_time)
    } else if latest_useful >= now {
        (Prospect::Late, latest_useful)
    } else {
        (Prospect::TooLate, latest_in_time)
    };
    Rank {
        prospect,
        is_non_urgent: job.queue.priority > 0,
        latest_start,
        step,
    }
}

fn rank_long_running(job: &Job, step: id::Step, waiting_since: Instant, now: Instant) -> Rank {
    let is_overdue = now.since(waiting_since) >= LONG_RUNNING_PATIENCE;
    Rank {
        prospect: Prospect::InTime,
        is_non_urgent: job.queue.priority > 0 && !is_overdue,
        latest_start: waiting_since,
        step,
    }
}
