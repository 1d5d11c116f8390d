//! Turns messages of the schema into domain types and back.

use std::time::Duration;

use super::schema;
use crate::core::error::{Error, Kind, Result};
use crate::core::id::{self, Family, Team};
use crate::core::placement::Job;
use crate::core::resource::Amount;
use crate::core::workload::Class;

/// The most tasks of one job.
const MAX_TASKS: u32 = 100_000;
/// The longest command, in bytes.
const MAX_COMMAND_BYTES: usize = 16_384;
/// The longest name of a team or family, in bytes.
const MAX_NAME_BYTES: usize = 128;

impl From<schema::Amount> for Amount {
    fn from(amount: schema::Amount) -> Amount {
        Amount {
            cpu_millis: amount.cpu_millis,
            memory_mib: amount.memory_mib,
            accelerators: amount.accelerators,
        }
    }
}

impl From<Amount> for schema::Amount {
    fn from(amount: Amount) -> schema::Amount {
        schema::Amount {
            cpu_millis: amount.cpu_millis,
            memory_mib: amount.memory_mib,
            accelerators: amount.accelerators,
        }
    }
}

/// Checks a submitted job.
///
/// # Errors
///
/// [`Kind::Malformed`] names the field and the remedy.
pub fn job(id: id::Job, spec: schema::JobSpec) -> Result<Job> {
    let class = class(spec.class())?;
    let size = Amount::from(spec.size.unwrap_or_default());
    check(
        !spec.team.is_empty() && spec.team.len() <= MAX_NAME_BYTES,
        "spec.team must be 1 to 128 bytes",
    )?;
    check(
        spec.family.len() <= MAX_NAME_BYTES,
        "spec.family must be at most 128 bytes",
    )?;
    check(
        (1..=MAX_TASKS).contains(&spec.tasks),
        "spec.tasks must be 1 to 100000",
    )?;
    check(
        spec.command.len() <= MAX_COMMAND_BYTES,
        "spec.command must be at most 16384 bytes",
    )?;
    check(
        size.cpu_millis > 0,
        "spec.size.cpu_millis must be at least 1",
    )?;
    check(
        size.memory_mib > 0,
        "spec.size.memory_mib must be at least 1",
    )?;
    let mut job = Job::builder(id, Team(spec.team), class, size)
        .tasks(spec.tasks)
        .command(spec.command);
    if !spec.family.is_empty() {
        job = job.family(Family(spec.family));
    }
    if spec.run_time_ms > 0 {
        job = job.run_time(Duration::from_millis(spec.run_time_ms));
    }
    if spec.max_attempts > 0 {
        job = job.max_attempts(spec.max_attempts);
    }
    if spec.gang_timeout_ms > 0 {
        job = job.gang_timeout(Duration::from_millis(spec.gang_timeout_ms));
    }
    Ok(job.build())
}

/// Makes the schema's form of a job.
pub fn spec(job: &Job) -> schema::JobSpec {
    schema::JobSpec {
        class: class_of(job.class).into(),
        team: job.team.0.clone(),
        family: job.family.0.clone(),
        tasks: job.tasks,
        size: Some(job.size.into()),
        command: job.command.clone(),
        run_time_ms: job.run_time.as_millis() as u64,
        max_attempts: job.max_attempts,
        gang_timeout_ms: job.gang_timeout.as_millis() as u64,
    }
}

/// Fails with `message` unless `holds`.
fn check(holds: bool, message: &str) -> Result<()> {
    if holds {
        Ok(())
    } else {
        Err(Error::new(Kind::Malformed, message))
    }
}

fn class(class: schema::JobClass) -> Result<Class> {
    match class {
        schema::JobClass::Urgent => Ok(Class::Urgent),
        schema::JobClass::Service => Ok(Class::Service),
        schema::JobClass::Gang => Ok(Class::Gang),
        schema::JobClass::Batch => Ok(Class::Batch),
        schema::JobClass::Unspecified => Err(Error::new(
            Kind::Malformed,
            "spec.class is missing; give urgent, service, gang or batch",
        )),
    }
}

fn class_of(class: Class) -> schema::JobClass {
    match class {
        Class::Urgent => schema::JobClass::Urgent,
        Class::Service => schema::JobClass::Service,
        Class::Gang => schema::JobClass::Gang,
        Class::Batch => schema::JobClass::Batch,
    }
}
