//! The typed form of the document.
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

/// How many bytes the document may have as compact JSON; a change that holds it whole must fit into
/// one record.
pub const DOCUMENT_BYTES: usize = 768 << 10;

/// What operators set.
#[state]
#[derive(Default)]
pub struct Config {
    /// Services that targets answer.
    pub services: BTreeMap<id::Service, Arc<Service>>,
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
