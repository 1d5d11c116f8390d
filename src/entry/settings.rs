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

/// A settings file: what is the product's, and what the platform's adapter needs.
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
    /// Its data centre.
    pub data_centre: String,
    /// Its region.
    pub region: String,
    /// Where clients connect.
    pub clients: SocketAddr,
    /// Where the balancer asks whether the entry is ready.
    pub readiness: SocketAddr,
    /// Where other entries connect.
    pub links: SocketAddr,
    /// Where metrics and the state dump are served.
    pub metrics: SocketAddr,
    /// The VM's share of processors, in cores: the larger ones own the cell.
    #[serde(default = "default_processors")]
    pub processors: f64,
    /// How long a stop may take, in seconds.
    pub stop_s: f64,
    /// The longest lease that workers grant, in milliseconds.
    pub max_lease_ms: u64,
    /// How long the members of a gang wait for each other at a worker, in milliseconds.
    pub gang_timeout_ms: u64,
    /// How many times as long a task takes away from its data.
    pub remote_factor: f64,
    /// How long an ended job can be asked for, in seconds.
    pub status_kept_s: f64,
    /// The least level of log lines: error, warning, info or debug.
    #[serde(default = "default_level")]
    pub log_level: String,
}

fn default_processors() -> f64 {
    1.0
}

fn default_level() -> String {
    "info".to_owned()
}

/// A worker's lease: long enough for a change of owner, short enough that the tasks of a lost
/// worker start again soon.
const LEASE: Duration = Duration::from_millis(4_500);
/// From one renewal of a claim to the next.
const RENEWAL: Duration = Duration::from_millis(150);
/// A claim counts as abandoned after so long without a renewal: six renewals may be lost.
const SILENCE: Duration = Duration::from_millis(1_100);
/// The same when the owner's VM takes no links either: one renewal may be lost, the next be late.
const UNREACHABLE_SILENCE: Duration = Duration::from_millis(350);

impl Settings {
    /// Checks what types cannot say.
    ///
    /// # Errors
    ///
    /// Names the first setting that has no sensible value.
    pub fn check(&self) -> eyre::Result<()> {
        ensure!(!self.name.is_empty(), "entry.name is empty");
        let is_span = |seconds: f64, least: f64| seconds >= least && seconds <= 86_400.0;
        ensure!(
            is_span(self.stop_s, 0.5),
            "entry.stop_s is not from 0.5 to 86400"
        );
        ensure!(
            is_span(self.status_kept_s, 0.0),
            "entry.status_kept_s is not from 0 to 86400"
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

    /// Returns the bounds that the scheduler keeps to.
    pub fn rules(&self) -> Rules {
        let max_lease = Duration::from_millis(self.max_lease_ms);
        Rules {
            lease: LEASE.min(max_lease),
            max_lease,
            gang_timeout: Duration::from_millis(self.gang_timeout_ms),
            remote_factor: self.remote_factor,
            status_kept: Duration::from_secs_f64(self.status_kept_s),
        }
    }

    /// Returns how ownership is renewed and lost.
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
/// Fails when the file can't be read or has a value that makes no sense.
pub fn load<P: DeserializeOwned>(path: &Path) -> eyre::Result<File<P>> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read the settings file {}", path.display()))?;
    parse(&text).wrap_err_with(|| format!("wrong settings in {}", path.display()))
}

/// Reads and checks settings.
///
/// # Errors
///
/// Fails on the first value that makes no sense.
pub fn parse<P: DeserializeOwned>(text: &str) -> eyre::Result<File<P>> {
    let file: File<P> = json5::from_str(text)?;
    file.entry.check()?;
    Ok(file)
}
