//! A target that serves calls.
//!
//! The methods are `echo`, which returns the request's body, `sleep/MS`, which returns it after
//! that many milliseconds, `fail/MS`, which fails after that time, and `size/BYTES`, which returns
//! a body of that size. A call is refused with status 503 before it runs when all slots are taken,
//! and a connection above the limit is closed. The target counts the calls that ran by key, so that
//! tests can check that none was lost or ran twice.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use laburnum_derive::{message, state};
use laburnumplank::platform::target::{KEY, REQUEST_ID};

use super::fault::Faults;
use super::http::{Request, Response};
use super::server::Serve;

/// The largest response body of `size/BYTES`, in bytes.
const SIZE_LIMIT: usize = 64 << 20;

/// The options of a target.
#[state]
#[derive(Copy)]
pub struct Options {
    /// The maximum number of concurrent calls.
    pub slots: u32,
    /// The maximum number of open connections.
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

/// The counts of a target since its start.
#[message]
#[derive(Default)]
pub struct Effects {
    /// The number of times that each call ran, by its key.
    pub by_key: BTreeMap<String, u64>,
    /// The number of calls without a key that ran.
    pub without_key: u64,
    /// The maximum number of calls that ran at the same time.
    pub peak_calls: u32,
    /// The maximum number of connections that were open at the same time.
    pub peak_connections: u32,
    /// Violation: calls refused because all slots were taken.
    pub slots_exceeded: u64,
    /// Violation: connections closed because the limit was reached.
    pub connections_exceeded: u64,
    /// Violation: calls that started while another call with the same key ran.
    pub key_twice: u64,
}

/// The behaviour of a call, as its method determines.
#[state]
#[derive(Copy)]
enum Behaviour {
    Echo,
    Sleep(Duration),
    Fail(Duration),
    Size(usize),
}

impl Behaviour {
    /// Parses the method of a call; returns `None` for an unknown method.
    fn parse(method: &str) -> Option<Behaviour> {
        let duration = |ms: &str| ms.parse().ok().map(Duration::from_millis);
        match method.split_once('/').unwrap_or((method, "0")) {
            ("echo", _) => Some(Behaviour::Echo),
            ("sleep", ms) => duration(ms).map(Behaviour::Sleep),
            ("fail", ms) => duration(ms).map(Behaviour::Fail),
            ("size", bytes) => bytes.parse().ok().map(Behaviour::Size),
            _ => None,
        }
    }

    fn duration(self) -> Duration {
        match self {
            Behaviour::Sleep(duration) | Behaviour::Fail(duration) => duration,
            Behaviour::Echo | Behaviour::Size(_) => Duration::ZERO,
        }
    }

    fn response(self, request: &Request) -> Response {
        match self {
            Behaviour::Echo | Behaviour::Sleep(_) => {
                Response::bytes(StatusCode::OK, request.body.clone())
            }
            Behaviour::Fail(_) => failure(),
            Behaviour::Size(bytes) => {
                Response::bytes(StatusCode::OK, vec![b'x'; bytes.min(SIZE_LIMIT)])
            }
        }
    }
}

/// The HTTP service of a target.
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

    /// Takes a slot and counts the call; returns whether a slot was free.
    fn take_slot(&self, key: Option<&str>) -> bool {
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

    /// Frees the slot of a call.
    fn free_slot(&self, key: Option<&str>) {
        self.running.update(|running| running - 1);
        let mut keys = self.running_keys.borrow_mut();
        if let Some(index) = keys.iter().position(|each| Some(each.as_str()) == key) {
            keys.swap_remove(index);
        }
    }

    async fn call(&self, method: &str, request: &Request, broken: bool) -> Response {
        let Some(behaviour) = Behaviour::parse(method) else {
            return Response::error(StatusCode::NOT_FOUND, "no such method");
        };
        let key = request.header(KEY);
        if !self.take_slot(key) {
            return Response::error(StatusCode::SERVICE_UNAVAILABLE, "all slots are taken");
        }
        if !behaviour.duration().is_zero() {
            actix_rt::time::sleep(behaviour.duration()).await;
        }
        self.free_slot(key);
        if broken {
            return failure();
        }
        behaviour.response(request)
    }
}

/// Returns the response of a call that ran and failed.
fn failure() -> Response {
    Response::error(StatusCode::INTERNAL_SERVER_ERROR, "the call failed")
}

impl Serve for Service {
    async fn serve(&self, request: Request, faults: Faults) -> Response {
        let path = request.path.clone();
        let response = match (&request.method, path.strip_prefix("/v1/call/")) {
            (&Method::POST, Some(method)) => self.call(method, &request, faults.broken).await,
            _ => return Response::not_found(&request),
        };
        match request.header(REQUEST_ID) {
            Some(id) => response.with_header(REQUEST_ID, id),
            None => response,
        }
    }

    fn control(&self, path: &str, request: &Request) -> Response {
        match path {
            "effects" => Response::json(&*self.effects.borrow()),
            _ => Response::not_found(request),
        }
    }

    fn accepts_connection(&self, open: usize) -> bool {
        let mut effects = self.effects.borrow_mut();
        if open >= self.options.connections as usize {
            effects.connections_exceeded += 1;
            return false;
        }
        effects.peak_connections = effects.peak_connections.max(open as u32 + 1);
        true
    }
}
