//! Cost of leases and membership, and the time that a partition is without an owner.
//!
//! Everything but the cost of a step and the memory runs on a simulated clock: an append takes
//! 10 ms, a record 2 to 12 ms to a reader, a message 1 to 9 ms, and tables tick every 50 ms.

mod cell;
mod cost;
mod heartbeat;

use std::time::Duration;

use hdrhistogram::Histogram;
use laburnumplank::core::lease::Settings;

use self::cell::Cell;
use crate::report::{Plot, Report, Series, Table};

/// How often the owners of partitions are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// How long the owners are sampled after a node has ended.
const OBSERVATION: Duration = Duration::from_secs(20);

/// Runs the measurement.
///
/// # Errors
///
/// Fails when a partition gets no owner, the end of a node stays undetected or a table misses a
/// renewal.
pub fn run() -> eyre::Result<Report> {
    let mut report = Report::new("lease");
    report.tables.push(takeover()?);
    let (table, plot) = traffic()?;
    report.tables.push(table);
    report.plots.push(plot);
    report.tables.push(outage()?);
    report.tables.push(heartbeat::traffic()?);
    report.tables.push(cost::steps()?);
    report.tables.push(cost::memory());
    Ok(report)
}

/// How a node ends.
#[derive(Clone, Copy)]
enum End {
    Kill,
    Stop,
}

/// Measures the time without an owner after a node ended.
fn takeover() -> eyre::Result<Table> {
    let columns = [
        "end",
        "lease s",
        "partitions seen",
        "p50 ms",
        "p99 ms",
        "max ms",
    ];
    let mut table = Table::new("Time without an owner, 9 entries, 64 partitions", &columns);
    let ends = [
        ("kill", 10, End::Kill),
        ("kill", 5, End::Kill),
        ("kill", 3, End::Kill),
        ("planned stop", 10, End::Stop),
    ];
    for (name, lease, end) in ends {
        let settings = Settings::builder().duration(Duration::from_secs(lease));
        let settings = settings.build();
        let mut gaps = Histogram::<u64>::new(3)?;
        for seed in 0..20 {
            observe_takeover(end, settings, seed, &mut gaps)?;
        }
        table.row([
            name.to_owned(),
            lease.to_string(),
            gaps.len().to_string(),
            gaps.value_at_quantile(0.5).to_string(),
            gaps.value_at_quantile(0.99).to_string(),
            gaps.max().to_string(),
        ]);
    }
    Ok(table)
}

/// Ends one node and records for how many milliseconds each of its partitions has no owner.
fn observe_takeover(
    end: End,
    settings: Settings,
    seed: u64,
    gaps: &mut Histogram<u64>,
) -> eyre::Result<()> {
    const NODES: u32 = 9;
    const PARTITIONS: u16 = 64;
    let mut cell = Cell::new(NODES, PARTITIONS, settings, seed);
    cell.run(Duration::from_millis(seed * 167));
    let ended = seed as usize % NODES as usize;
    let owned: Vec<u16> = (0..PARTITIONS)
        .filter(|&partition| cell.owner(partition) == Some(ended))
        .collect();
    let detected_after = match end {
        End::Kill => Duration::from_secs(9),
        End::Stop => Duration::from_secs(1),
    };
    match end {
        End::Kill => cell.kill(ended),
        End::Stop => cell.stop(ended),
    }
    let mut samples_without_owner = vec![0_u64; owned.len()];
    let steps = |span: Duration| (span.as_millis() / SAMPLE_INTERVAL.as_millis()) as u64;
    for step in 0..steps(OBSERVATION) {
        cell.run(SAMPLE_INTERVAL);
        if step == steps(detected_after) {
            cell.exclude(ended);
        }
        for (count, &partition) in samples_without_owner.iter_mut().zip(&owned) {
            *count += u64::from(cell.owner(partition).is_none());
        }
    }
    for (count, &partition) in samples_without_owner.into_iter().zip(&owned) {
        let owner = cell.owner(partition);
        eyre::ensure!(
            owner.is_some_and(|owner| owner != ended),
            "partition {partition} has no new owner"
        );
        gaps.record(count * SAMPLE_INTERVAL.as_millis() as u64)?;
    }
    Ok(())
}

/// Measures appends and bytes in a cell without failures.
fn traffic() -> eyre::Result<(Table, Plot)> {
    const SPAN: Duration = Duration::from_secs(20);
    let columns = [
        "entries",
        "partitions",
        "lease s",
        "appends/s in all",
        "B/s in all",
        "B/s for each partition",
        "B an append",
    ];
    let mut table = Table::new("Appends to the lease stream in a quiet cell", &columns);
    let mut series = Vec::new();
    for (nodes, lease) in [(9, 10), (40, 10), (160, 10), (160, 30)] {
        let mut points = Vec::new();
        for partitions in [64, 256, 1_024] {
            let settings = Settings::builder().duration(Duration::from_secs(lease));
            let mut cell = Cell::new(nodes, partitions, settings.build(), 1);
            let owned: usize = cell::owned_counts(&cell, partitions).values().sum();
            eyre::ensure!(owned == usize::from(partitions), "{owned} partitions owned");
            let before = cell.traffic;
            cell.run(SPAN);
            let seconds = SPAN.as_secs_f64();
            let appends = (cell.traffic.appends - before.appends) as f64;
            let bytes = (cell.traffic.append_bytes - before.append_bytes) as f64;
            points.push((f64::from(partitions), bytes / seconds));
            table.row([
                nodes.to_string(),
                partitions.to_string(),
                lease.to_string(),
                format!("{:.1}", appends / seconds),
                format!("{:.0}", bytes / seconds),
                format!("{:.2}", bytes / seconds / f64::from(partitions)),
                format!("{:.0}", bytes / appends),
            ]);
        }
        series.push(Series {
            label: format!("{nodes} entries, {lease} s"),
            points,
        });
    }
    let plot = Plot {
        title: "Bytes to the lease stream".to_owned(),
        x_label: "partitions".to_owned(),
        y_label: "B/s".to_owned(),
        series,
    };
    Ok((table, plot))
}

/// Measures the messages that carry lease promises while the log is down.
fn outage() -> eyre::Result<Table> {
    const SPAN: Duration = Duration::from_secs(600);
    let columns = [
        "entries",
        "partitions",
        "still owned after 10 min",
        "messages/s for each entry",
        "B/s for each entry",
    ];
    let mut table = Table::new("Promises while the log is down", &columns);
    for (nodes, partitions) in [(9, 64), (40, 256)] {
        let mut cell = Cell::new(nodes, partitions, Settings::default(), 1);
        cell.set_log(false);
        let before = cell.traffic;
        cell.run(SPAN);
        let owned: usize = cell::owned_counts(&cell, partitions).values().sum();
        let entry_seconds = SPAN.as_secs_f64() * f64::from(nodes);
        let messages = (cell.traffic.messages - before.messages) as f64;
        let bytes = (cell.traffic.message_bytes - before.message_bytes) as f64;
        table.row([
            nodes.to_string(),
            partitions.to_string(),
            owned.to_string(),
            format!("{:.2}", messages / entry_seconds),
            format!("{:.0}", bytes / entry_seconds),
        ]);
    }
    Ok(table)
}
