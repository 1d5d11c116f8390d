//! Tests of daemon processes, with failures of these processes and of the platform.
//!
//! Each test starts a cell of three entries and stand-ins for the platform's services, and uses the
//! public interface of the entries.

mod call;
mod config;
mod fault;
mod job;
mod link;
mod load;
mod operator;
mod pair;
mod platform;
mod proxy;
mod recovery;
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

/// The service that the targets of a test cell provide.
pub(crate) const SERVICE: &str = "licence";

/// How long a client waits for one response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(12);

/// How long a test waits for an expected state before it fails.
pub(crate) const LIMIT: Duration = Duration::from_secs(60);

/// The duration of leases in a test cell, in milliseconds.
const LEASE_MS: u64 = 2_000;

/// Runs a test on an actix system.
pub(crate) fn run<F: Future>(test: F) -> F::Output {
    actix_rt::System::new().block_on(test)
}

/// Returns the builder of a cell with short leases.
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

/// Returns a call with a new idempotency key, which runs at most once.
pub(crate) fn keyed_call(method: &str, body: &str) -> CallRequest {
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

/// Returns an idempotent call.
pub(crate) fn idempotent_call(method: &str, body: &str) -> CallRequest {
    CallRequest {
        idempotent: true,
        key: String::new(),
        priority: Priority::Lookup.into(),
        ..keyed_call(method, body)
    }
}

/// Sends a call once.
pub(crate) async fn call(client: &Client, request: &CallRequest) -> Result<CallResponse> {
    client.call("Caller", "Call", request).await
}

/// Submits a job under a new key and returns its id.
pub(crate) async fn submit(client: &Client, spec: JobSpec) -> Result<String> {
    let request = SubmitJobRequest {
        key: Uuid::now_v7().to_string(),
        spec: Some(spec),
    };
    let response: SubmitJobResponse = client.call("Caller", "SubmitJob", &request).await?;
    Ok(response.job_id)
}

/// Returns the status of a job.
pub(crate) async fn job(client: &Client, id: &str) -> Result<JobStatus> {
    let request = GetJobRequest {
        job_id: id.to_owned(),
    };
    let response: GetJobResponse = client.call("Caller", "GetJob", &request).await?;
    Ok(response.job.unwrap_or_default())
}

/// Requests the status of a job until `is_reached` holds; errors are retried up to [`LIMIT`].
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
        let response: Result<WatchJobResponse> = client.call("Caller", "WatchJob", &request).await;
        match response {
            Ok(response) => {
                let status = response.job.unwrap_or_default();
                if is_reached(&status) {
                    return status;
                }
                last = format!("{status:?}");
            }
            Err(error) => last = error.to_string(),
        }
        pause(50).await;
    }
    panic!("job {id} did not reach the expected state; last response: {last}");
}

/// Sleeps for `millis` milliseconds.
pub(crate) async fn pause(millis: u64) {
    actix_rt::time::sleep(Duration::from_millis(millis)).await;
}

/// Waits until `check` holds, for at most [`LIMIT`].
pub(crate) async fn eventually<F: Future<Output = bool>>(what: &str, check: impl Fn() -> F) {
    let deadline = Instant::now() + LIMIT;
    while !check().await {
        assert!(Instant::now() < deadline, "{what} did not happen");
        pause(50).await;
    }
}

/// Returns the VM with an id from a list.
pub(crate) fn find(vms: &[VmStatus], id: u32) -> &VmStatus {
    vms.iter().find(|vm| vm.id == id).unwrap()
}
