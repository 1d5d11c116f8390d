//! A target that answers calls.
//!
//! Methods are `echo`, which answers the request's body, `sleep/MS`, which answers it after that
//! many milliseconds, `fail/MS`, which fails after them, and `size/BYTES`, which answers so many
//! bytes. A call above the slots is refused with status 503 before it runs; a connection above the
//! limit is closed. The target counts what it ran by key, for oracles.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use laburnum_derive::{message, state};
use laburnumplank::platform::target::{KEY, REQUEST_ID};

use super::fault::Faults;
use super::http::{Answer, Request};
use super::server::Serve;

/// The largest answer of `size/BYTES`, in bytes.
const SIZE_LIMIT: usize = 64 << 20;

/// What a target is.
#[state]
#[derive(Copy)]
pub struct Options {
    /// How many calls run at once.
    pub slots: u32,
    /// How many connections are accepted.
    pub connections: u32,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            slots: 8,
            connections: 64,
        }
    }
}

/// What a target ran and refused since its start.
#[message]
#[derive(Default)]
pub struct Effects {
    /// How many times a call ran, by its key.
    pub by_key: BTreeMap<String, u64>,
    /// How many calls without a key ran.
    pub without_key: u64,
    /// The most calls that ran at once.
    pub peak_calls: u32,
    /// The most connections that were open at once.
    pub peak_connections: u32,
    /// Violation: calls refused because all slots were taken.
    pub slots_exceeded: u64,
    /// Violation: connections refused above the limit.
    pub connections_exceeded: u64,
    /// Violation: calls that ran while another one of the same key did.
    pub key_twice: u64,
}

/// What a call does.
#[state]
#[derive(Copy)]
enum Work {
    Echo,
    Sleep(Duration),
    Fail(Duration),
    Size(usize),
}

impl Work {
    /// Reads the method of a call.
    fn parse(method: &str) -> Option<Work> {
        let span = |ms: &str| ms.parse().ok().map(Duration::from_millis);
        match method.split_once('/').unwrap_or((method, "0")) {
            ("echo", _) => Some(Work::Echo),
            ("sleep", ms) => span(ms).map(Work::Sleep),
            ("fail", ms) => span(ms).map(Work::Fail),
            ("size", bytes) => bytes.parse().ok().map(Work::Size),
            _ => None,
        }
    }

    fn span(self) -> Duration {
        match self {
            Work::Sleep(span) | Work::Fail(span) => span,
            Work::Echo | Work::Size(_) => Duration::ZERO,
        }
    }

    fn answer(self, request: &Request) -> Answer {
        match self {
            Work::Echo | Work::Sleep(_) => Answer::bytes(StatusCode::OK, request.body.clone()),
            Work::Fail(_) => failed(),
            Work::Size(bytes) => Answer::bytes(StatusCode::OK, vec![b'x'; bytes.min(SIZE_LIMIT)]),
        }
    }
}

/// Serves calls.
#[derive(Debug)]
pub(super) struct Service {
    options: Options,
    running: Cell<u32>,
    running_keys: RefCell<Vec<String>>,
    effects: RefCell<Effects>,
}

impl Service {
    pub(super) fn new(options: Options) -> Service {
        Service {
            options,
            running: Cell::new(0),
            running_keys: RefCell::default(),
            effects: RefCell::default(),
        }
    }

    /// Takes a slot; returns whether one was free.
    fn enter(&self, key: Option<&str>) -> bool {
        let mut effects = self.effects.borrow_mut();
        if self.running.get() >= self.options.slots {
            effects.slots_exceeded += 1;
            return false;
        }
        self.running.update(|running| running + 1);
        effects.peak_calls = effects.peak_calls.max(self.running.get());
        let Some(key) = key else {
            effects.without_key += 1;
            return true;
        };
        *effects.by_key.entry(key.to_owned()).or_default() += 1;
        let mut keys = self.running_keys.borrow_mut();
        effects.key_twice += u64::from(keys.iter().any(|each| each == key));
        keys.push(key.to_owned());
        true
    }

    /// Frees the slot.
    fn leave(&self, key: Option<&str>) {
        self.running.update(|running| running - 1);
        let mut keys = self.running_keys.borrow_mut();
        if let Some(index) = keys.iter().position(|each| Some(each.as_str()) == key) {
            keys.swap_remove(index);
        }
    }

    async fn call(&self, method: &str, request: &Request, broken: bool) -> Answer {
        let Some(work) = Work::parse(method) else {
            return Answer::error(StatusCode::NOT_FOUND, "no such method");
        };
        let key = request.header(KEY);
        if !self.enter(key) {
            return Answer::error(StatusCode::SERVICE_UNAVAILABLE, "all slots are taken");
        }
        if !work.span().is_zero() {
            actix_rt::time::sleep(work.span()).await;
        }
        self.leave(key);
        if broken {
            return failed();
        }
        work.answer(request)
    }
}

/// The answer of a call that ran and failed.
fn failed() -> Answer {
    Answer::error(StatusCode::INTERNAL_SERVER_ERROR, "the call failed")
}

impl Serve for Service {
    async fn serve(&self, request: Request, faults: Faults) -> Answer {
        let path = request.path.clone();
        let answer = match (&request.method, path.strip_prefix("/v1/call/")) {
            (&Method::POST, Some(method)) => self.call(method, &request, faults.broken).await,
            _ => return Answer::not_found(&request),
        };
        match request.header(REQUEST_ID) {
            Some(id) => answer.with_header(REQUEST_ID, id),
            None => answer,
        }
    }

    fn control(&self, path: &str, request: &Request) -> Answer {
        match path {
            "effects" => Answer::json(&*self.effects.borrow()),
            _ => Answer::not_found(request),
        }
    }

    fn admits(&self, open: usize) -> bool {
        let mut effects = self.effects.borrow_mut();
        if open >= self.options.connections as usize {
            effects.connections_exceeded += 1;
            return false;
        }
        effects.peak_connections = effects.peak_connections.max(open as u32 + 1);
        true
    }
}
