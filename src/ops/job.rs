//! Submits, reads, cancels, watches, explains and lists jobs.

use std::time::Duration;

use uuid::Uuid;

use super::expect_response;
use crate::api::convert;
use crate::api::schema::{
    CancelJobRequest, CancelJobResponse, ExplainJobRequest, ExplainJobResponse, GetJobRequest,
    GetJobResponse, JobStatus, ListJobsRequest, ListJobsResponse, SubmitJobRequest,
    SubmitJobResponse, WatchJobRequest, WatchJobResponse,
};
use crate::core::error::{Error, Kind, Result};
use crate::core::id::{Job, Team};
use crate::daemon::Context;
use crate::wire::{Request, Response};

/// Upper limit on the wait of a watch request.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);
/// Interval at which a watch reads the job.
const WATCH_PERIOD: Duration = Duration::from_millis(100);

/// Accepts a job; responds once it is durable.
///
/// # Errors
///
/// [`Kind::KeyRequired`] or [`Kind::Malformed`] for an invalid request, [`Kind::Impossible`] for a
/// job that no worker could ever hold, and the error that kept the job from becoming durable.
pub async fn submit(context: &Context, request: SubmitJobRequest) -> Result<SubmitJobResponse> {
    let key = super::call::parse_key(&request.key)?;
    let key = key.ok_or_else(|| {
        Error::new(
            Kind::KeyRequired,
            "a job needs a key; send a UUID version 7",
        )
    })?;
    let spec = request
        .spec
        .ok_or_else(|| Error::new(Kind::Malformed, "spec is missing; describe the job in it"))?;
    check_tasks(spec.tasks, context.config().limits.tasks_per_job)?;
    let job = convert::parse_job(Job(key.0), spec)?;
    let response = context
        .request(Request::SubmitJob(Box::new(job)), super::TIMEOUT, false)
        .await?;
    let job = expect_response!(response, Response::Submitted)?;
    Ok(SubmitJobResponse {
        job_id: job.to_string(),
    })
}

/// Refuses a job with more tasks than the configured limit.
fn check_tasks(tasks: u32, limit: u32) -> Result<()> {
    if tasks <= limit {
        return Ok(());
    }
    let message = format!("the job has {tasks} tasks; at most {limit} are allowed");
    Err(Error::new(Kind::Malformed, message))
}

/// Returns the status of a job.
///
/// # Errors
///
/// [`Kind::NotFound`] for an unknown job.
pub async fn get(context: &Context, request: GetJobRequest) -> Result<GetJobResponse> {
    let job = read(context, &request.job_id).await?;
    Ok(GetJobResponse { job: Some(job) })
}

/// Cancels a job; responds once the cancellation is durable.
///
/// # Errors
///
/// [`Kind::NotFound`] for an unknown job.
pub async fn cancel(context: &Context, request: CancelJobRequest) -> Result<CancelJobResponse> {
    let job = parse_id(&request.job_id)?;
    let response = context
        .request(Request::CancelJob(job), super::TIMEOUT, false)
        .await?;
    let job = expect_response!(response, Response::Job)?;
    Ok(CancelJobResponse { job: Some(job) })
}

/// Waits until a job's revision differs from the requested one, the wait ends or the daemon drains;
/// returns the status of the job.
///
/// # Errors
///
/// [`Kind::NotFound`] for an unknown job.
pub async fn watch(context: &Context, request: WatchJobRequest) -> Result<WatchJobResponse> {
    let wait = Duration::from_millis(request.wait_ms.into()).min(MAX_WATCH_WAIT);
    let end = context.clock.now() + wait;
    loop {
        let job = read(context, &request.job_id).await?;
        let is_over = context.clock.now() >= end || context.is_draining();
        if job.revision != request.revision || is_over {
            return Ok(WatchJobResponse { job: Some(job) });
        }
        actix_rt::time::sleep(WATCH_PERIOD).await;
    }
}

/// Explains why a job waits.
///
/// # Errors
///
/// [`Kind::NotFound`] for an unknown job.
pub async fn explain(context: &Context, request: ExplainJobRequest) -> Result<ExplainJobResponse> {
    let job = parse_id(&request.job_id)?;
    let response = context
        .request(Request::ExplainJob(job), super::TIMEOUT, false)
        .await?;
    expect_response!(response, Response::Explained)
}

/// Lists the jobs of all partitions.
///
/// # Errors
///
/// Fails when any partition cannot be read, so that a list is never silently incomplete.
pub async fn list(context: &Context, request: ListJobsRequest) -> Result<ListJobsResponse> {
    let team = (!request.team.is_empty()).then(|| Team(request.team.clone()));
    let mut jobs = Vec::new();
    for partition in super::worker_partitions(context) {
        let query = Request::ListJobs {
            partition,
            team: team.clone(),
            ended: request.ended,
        };
        let response = context.request(query, super::TIMEOUT, false).await?;
        jobs.extend(expect_response!(response, Response::Jobs)?);
    }
    Ok(ListJobsResponse { jobs })
}

/// Requests a job's status from the control part.
async fn read(context: &Context, job_id: &str) -> Result<JobStatus> {
    let job = parse_id(job_id)?;
    let response = context
        .request(Request::GetJob(job), super::TIMEOUT, false)
        .await?;
    expect_response!(response, Response::Job)
}

/// Parses a job id.
fn parse_id(text: &str) -> Result<Job> {
    Uuid::parse_str(text).map(Job).map_err(|_| {
        Error::new(
            Kind::Malformed,
            format!("job id `{text}` is not a UUID; send the id of a job"),
        )
    })
}
