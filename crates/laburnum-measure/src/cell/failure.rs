//! How long calls fail after an entry has ended, because a partition has no owner.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use laburnum_testkit::cell::{Builder, Cell};
use laburnum_testkit::process::Signal;
use laburnumplank::api::client::Client;
use laburnumplank::api::schema::{CallRequest, CallResponse, Priority};
use laburnumplank::core::error::Kind;
use uuid::Uuid;

use super::{CLIENT_TIMEOUT, SERVICE, pause};
use crate::report::{Report, Table};

/// Callers, each of which sends one call after another.
const CALLERS: usize = 16;

/// How long the callers send calls.
const SPAN: Duration = Duration::from_secs(20);

/// Measures the kill and the planned stop of an entry.
pub(super) async fn run(report: &mut Report) -> eyre::Result<()> {
    let mut table = Table::new(
        "Failures after the end of one of 3 entries, default leases, 16 callers of the others for 20 s",
        &[
            "end of one entry",
            "last call that failed, s after",
            "errors",
            "answers",
        ],
    );
    for (name, signal) in [
        ("SIGKILL", Signal::Kill),
        ("planned stop", Signal::Terminate),
    ] {
        table.row(measure(name, signal).await?);
    }
    report.tables.push(table);
    Ok(())
}

/// Results of the calls of one or more callers.
#[derive(Clone, Default)]
struct CallResults {
    /// Time from the start until the last call that failed was sent.
    last_error: Duration,
    errors: BTreeMap<Kind, u32>,
    answers: u32,
}

async fn measure(name: &str, signal: Signal) -> eyre::Result<Vec<String>> {
    let cell = Builder::new().service(SERVICE).start().await?;
    pause(Duration::from_secs(5)).await;
    let started = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| actix_rt::spawn(send_calls(client(&cell, caller % 2))))
        .collect();
    pause(Duration::from_secs(1)).await;
    let before = started.elapsed();
    cell.entries[2].process.signal(signal)?;
    let mut results = CallResults::default();
    for caller in callers {
        let of_caller = caller.await?;
        results.last_error = results.last_error.max(of_caller.last_error);
        for (kind, count) in of_caller.errors {
            *results.errors.entry(kind).or_default() += count;
        }
        results.answers += of_caller.answers;
    }
    let last = results.last_error.saturating_sub(before);
    Ok(vec![
        name.to_owned(),
        format!("{:.2}", last.as_secs_f64()),
        format!("{:?}", results.errors),
        results.answers.to_string(),
    ])
}

fn client(cell: &Cell, entry: usize) -> Client {
    Client::new(&cell.url(entry, ""), CLIENT_TIMEOUT)
}

/// Sends calls one after another, each with a new key, so that calls reach each partition.
async fn send_calls(client: Client) -> CallResults {
    let started = Instant::now();
    let mut results = CallResults::default();
    while started.elapsed() < SPAN {
        let sent = started.elapsed();
        let answer = client
            .call::<_, CallResponse>("Caller", "Call", &request())
            .await;
        match answer {
            Ok(_) => results.answers += 1,
            Err(error) => {
                *results.errors.entry(error.kind).or_default() += 1;
                results.last_error = sent;
            }
        }
        pause(Duration::from_millis(20)).await;
    }
    results
}

fn request() -> CallRequest {
    CallRequest {
        service: SERVICE.to_owned(),
        method: "echo".to_owned(),
        body: b"dossier".to_vec(),
        key: Uuid::now_v7().to_string(),
        timeout_ms: 1_000,
        priority: Priority::Normal.into(),
        caller: "measurement".to_owned(),
        ..CallRequest::default()
    }
}
