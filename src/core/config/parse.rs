//! Converting the document to its typed form, and its checks.
//!
//! Unknown fields are faults, and all faults are reported at once. The checks are part of
//! [`FORMAT`](super::FORMAT): they never change without a new format, since all nodes must return
//! the same verdict.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use super::document::{Config, Limits, Placement, Queue, Quota, Service, Weights};
use super::fault::{Fault, add};
use super::field::{Object, check_name};
use super::touched::Path;
use crate::core::id;
use crate::core::resource::Amount;

/// The maximum number of services.
const MAX_SERVICES: usize = 2_000;

/// The maximum number of teams.
const MAX_TEAMS: usize = 1_000;

/// The maximum number of idempotent methods of a service.
const MAX_METHODS: usize = 256;

/// One hour in milliseconds.
const HOUR_MS: u64 = 3_600_000;

/// One day in seconds.
const DAY_S: u64 = 86_400;

impl Config {
    /// Parses and checks the document.
    ///
    /// # Errors
    ///
    /// Returns all faults of the document, at most 100.
    pub fn parse(document: &Value) -> Result<Config, Vec<Fault>> {
        let mut faults = Vec::new();
        let mut root = Object::open(String::new(), Some(document), &mut faults);
        let services = root.object("services", &mut faults);
        let teams = root.object("teams", &mut faults);
        let mut config = Config::default();
        for (name, value) in teams.members(MAX_TEAMS, &mut faults) {
            config.set_team(name, value, &mut faults);
        }
        for (name, value) in services.members(MAX_SERVICES, &mut faults) {
            config.set_service(name, value, &mut faults);
        }
        config.limits = limits(root.object("limits", &mut faults), &mut faults);
        config.placement = placement(root.object("placement", &mut faults), &mut faults);
        root.close(&mut faults);
        if faults.is_empty() {
            Ok(config)
        } else {
            Err(faults)
        }
    }

    /// Parses and checks the document, given that only the keys `paths` differ from the document of
    /// this configuration; the result is the same as that of [`Config::parse`].
    pub(super) fn parse_changed(
        &self,
        document: &Value,
        paths: &[Path],
    ) -> Result<Config, Vec<Fault>> {
        self.reparse_members(document, paths)
            .map_or_else(|| Config::parse(document), Ok)
    }

    /// Returns this configuration with the members `paths` parsed again, or `None` when the whole
    /// document must be parsed: another section changed, a member was removed, or there are faults.
    fn reparse_members(&self, document: &Value, paths: &[Path]) -> Option<Config> {
        let mut config = self.clone();
        let mut faults = Vec::new();
        // Teams come first, since services refer to them.
        let (teams, others): (Vec<&Path>, Vec<&Path>) =
            paths.iter().partition(|path| path.section == "teams");
        for path in teams {
            let name = path.member.as_ref()?;
            let value = document.get("teams")?.get(name)?;
            check_name(name, name, &mut faults);
            config.set_team(name, value, &mut faults);
        }
        for path in others {
            let name = path
                .member
                .as_ref()
                .filter(|_| path.section == "services")?;
            let value = document.get("services")?.get(name)?;
            check_name(name, name, &mut faults);
            config.set_service(name, value, &mut faults);
        }
        let is_within_limits =
            config.teams.len() <= MAX_TEAMS && config.services.len() <= MAX_SERVICES;
        (is_within_limits && faults.is_empty()).then_some(config)
    }

    fn set_team(&mut self, name: &str, value: &Value, faults: &mut Vec<Fault>) {
        let fields = Object::open(format!("teams.{name}"), Some(value), faults);
        let quota = quota(fields, faults);
        self.teams.insert(id::Team(name.to_owned()), quota);
    }

    fn set_service(&mut self, name: &str, value: &Value, faults: &mut Vec<Fault>) {
        let path = format!("services.{name}");
        let fields = Object::open(path.clone(), Some(value), faults);
        let service = service(fields, faults);
        check_service(&path, &service, &self.teams, faults);
        self.services
            .insert(id::Service(name.to_owned()), Arc::new(service));
    }
}

fn service(mut fields: Object<'_>, faults: &mut Vec<Fault>) -> Service {
    let service = Service {
        team: fields.name("team", faults).map(id::Team),
        idempotent_methods: fields.names("idempotent_methods", MAX_METHODS, faults),
        timeout: millis(fields.number("timeout_ms", 10_000, 1..=HOUR_MS, faults)),
        max_timeout: millis(fields.number("max_timeout_ms", 60_000, 1..=HOUR_MS, faults)),
        concurrency: fields.number("concurrency", 400, 1..=1_000_000, faults) as u32,
        reserved_for_lookups: fields.number("reserved_for_lookups", 0, 0..=1_000_000, faults)
            as u32,
        queue: queue(fields.object("queue", faults), faults),
        weights: weights(fields.object("weights", faults), faults),
        retry_percent: fields.number("retry_percent", 10, 0..=100, faults) as u32,
    };
    fields.close(faults);
    service
}

fn check_service(
    path: &str,
    service: &Service,
    teams: &BTreeMap<id::Team, Quota>,
    faults: &mut Vec<Fault>,
) {
    if service.timeout > service.max_timeout {
        let path = format!("{path}.timeout_ms");
        add(
            faults,
            Fault::new(
                &path,
                "is above `max_timeout_ms`",
                "lower it or raise `max_timeout_ms`",
            ),
        );
    }
    if service.reserved_for_lookups >= service.concurrency {
        let path = format!("{path}.reserved_for_lookups");
        add(
            faults,
            Fault::new(
                &path,
                "is not below `concurrency`",
                "write a smaller number",
            ),
        );
    }
    if let Some(team) = service
        .team
        .as_ref()
        .filter(|team| !teams.contains_key(team))
    {
        let path = format!("{path}.team");
        let problem = format!("names the unknown team `{}`", team.0);
        add(
            faults,
            Fault::new(&path, problem, "add the team or write the name of another"),
        );
    }
}

fn queue(mut fields: Object<'_>, faults: &mut Vec<Fault>) -> Queue {
    let queue = Queue {
        lookup: fields.number("lookup", 1_000, 0..=100_000, faults) as u32,
        normal: fields.number("normal", 1_000, 0..=100_000, faults) as u32,
        bulk: fields.number("bulk", 5_000, 0..=100_000, faults) as u32,
    };
    fields.close(faults);
    queue
}

fn weights(mut fields: Object<'_>, faults: &mut Vec<Fault>) -> Weights {
    let weights = Weights {
        lookup: fields.number("lookup", 16, 1..=1_000, faults) as u32,
        normal: fields.number("normal", 4, 1..=1_000, faults) as u32,
        bulk: fields.number("bulk", 1, 1..=1_000, faults) as u32,
    };
    fields.close(faults);
    weights
}

fn quota(mut fields: Object<'_>, faults: &mut Vec<Fault>) -> Quota {
    const MAX: u64 = 1 << 40;
    let quota = Quota {
        amount: Amount {
            cpu_millis: fields.number("cpu_millis", 0, 0..=MAX, faults),
            memory_mib: fields.number("memory_mib", 0, 0..=MAX, faults),
            accelerators: fields.number("accelerators", 0, 0..=MAX, faults),
        },
        weight: fields.number("weight", 100, 1..=10_000, faults) as u32,
    };
    fields.close(faults);
    quota
}

pub(super) fn limits(mut fields: Object<'_>, faults: &mut Vec<Fault>) -> Limits {
    let limits = Limits {
        request_bytes: fields.number("request_bytes", 1 << 20, 1_024..=16 << 20, faults) as u32,
        tasks_per_job: fields.number("tasks_per_job", 10_000, 1..=100_000, faults) as u32,
        requests_per_caller: fields.number("requests_per_caller", 1_000, 1..=100_000, faults)
            as u32,
        waiting_jobs: fields.number("waiting_jobs", 200_000, 1..=1_000_000, faults) as u32,
    };
    fields.close(faults);
    limits
}

pub(super) fn placement(mut fields: Object<'_>, faults: &mut Vec<Fault>) -> Placement {
    let placement = Placement {
        ageing: seconds(fields.number("ageing_s", 600, 1..=DAY_S, faults)),
        reservation: seconds(fields.number("reservation_s", 300, 1..=DAY_S, faults)),
        overrun_grace: seconds(fields.number("overrun_grace_s", 30, 0..=DAY_S, faults)),
        quarantine_failures: fields.number("quarantine_failures", 5, 1..=1_000, faults) as u32,
        quarantine: seconds(fields.number("quarantine_s", 600, 1..=DAY_S, faults)),
        rack_percent: fields.number("rack_percent", 34, 1..=100, faults) as u32,
    };
    fields.close(faults);
    placement
}

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn seconds(number: u64) -> Duration {
    Duration::from_secs(number)
}
