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

/// How long the calls go on.
const SPAN: Duration = Duration::from_secs(20);

/// Measures a kill and a planned stop.
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

/// What one caller saw.
#[derive(Clone, Default)]
struct Seen {
    /// When the last call that failed was sent, from the start on.
    last_error: Duration,
    errors: BTreeMap<Kind, u32>,
    answers: u32,
}

async fn measure(name: &str, signal: Signal) -> eyre::Result<Vec<String>> {
    let cell = Builder::new().service(SERVICE).start().await?;
    pause(Duration::from_secs(5)).await;
    let started = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| actix_rt::spawn(poll(client(&cell, caller % 2))))
        .collect();
    pause(Duration::from_secs(1)).await;
    let before = started.elapsed();
    cell.entries[2].process.signal(signal)?;
    let mut seen = Seen::default();
    for caller in callers {
        let one = caller.await?;
        seen.last_error = seen.last_error.max(one.last_error);
        for (kind, count) in one.errors {
            *seen.errors.entry(kind).or_default() += count;
        }
        seen.answers += one.answers;
    }
    let last = seen.last_error.saturating_sub(before);
    Ok(vec![
        name.to_owned(),
        format!("{:.2}", last.as_secs_f64()),
        format!("{:?}", seen.errors),
        seen.answers.to_string(),
    ])
}

fn client(cell: &Cell, entry: usize) -> Client {
    Client::new(&cell.url(entry, ""), CLIENT_TIMEOUT)
}

/// Calls with a new key again and again, so that each partition is met.
async fn poll(client: Client) -> Seen {
    let started = Instant::now();
    let mut seen = Seen::default();
    while started.elapsed() < SPAN {
        let sent = started.elapsed();
        let answer = client
            .call::<_, CallResponse>("Caller", "Call", &request())
            .await;
        match answer {
            Ok(_) => seen.answers += 1,
            Err(error) => {
                *seen.errors.entry(error.kind).or_default() += 1;
                seen.last_error = sent;
            }
        }
        pause(Duration::from_millis(20)).await;
    }
    seen
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
