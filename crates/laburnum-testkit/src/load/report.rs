//! The counts and latencies of the calls.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use laburnumplank::core::workload::Priority;
use serde::Serialize;

use super::{Outcome, priority_name};

/// The largest latency that the histograms resolve, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// The significant digits of recorded latencies.
const DIGITS: u8 = 3;

/// The counts and latencies of one priority.
#[derive(Clone, Debug)]
struct Tally {
    sent: u64,
    skipped: u64,
    mixed: u64,
    /// Latencies of answered calls, in microseconds.
    latencies: Histogram<u64>,
    errors: BTreeMap<String, u64>,
}

/// The results of a load run.
#[derive(Clone, Debug)]
pub struct Report {
    duration: Duration,
    open: usize,
    /// One tally per priority, in the order of [`Priority::ALL`].
    tallies: [Tally; Priority::ALL.len()],
}

/// The results of one priority.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The name of the priority.
    pub priority: &'static str,
    /// The number of calls sent.
    pub sent: u64,
    /// Calls not sent because too many were open when they were due.
    pub skipped: u64,
    /// Calls that received their own response.
    pub answered: u64,
    /// Calls that received the response of another call.
    pub mixed: u64,
    /// Answered calls per second, averaged over the time in which calls were sent.
    pub answered_per_second: f64,
    /// The median latency of answered calls, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// The 99.9th percentile of the latency, in milliseconds.
    pub p999_ms: f64,
    /// The maximum latency, in milliseconds.
    pub max_ms: f64,
    /// The number of failed calls by error kind.
    pub errors: BTreeMap<String, u64>,
}

impl Report {
    pub(super) fn new(duration: Duration) -> eyre::Result<Report> {
        let tally = Tally::new()?;
        Ok(Report {
            duration,
            open: 0,
            tallies: Priority::ALL.map(|_| tally.clone()),
        })
    }

    /// Returns the number of open calls.
    pub(super) fn open(&self) -> usize {
        self.open
    }

    pub(super) fn open_call(&mut self, priority: Priority) {
        self.open += 1;
        self.tally(priority).sent += 1;
    }

    pub(super) fn skip(&mut self, priority: Priority) {
        self.tally(priority).skipped += 1;
    }

    pub(super) fn close_call(&mut self, priority: Priority, latency: Duration, outcome: Outcome) {
        self.open -= 1;
        let tally = self.tally(priority);
        match outcome {
            Outcome::Answered => tally
                .latencies
                .saturating_record(latency.as_micros() as u64),
            Outcome::Mixed => tally.mixed += 1,
            Outcome::Failed(error) => {
                let kind = format!("{:?}", error.kind);
                *tally.errors.entry(kind).or_default() += 1;
            }
        }
    }

    /// Returns one row per priority, from the most to the least urgent.
    pub fn rows(&self) -> Vec<Row> {
        let seconds = self.duration.as_secs_f64();
        Priority::ALL
            .into_iter()
            .zip(&self.tallies)
            .map(|(priority, tally)| tally.row(priority, seconds))
            .collect()
    }

    fn tally(&mut self, priority: Priority) -> &mut Tally {
        &mut self.tallies[priority as usize]
    }
}

impl Tally {
    fn new() -> eyre::Result<Tally> {
        Ok(Tally {
            sent: 0,
            skipped: 0,
            mixed: 0,
            latencies: Histogram::new_with_max(MAX_LATENCY_US, DIGITS)?,
            errors: BTreeMap::new(),
        })
    }

    fn row(&self, priority: Priority, seconds: f64) -> Row {
        let at = |quantile| self.latencies.value_at_quantile(quantile) as f64 / 1_000.0;
        Row {
            priority: priority_name(priority),
            sent: self.sent,
            skipped: self.skipped,
            answered: self.latencies.len(),
            mixed: self.mixed,
            answered_per_second: self.latencies.len() as f64 / seconds,
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            max_ms: at(1.0),
            errors: self.errors.clone(),
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            out,
            "{:8} {:>9} {:>9} {:>9} {:>6} {:>9} {:>9} {:>9} {:>9} {:>9}  errors",
            "priority",
            "sent",
            "skipped",
            "answered",
            "mixed",
            "per s",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "max ms"
        )?;
        for row in self.rows() {
            writeln!(out, "{row}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Row {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{:8} {:>9} {:>9} {:>9} {:>6} {:>9.1} {:>9.2} {:>9.2} {:>9.2} {:>9.2} ",
            self.priority,
            self.sent,
            self.skipped,
            self.answered,
            self.mixed,
            self.answered_per_second,
            self.p50_ms,
            self.p99_ms,
            self.p999_ms,
            self.max_ms
        )?;
        for (kind, count) in &self.errors {
            write!(out, " {kind}={count}")?;
        }
        Ok(())
    }
}
