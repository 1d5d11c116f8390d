//! Resource usage of the entries and the log service of a cell.

use std::fs;
use std::time::Instant;

use actix_http::Method;
use bytes::Bytes;
use eyre::OptionExt as _;
use laburnum_testkit::cell::Cell;
use laburnum_testkit::http::Request;
use laburnum_testkit::standin::log::Counts;

/// Ticks of `/proc/<pid>/stat` in a second.
const TICKS_PER_SECOND: f64 = 100.0;

/// Position of the user time among the fields after the program's name; the system time follows.
const USER_FIELD: usize = 11;

/// Resource usage of a cell from its start to `at`.
pub(super) struct Sample {
    at: Instant,
    cpu_seconds: f64,
    memory_mb: f64,
    peer_bytes: f64,
    log: Counts,
}

/// Resource usage of a cell between two samples, per entry unless stated otherwise.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rates {
    /// Share of a core, in percent.
    pub(super) cpu_percent: f64,
    /// Resident memory at the end, in MB.
    pub(super) memory_mb: f64,
    /// Bytes a second sent to other entries, in KB.
    pub(super) peer_kb: f64,
    /// Bytes a second of log entries appended and read, in KB.
    pub(super) log_kb: f64,
    /// Appends a second of the whole cell.
    pub(super) appends: f64,
    /// CPU time of all entries, in seconds.
    pub(super) cpu_seconds: f64,
}

impl Sample {
    /// Reads the counters of a cell.
    ///
    /// # Errors
    ///
    /// Fails when a process has ended or does not answer.
    pub(super) async fn take(cell: &Cell) -> eyre::Result<Sample> {
        let mut sample = Sample {
            at: Instant::now(),
            cpu_seconds: 0.0,
            memory_mb: 0.0,
            peer_bytes: 0.0,
            log: cell.platform.log.client.log_counts().await?,
        };
        for entry in &cell.entries {
            sample.cpu_seconds += cpu_seconds(entry.process.id())?;
            sample.memory_mb += memory_mb(entry.process.id())?;
        }
        for entry in 0..cell.entries.len() {
            sample.peer_bytes += counter(cell, entry, "laburnum_peer_bytes").await?;
        }
        Ok(sample)
    }

    /// Returns the usage since `earlier` of a cell with `entries` entries.
    pub(super) fn since(&self, earlier: &Sample, entries: usize) -> Rates {
        let seconds = (self.at - earlier.at).as_secs_f64();
        let entries = entries as f64;
        let cpu_seconds = self.cpu_seconds - earlier.cpu_seconds;
        let log = |counts: &Counts| (counts.appended_bytes + counts.read_bytes) as f64;
        Rates {
            cpu_percent: cpu_seconds / seconds / entries * 100.0,
            memory_mb: self.memory_mb / entries,
            peer_kb: (self.peer_bytes - earlier.peer_bytes) / seconds / entries / 1e3,
            log_kb: (log(&self.log) - log(&earlier.log)) / seconds / entries / 1e3,
            appends: (self.log.appends - earlier.log.appends) as f64 / seconds,
            cpu_seconds,
        }
    }
}

/// Returns the user and system time of a process, in seconds.
fn cpu_seconds(process: u32) -> eyre::Result<f64> {
    let text = fs::read_to_string(format!("/proc/{process}/stat"))?;
    let (_, fields) = text
        .rsplit_once(')')
        .ok_or_eyre("/proc/<pid>/stat has no fields after the program's name")?;
    let ticks: f64 = fields
        .split_whitespace()
        .skip(USER_FIELD)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    Ok(ticks / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process, in MB.
fn memory_mb(process: u32) -> eyre::Result<f64> {
    let text = fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().next());
    let kib: f64 = field
        .ok_or_eyre("/proc/<pid>/status has no VmRSS value")?
        .parse()?;
    Ok(kib * 1024.0 / 1e6)
}

/// Returns the sum of a counter over its labels.
async fn counter(cell: &Cell, entry: usize, name: &str) -> eyre::Result<f64> {
    let url = cell.url(entry, "/metrics");
    let request = Request {
        method: Method::GET,
        url: &url,
        headers: &[],
        body: Bytes::new(),
    };
    let answer = cell.http.send(request).await?;
    let text = String::from_utf8_lossy(&answer.body);
    let values = text.lines().filter(|line| line.starts_with(name));
    Ok(values
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum())
}
