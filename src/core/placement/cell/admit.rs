//! Admission control: refuses jobs that could never run.

use super::Cell;
use crate::core::error::{Error, Kind, Result};
use crate::core::placement::job::Job;
use crate::core::placement::policy::Policy;
use crate::core::resource::Amount;
use crate::core::workload::Class;

impl<P: Policy> Cell<P> {
    /// Checks whether the job could ever run in this cell.
    ///
    /// # Errors
    ///
    /// [`Kind::Impossible`] when no worker could hold a task (with the resource and the size of the
    /// largest worker), when all workers together could not hold a gang, or when the team's ceiling
    /// forbids it. [`Kind::Malformed`] when the job has no task or allows no attempt,
    /// [`Kind::TooLarge`] when it has too many tasks, and [`Kind::Overloaded`] when all jobs
    /// together would have too many.
    pub fn admit(&self, job: &Job) -> Result<()> {
        if job.tasks == 0 || job.max_attempts == 0 {
            return Err(Error::new(
                Kind::Malformed,
                "a job needs at least one task and one attempt",
            ));
        }
        self.admit_count(job)?;
        let at_once = match job.class {
            Class::Gang => u64::from(job.tasks),
            _ => 1,
        };
        self.admit_quota(job, at_once)?;
        self.admit_size(job, at_once)
    }

    /// Refuses a job with which the number of tasks would exceed a limit.
    fn admit_count(&self, job: &Job) -> Result<()> {
        let tuning = &self.settings.tuning;
        if job.tasks > tuning.max_tasks_per_job {
            let message = format!("a job may have at most {} tasks", tuning.max_tasks_per_job);
            return Err(Error::new(Kind::TooLarge, message));
        }
        let is_known = self.job_ids.contains_key(&job.id);
        if !is_known && self.tasks + u64::from(job.tasks) > tuning.max_tasks {
            let message = format!(
                "the cell's task limit is exceeded: {} tasks of other jobs already wait or run",
                self.tasks
            );
            return Err(Error::new(Kind::Overloaded, message));
        }
        Ok(())
    }

    /// Refuses a job that the team's ceiling never allows.
    fn admit_quota(&self, job: &Job, at_once: u64) -> Result<()> {
        let Some(quota) = self.settings.quotas.get(&job.team) else {
            return Ok(());
        };
        if job.size.times(at_once).fits(quota.ceiling) {
            return Ok(());
        }
        let message = format!(
            "the job needs more resources at once than the ceiling of team {} allows",
            job.team.0
        );
        Err(Error::new(Kind::Impossible, message))
    }

    /// Refuses a job when no worker could hold one of its tasks, or when all workers together could
    /// not hold `at_once` tasks. Accepts any size while no worker is known.
    fn admit_size(&self, job: &Job, at_once: u64) -> Result<()> {
        if self.sizes.is_empty() {
            return Ok(());
        }
        let holds =
            |(size, count): (&Amount, &u32)| times_within(job.size, *size) * u64::from(*count);
        let held: u64 = self.sizes.iter().map(holds).sum();
        if held >= at_once {
            return Ok(());
        }
        let largest = self
            .sizes
            .keys()
            .fold(Amount::default(), |all, size| all.max(*size));
        let message = match short_of(job.size, largest) {
            Some(resource) => format!(
                "a task needs more {resource} than the largest worker has \
                 ({} thousandths of a core, {} MiB, {} accelerators)",
                largest.cpu_millis, largest.memory_mib, largest.accelerators
            ),
            None if held == 0 => {
                "no single worker has enough of every resource that a task needs".to_owned()
            }
            None => format!("all workers together can run only {held} of {at_once} tasks at once"),
        };
        Err(Error::new(Kind::Impossible, message))
    }
}

/// Returns how many times `part` fits into `whole`, at most [`u32::MAX`].
pub(super) fn times_within(part: Amount, whole: Amount) -> u64 {
    let times = |part: u64, whole: u64| whole.checked_div(part).unwrap_or(u64::MAX);
    times(part.cpu_millis, whole.cpu_millis)
        .min(times(part.memory_mib, whole.memory_mib))
        .min(times(part.accelerators, whole.accelerators))
        .min(u64::from(u32::MAX))
}

/// Returns the name of the first resource of which `part` needs more than `whole` has.
fn short_of(part: Amount, whole: Amount) -> Option<&'static str> {
    if part.cpu_millis > whole.cpu_millis {
        return Some("processors");
    }
    if part.memory_mib > whole.memory_mib {
        return Some("memory");
    }
    (part.accelerators > whole.accelerators).then_some("accelerators")
}
