//! Streams and configuration: appends, replay, the cost of a change and how long it takes to be in
//! force everywhere.

mod batching;
mod change;
mod propagation;
mod replay;

use std::fs;
use std::time::Duration;

use laburnumplank::core::config::{Body, Change, FORMAT, Version};
use laburnumplank::core::id::{Incarnation, Node, Vm};
use laburnumplank::core::stream::Name;
use laburnumplank::core::time::Stamp;
use uuid::Uuid;

use crate::report::Report;

/// Changes of configuration a day at the target size.
const CHANGES_PER_DAY: f64 = 87_000.0;

/// Seconds of a day.
const DAY_S: f64 = 86_400.0;

/// Numbers of entry VMs to measure.
const ENTRIES: [u32; 3] = [9, 100, 400];

/// Runs the measurement.
///
/// # Errors
///
/// Fails when a record is lost, a change is rejected or a region has not exactly one node that reads
/// the log.
pub fn run() -> eyre::Result<Report> {
    let mut report = Report::new("stream");
    report.tables.push(batching::measure()?);
    report.tables.push(replay::measure()?);
    report.tables.push(change::measure_cost()?);
    report.tables.push(change::measure_conflicts());
    report.tables.push(propagation::measure_healthy()?);
    report.tables.push(propagation::measure_takeover()?);
    Ok(report)
}

fn name(text: &str) -> Name {
    Name(text.to_owned())
}

fn node(vm: u32) -> Node {
    Node {
        vm: Vm(vm),
        incarnation: Incarnation(1),
    }
}

/// Returns a patch of one team's weight, made against `base`.
fn change(number: u64, base: Version, team: u64) -> Change {
    let weight = number % 1_000 + 1;
    Change {
        id: Uuid::from_u128(u128::from(number)),
        format: FORMAT,
        base,
        author: "operator".to_owned(),
        at: Stamp(number),
        body: Body::Patch(format!(
            r#"{{"teams":{{"team-{team}":{{"weight":{weight}}}}}}}"#
        )),
    }
}

/// Returns the quantile `share` of sorted spans, or zero when there are none.
fn quantile(sorted: &[Duration], share: f64) -> Duration {
    let index = (sorted.len() as f64 * share) as usize;
    sorted
        .get(index.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}

/// Returns a span in milliseconds as text.
fn millis(span: Duration) -> String {
    format!("{:.1}", span.as_secs_f64() * 1e3)
}

/// Returns this process's resident memory in kilobytes.
fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
