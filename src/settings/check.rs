//! Checks the values of settings.

use std::collections::BTreeSet;
use std::fmt;

use laburnum_derive::message;

use super::Settings;

/// An invalid setting.
#[message]
pub struct Fault {
    /// The path of the field, such as `node.listen`.
    pub field: String,
    /// What is wrong with the value.
    pub problem: String,
    /// How to correct it.
    pub remedy: String,
}

impl Fault {
    /// Creates the fault of the field at the path `field`.
    pub fn new(field: &str, problem: &str, remedy: &str) -> Fault {
        Fault {
            field: field.to_owned(),
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}: {}; {}", self.field, self.problem, self.remedy)
    }
}

/// A numeric setting with its allowed range.
struct Bound {
    field: &'static str,
    value: u64,
    min: u64,
    max: u64,
}

impl Settings {
    /// Returns a fault for each invalid value; empty when the settings are valid.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        self.check_node(&mut faults);
        self.check_cell(&mut faults);
        self.check_platform(&mut faults);
        self.check_report(&mut faults);
        for bound in self.bounds() {
            bound.check(&mut faults);
        }
        faults
    }

    fn check_node(&self, faults: &mut Vec<Fault>) {
        let listen = self.node.listen;
        if listen.ip().is_unspecified() || listen.ip().is_multicast() {
            let problem = format!("other VMs cannot connect to {listen}");
            faults.push(Fault::new(
                "node.listen",
                &problem,
                "give the VM's own address",
            ));
        }
        if listen.port() == 0 {
            faults.push(Fault::new(
                "node.listen",
                "port 0 is not a fixed port",
                "give the port",
            ));
        }
        let data_centres = self
            .cell
            .regions
            .iter()
            .flat_map(|region| &region.data_centres);
        if !data_centres
            .into_iter()
            .any(|name| *name == self.node.data_centre)
        {
            let problem = format!("no region has a data centre `{}`", self.node.data_centre);
            faults.push(Fault::new(
                "node.data_centre",
                &problem,
                "list it under cell.regions",
            ));
        }
    }

    fn check_cell(&self, faults: &mut Vec<Fault>) {
        if self.cell.regions.is_empty() {
            faults.push(Fault::new(
                "cell.regions",
                "is empty",
                "list at least one region",
            ));
        }
        let mut seen = BTreeSet::new();
        for (index, region) in self.cell.regions.iter().enumerate() {
            let field = format!("cell.regions[{index}].data_centres");
            if region.data_centres.is_empty() {
                faults.push(Fault::new(
                    &field,
                    "is empty",
                    "list the region's data centres",
                ));
            }
            for name in &region.data_centres {
                if !seen.insert(name) {
                    let problem = format!("`{name}` is listed twice");
                    faults.push(Fault::new(&field, &problem, "list each data centre once"));
                }
            }
        }
    }

    fn check_platform(&self, faults: &mut Vec<Fault>) {
        let addresses = [
            ("platform.log", &self.platform.log),
            ("platform.vms", &self.platform.vms),
        ];
        for (field, url) in addresses {
            let rest = url.strip_prefix("http://");
            let is_address = rest.is_some_and(|rest| rest.parse::<std::net::SocketAddr>().is_ok());
            if !is_address {
                let problem = format!("`{url}` is not http:// with an IP address and a port");
                faults.push(Fault::new(
                    field,
                    &problem,
                    "write it like \"http://192.0.2.1:9000\"",
                ));
            }
        }
    }

    fn check_report(&self, faults: &mut Vec<Fault>) {
        let level = self.report.level.as_str();
        if !["error", "warning", "info", "debug"].contains(&level) {
            let problem = format!("`{level}` is not a level");
            faults.push(Fault::new(
                "report.level",
                &problem,
                "give error, warning, info or debug",
            ));
        }
    }

    /// Returns the numeric settings with their allowed ranges.
    fn bounds(&self) -> Vec<Bound> {
        let bound = |field, value, min, max| Bound {
            field,
            value,
            min,
            max,
        };
        vec![
            bound("node.vm", self.node.vm.into(), 1, u32::MAX.into()),
            bound(
                "cell.request_partitions",
                self.cell.request_partitions.into(),
                1,
                4_096,
            ),
            bound(
                "cell.worker_partitions",
                self.cell.worker_partitions.into(),
                1,
                4_096,
            ),
            bound("platform.poll_ms", self.platform.poll_ms, 50, 60_000),
            bound("traffic.threads", self.traffic.threads as u64, 1, 64),
            bound(
                "traffic.max_body_kib",
                self.traffic.max_body_kib as u64,
                1,
                8_192,
            ),
            bound(
                "traffic.default_timeout_ms",
                self.traffic.default_timeout_ms,
                10,
                600_000,
            ),
            bound(
                "traffic.max_timeout_ms",
                self.traffic.max_timeout_ms,
                10,
                600_000,
            ),
            bound("traffic.drain_ms", self.traffic.drain_ms, 0, 600_000),
            bound("lease.duration_ms", self.lease.duration_ms, 500, 120_000),
            bound("lease.clock_skew_ms", self.lease.clock_skew_ms, 1, 60_000),
            bound(
                "log.appends_per_second",
                self.log.appends_per_second.into(),
                1,
                10_000,
            ),
            bound("log.retention_s", self.log.retention_s, 10, 31_536_000),
        ]
    }
}

impl Bound {
    fn check(&self, faults: &mut Vec<Fault>) {
        if (self.min..=self.max).contains(&self.value) {
            return;
        }
        let remedy = format!("give a number from {} to {}", self.min, self.max);
        faults.push(Fault::new(
            self.field,
            &format!("{} is out of range", self.value),
            &remedy,
        ));
    }
}
