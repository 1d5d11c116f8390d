//! The work that the demonstration takes through its cell.
//!
//! Calls of each priority go to different entries, then a job of each class runs to its end. Every
//! answer is compared with what was asked, so the demonstration fails when the cell does.

use std::time::{Duration, Instant};

use laburnum_testkit::cell::Cell;
use laburnumplank::api::client::Client;
use laburnumplank::api::schema::{
    Amount, CallRequest, CallResponse, CancelJobRequest, CancelJobResponse, JobClass, JobSpec,
    JobState, JobStatus, Priority, SubmitJobRequest, SubmitJobResponse, WatchJobRequest,
    WatchJobResponse,
};
use uuid::Uuid;

/// The service that the targets answer.
pub(super) const SERVICE: &str = "licence";

/// The team that the jobs belong to.
const TEAM: &str = "bars";

/// How long one remote procedure call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// How long a job may take to reach the state that is waited for.
const JOB_LIMIT: Duration = Duration::from_secs(60);

/// How long one watch request waits, in milliseconds.
const WATCH_MS: u32 = 5_000;

/// A job of the demonstration.
struct Job {
    class: JobClass,
    tasks: u32,
    command: &'static str,
    /// The state that the job must reach.
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

/// Takes the work through the cell.
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

/// Calls a target and checks that the whole answer came back.
async fn call(client: &Client, priority: Priority) -> eyre::Result<()> {
    let body = format!("dossier of priority {}", priority.as_str_name());
    let request = CallRequest {
        service: SERVICE.to_owned(),
        method: "echo".to_owned(),
        body: body.clone().into(),
        key: Uuid::now_v7().to_string(),
        priority: priority.into(),
        caller: "demonstration".to_owned(),
        ..CallRequest::default()
    };
    let answer: CallResponse = client.call("Caller", "Call", &request).await?;
    eyre::ensure!(answer.body == body.as_bytes(), "another answer came back");
    let name = priority.as_str_name();
    println!("call {name}: answered by target VM {}", answer.target);
    Ok(())
}

/// Submits a job, waits for the state that it must reach and ends it.
async fn run_job(client: &Client, job: &Job) -> eyre::Result<()> {
    let request = SubmitJobRequest {
        key: Uuid::now_v7().to_string(),
        spec: Some(spec(job)),
    };
    let submitted: SubmitJobResponse = client.call("Caller", "SubmitJob", &request).await?;
    let places = reach(client, &submitted.job_id, job.expected).await?;
    report(job, job.expected, &places);
    if job.expected == JobState::Running {
        let request = CancelJobRequest {
            job_id: submitted.job_id.clone(),
        };
        let _: CancelJobResponse = client.call("Caller", "CancelJob", &request).await?;
        reach(client, &submitted.job_id, JobState::Cancelled).await?;
        report(job, JobState::Cancelled, &places);
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

/// Watches a job until it is in `state`, and until all its tasks run if that is running.
///
/// Returns the workers that its tasks were last seen on.
async fn reach(client: &Client, id: &str, state: JobState) -> eyre::Result<Vec<u32>> {
    let deadline = Instant::now() + JOB_LIMIT;
    let mut revision = 0;
    let mut places = Vec::new();
    loop {
        let status = watch(client, id, revision).await?;
        if status.tasks.iter().any(|task| task.worker != 0) {
            places = status.tasks.iter().map(|task| task.worker).collect();
        }
        if has_reached(&status, state) {
            return Ok(places);
        }
        let is_wrong = is_ended(status.state()) || Instant::now() >= deadline;
        eyre::ensure!(!is_wrong, "job {id} did not reach {state:?}: {status:?}");
        revision = status.revision;
    }
}

/// Waits a while for a job to change from `revision`.
async fn watch(client: &Client, id: &str, revision: u64) -> eyre::Result<JobStatus> {
    let request = WatchJobRequest {
        job_id: id.to_owned(),
        revision,
        wait_ms: WATCH_MS,
    };
    let answer: WatchJobResponse = client.call("Caller", "WatchJob", &request).await?;
    answer
        .job
        .ok_or_else(|| eyre::eyre!("the answer about job {id} is empty"))
}

fn has_reached(status: &JobStatus, state: JobState) -> bool {
    let is_whole = || status.tasks.iter().all(|task| task.state == "running");
    status.state() == state && (state != JobState::Running || is_whole())
}

fn is_ended(state: JobState) -> bool {
    let ended = [JobState::Succeeded, JobState::Failed, JobState::Cancelled];
    ended.contains(&state)
}

/// Prints what became of a job and where its tasks ran.
fn report(job: &Job, state: JobState, places: &[u32]) {
    let places: Vec<String> = places.iter().map(u32::to_string).collect();
    println!(
        "{}, {} x `{}`: {}; last seen on worker VMs: {}",
        job.class.as_str_name(),
        job.tasks,
        job.command,
        state.as_str_name(),
        places.join(" ")
    );
}
