//! The stand-in processes of a cell.

use std::net::SocketAddr;
use std::time::Duration;

use crate::process::{Builder, Process};
use crate::standin::Client;
use crate::{http, standin};

/// How long a stand-in may take to print its addresses.
const START_LIMIT: Duration = Duration::from_secs(10);

/// A process that runs all stand-ins of one role.
pub struct Group {
    /// The `laburnum-standin` process.
    pub process: Process,
    /// The address that each stand-in listens on.
    pub addresses: Vec<SocketAddr>,
    /// The client of the process's control port.
    pub client: Client,
}

impl Group {
    /// Starts `laburnum-standin` with `arguments` and reads the addresses that it prints.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started or does not print its addresses in time.
    pub(super) fn start(
        role: standin::Role,
        arguments: &[String],
        http: &http::Client,
    ) -> eyre::Result<Group> {
        let process = Builder::new("laburnum-standin")
            .name(format!("stand-in {}", role.name()))
            .arg(role.name())
            .args(arguments)
            .start()?;
        let control = process.wait_for_line(START_LIMIT, |line| address(line, "control "))?;
        let output = process.output();
        let addresses = output
            .lines()
            .filter_map(|line| address(line, "listening "))
            .collect();
        Ok(Group {
            process,
            addresses,
            client: Client::new(control, http.clone()),
        })
    }
}

/// The stand-in processes of a cell, one per role.
pub struct Platform {
    /// The log service.
    pub log: Group,
    /// The VM list.
    pub vms: Group,
    /// The workers, in one process.
    pub workers: Group,
    /// The targets, in one process.
    pub targets: Group,
}

impl Platform {
    /// Returns one line per stand-in: role, address and process id.
    pub(super) fn summary(&self) -> Vec<String> {
        let groups = [
            ("log service", &self.log),
            ("VM list", &self.vms),
            ("worker", &self.workers),
            ("target", &self.targets),
        ];
        let line = |name: &str, group: &Group, address: &SocketAddr| {
            format!("{name}: http://{address} (process {})", group.process.id())
        };
        groups
            .iter()
            .flat_map(|(name, group)| {
                let addresses = group.addresses.iter();
                addresses.map(move |address| line(name, group, address))
            })
            .collect()
    }
}

/// Parses the address that follows `prefix` in a line of output.
fn address(line: &str, prefix: &str) -> Option<SocketAddr> {
    line.strip_prefix(prefix)?.parse().ok()
}
