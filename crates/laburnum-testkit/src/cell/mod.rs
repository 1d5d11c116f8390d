//! A whole cell for tests: stand-ins and daemons that run as processes.
//!
//! A [`Builder`] starts the stand-ins, writes the VM list and the settings, starts the daemons and
//! waits until each daemon reports that it is ready. Dropping the [`Cell`] ends all processes.

mod builder;
mod platform;
mod settings;
mod vms;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use laburnumplank::platform::vms::List;
use tempfile::TempDir;

pub use self::builder::Builder;
pub use self::platform::Platform;
use crate::http;
use crate::process::Process;
use crate::standin::vms::Edit;
use crate::standin::worker::{Overlap, overlaps};

/// How long a daemon may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// The interval at which a daemon's readiness is checked.
const READY_POLL: Duration = Duration::from_millis(50);

/// A daemon of the cell.
#[derive(Debug)]
pub struct Entry {
    /// The number of the entry VM.
    pub vm: u32,
    /// The data centre of the VM.
    pub data_centre: String,
    /// The address that the daemon listens on.
    pub address: SocketAddr,
    /// The daemon's process.
    pub process: Process,
}

/// A running cell.
pub struct Cell {
    /// The stand-ins of the platform.
    pub platform: Platform,
    /// The daemons, in the order of their VM numbers.
    pub entries: Vec<Entry>,
    /// The HTTP client for the daemons and the stand-ins.
    pub http: http::Client,
    builder: Builder,
    directory: TempDir,
}

impl Cell {
    /// Returns the URL of `path` on the daemon with index `entry`.
    pub fn url(&self, entry: usize, path: &str) -> String {
        format!("http://{}{path}", self.entries[entry].address)
    }

    /// Waits until `/readyz` of a daemon reports that it is ready.
    ///
    /// # Errors
    ///
    /// Fails with the daemon's output when the daemon exits or is not ready within 20 seconds.
    pub async fn wait_until_ready(&mut self, entry: usize) -> eyre::Result<()> {
        let url = self.url(entry, "/readyz");
        let deadline = Instant::now() + READY_LIMIT;
        while !is_healthy(&self.http, &url).await {
            let process = &mut self.entries[entry].process;
            let has_failed = !process.is_running() || Instant::now() >= deadline;
            eyre::ensure!(
                !has_failed,
                "{} is not ready; its output:\n{}",
                process.name(),
                process.output()
            );
            actix_rt::time::sleep(READY_POLL).await;
        }
        Ok(())
    }

    /// Kills a daemon and starts it again with the same settings; does not wait until it is ready.
    ///
    /// # Errors
    ///
    /// Fails when the daemon cannot be killed or started.
    pub fn restart(&mut self, entry: usize) -> eyre::Result<()> {
        let entry = &mut self.entries[entry];
        entry.process.kill()?;
        entry.process = self.builder.start_daemon(entry.vm, self.directory.path())?;
        Ok(())
    }

    /// Changes the VM list; returns the changed list, which is published after the lag.
    ///
    /// # Errors
    ///
    /// Fails when the VM list does not respond.
    pub async fn edit_vms(&self, edit: &Edit) -> eyre::Result<List> {
        self.platform.vms.client.edit_vms(edit).await
    }

    /// Returns the pairs of attempts of one task that ran at the same time, on any workers.
    ///
    /// # Errors
    ///
    /// Fails when the workers' host does not respond.
    pub async fn task_overlaps(&self) -> eyre::Result<Vec<Overlap>> {
        let workers = &self.platform.workers;
        let mut spans = Vec::new();
        for index in 0..workers.addresses.len() {
            spans.extend(workers.client.spans(index).await?);
        }
        Ok(overlaps(&spans))
    }

    /// Returns a text with one line per stand-in and daemon: address and process id.
    pub fn summary(&self) -> String {
        let mut lines = self.platform.summary();
        for entry in &self.entries {
            lines.push(format!(
                "entry VM {} in {}: http://{} (process {})",
                entry.vm,
                entry.data_centre,
                entry.address,
                entry.process.id()
            ));
        }
        lines.join("\n")
    }
}

/// Returns whether a GET request to `url` succeeds.
async fn is_healthy(http: &http::Client, url: &str) -> bool {
    let request = http::Request {
        method: actix_http::Method::GET,
        url,
        headers: &[],
        body: bytes::Bytes::new(),
    };
    let response = http.send(request).await;
    response.is_ok_and(|response| response.status.is_success())
}
