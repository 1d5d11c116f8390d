//! Processor time of a call at the entries, and its latency, by priority and rate.

use std::time::Duration;

use laburnum_testkit::cell::{Builder, Cell};
use laburnum_testkit::load::{self, Mix, priority_name};
use laburnumplank::core::workload::Priority;

use super::usage::Sample;
use super::{SERVICE, pause};
use crate::report::{Report, Table};

/// Rates of calls per second.
const RATES: [f64; 3] = [100.0, 400.0, 800.0];

/// How long each rate is kept.
const SPAN: Duration = Duration::from_secs(4);

/// How long the cell settles before it is measured.
const SETTLE: Duration = Duration::from_secs(5);

/// Targets of the cell; they must not be the bottleneck.
const TARGETS: u32 = 16;

/// The method that is called.
const METHOD: &str = "sleep/2";

/// Measures each priority at each rate.
pub(super) async fn run(report: &mut Report) -> eyre::Result<()> {
    let cell = Builder::new()
        .targets(TARGETS)
        .service(SERVICE)
        .start()
        .await?;
    pause(SETTLE).await;
    let columns = [
        "priority",
        "calls/s",
        "answered",
        "not answered",
        "CPU ms per call, all entries",
        "p50 ms",
        "p99 ms",
    ];
    let title = "Calls with a key through 3 entries to 16 targets, idle cost included";
    let mut table = Table::new(title, &columns);
    for priority in Priority::ALL {
        for rate in RATES {
            table.row(measure(&cell, priority, rate).await?);
        }
    }
    report.tables.push(table);
    Ok(())
}

async fn measure(cell: &Cell, priority: Priority, rate: f64) -> eyre::Result<Vec<String>> {
    let entries = (0..cell.entries.len())
        .map(|entry| cell.url(entry, ""))
        .collect();
    let first = Sample::take(cell).await?;
    let result = load::Builder::new(entries, SERVICE)
        .mix(mix(priority))
        .rate(rate)
        .duration(SPAN)
        .run()
        .await?;
    let used = Sample::take(cell).await?.since(&first, cell.entries.len());
    let name = priority_name(priority);
    let rows = result.rows();
    let row = rows.iter().find(|row| row.priority == name);
    let row = row.ok_or_else(|| eyre::eyre!("no calls of priority {name}"))?;
    let cost = used.cpu_seconds * 1e3 / row.answered as f64;
    eprintln!("{name} at {rate} calls/s: {row:?}");
    Ok(vec![
        name.to_owned(),
        format!("{rate:.0}"),
        row.answered.to_string(),
        (row.sent + row.skipped - row.answered).to_string(),
        format!("{cost:.3}"),
        format!("{:.1}", row.p50_ms),
        format!("{:.1}", row.p99_ms),
    ])
}

/// Returns a mix that calls `METHOD` with one priority only.
fn mix(only: Priority) -> Mix {
    let mut mix = Mix::default();
    for priority in Priority::ALL {
        mix.share_mut(priority).weight = u32::from(priority == only);
        METHOD.clone_into(&mut mix.share_mut(priority).method);
    }
    mix
}
