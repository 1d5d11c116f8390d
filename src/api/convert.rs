//! Converts between the schema's messages and the scheduler's types.

use std::time::Duration;

use super::schema;
use crate::core::error::{Error, Kind, Result};
use crate::core::id::{self, Family, Team};
use crate::core::placement::job::End;
use crate::core::placement::table::WorkerState;
use crate::core::placement::{
    Explanation, Job, JobStatus, QuotaStatus, Stage, TaskState, TaskStatus, Waiting, WorkerStatus,
};
use crate::core::resource::Amount;
use crate::core::time::Instant;
use crate::core::workload::Class;
use crate::platform::vms;

/// Maximum number of tasks of a job.
const MAX_TASKS: u32 = 100_000;
/// Maximum length of a command, in bytes.
const MAX_COMMAND_BYTES: usize = 16_384;
/// Maximum length of a team or family name, in bytes.
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

/// Validates the specification of a submitted job and converts it to a job with this id.
///
/// # Errors
///
/// Returns [`Kind::Malformed`] if a field is missing or out of range; the message names the field
/// and the valid values.
pub fn parse_job(id: id::Job, spec: schema::JobSpec) -> Result<Job> {
    let class = parse_class(spec.class())?;
    let size = Amount::from(spec.size.unwrap_or_default());
    require(
        !spec.team.is_empty() && spec.team.len() <= MAX_NAME_BYTES,
        "spec.team must be 1 to 128 bytes",
    )?;
    require(
        spec.family.len() <= MAX_NAME_BYTES,
        "spec.family must be at most 128 bytes",
    )?;
    require(
        (1..=MAX_TASKS).contains(&spec.tasks),
        "spec.tasks must be 1 to 100000",
    )?;
    require(
        spec.command.len() <= MAX_COMMAND_BYTES,
        "spec.command must be at most 16384 bytes",
    )?;
    require(
        size.cpu_millis > 0,
        "spec.size.cpu_millis must be at least 1",
    )?;
    require(
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

/// Converts a job to the schema's specification.
pub fn job_spec(job: &Job) -> schema::JobSpec {
    schema::JobSpec {
        class: schema_class(job.class).into(),
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

/// Returns [`Kind::Malformed`] with `message` unless `is_valid`.
fn require(is_valid: bool, message: &str) -> Result<()> {
    if is_valid {
        Ok(())
    } else {
        Err(Error::new(Kind::Malformed, message))
    }
}

fn parse_class(class: schema::JobClass) -> Result<Class> {
    match class {
        schema::JobClass::Urgent => Ok(Class::Urgent),
        schema::JobClass::Service => Ok(Class::Service),
        schema::JobClass::Gang => Ok(Class::Gang),
        schema::JobClass::Batch => Ok(Class::Batch),
        schema::JobClass::Unspecified => Err(Error::new(
            Kind::Malformed,
            "spec.class is missing; it must be urgent, service, gang or batch",
        )),
    }
}

fn schema_class(class: Class) -> schema::JobClass {
    match class {
        Class::Urgent => schema::JobClass::Urgent,
        Class::Service => schema::JobClass::Service,
        Class::Gang => schema::JobClass::Gang,
        Class::Batch => schema::JobClass::Batch,
    }
}

/// Returns whether a job has succeeded, failed or been cancelled.
pub fn is_ended(job: &schema::JobStatus) -> bool {
    use schema::JobState::{Cancelled, Failed, Succeeded};
    matches!(job.state(), Succeeded | Failed | Cancelled)
}

/// Converts a job's status and the status of its tasks, given in index order.
pub fn job_status(
    status: &JobStatus,
    job: Option<&Job>,
    tasks: Vec<TaskStatus>,
) -> schema::JobStatus {
    let tasks = tasks
        .into_iter()
        .enumerate()
        .map(|(index, task)| task_status(index as u32, task));
    let mut message = schema::JobStatus {
        job_id: status.id.to_string(),
        spec: job.map(job_spec),
        state: job_state(status.stage).into(),
        reason: state_reason(status).to_owned(),
        revision: 0,
        tasks: tasks.collect(),
    };
    message.revision = revision(&message);
    message
}

/// Returns a hash of the status, which clients compare to detect a change.
///
/// The hash is never 0, because 0 means that the client has no revision yet.
fn revision(status: &schema::JobStatus) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&prost::Message::encode_to_vec(status)).max(1)
}

fn job_state(stage: Stage) -> schema::JobState {
    match stage {
        Stage::Queued => schema::JobState::Pending,
        Stage::Running | Stage::Ending(_) => schema::JobState::Running,
        Stage::Ended(End::Succeeded) => schema::JobState::Succeeded,
        Stage::Ended(End::Failed) => schema::JobState::Failed,
        Stage::Ended(End::Canceled) => schema::JobState::Cancelled,
    }
}

/// Explains the state of a job to a person; empty if the job runs and no task waits to be placed.
fn state_reason(status: &JobStatus) -> &'static str {
    match status.stage {
        Stage::Queued => "waits for a place",
        Stage::Running if status.queued > 0 => "some tasks wait for a place",
        Stage::Running => "",
        Stage::Ending(End::Canceled) => "cancelled; its tasks are being stopped",
        Stage::Ending(End::Failed) => "a task failed too often; the others are being stopped",
        Stage::Ending(End::Succeeded) => "all tasks succeeded; the end is being recorded",
        Stage::Ended(End::Succeeded) => "all tasks succeeded",
        Stage::Ended(End::Failed) => "a task failed on every worker that it was tried on",
        Stage::Ended(End::Canceled) => "cancelled",
    }
}

fn task_status(index: u32, task: TaskStatus) -> schema::TaskStatus {
    let state = match task.state {
        TaskState::Pending => "pending",
        TaskState::Lost => "lost",
        TaskState::Starting => "starting",
        TaskState::Running => "running",
        TaskState::Succeeded => "succeeded",
    };
    schema::TaskStatus {
        index,
        state: state.to_owned(),
        attempt: task.attempt,
        worker: task.worker.map_or(0, |worker| worker.0),
    }
}

/// Converts the explanation of why a job waits.
///
/// `explanation` is `None` for a job that no longer waits, such as one that has ended.
pub fn explain_response(
    now: Instant,
    status: &schema::JobStatus,
    explanation: Option<&Explanation>,
) -> schema::ExplainJobResponse {
    let Some(explanation) = explanation else {
        return schema::ExplainJobResponse {
            job_id: status.job_id.clone(),
            waiting_for: format!("nothing: {}", status.reason),
            ..schema::ExplainJobResponse::default()
        };
    };
    let refusals = explanation
        .refused
        .iter()
        .map(|(refusal, workers)| schema::Refusal {
            filter: format!("{refusal:?}").to_lowercase(),
            workers: *workers as u32,
        });
    schema::ExplainJobResponse {
        job_id: status.job_id.clone(),
        waiting_for: wait_reason(&explanation.waiting).to_owned(),
        refusals: refusals.collect(),
        position: explanation.position.map_or(0, |before| before as u32 + 1),
        estimate_ms: explanation
            .expected
            .map_or(0, |at| at.since(now).as_millis() as u64),
    }
}

/// Describes what a job waits for; the text completes the phrase "waiting for".
fn wait_reason(waiting: &Waiting) -> &'static str {
    match waiting {
        Waiting::Nothing => "nothing: no task waits",
        Waiting::Takeover => "the end of leases that a former owner may have given",
        Waiting::Queue => "its turn",
        Waiting::Quota => "its team's quota",
        Waiting::Worker => "a worker with room",
        Waiting::Reservation => "the workers that are reserved for it",
        Waiting::RateLimit => "the pace at which lost tasks are queued again",
    }
}

/// Returns the schema's name for the state of a worker.
fn worker_state(state: WorkerState) -> &'static str {
    match state {
        WorkerState::Ready => "live",
        WorkerState::Leaving => "leaving",
        WorkerState::Unknown => "suspect",
        WorkerState::Gone => "dead",
    }
}

/// Converts a worker's status; `vm` is its item of the VM list, if it has one.
pub fn vm_status(worker: &WorkerStatus, vm: Option<&vms::Vm>) -> schema::VmStatus {
    let state = match worker.quarantined_until {
        Some(_) => "quarantined".to_owned(),
        None => worker_state(worker.state).to_owned(),
    };
    schema::VmStatus {
        id: worker.id.0,
        role: "worker".to_owned(),
        state,
        data_centre: vm.map_or_else(String::new, |vm| vm.data_centre.clone()),
        address: vm.map_or_else(String::new, |vm| vm.address.to_string()),
        size: Some(worker.size.into()),
        committed: Some(worker.used.into()),
    }
}

/// Converts the quota of a team and its use.
pub fn quota_status(status: QuotaStatus) -> schema::QuotaStatus {
    schema::QuotaStatus {
        team: status.team.0,
        quota: status.quota.map(|quota| quota.ceiling.into()),
        used: Some(status.used.into()),
    }
}
