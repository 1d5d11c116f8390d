//! `laburnum job`: submits, reads, cancels, watches, explains and lists jobs.

use argh::FromArgs;
use laburnumplank::api::schema::{
    Amount, CancelJobRequest, CancelJobResponse, ExplainJobRequest, ExplainJobResponse,
    GetJobRequest, GetJobResponse, JobClass, JobSpec, JobState, JobStatus, ListJobsRequest,
    ListJobsResponse, SubmitJobRequest, SubmitJobResponse, WatchJobRequest, WatchJobResponse,
};
use uuid::Uuid;

use crate::Context;
use crate::output::{Format, Listing, Usage};

/// How long one watch request waits for a change, in milliseconds.
const WATCH_WAIT_MS: u32 = 5_000;

/// submit, read, cancel, watch, explain and list jobs
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "job",
    example = "{command_name} list --format json"
)]
pub(crate) struct Options {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Submit(Submit),
    Get(Get),
    Cancel(Cancel),
    Watch(Watch),
    Explain(Explain),
    List(List),
}

/// submit a job and print its id
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "submit",
    example = "{command_name} --class batch --team bars --tasks 4 --cpu-millis 500 --memory-mib 256 --run 'sleep 1000'"
)]
struct Submit {
    /// urgent, service, gang or batch
    #[argh(option)]
    class: String,

    /// the team whose quota the job uses
    #[argh(option)]
    team: String,

    /// similar jobs share a family (default: the team)
    #[argh(option, default = "String::new()")]
    family: String,

    /// how many tasks (default: 1)
    #[argh(option, default = "1")]
    tasks: u32,

    /// processors of each task, in thousandths of a core (default: 1000)
    #[argh(option, default = "1_000")]
    cpu_millis: u64,

    /// memory of each task, in MiB (default: 512)
    #[argh(option, default = "512")]
    memory_mib: u64,

    /// accelerators of each task (default: 0)
    #[argh(option, default = "0")]
    accelerators: u64,

    /// what each task runs
    #[argh(option)]
    run: String,

    /// the estimated run time of a task, in milliseconds (default: 0)
    #[argh(option, default = "0")]
    run_time_ms: u64,

    /// the job's key, a UUID version 7 (default: a new one)
    #[argh(option)]
    key: Option<String>,
}

/// read one job
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "get",
    example = "{command_name} 0197a0c0-0000-7000-8000-000000000000"
)]
struct Get {
    /// the job
    #[argh(positional)]
    id: String,

    /// text or json (default: text)
    #[argh(option, default = "Format::Text")]
    format: Format,
}

/// cancel one job; cancelling twice changes nothing
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "cancel",
    example = "{command_name} 0197a0c0-0000-7000-8000-000000000000"
)]
struct Cancel {
    /// the job
    #[argh(positional)]
    id: String,

    /// text or json (default: text)
    #[argh(option, default = "Format::Text")]
    format: Format,
}

/// wait until a job ends; fails when the job does not succeed
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "watch",
    example = "{command_name} 0197a0c0-0000-7000-8000-000000000000"
)]
struct Watch {
    /// the job
    #[argh(positional)]
    id: String,

    /// text or json (default: text)
    #[argh(option, default = "Format::Text")]
    format: Format,
}

/// explain why a job waits
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "{command_name} 0197a0c0-0000-7000-8000-000000000000"
)]
struct Explain {
    /// the job
    #[argh(positional)]
    id: String,

    /// text or json (default: text)
    #[argh(option, default = "Format::Text")]
    format: Format,
}

/// list jobs
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "list",
    example = "{command_name} --team bars --ended --format json"
)]
struct List {
    /// list only jobs of this team (default: all teams)
    #[argh(option, default = "String::new()")]
    team: String,

    /// list jobs that ended, too
    #[argh(switch)]
    ended: bool,

    /// text or json (default: text)
    #[argh(option, default = "Format::Text")]
    format: Format,
}

pub(crate) async fn exec(context: &Context, options: Options) -> eyre::Result<()> {
    match options.command {
        Command::Submit(options) => submit(context, options).await,
        Command::Get(options) => {
            let request = GetJobRequest { job_id: options.id };
            let response: GetJobResponse =
                context.client.call("Caller", "GetJob", &request).await?;
            print_jobs(&response, response.job.as_slice(), options.format)
        }
        Command::Cancel(options) => {
            let request = CancelJobRequest { job_id: options.id };
            let response: CancelJobResponse =
                context.client.call("Caller", "CancelJob", &request).await?;
            print_jobs(&response, response.job.as_slice(), options.format)
        }
        Command::Watch(options) => watch(context, options).await,
        Command::Explain(options) => explain(context, options).await,
        Command::List(options) => {
            let request = ListJobsRequest {
                team: options.team,
                ended: options.ended,
            };
            let response: ListJobsResponse = context
                .client
                .call("Operator", "ListJobs", &request)
                .await?;
            print_jobs(&response, &response.jobs, options.format)
        }
    }
}

async fn submit(context: &Context, options: Submit) -> eyre::Result<()> {
    let class = class(&options.class)?;
    let size = Amount {
        cpu_millis: options.cpu_millis,
        memory_mib: options.memory_mib,
        accelerators: options.accelerators,
    };
    let spec = JobSpec {
        class: class.into(),
        team: options.team,
        family: options.family,
        tasks: options.tasks,
        size: Some(size),
        command: options.run,
        run_time_ms: options.run_time_ms,
        ..JobSpec::default()
    };
    let key = options.key.unwrap_or_else(|| Uuid::now_v7().to_string());
    let request = SubmitJobRequest {
        key,
        spec: Some(spec),
    };
    let response: SubmitJobResponse = context.client.call("Caller", "SubmitJob", &request).await?;
    println!("{}", response.job_id);
    Ok(())
}

async fn watch(context: &Context, options: Watch) -> eyre::Result<()> {
    let mut revision = 0;
    loop {
        let request = WatchJobRequest {
            job_id: options.id.clone(),
            revision,
            wait_ms: WATCH_WAIT_MS,
        };
        let response: WatchJobResponse =
            context.client.call("Caller", "WatchJob", &request).await?;
        let job = response.job.clone().unwrap_or_default();
        revision = job.revision;
        match job.state() {
            JobState::Succeeded => {
                return print_jobs(&response, response.job.as_slice(), options.format);
            }
            JobState::Failed | JobState::Cancelled => {
                print_jobs(&response, response.job.as_slice(), options.format)?;
                eyre::bail!("job {} did not succeed: {}", job.job_id, job.reason);
            }
            JobState::Unspecified | JobState::Pending | JobState::Running => {}
        }
    }
}

async fn explain(context: &Context, options: Explain) -> eyre::Result<()> {
    let request = ExplainJobRequest { job_id: options.id };
    let response: ExplainJobResponse = context
        .client
        .call("Caller", "ExplainJob", &request)
        .await?;
    if options.format == Format::Text {
        println!("waiting for: {}", response.waiting_for);
        println!(
            "position: {}; estimate: {} ms",
            response.position, response.estimate_ms
        );
    }
    let rows = response
        .refusals
        .iter()
        .map(|refusal| vec![refusal.filter.clone(), refusal.workers.to_string()]);
    let listing = Listing {
        response: &response,
        columns: &["filter", "workers"],
        rows: rows.collect(),
    };
    listing.print(options.format)
}

fn print_jobs<T: serde::Serialize>(
    response: &T,
    jobs: &[JobStatus],
    format: Format,
) -> eyre::Result<()> {
    let columns = [
        "job", "class", "team", "state", "tasks", "running", "reason",
    ];
    let listing = Listing {
        response,
        columns: &columns,
        rows: jobs.iter().map(row).collect(),
    };
    listing.print(format)
}

fn row(job: &JobStatus) -> Vec<String> {
    let spec = job.spec.clone().unwrap_or_default();
    let running = job
        .tasks
        .iter()
        .filter(|task| task.state == "running")
        .count();
    vec![
        job.job_id.clone(),
        last_word(spec.class().as_str_name()),
        spec.team.clone(),
        last_word(job.state().as_str_name()),
        spec.tasks.to_string(),
        running.to_string(),
        job.reason.clone(),
    ]
}

/// Returns the last word of an enum value's name in the schema, in lower case.
fn last_word(name: &str) -> String {
    name.rsplit('_').next().unwrap_or_default().to_lowercase()
}

fn class(name: &str) -> Result<JobClass, Usage> {
    match name {
        "urgent" => Ok(JobClass::Urgent),
        "service" => Ok(JobClass::Service),
        "gang" => Ok(JobClass::Gang),
        "batch" => Ok(JobClass::Batch),
        _ => Err(Usage(format!(
            "`{name}` is not a class; give urgent, service, gang or batch"
        ))),
    }
}
