//! The composition of a test cell, and how it is started.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::id as process_id;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use laburnumplank::core::resource::Amount;
use laburnumplank::platform::vms::Vm;
use serde_json::{Value, json};

use super::platform::Group;
use super::settings;
use super::vms::{Addresses, FIRST_ENTRY, Template, data_centre};
use super::{Cell, Entry, Platform};
use crate::http;
use crate::process::{self, Process};
use crate::standin::{Role, vms};

/// The composition of a test cell; every setting has a default.
#[derive(Clone, Debug)]
pub struct Builder {
    entries: u32,
    workers: u32,
    worker_size: Amount,
    targets: u32,
    service: String,
    slots: u32,
    connections: u32,
    usage_lag: Duration,
    vms_lag: Duration,
    log_arguments: Vec<String>,
    regions: Value,
    overrides: Value,
}

impl Default for Builder {
    fn default() -> Builder {
        Builder::new()
    }
}

impl Builder {
    /// Creates a cell of three daemons, four workers and two targets, spread over the data centres
    /// of the default regions.
    pub fn new() -> Builder {
        Builder {
            entries: 3,
            workers: 4,
            worker_size: Amount {
                cpu_millis: 16_000,
                memory_mib: 65_536,
                accelerators: 2,
            },
            targets: 2,
            service: "licence".to_owned(),
            slots: 8,
            connections: 64,
            usage_lag: Duration::from_secs(1),
            vms_lag: Duration::from_millis(200),
            log_arguments: Vec::new(),
            regions: json!([
                { "name": "finistere", "data_centres": ["quimper", "brest"] },
                { "name": "ille-et-vilaine", "data_centres": ["rennes"] },
            ]),
            overrides: json!({}),
        }
    }

    /// Sets the number of daemons, one per entry VM.
    pub fn entries(mut self, count: u32) -> Builder {
        self.entries = count;
        self
    }

    /// Sets the number of workers.
    pub fn workers(mut self, count: u32) -> Builder {
        self.workers = count;
        self
    }

    /// Sets the capacity of each worker.
    pub fn worker_size(mut self, size: Amount) -> Builder {
        self.worker_size = size;
        self
    }

    /// Sets the number of targets.
    pub fn targets(mut self, count: u32) -> Builder {
        self.targets = count;
        self
    }

    /// Sets the service that the targets serve.
    pub fn service(mut self, name: &str) -> Builder {
        self.service = name.to_owned();
        self
    }

    /// Sets the number of calls that a target runs concurrently.
    pub fn slots(mut self, count: u32) -> Builder {
        self.slots = count;
        self
    }

    /// Sets the number of connections that a target accepts.
    pub fn connections(mut self, count: u32) -> Builder {
        self.connections = count;
        self
    }

    /// Sets the lag of the usage that workers report.
    pub fn usage_lag(mut self, lag: Duration) -> Builder {
        self.usage_lag = lag;
        self
    }

    /// Sets the time after which changes of the VM list are published.
    pub fn vms_lag(mut self, lag: Duration) -> Builder {
        self.vms_lag = lag;
        self
    }

    /// Sets more command-line options of the log service, such as `--rate 100`.
    pub fn log_options(mut self, options: &[&str]) -> Builder {
        self.log_arguments = options.iter().map(|&option| option.to_owned()).collect();
        self
    }

    /// Sets the regions, in the form of the settings field `cell.regions`.
    ///
    /// The VMs are spread over the data centres of all regions.
    pub fn regions(mut self, regions: Value) -> Builder {
        self.regions = regions;
        self
    }

    /// Overrides fields of the daemons' settings, such as `{"lease": {"duration_ms": 2000}}`.
    pub fn settings(mut self, overrides: Value) -> Builder {
        self.overrides = overrides;
        self
    }

    /// Starts the cell and waits until every daemon is ready.
    ///
    /// # Errors
    ///
    /// Fails when a program is not built, cannot be started or does not become ready.
    pub async fn start(self) -> eyre::Result<Cell> {
        let http = http::Client::default();
        let directory = tempfile::tempdir()?;
        let platform = self.start_platform(&http)?;
        let addresses = free_addresses(self.entries)?;
        let edit = vms::Edit::Replace(self.vms(&platform, &addresses));
        platform.vms.client.edit_vms(&edit).await?;
        self.write_settings(&platform, &addresses, directory.path())?;
        let entries = self.start_entries(&addresses, directory.path())?;
        let mut cell = Cell {
            platform,
            entries,
            http,
            builder: self,
            directory,
        };
        for entry in 0..cell.entries.len() {
            cell.wait_until_ready(entry).await?;
        }
        Ok(cell)
    }

    /// Starts the daemon of a VM whose settings file exists.
    pub(super) fn start_daemon(&self, vm: u32, directory: &Path) -> eyre::Result<Process> {
        process::Builder::new("laburnumd")
            .name(format!("entry VM {vm}"))
            .arg("--settings")
            .arg(settings_file(vm, directory))
            .start()
    }

    fn start_entries(
        &self,
        addresses: &[SocketAddr],
        directory: &Path,
    ) -> eyre::Result<Vec<Entry>> {
        (FIRST_ENTRY..)
            .zip(addresses)
            .map(|(vm, &address)| {
                Ok(Entry {
                    vm,
                    data_centre: data_centre(&self.regions, vm - FIRST_ENTRY),
                    address,
                    process: self.start_daemon(vm, directory)?,
                })
            })
            .collect()
    }

    fn start_platform(&self, http: &http::Client) -> eyre::Result<Platform> {
        let vms = ["--lag-ms".to_owned(), self.vms_lag.as_millis().to_string()];
        Ok(Platform {
            log: Group::start(Role::Log, &self.log_arguments, http)?,
            vms: Group::start(Role::Vms, &vms, http)?,
            workers: Group::start(Role::Worker, &self.worker_arguments(), http)?,
            targets: Group::start(Role::Target, &self.target_arguments(), http)?,
        })
    }

    fn worker_arguments(&self) -> Vec<String> {
        let size = self.worker_size;
        arguments(&[
            ("--count", self.workers.into()),
            ("--cpu-millis", size.cpu_millis),
            ("--memory-mib", size.memory_mib),
            ("--accelerators", size.accelerators),
            ("--usage-lag-ms", self.usage_lag.as_millis() as u64),
        ])
    }

    fn target_arguments(&self) -> Vec<String> {
        arguments(&[
            ("--count", self.targets.into()),
            ("--slots", self.slots.into()),
            ("--connections", self.connections.into()),
        ])
    }

    fn vms(&self, platform: &Platform, entries: &[SocketAddr]) -> Vec<Vm> {
        let template = Template {
            regions: &self.regions,
            worker_size: self.worker_size,
            service: &self.service,
            slots: self.slots,
            connections: self.connections,
        };
        template.vms(&Addresses {
            entries,
            workers: &platform.workers.addresses,
            targets: &platform.targets.addresses,
        })
    }

    fn write_settings(
        &self,
        platform: &Platform,
        addresses: &[SocketAddr],
        directory: &Path,
    ) -> eyre::Result<()> {
        for (vm, listen) in (FIRST_ENTRY..).zip(addresses) {
            let entry = settings::Entry {
                vm,
                data_centre: &data_centre(&self.regions, vm - FIRST_ENTRY),
                listen: *listen,
                log: platform.log.addresses[0],
                vms: platform.vms.addresses[0],
            };
            let document = settings::document(&entry, &self.regions, &self.overrides);
            let text = serde_json::to_vec_pretty(&document)?;
            fs::write(settings_file(vm, directory), text)?;
        }
        Ok(())
    }
}

/// Returns the path of an entry VM's settings file.
fn settings_file(vm: u32, directory: &Path) -> PathBuf {
    directory.join(format!("entry-{vm}.json5"))
}

/// Converts options with numeric values to command-line arguments.
fn arguments(options: &[(&str, u64)]) -> Vec<String> {
    options
        .iter()
        .flat_map(|(name, value)| [(*name).to_owned(), value.to_string()])
        .collect()
}

/// The ports of the entries; they lie below the system's range for outgoing connections.
const ENTRY_PORTS: Range<u16> = 15_000..32_000;

/// The distance between the first ports of two processes with consecutive ids.
const PORT_STRIDE: u32 = 97;

/// Returns addresses that no socket is bound to.
///
/// A process does not return an address again before it has tried all ports, so cells that start
/// concurrently do not take each other's ports.
fn free_addresses(count: u32) -> eyre::Result<Vec<SocketAddr>> {
    let tries = ENTRY_PORTS.len();
    let free = (0..tries).map(|_| next_address()).filter(is_free);
    let addresses: Vec<SocketAddr> = free.take(count as usize).collect();
    eyre::ensure!(
        addresses.len() == count as usize,
        "fewer than {count} ports are free in {ENTRY_PORTS:?}"
    );
    Ok(addresses)
}

/// Returns the next address in the port range; each process begins at another port.
fn next_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT
        .fetch_add(1, Ordering::Relaxed)
        .wrapping_add(process_id().wrapping_mul(PORT_STRIDE));
    let port = ENTRY_PORTS.start + (number % ENTRY_PORTS.len() as u32) as u16;
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Returns whether no socket is bound to an address.
fn is_free(address: &SocketAddr) -> bool {
    TcpListener::bind(address).is_ok()
}
