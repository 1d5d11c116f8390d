//! The stand-ins of a cell.

use std::net::SocketAddr;
use std::time::Duration;

use crate::process::{Builder, Process};
use crate::standin::Client;
use crate::{http, standin};

/// How long a stand-in may take to print its addresses.
const START_LIMIT: Duration = Duration::from_secs(10);

/// A process of stand-ins of one role.
pub struct Group {
    /// The process.
    pub process: Process,
    /// Where each stand-in answers.
    pub addresses: Vec<SocketAddr>,
    /// Controls the stand-ins.
    pub client: Client,
}

impl Group {
    /// Starts `laburnum-standin` with `arguments` and reads its addresses.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be started or does not print its addresses.
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

/// The stand-ins of a cell.
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
    /// Returns one line for each stand-in.
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

/// Returns the address after `prefix`.
fn address(line: &str, prefix: &str) -> Option<SocketAddr> {
    line.strip_prefix(prefix)?.parse().ok()
}
