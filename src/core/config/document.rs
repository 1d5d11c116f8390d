//! The typed form of the configuration document.
//!
//! The document has the sections `services`, `teams`, `limits` and `placement`. Every field has a
//! default.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use laburnum_derive::{message, state, value};

use super::field::Object;
use super::parse;
use crate::core::id;
use crate::core::resource::Amount;

/// The maximum size of the document as compact JSON, in bytes; a change with the whole document
/// must fit into one record.
pub const DOCUMENT_BYTES: usize = 768 << 10;

/// The configuration that operators set.
#[state]
#[derive(Default)]
pub struct Config {
    /// Services that targets answer.
    pub services: BTreeMap<id::Service, Arc<Service>>,
    /// The quotas of the teams that share the cell.
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
    /// The deadline of a request that states none.
    pub timeout: Duration,
    /// The longest deadline that a request may state.
    pub max_timeout: Duration,
    /// The maximum number of requests that run at once in the whole cell.
    pub concurrency: u32,
    /// How many of these are reserved for lookups.
    pub reserved_for_lookups: u32,
    /// The maximum number of waiting requests, by priority.
    pub queue: Queue,
    /// The shares of the priorities when all of them wait.
    pub weights: Weights,
    /// The maximum number of retries per 100 first attempts.
    pub retry_percent: u32,
}

/// The maximum number of waiting requests of each priority at one entry VM.
#[value]
pub struct Queue {
    /// Lookups.
    pub lookup: u32,
    /// Normal requests.
    pub normal: u32,
    /// Bulk requests.
    pub bulk: u32,
}

/// The relative share of each priority.
#[value]
pub struct Weights {
    /// Lookups.
    pub lookup: u32,
    /// Normal requests.
    pub normal: u32,
    /// Bulk requests.
    pub bulk: u32,
}

/// The resources that a team may use.
#[value]
pub struct Quota {
    /// The maximum total of its running tasks.
    pub amount: Amount,
    /// Its share of free capacity, relative to other teams.
    pub weight: u32,
}

/// Limits of the whole cell.
#[value]
pub struct Limits {
    /// The maximum size of a request's body, in bytes.
    pub request_bytes: u32,
    /// The maximum number of tasks of one job.
    pub tasks_per_job: u32,
    /// The maximum number of requests of one caller that wait or run at once.
    pub requests_per_caller: u32,
    /// The maximum number of waiting jobs.
    pub waiting_jobs: u32,
}

/// How tasks are placed.
#[value]
pub struct Placement {
    /// The wait after which a job is treated as one class more urgent.
    pub ageing: Duration,
    /// How long capacity is reserved for a gang that doesn't fit yet.
    pub reservation: Duration,
    /// How long a task may use more than it declared before the scheduler acts on it.
    pub overrun_grace: Duration,
    /// The number of consecutive failures after which a worker is quarantined.
    pub quarantine_failures: u32,
    /// How long a quarantined worker gets no work.
    pub quarantine: Duration,
    /// The maximum share of the tasks of one service in one rack, in percent.
    pub rack_percent: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        parse::limits(Object::empty(), &mut Vec::new())
    }
}

impl Default for Placement {
    fn default() -> Placement {
        parse::placement(Object::empty(), &mut Vec::new())
    }
}
