//! A worker that simulates tasks.
//!
//! The worker starts every task, whether it fits or not, and records a [`Violation`] when a start
//! breaks a rule that schedulers must follow. [`Tasks`] is its state; this module serves it.

mod span;
mod tasks;

use std::cell::RefCell;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use laburnum_derive::{message, state};
use laburnumplank::core::id::Attempt;
use laburnumplank::core::resource::Amount;

pub use self::span::{Overlap, Span, overlaps};
pub use self::tasks::{ENDED_RETENTION, Tasks};
use super::fault::Faults;
use super::http::{Request, Response};
use super::server::Serve;
use crate::clock;

/// The options of a worker.
#[state]
#[derive(Copy)]
pub struct Options {
    /// The capacity of the worker.
    pub size: Amount,
    /// The lag of the reported usage: a task that has run for less is reported with no usage.
    pub usage_lag: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            size: Amount {
                cpu_millis: 16_000,
                memory_mib: 65_536,
                accelerators: 0,
            },
            usage_lag: Duration::from_secs(5),
        }
    }
}

/// A start that broke a rule that schedulers must follow.
#[message]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// The sum of the declared sizes of running tasks exceeded the worker's capacity.
    SizeExceeded {
        /// The attempt whose start exceeded the capacity.
        attempt: Attempt,
        /// The sum of the declared sizes, with this attempt.
        committed: Amount,
    },
    /// Two attempts of one task ran at the same time.
    TaskTwice {
        /// The attempt that was already running.
        running: Attempt,
        /// The attempt that was started in addition.
        started: Attempt,
    },
}

/// The counts of a worker since its start.
#[message]
#[derive(Copy, Default)]
pub struct Counts {
    /// Attempts started.
    pub started: u64,
    /// Starts refused because they arrived after their `not_after_ms`.
    pub late: u64,
    /// Attempts whose lease ended.
    pub lapsed: u64,
}

/// The HTTP service of [`Tasks`].
#[derive(Debug)]
pub(super) struct Service {
    tasks: RefCell<Tasks>,
}

impl Service {
    pub(super) fn new(options: Options) -> Service {
        let tasks = RefCell::new(Tasks::new(options, rand::random()));
        Service { tasks }
    }

    fn start(&self, request: &Request, broken: bool) -> Result<Response, Response> {
        let start = request.json()?;
        let mut tasks = self.tasks.borrow_mut();
        let is_accepted = tasks.start(clock::now(), clock::stamp(), &start, broken);
        is_accepted
            .then(Response::empty)
            .ok_or_else(|| Response::error(StatusCode::CONFLICT, "the start came too late"))
    }

    fn renew(&self, request: &Request) -> Result<Response, Response> {
        let renew = request.json()?;
        let mut tasks = self.tasks.borrow_mut();
        let is_accepted = tasks.renew(clock::now(), clock::stamp(), &renew);
        is_accepted
            .then(Response::empty)
            .ok_or_else(|| Response::error(StatusCode::CONFLICT, "the renewal came too late"))
    }

    fn control_attempt(&self, request: &Request) -> Result<Response, Response> {
        let control = request.json()?;
        let is_known = self.tasks.borrow_mut().control(clock::now(), &control);
        is_known
            .then(Response::empty)
            .ok_or_else(|| Response::error(StatusCode::NOT_FOUND, "no such attempt"))
    }
}

impl Serve for Service {
    async fn serve(&self, request: Request, faults: Faults) -> Response {
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/v1/tasks/start") => self.start(&request, faults.broken).into(),
            (&Method::POST, "/v1/tasks/renew") => self.renew(&request).into(),
            (&Method::POST, "/v1/tasks/control") => self.control_attempt(&request).into(),
            (&Method::GET, "/v1/inventory") => {
                Response::json(&self.tasks.borrow_mut().inventory(clock::now()))
            }
            _ => Response::not_found(&request),
        }
    }

    fn control(&self, path: &str, request: &Request) -> Response {
        let mut tasks = self.tasks.borrow_mut();
        match path {
            "violations" => Response::json(&tasks.violations()),
            "spans" => Response::json(&tasks.spans(clock::now())),
            "counts" => Response::json(&tasks.counts(clock::now())),
            _ => Response::not_found(request),
        }
    }
}
