//! A worker that runs imaginary tasks.
//!
//! The worker starts what it is given, whether it fits or not, and records [`Violation`]s of what a
//! scheduler must never do. [`Tasks`] is its state; this module serves it.

mod span;
mod tasks;

use std::cell::RefCell;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use laburnum_derive::{message, state};
use laburnumplank::core::id::Attempt;
use laburnumplank::core::resource::Amount;

pub use self::span::{Overlap, Span, overlaps};
pub use self::tasks::{ENDED_KEPT, Tasks};
use super::fault::Faults;
use super::http::{Answer, Request};
use super::server::Serve;
use crate::clock;

/// What a worker is.
#[state]
#[derive(Copy)]
pub struct Options {
    /// What the worker holds.
    pub size: Amount,
    /// How far reported usage lags behind.
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

/// Something that a scheduler must never do to a worker.
#[message]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// The declared sizes of running tasks exceed the worker.
    SizeExceeded {
        /// The attempt whose start exceeded it.
        attempt: Attempt,
        /// The sum of the declared sizes.
        committed: Amount,
    },
    /// Two attempts of one task ran at the same time.
    TaskTwice {
        /// The attempt that ran already.
        running: Attempt,
        /// The attempt that was started beside it.
        started: Attempt,
    },
}

/// What a worker has done since its start.
#[message]
#[derive(Copy, Default)]
pub struct Counts {
    /// Attempts started.
    pub started: u64,
    /// Starts refused because they came too late.
    pub late: u64,
    /// Attempts whose lease ended.
    pub lapsed: u64,
}

/// Serves [`Tasks`].
#[derive(Debug)]
pub(super) struct Service {
    tasks: RefCell<Tasks>,
}

impl Service {
    pub(super) fn new(options: Options) -> Service {
        let tasks = RefCell::new(Tasks::new(options, rand::random()));
        Service { tasks }
    }

    fn start(&self, request: &Request, broken: bool) -> Result<Answer, Answer> {
        let start = request.json()?;
        let mut tasks = self.tasks.borrow_mut();
        let is_taken = tasks.start(clock::now(), clock::stamp(), &start, broken);
        is_taken
            .then(Answer::empty)
            .ok_or_else(|| Answer::error(StatusCode::CONFLICT, "the start came too late"))
    }

    fn renew(&self, request: &Request) -> Result<Answer, Answer> {
        let renew = request.json()?;
        let mut tasks = self.tasks.borrow_mut();
        let is_taken = tasks.renew(clock::now(), clock::stamp(), &renew);
        is_taken
            .then(Answer::empty)
            .ok_or_else(|| Answer::error(StatusCode::CONFLICT, "the renewal came too late"))
    }

    fn act(&self, request: &Request) -> Result<Answer, Answer> {
        let control = request.json()?;
        let is_known = self.tasks.borrow_mut().control(clock::now(), &control);
        is_known
            .then(Answer::empty)
            .ok_or_else(|| Answer::error(StatusCode::NOT_FOUND, "no such attempt"))
    }
}

impl Serve for Service {
    async fn serve(&self, request: Request, faults: Faults) -> Answer {
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/v1/tasks/start") => self.start(&request, faults.broken).into(),
            (&Method::POST, "/v1/tasks/renew") => self.renew(&request).into(),
            (&Method::POST, "/v1/tasks/control") => self.act(&request).into(),
            (&Method::GET, "/v1/inventory") => {
                Answer::json(&self.tasks.borrow_mut().inventory(clock::now()))
            }
            _ => Answer::not_found(&request),
        }
    }

    fn control(&self, path: &str, request: &Request) -> Answer {
        let mut tasks = self.tasks.borrow_mut();
        match path {
            "violations" => Answer::json(&tasks.violations()),
            "spans" => Answer::json(&tasks.spans(clock::now())),
            "counts" => Answer::json(&tasks.counts(clock::now())),
            _ => Answer::not_found(request),
        }
    }
}
