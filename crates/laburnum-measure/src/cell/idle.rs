//! Cost of an entry that receives no requests.

use std::time::Duration;

use laburnum_testkit::cell::Builder;

use super::fit;
use super::usage::{Rates, Sample};
use super::{SERVICE, pause};
use crate::report::{Plot, Report, Series, Table};

/// How long a cell settles before it is measured.
const SETTLE: Duration = Duration::from_secs(5);

/// How long a cell is measured.
const SPAN: Duration = Duration::from_secs(6);

/// Entries of the cells with few workers.
const ENTRIES: [u32; 4] = [3, 6, 9, 18];

/// Workers of the cells with few entries.
const WORKERS: [u32; 4] = [8, 64, 256, 512];

/// Entries of the cells whose workers are varied.
const FEW_ENTRIES: u32 = 3;

/// Workers of the cells whose entries are varied.
const FEW_WORKERS: u32 = 8;

/// Measures cells by the number of entries, then by the number of workers.
pub(super) async fn run(report: &mut Report) -> eyre::Result<()> {
    let mut by_entries = Vec::new();
    for entries in ENTRIES {
        by_entries.push((f64::from(entries), measure(entries, FEW_WORKERS).await?));
    }
    add(report, "entries, 8 workers in the cell", &by_entries);
    let mut by_workers = Vec::new();
    for workers in WORKERS {
        by_workers.push((f64::from(workers), measure(FEW_ENTRIES, workers).await?));
    }
    add(report, "workers, 3 entries in the cell", &by_workers);
    Ok(())
}

async fn measure(entries: u32, workers: u32) -> eyre::Result<Rates> {
    let cell = Builder::new()
        .entries(entries)
        .workers(workers)
        .service(SERVICE)
        .start()
        .await?;
    pause(SETTLE).await;
    let first = Sample::take(&cell).await?;
    pause(SPAN).await;
    let last = Sample::take(&cell).await?;
    let rates = last.since(&first, cell.entries.len());
    eprintln!("idle, {entries} entries, {workers} workers: {rates:?}");
    Ok(rates)
}

/// Adds a table with the fitted base and slope of each column, and a plot of the CPU time.
fn add(report: &mut Report, by: &str, rows: &[(f64, Rates)]) {
    let columns = [
        by,
        "CPU % of a core",
        "memory MB",
        "peer KB/s sent",
        "log KB/s",
        "appends/s, whole cell",
    ];
    let mut table = Table::new(&format!("An idle entry by {by}"), &columns);
    for (count, rates) in rows {
        let cells = values(rates).map(|value| format!("{value:.3}"));
        table.row([format!("{count}")].into_iter().chain(cells));
    }
    let lines: Vec<fit::Line> = (0..values(&rows[0].1).len())
        .map(|column| fit::line(&points(rows, column)))
        .collect();
    let bases = lines.iter().map(|line| format!("{:.4}", line.base));
    table.row(["at none".to_owned()].into_iter().chain(bases));
    let slopes = lines.iter().map(|line| format!("{:.5}", line.slope));
    table.row(["for each".to_owned()].into_iter().chain(slopes));
    report.tables.push(table);
    report.plots.push(Plot {
        title: format!("CPU of an idle entry by {by}"),
        x_label: by.to_owned(),
        y_label: "CPU % of a core".to_owned(),
        series: vec![Series {
            label: "CPU".to_owned(),
            points: points(rows, 0),
        }],
    });
}

fn points(rows: &[(f64, Rates)], column: usize) -> Vec<(f64, f64)> {
    rows.iter()
        .map(|(count, rates)| (*count, values(rates)[column]))
        .collect()
}

fn values(rates: &Rates) -> [f64; 5] {
    [
        rates.cpu_percent,
        rates.memory_mb,
        rates.peer_kb,
        rates.log_kb,
        rates.appends,
    ]
}
