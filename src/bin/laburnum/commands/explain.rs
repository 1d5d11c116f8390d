//! `laburnum explain`: says where a job would go now, or where the tasks of an accepted one wait, and why.

use std::path::PathBuf;

use argh::FromArgs;
use eyre::WrapErr;
use laburnumplank::api::schema::{
    ExplainPlacementRequest, ExplainPlacementResponse, PlacementStep, StepOutlook,
};

use crate::Context;
use crate::output::{Format, Listing, Usage};

/// explain where a job would go now, or where an accepted one waits, and why; changes nothing
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "{command_name} job.json --queue filings --account atelier",
    note = "The file lists the steps in JSON, as in the schema's PlacementStep:\n[{{\"tasks\": 4, \"need\": {{\"cpuMillis\": 500, \"memoryMib\": 256}}, \"estimateMs\": 900}}]\nThe entry is a laburnum-entry, at the address of its metrics."
)]
pub(crate) struct Options {
    /// the file with the steps of the job
    #[argh(positional)]
    file: Option<PathBuf>,

    /// the queue that the job would be submitted to
    #[argh(option, default = "String::new()")]
    queue: String,

    /// the client account that would submit it (default: none)
    #[argh(option, default = "String::new()")]
    account: String,

    /// an accepted job, in place of a file
    #[argh(option)]
    job: Option<String>,

    /// text or json (default: text)
    #[argh(option, default = "Format::Text")]
    format: Format,
}

pub(crate) async fn exec(context: &Context, options: Options) -> eyre::Result<()> {
    let request = request(&options)?;
    let response: ExplainPlacementResponse = context
        .client
        .call("Operator", "ExplainPlacement", &request)
        .await?;
    if options.format == Format::Text {
        print_summary(&response);
    }
    let listing = Listing {
        response: &response,
        columns: &[
            "step",
            "waiting",
            "running",
            "done",
            "decision",
            "starts in",
            "ends in",
            "where",
            "workers",
            "reason",
        ],
        rows: response.steps.iter().map(row).collect(),
    };
    listing.print(options.format)
}

fn request(options: &Options) -> eyre::Result<ExplainPlacementRequest> {
    match (&options.file, &options.job) {
        (Some(file), None) => Ok(ExplainPlacementRequest {
            queue: options.queue.clone(),
            account: options.account.clone(),
            steps: read_steps(file)?,
            ..ExplainPlacementRequest::default()
        }),
        (None, Some(job)) => Ok(ExplainPlacementRequest {
            job_id: job.clone(),
            ..ExplainPlacementRequest::default()
        }),
        _ => Err(Usage("give a file with the steps, or --job".to_owned()).into()),
    }
}

fn read_steps(file: &std::path::Path) -> eyre::Result<Vec<PlacementStep>> {
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("{} cannot be read", file.display()))?;
    serde_json::from_str(&text)
        .map_err(|error| Usage(format!("{} is no list of steps: {error}", file.display())).into())
}

fn print_summary(response: &ExplainPlacementResponse) {
    if response.accepted {
        println!(
            "accepted; {} steps of other jobs come first and wait for {} millicores",
            response.steps_ahead, response.cpu_millis_ahead
        );
    } else {
        println!(
            "refused: {}; retry after {} ms",
            response.refusal, response.retry_after_ms
        );
    }
    println!(
        "based on a claim confirmed {} ms ago and reports of up to {} ms ago; the log {}",
        response.claim_age_ms,
        response.oldest_report_ms,
        if response.log_available {
            "takes records"
        } else {
            "takes no records"
        }
    );
}

fn row(step: &StepOutlook) -> Vec<String> {
    let span = |ms: Option<u64>| ms.map_or_else(|| "-".to_owned(), |ms| format!("{ms} ms"));
    let placements = step.placements.iter();
    let placements = placements.map(|place| format!("{}x{}", place.tasks, place.worker));
    let workers = step.workers.iter();
    let workers = workers.map(|count| format!("{} {}", count.workers, count.state));
    vec![
        step.step.to_string(),
        step.waiting.to_string(),
        step.running.to_string(),
        step.done.to_string(),
        step.decision.clone(),
        span(step.starts_in_ms),
        span(step.ends_in_ms),
        placements.collect::<Vec<_>>().join(" "),
        workers.collect::<Vec<_>>().join(", "),
        step.reason.clone(),
    ]
}
