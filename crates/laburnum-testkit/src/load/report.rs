//! What became of the calls.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use laburnumplank::core::workload::Priority;
use serde::Serialize;

use super::{End, priority_name};

/// The longest time that is told apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// Significant digits of times.
const DIGITS: u8 = 3;

/// The calls of one priority.
#[derive(Clone, Debug)]
struct Tally {
    sent: u64,
    skipped: u64,
    mixed: u64,
    /// Times of answered calls, in microseconds.
    times: Histogram<u64>,
    errors: BTreeMap<String, u64>,
}

/// What became of all calls.
#[derive(Clone, Debug)]
pub struct Report {
    span: Duration,
    open: usize,
    /// In the order of [`Priority::ALL`].
    tallies: [Tally; Priority::ALL.len()],
}

/// One row of the report.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The priority.
    pub priority: &'static str,
    /// Calls sent.
    pub sent: u64,
    /// Calls that were due while too many were open, and not sent.
    pub skipped: u64,
    /// Calls answered with their own answer.
    pub answered: u64,
    /// Calls answered with the answer of another call.
    pub mixed: u64,
    /// Answers a second over the span of the load.
    pub answered_per_second: f64,
    /// The median time of answered calls, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// The 99.9th percentile, in milliseconds.
    pub p999_ms: f64,
    /// The longest time, in milliseconds.
    pub max_ms: f64,
    /// Errors by their kind.
    pub errors: BTreeMap<String, u64>,
}

impl Report {
    pub(super) fn new(span: Duration) -> eyre::Result<Report> {
        let tally = Tally::new()?;
        Ok(Report {
            span,
            open: 0,
            tallies: Priority::ALL.map(|_| tally.clone()),
        })
    }

    /// Returns how many calls are open.
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

    pub(super) fn close_call(&mut self, priority: Priority, time: Duration, end: End) {
        self.open -= 1;
        let tally = self.tally(priority);
        match end {
            End::Answered => tally.times.saturating_record(time.as_micros() as u64),
            End::Mixed => tally.mixed += 1,
            End::Failed(error) => {
                let kind = format!("{:?}", error.kind);
                *tally.errors.entry(kind).or_default() += 1;
            }
        }
    }

    /// Returns one row for each priority, most pressing first.
    pub fn rows(&self) -> Vec<Row> {
        let seconds = self.span.as_secs_f64();
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
            times: Histogram::new_with_max(LONGEST_US, DIGITS)?,
            errors: BTreeMap::new(),
        })
    }

    fn row(&self, priority: Priority, seconds: f64) -> Row {
        let at = |quantile| self.times.value_at_quantile(quantile) as f64 / 1_000.0;
        Row {
            priority: priority_name(priority),
            sent: self.sent,
            skipped: self.skipped,
            answered: self.times.len(),
            mixed: self.mixed,
            answered_per_second: self.times.len() as f64 / seconds,
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
