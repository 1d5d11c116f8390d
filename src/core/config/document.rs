//! The typed form of the document and its checks.
//!
//! The document has the sections `services`, `teams`, `limits` and `placement`. Every field has a
//! default, unknown fields are faults, and all faults are listed at once. The checks are part of
//! [`FORMAT`](super::FORMAT): they never change without a new format, since all nodes must give the
//! same verdict.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnum_derive::{message, value};
use serde_json::Value;

use super::fault::{Fault, add};
use super::field::Object;
use crate::core::id;
use crate::core::resource::Amount;

/// How many bytes the document may have as compact JSON; a change that holds it whole must fit into
/// one record.
pub const DOCUMENT_BYTES: usize = 768 << 10;

/// How many services there may be.
const SERVICES: usize = 2_000;

/// How many teams there may be.
const TEAMS: usize = 1_000;

/// How many idempotent methods a service may name.
const METHODS: usize = 256;

/// One hour in milliseconds.
const HOUR_MS: u64 = 3_600_000;

/// One day in seconds.
const DAY_S: u64 = 86_400;

/// What operators set.
#[message]
#[derive(Default)]
pub struct Config {
    /// Services that targets answer.
    pub services: BTreeMap<id::Service, Service>,
    /// Teams that share the cell.
    pub teams: BTreeMap<id::Team, Quota>,
    /// Limits of the whole cell.
    pub limits: Limits,
    /// How tasks are placed.
    pub placement: Placement,
}

/// How requests to a service are treated.
#[message]
pub struct Service {
    /// The team that the service belongs to.
    pub team: Option<id::Team>,
    /// The methods that may run more than once.
    pub idempotent_methods: Vec<String>,
    /// How long a request may take that names no deadline.
    pub timeout: Duration,
    /// The longest deadline that a request may name.
    pub max_timeout: Duration,
    /// How many requests run at once over the whole cell.
    pub concurrency: u32,
    /// How many of these are kept for lookups.
    pub reserved_for_lookups: u32,
    /// How many requests may wait, by priority.
    pub queue: Queue,
    /// The shares of the priorities when all of them wait.
    pub weights: Weights,
    /// How many retries there may be for 100 first attempts.
    pub retry_percent: u32,
}

/// How many requests of each priority may wait at one entry VM.
#[value]
pub struct Queue {
    /// Lookups.
    pub lookup: u32,
    /// Normal requests.
    pub normal: u32,
    /// Bulk requests.
    pub bulk: u32,
}

/// The share of each priority.
#[value]
pub struct Weights {
    /// Lookups.
    pub lookup: u32,
    /// Normal requests.
    pub normal: u32,
    /// Bulk requests.
    pub bulk: u32,
}

/// What a team may use.
#[value]
pub struct Quota {
    /// The most that its running tasks hold.
    pub amount: Amount,
    /// Its share of what is free, relative to other teams.
    pub weight: u32,
}

/// Limits of the whole cell.
#[value]
pub struct Limits {
    /// The size of a request's body, in bytes.
    pub request_bytes: u32,
    /// The tasks of one job.
    pub tasks_per_job: u32,
    /// The requests of one caller that wait or run at once.
    pub requests_per_caller: u32,
    /// The jobs that wait.
    pub waiting_jobs: u32,
}

/// How tasks are placed.
#[value]
pub struct Placement {
    /// After how long a waiting job counts as one class more pressing.
    pub ageing: Duration,
    /// How long capacity is held for a gang that doesn't fit yet.
    pub reservation: Duration,
    /// How long a task may use more than it declared before it is acted on.
    pub overrun_grace: Duration,
    /// After how many failures in a row a worker gets no more work.
    pub quarantine_failures: u32,
    /// How long such a worker stays without work.
    pub quarantine: Duration,
    /// How many tasks of one service may share a rack, as a percentage.
    pub rack_percent: u32,
}

impl Config {
    /// Reads and checks the document.
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
        for (name, value) in teams.members(TEAMS, &mut faults) {
            let fields = Object::open(teams.path(name), Some(value), &mut faults);
            let quota = quota(fields, &mut faults);
            config.teams.insert(id::Team(name.clone()), quota);
        }
        for (name, value) in services.members(SERVICES, &mut faults) {
            let path = services.path(name);
            let fields = Object::open(path.clone(), Some(value), &mut faults);
            let service = service(fields, &mut faults);
            check_service(&path, &service, &config.teams, &mut faults);
            config.services.insert(id::Service(name.clone()), service);
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
}

impl Default for Limits {
    fn default() -> Limits {
        limits(
            Object::open(String::new(), None, &mut Vec::new()),
            &mut Vec::new(),
        )
    }
}

impl Default for Placement {
    fn default() -> Placement {
        placement(
            Object::open(String::new(), None, &mut Vec::new()),
            &mut Vec::new(),
        )
    }
}

fn service(mut fields: Object<'_>, faults: &mut Vec<Fault>) -> Service {
    let service = Service {
        team: fields.name("team", faults).map(id::Team),
        idempotent_methods: fields.names("idempotent_methods", METHODS, faults),
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
                "lower it or raise the other",
            ),
        );
    }
    if service.reserved_for_lookups >= service.concurrency {
        let path = format!("{path}.reserved_for_lookups");
        add(
            faults,
            Fault::new(
                &path,
                "leaves nothing of `concurrency`",
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
            Fault::new(&path, problem, "add the team or name another"),
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
    const MOST: u64 = 1 << 40;
    let quota = Quota {
        amount: Amount {
            cpu_millis: fields.number("cpu_millis", 0, 0..=MOST, faults),
            memory_mib: fields.number("memory_mib", 0, 0..=MOST, faults),
            accelerators: fields.number("accelerators", 0, 0..=MOST, faults),
        },
        weight: fields.number("weight", 100, 1..=10_000, faults) as u32,
    };
    fields.close(faults);
    quota
}

fn limits(mut fields: Object<'_>, faults: &mut Vec<Fault>) -> Limits {
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

fn placement(mut fields: Object<'_>, faults: &mut Vec<Fault>) -> Placement {
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
