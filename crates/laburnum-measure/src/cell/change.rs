//! Time until a configuration change is in force on all entries, and until an urgent job runs.

use std::time::{Duration, Instant};

use laburnum_testkit::cell::{Builder, Cell};
use laburnumplank::api::client::Client;
use laburnumplank::api::schema::{
    Amount, GetConfigRequest, GetConfigResponse, GetJobRequest, GetJobResponse, JobClass, JobSpec,
    PutConfigRequest, PutConfigResponse, SubmitJobRequest, SubmitJobResponse,
};
use serde_json::json;
use uuid::Uuid;

use super::{CLIENT_TIMEOUT, SERVICE, pause, quantile_ms};
use crate::report::{Report, Table};

/// Number of configuration changes, and of urgent jobs.
const SAMPLES: u64 = 50;

/// Entries of the cell.
const ENTRIES: u32 = 6;

/// The interval between two polls.
const POLL: Duration = Duration::from_millis(2);

/// How long a change may take to be in force, or a job to run.
const LIMIT: Duration = Duration::from_secs(20);

/// Measures configuration changes, then urgent jobs.
pub(super) async fn run(report: &mut Report) -> eyre::Result<()> {
    let cell = Builder::new()
        .entries(ENTRIES)
        .service(SERVICE)
        .start()
        .await?;
    pause(Duration::from_secs(5)).await;
    let clients: Vec<Client> = (0..cell.entries.len())
        .map(|entry| Client::new(&cell.url(entry, ""), CLIENT_TIMEOUT))
        .collect();
    let mut table = Table::new(
        "Reactions of a cell of 6 entries, 50 samples each",
        &["reaction", "p50 ms", "p99 ms"],
    );
    let mut changes = Vec::new();
    for base in 0..SAMPLES {
        changes.push(change(&clients, base).await?);
    }
    table.row(row("configuration in force on all entries", &mut changes));
    let mut jobs = Vec::new();
    for index in 0..SAMPLES {
        jobs.push(urgent(&cell, &clients[index as usize % clients.len()]).await?);
    }
    table.row(row("urgent job of one task running", &mut jobs));
    report.tables.push(table);
    Ok(())
}

fn row(name: &str, samples: &mut [Duration]) -> [String; 3] {
    let p50 = quantile_ms(samples, 0.5);
    let p99 = quantile_ms(samples, 0.99);
    [name.to_owned(), format!("{p50:.1}"), format!("{p99:.1}")]
}

async fn change(clients: &[Client], base: u64) -> eyre::Result<Duration> {
    let document = json!({
        "teams": { "bars": { "cpu_millis": 100_000 + base, "memory_mib": 1_000_000, "accelerators": 8 } }
    });
    let started = Instant::now();
    let request = PutConfigRequest {
        base_version: base,
        author: "measurement".to_owned(),
        document: document.to_string(),
        ..PutConfigRequest::default()
    };
    let client = &clients[base as usize % clients.len()];
    let put: PutConfigResponse = client.call("Operator", "PutConfig", &request).await?;
    for client in clients {
        while version(client).await? < put.version {
            eyre::ensure!(
                started.elapsed() < LIMIT,
                "version {} is not in force on all entries",
                put.version
            );
            pause(POLL).await;
        }
    }
    Ok(started.elapsed())
}

async fn version(client: &Client) -> eyre::Result<u64> {
    let request = GetConfigRequest { version: 0 };
    let answer: GetConfigResponse = client.call("Operator", "GetConfig", &request).await?;
    Ok(answer.config.map_or(0, |config| config.version))
}

async fn urgent(cell: &Cell, client: &Client) -> eyre::Result<Duration> {
    let started = Instant::now();
    let request = SubmitJobRequest {
        key: Uuid::now_v7().to_string(),
        spec: Some(spec()),
    };
    let job: SubmitJobResponse = client.call("Caller", "SubmitJob", &request).await?;
    let request = GetJobRequest { job_id: job.job_id };
    loop {
        let answer: GetJobResponse = client.call("Caller", "GetJob", &request).await?;
        let tasks = answer.job.unwrap_or_default().tasks;
        if tasks.iter().any(|task| task.state == "running") {
            return Ok(started.elapsed());
        }
        let count = cell.entries.len();
        eyre::ensure!(
            started.elapsed() < LIMIT,
            "the job does not run in a cell of {count} entries: {tasks:?}"
        );
        pause(POLL).await;
    }
}

fn spec() -> JobSpec {
    JobSpec {
        class: JobClass::Urgent.into(),
        team: "bars".to_owned(),
        tasks: 1,
        size: Some(Amount {
            cpu_millis: 100,
            memory_mib: 64,
            accelerators: 0,
        }),
        command: "sleep 1000".to_owned(),
        run_time_ms: 1_000,
        ..JobSpec::default()
    }
}
