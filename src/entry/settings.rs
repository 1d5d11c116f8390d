//! The settings of an entry, in JSON with comments.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use eyre::{WrapErr, ensure};
use laburnum_derive::message;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::core::scheduler::Rules;
use crate::core::tenure;

/// A settings file, with the settings of the entry and those of the platform's adapter.
#[derive(Clone, Debug, Deserialize)]
pub struct File<P> {
    /// The entry's own settings.
    pub entry: Settings,
    /// The adapter's settings.
    pub platform: P,
}

/// The settings of an entry.
#[message]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The entry's name.
    pub name: String,
    /// The data centre of the entry's VM.
    pub data_centre: String,
    /// The region of the entry's VM.
    pub region: String,
    /// The address for connections of clients.
    pub clients: SocketAddr,
    /// The address at which the load balancer checks whether the entry is ready.
    pub readiness: SocketAddr,
    /// The address for links of other entries.
    pub links: SocketAddr,
    /// The address at which metrics and the state dump are served.
    pub metrics: SocketAddr,
    /// The VM's share of processors, in cores. Entries on larger VMs are preferred as owners of the
    /// cell.
    #[serde(default = "default_processors")]
    pub processors: f64,
    /// How long the entry may take to stop, in seconds.
    pub stop_s: f64,
    /// The longest lease that workers grant, in milliseconds.
    pub max_lease_ms: u64,
    /// The longest time that a worker takes to stop a run, in milliseconds.
    pub worker_stop_ms: u64,
    /// How long the members of a gang wait for each other at a worker, in milliseconds.
    pub gang_timeout_ms: u64,
    /// The factor by which a task takes longer on a worker that is remote from its data.
    pub remote_factor: f64,
    /// How long the status of an ended job can be read, in seconds.
    pub status_kept_s: f64,
    /// The lowest level of log lines that are written: error, warning, info or debug.
    #[serde(default = "default_level")]
    pub log_level: String,
}

fn default_processors() -> f64 {
    1.0
}

fn default_level() -> String {
    "info".to_owned()
}

/// The duration of a worker's lease: long enough to last through a change of owner, and short enough
/// that the tasks of a lost worker start again soon.
const LEASE: Duration = Duration::from_millis(4_500);
/// The interval between renewals of a claim.
const RENEWAL: Duration = Duration::from_millis(150);
/// A claim counts as abandoned after this long without a renewal: six renewals may be lost.
const SILENCE: Duration = Duration::from_millis(1_100);
/// The same for an entry that cannot connect to the owner either: one renewal may be lost and
/// the next one late.
const UNREACHABLE_SILENCE: Duration = Duration::from_millis(350);

impl Settings {
    /// Checks the ranges of values, which the types don't express.
    ///
    /// # Errors
    ///
    /// Names the first setting that is out of range.
    pub fn check(&self) -> eyre::Result<()> {
        ensure!(!self.name.is_empty(), "entry.name is empty");
        let is_in_range = |seconds: f64, min: f64| seconds >= min && seconds <= 86_400.0;
        ensure!(
            is_in_range(self.stop_s, 0.5),
            "entry.stop_s is not between 0.5 and 86400"
        );
        ensure!(
            is_in_range(self.status_kept_s, 0.0),
            "entry.status_kept_s is not between 0 and 86400"
        );
        ensure!(
            self.processors > 0.0 && self.processors <= 1_024.0,
            "entry.processors is not above 0 and at most 1024"
        );
        ensure!(
            self.max_lease_ms >= 1_000,
            "entry.max_lease_ms is below 1000"
        );
        ensure!(
            self.remote_factor >= 1.0 && self.remote_factor.is_finite(),
            "entry.remote_factor is below 1"
        );
        Ok(())
    }

    /// Returns the rules of the scheduler.
    pub fn rules(&self) -> Rules {
        let max_lease = Duration::from_millis(self.max_lease_ms);
        Rules {
            lease: LEASE.min(max_lease),
            max_lease,
            stop_time: Duration::from_millis(self.worker_stop_ms),
            gang_timeout: Duration::from_millis(self.gang_timeout_ms),
            remote_factor: self.remote_factor,
            status_kept: Duration::from_secs_f64(self.status_kept_s),
        }
    }

    /// Returns the rules for renewing and claiming the ownership of the cell.
    pub fn tenure(&self) -> tenure::Rules {
        tenure::Rules {
            renewal: RENEWAL,
            silence: SILENCE,
            unreachable_silence: UNREACHABLE_SILENCE,
        }
    }
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Fails when the file can't be read, is malformed or has a value that is out of range.
pub fn load<P: DeserializeOwned>(path: &Path) -> eyre::Result<File<P>> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read the settings file {}", path.display()))?;
    parse(&text).wrap_err_with(|| format!("invalid settings in {}", path.display()))
}

/// Reads and checks settings.
///
/// # Errors
///
/// Fails when the text is malformed, or on the first value that is out of range.
pub fn parse<P: DeserializeOwned>(text: &str) -> eyre::Result<File<P>> {
    let file: File<P> = json5::from_str(text)?;
    file.entry.check()?;
    Ok(file)
}
