//! The sample calls and jobs of the demo.
//!
//! A call of each priority goes to a different entry, then one job of each class runs. The demo
//! fails if a response differs from the request or a job does not reach its expected state.

use std::time::{Duration, Instant};

use laburnum_testkit::cell::Cell;
use laburnumplank::api::client::Client;
use laburnumplank::api::schema::{
    Amount, CallRequest, CallResponse, CancelJobRequest, CancelJobResponse, JobClass, JobSpec,
    JobState, JobStatus, Priority, SubmitJobRequest, SubmitJobResponse, WatchJobRequest,
    WatchJobResponse,
};
use uuid::Uuid;

/// The service whose calls the targets serve.
pub(super) const SERVICE: &str = "licence";

/// The team that the jobs belong to.
const TEAM: &str = "bars";

/// Timeout of a remote procedure call.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// How long a job may take to reach its expected state.
const JOB_TIMEOUT: Duration = Duration::from_secs(60);

/// How long one watch request waits for a change, in milliseconds.
const WATCH_WAIT_MS: u32 = 5_000;

/// A sample job.
struct Job {
    class: JobClass,
    tasks: u32,
    command: &'static str,
    /// The state that the job must reach; a job that must be running is cancelled afterwards.
    expected: JobState,
}

const JOBS: &[Job] = &[
    Job {
        class: JobClass::Urgent,
        tasks: 1,
        command: "sleep 200",
        expected: JobState::Succeeded,
    },
    Job {
        class: JobClass::Service,
        tasks: 2,
        command: "forever",
        expected: JobState::Running,
    },
    Job {
        class: JobClass::Gang,
        tasks: 4,
        command: "sleep 1000",
        expected: JobState::Succeeded,
    },
    Job {
        class: JobClass::Batch,
        tasks: 6,
        command: "sleep 500",
        expected: JobState::Succeeded,
    },
];

/// Runs the sample calls and jobs, each on the next entry in turn.
pub(super) async fn run(cell: &Cell) -> eyre::Result<()> {
    let clients: Vec<Client> = (0..cell.entries.len())
        .map(|entry| Client::new(&cell.url(entry, ""), CALL_TIMEOUT))
        .collect();
    let priorities = [Priority::Lookup, Priority::Normal, Priority::Bulk];
    for (client, priority) in clients.iter().cycle().zip(priorities) {
        call(client, priority).await?;
    }
    for (client, job) in clients.iter().cycle().zip(JOBS) {
        run_job(client, job).await?;
    }
    Ok(())
}

/// Calls a target's `echo` method and checks that the response repeats the request body.
async fn call(client: &Client, priority: Priority) -> eyre::Result<()> {
    let body = format!("request of priority {}", priority.as_str_name());
    let request = CallRequest {
        service: SERVICE.to_owned(),
        method: "echo".to_owned(),
        body: body.clone().into(),
        key: Uuid::now_v7().to_string(),
        priority: priority.into(),
        caller: "demonstration".to_owned(),
        ..CallRequest::default()
    };
    let response: CallResponse = client.call("Caller", "Call", &request).await?;
    eyre::ensure!(
        response.body == body.as_bytes(),
        "the response body differs from the request body"
    );
    let name = priority.as_str_name();
    println!("call {name}: served by target VM {}", response.target);
    Ok(())
}

/// Submits a job, waits for its expected state and, if that is running, cancels the job.
async fn run_job(client: &Client, job: &Job) -> eyre::Result<()> {
    let request = SubmitJobRequest {
        key: Uuid::now_v7().to_string(),
        spec: Some(spec(job)),
    };
    let submitted: SubmitJobResponse = client.call("Caller", "SubmitJob", &request).await?;
    let workers = wait_for_state(client, &submitted.job_id, job.expected).await?;
    print_result(job, job.expected, &workers);
    if job.expected == JobState::Running {
        let request = CancelJobRequest {
            job_id: submitted.job_id.clone(),
        };
        let _: CancelJobResponse = client.call("Caller", "CancelJob", &request).await?;
        wait_for_state(client, &submitted.job_id, JobState::Cancelled).await?;
        print_result(job, JobState::Cancelled, &workers);
    }
    Ok(())
}

fn spec(job: &Job) -> JobSpec {
    JobSpec {
        class: job.class.into(),
        team: TEAM.to_owned(),
        tasks: job.tasks,
        size: Some(Amount {
            cpu_millis: 1_000,
            memory_mib: 512,
            accelerators: 0,
        }),
        command: job.command.to_owned(),
        run_time_ms: 1_000,
        ..JobSpec::default()
    }
}

/// Watches a job until it is in `state` and, if that is running, all its tasks run.
///
/// Returns the VM ids of the workers on which its tasks were last reported, in task order.
///
/// # Errors
///
/// Fails if the job ends in another state or does not reach `state` within [`JOB_TIMEOUT`].
async fn wait_for_state(client: &Client, id: &str, state: JobState) -> eyre::Result<Vec<u32>> {
    let deadline = Instant::now() + JOB_TIMEOUT;
    let mut revision = 0;
    let mut workers = Vec::new();
    loop {
        let status = watch(client, id, revision).await?;
        if status.tasks.iter().any(|task| task.worker != 0) {
            workers = status.tasks.iter().map(|task| task.worker).collect();
        }
        if has_reached(&status, state) {
            return Ok(workers);
        }
        let has_failed = is_ended(status.state()) || Instant::now() >= deadline;
        eyre::ensure!(!has_failed, "job {id} did not reach {state:?}: {status:?}");
        revision = status.revision;
    }
}

/// Waits up to [`WATCH_WAIT_MS`] for the status of a job to differ from `revision`.
async fn watch(client: &Client, id: &str, revision: u64) -> eyre::Result<JobStatus> {
    let request = WatchJobRequest {
        job_id: id.to_owned(),
        revision,
        wait_ms: WATCH_WAIT_MS,
    };
    let response: WatchJobResponse = client.call("Caller", "WatchJob", &request).await?;
    response
        .job
        .ok_or_else(|| eyre::eyre!("the response for job {id} has no status"))
}

fn has_reached(status: &JobStatus, state: JobState) -> bool {
    let all_tasks_run = || status.tasks.iter().all(|task| task.state == "running");
    status.state() == state && (state != JobState::Running || all_tasks_run())
}

fn is_ended(state: JobState) -> bool {
    let ended = [JobState::Succeeded, JobState::Failed, JobState::Cancelled];
    ended.contains(&state)
}

/// Prints the state of a job and the workers on which its tasks were last reported.
fn print_result(job: &Job, state: JobState, workers: &[u32]) {
    let workers: Vec<String> = workers.iter().map(u32::to_string).collect();
    println!(
        "{}, {} x `{}`: {}; last reported on worker VMs: {}",
        job.class.as_str_name(),
        job.tasks,
        job.command,
        state.as_str_name(),
        workers.join(" ")
    );
}
