//! A whole cell: stand-ins and daemons, each a process of its own.
//!
//! A [`Builder`] starts the stand-ins, writes the VM list and the settings, starts the daemons and
//! waits until each says that it is ready. Everything ends when the [`Cell`] is dropped.

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

/// How long a daemon may take to be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// The span between two looks whether a daemon is ready.
const READY_POLL: Duration = Duration::from_millis(50);

/// A daemon of the cell.
#[derive(Debug)]
pub struct Entry {
    /// The VM's number.
    pub vm: u32,
    /// The data centre that holds the VM.
    pub data_centre: String,
    /// Where the daemon answers.
    pub address: SocketAddr,
    /// The process.
    pub process: Process,
}

/// A running cell.
pub struct Cell {
    /// The stand-ins of the platform.
    pub platform: Platform,
    /// The daemons, in the order of their VM numbers.
    pub entries: Vec<Entry>,
    /// The client that the cell is controlled with.
    pub http: http::Client,
    builder: Builder,
    directory: TempDir,
}

impl Cell {
    /// Returns the URL of a path on one of the daemons.
    pub fn url(&self, entry: usize, path: &str) -> String {
        format!("http://{}{path}", self.entries[entry].address)
    }

    /// Waits until the daemon says that it is ready.
    ///
    /// # Errors
    ///
    /// Fails with the daemon's output when it ends or does not become ready in time.
    pub async fn ready(&mut self, entry: usize) -> eyre::Result<()> {
        let url = self.url(entry, "/readyz");
        let deadline = Instant::now() + READY_LIMIT;
        while !is_healthy(&self.http, &url).await {
            let process = &mut self.entries[entry].process;
            let is_hopeless = !process.is_running() || Instant::now() >= deadline;
            eyre::ensure!(
                !is_hopeless,
                "{} is not ready; its output:\n{}",
                process.name(),
                process.output()
            );
            actix_rt::time::sleep(READY_POLL).await;
        }
        Ok(())
    }

    /// Kills a daemon and starts it again on the same VM, without waiting until it is ready.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be ended or started.
    pub fn restart(&mut self, entry: usize) -> eyre::Result<()> {
        let entry = &mut self.entries[entry];
        entry.process.kill()?;
        entry.process = self.builder.start_daemon(entry.vm, self.directory.path())?;
        Ok(())
    }

    /// Changes the VM list; returns it as it is from now on.
    ///
    /// # Errors
    ///
    /// Fails when the VM list does not answer.
    pub async fn edit_vms(&self, edit: &Edit) -> eyre::Result<List> {
        self.platform.vms.client.edit_vms(edit).await
    }

    /// Returns the attempts that ran while another one of the same task did, on any worker.
    ///
    /// # Errors
    ///
    /// Fails when the workers' host does not answer.
    pub async fn task_overlaps(&self) -> eyre::Result<Vec<Overlap>> {
        let workers = &self.platform.workers;
        let mut spans = Vec::new();
        for index in 0..workers.addresses.len() {
            spans.extend(workers.client.spans(index).await?);
        }
        Ok(overlaps(&spans))
    }

    /// Returns one line for each process.
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

/// Returns whether `url` answers with success.
async fn is_healthy(http: &http::Client, url: &str) -> bool {
    let request = http::Request {
        method: actix_http::Method::GET,
        url,
        headers: &[],
        body: bytes::Bytes::new(),
    };
    let answer = http.send(request).await;
    answer.is_ok_and(|answer| answer.status.is_success())
}
