//! Settings of a daemon, read from a JSON file with comments.
//!
//! [`load`] reads the file, rejects unknown fields and wrong types, fills in defaults and returns an
//! error with the [faults](Settings::faults) of all invalid values. The daemon and `laburnum settings
//! check` both call it, so they report the same errors.

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
    /// The cell; must be the same on every VM.
    pub cell: Cell,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Handling of callers' requests.
    #[serde(default)]
    pub traffic: Traffic,
    /// Ownership of partitions.
    #[serde(default)]
    pub lease: Lease,
    /// Use of the platform's log service.
    #[serde(default)]
    pub log: Log,
    /// The daemon's own log lines.
    #[serde(default)]
    pub report: Logging,
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
    /// Number of partitions that request keys are distributed over.
    #[serde(default = "Cell::default_request_partitions")]
    pub request_partitions: u16,
    /// Number of partitions that workers are distributed over, by rack.
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

/// Addresses of the platform's services.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The URL of the log service, such as `http://192.0.2.1:9000`.
    pub log: String,
    /// The URL of the VM list, such as `http://192.0.2.1:9001`.
    pub vms: String,
    /// Interval at which the VM list is read, in milliseconds.
    #[serde(default = "Platform::default_poll_ms")]
    pub poll_ms: u64,
}

/// Handling of callers' requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Number of threads that serve requests.
    pub threads: usize,
    /// The largest request body, in KiB.
    pub max_body_kib: usize,
    /// Timeout of a call whose request specifies none, in milliseconds.
    pub default_timeout_ms: u64,
    /// Upper limit on the timeout of a call, in milliseconds.
    pub max_timeout_ms: u64,
    /// How long a planned stop waits for requests in flight, in milliseconds.
    pub drain_ms: u64,
}

/// Ownership of partitions.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Lease {
    /// How long a lease lasts without renewal, in milliseconds.
    pub duration_ms: u64,
    /// The largest difference between the wall clocks of two VMs, in milliseconds.
    pub clock_skew_ms: u64,
}

/// Use of the platform's log service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Upper limit on the appends per second of all entries together.
    pub appends_per_second: u32,
    /// How long the log retains a record, in seconds.
    pub retention_s: u64,
}

/// The daemon's own log lines.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Logging {
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

impl Default for Logging {
    fn default() -> Logging {
        Logging {
            level: "info".to_owned(),
        }
    }
}
