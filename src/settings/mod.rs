//! Settings of one daemon, read from a JSON file with comments.
//!
//! [`load`] reads the file, refuses unknown fields and wrong types, fills in defaults and hands the
//! result to [`check`](Settings::faults), which lists every value that cannot work. The daemon and
//! `laburnum settings check` share this path, so both say the same.

mod check;
mod load;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

pub use check::Fault;
pub use load::{Error, load, parse};

/// All settings of a daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This VM.
    pub node: Node,
    /// The cell, the same on every VM.
    pub cell: Cell,
    /// Where the platform answers.
    pub platform: Platform,
    /// Requests of callers.
    #[serde(default)]
    pub traffic: Traffic,
    /// Ownership of partitions.
    #[serde(default)]
    pub lease: Lease,
    /// The platform's log.
    #[serde(default)]
    pub log: Log,
    /// The daemon's own log lines.
    #[serde(default)]
    pub report: Report,
}

/// This VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// The VM's number in the platform's list.
    pub vm: u32,
    /// The data centre that holds the VM.
    pub data_centre: String,
    /// The address that callers and other entries connect to.
    pub listen: SocketAddr,
}

/// The cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cell {
    /// The regions, in the same order on every VM.
    pub regions: Vec<Region>,
    /// How many partitions request keys are spread over.
    #[serde(default = "Cell::default_request_partitions")]
    pub request_partitions: u16,
    /// How many partitions workers are spread over, by rack.
    #[serde(default = "Cell::default_worker_partitions")]
    pub worker_partitions: u16,
}

/// A region.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The region's name.
    pub name: String,
    /// Its data centres.
    pub data_centres: Vec<String>,
}

/// Where the platform answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The log service, such as `http://192.0.2.1:9000`.
    pub log: String,
    /// The VM list, such as `http://192.0.2.1:9001`.
    pub vms: String,
    /// How often the VM list is read, in milliseconds.
    #[serde(default = "Platform::default_poll_ms")]
    pub poll_ms: u64,
}

/// Requests of callers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// How many threads read and answer requests.
    pub threads: usize,
    /// The largest request body, in KiB.
    pub max_body_kib: usize,
    /// How long a call may take when its caller names no span, in milliseconds.
    pub default_timeout_ms: u64,
    /// The longest span that a caller may name, in milliseconds.
    pub max_timeout_ms: u64,
    /// How long a planned stop waits for requests in flight, in milliseconds.
    pub drain_ms: u64,
}

/// Ownership of partitions.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Lease {
    /// How long a lease lasts without a renewal, in milliseconds.
    pub duration_ms: u64,
    /// The largest difference between the wall clocks of two VMs, in milliseconds.
    pub clock_skew_ms: u64,
}

/// The platform's log.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// How many appends a second all entries together may send.
    pub appends_per_second: u32,
    /// How long the log keeps an entry, in seconds.
    pub retention_s: u64,
}

/// The daemon's own log lines.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Report {
    /// The least severe level that is written: error, warning, info or debug.
    pub level: String,
}

impl Cell {
    fn default_request_partitions() -> u16 {
        16
    }

    fn default_worker_partitions() -> u16 {
        1
    }
}

impl Platform {
    fn default_poll_ms() -> u64 {
        500
    }
}

impl Default for Traffic {
    fn default() -> Traffic {
        Traffic {
            threads: 2,
            max_body_kib: 1024,
            default_timeout_ms: 10_000,
            max_timeout_ms: 120_000,
            drain_ms: 30_000,
        }
    }
}

impl Default for Lease {
    fn default() -> Lease {
        Lease {
            duration_ms: 10_000,
            clock_skew_ms: 1_000,
        }
    }
}

impl Default for Log {
    fn default() -> Log {
        Log {
            appends_per_second: 200,
            retention_s: 3_600,
        }
    }
}

impl Default for Report {
    fn default() -> Report {
        Report {
            level: "info".to_owned(),
        }
    }
}
