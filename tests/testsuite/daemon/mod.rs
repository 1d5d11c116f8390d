//! The real daemon, driven from outside while its processes and the platform fail.

mod call;
mod config;
mod fault;
mod job;
mod link;
mod load;
mod operator;
mod pair;
mod platform;
mod recovery;
mod relay;
mod target;
mod version;
mod wave;
mod worker;

use std::future::Future;
use std::time::{Duration, Instant};

use laburnum_testkit::cell::{Builder, Cell};
use laburnumplank::api::client::Client;
use laburnumplank::api::schema::{
    CallRequest, CallResponse, GetJobRequest, GetJobResponse, JobSpec, JobStatus, Priority,
    SubmitJobRequest, SubmitJobResponse, VmStatus, WatchJobRequest, WatchJobResponse,
};
use laburnumplank::core::error::Result;
use serde_json::json;
use uuid::Uuid;

/// The service that the targets of a test cell answer.
pub(crate) const SERVICE: &str = "licence";

/// How long a client waits for one answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(12);

/// How long a test waits for something that must happen.
pub(crate) const LIMIT: Duration = Duration::from_secs(60);

/// The lease of a test cell, in milliseconds.
const LEASE_MS: u64 = 2_000;

/// Runs a test on an actix system.
pub(crate) fn run<F: Future>(test: F) -> F::Output {
    actix_rt::System::new().block_on(test)
}

/// Describes a cell with short leases.
pub(crate) fn cell() -> Builder {
    Builder::new().service(SERVICE).settings(json!({
        "lease": { "duration_ms": LEASE_MS },
        "cell": { "request_partitions": 8 },
    }))
}

/// Returns a client of one entry.
pub(crate) fn client(cell: &Cell, entry: usize) -> Client {
    Client::new(&cell.url(entry, ""), CLIENT_TIMEOUT)
}

/// Returns a call that runs at most once.
pub(crate) fn filing(method: &str, body: &str) -> CallRequest {
    CallRequest {
        service: SERVICE.to_owned(),
        method: method.to_owned(),
        body: body.as_bytes().to_vec(),
        key: Uuid::now_v7().to_string(),
        timeout_ms: 8_000,
        priority: Priority::Normal.into(),
        caller: "test".to_owned(),
        ..CallRequest::default()
    }
}

/// Returns a call that may be repeated.
pub(crate) fn lookup(method: &str, body: &str) -> CallRequest {
    CallRequest {
        idempotent: true,
        key: String::new(),
        priority: Priority::Lookup.into(),
        ..filing(method, body)
    }
}

/// Calls once.
pub(crate) async fn call(client: &Client, request: &CallRequest) -> Result<CallResponse> {
    client.call("Caller", "Call", request).await
}

/// Submits a job under a new key and returns its id.
pub(crate) async fn submit(client: &Client, spec: JobSpec) -> Result<String> {
    let request = SubmitJobRequest {
        key: Uuid::now_v7().to_string(),
        spec: Some(spec),
    };
    let answer: SubmitJobResponse = client.call("Caller", "SubmitJob", &request).await?;
    Ok(answer.job_id)
}

/// Reads a job.
pub(crate) async fn job(client: &Client, id: &str) -> Result<JobStatus> {
    let request = GetJobRequest {
        job_id: id.to_owned(),
    };
    let answer: GetJobResponse = client.call("Caller", "GetJob", &request).await?;
    Ok(answer.job.unwrap_or_default())
}

/// Watches a job, through failures of entries, until `is_reached` holds.
pub(crate) async fn watch(
    client: &Client,
    id: &str,
    is_reached: impl Fn(&JobStatus) -> bool,
) -> JobStatus {
    let deadline = Instant::now() + LIMIT;
    let mut last = String::new();
    while Instant::now() < deadline {
        let request = WatchJobRequest {
            job_id: id.to_owned(),
            revision: 0,
            wait_ms: 0,
        };
        let answer: Result<WatchJobResponse> = client.call("Caller", "WatchJob", &request).await;
        match answer {
            Ok(answer) => {
                let status = answer.job.unwrap_or_default();
                if is_reached(&status) {
                    return status;
                }
                last = format!("{status:?}");
            }
            Err(error) => last = error.to_string(),
        }
        pause(50).await;
    }
    panic!("job {id} did not get there: {last}");
}

/// Waits for some milliseconds.
pub(crate) async fn pause(millis: u64) {
    actix_rt::time::sleep(Duration::from_millis(millis)).await;
}

/// Waits until `check` holds.
pub(crate) async fn eventually<F: Future<Output = bool>>(what: &str, check: impl Fn() -> F) {
    let deadline = Instant::now() + LIMIT;
    while !check().await {
        assert!(Instant::now() < deadline, "{what} did not happen");
        pause(50).await;
    }
}

/// Returns a VM of a list.
pub(crate) fn find(vms: &[VmStatus], id: u32) -> &VmStatus {
    vms.iter().find(|vm| vm.id == id).unwrap()
}
