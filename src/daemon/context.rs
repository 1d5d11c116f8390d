//! The handles that all threads of the daemon share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use slog::Logger;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, watch};

use super::{control, dispatch, peer};
use crate::core::config::Config;
use crate::core::error::{Error, Kind, Result};
use crate::core::id::{Incarnation, Node, Vm};
use crate::core::request::Origin;
use crate::settings::Settings;
use crate::util::clock::Clock;
use crate::util::metric::Metrics;
use crate::wire::{Call, Request, Response};

/// How many requests may wait for the control thread at once.
const MAX_ASKS: usize = 20_000;

/// The inboxes of the daemon's threads and the state that they share; cheap to clone.
#[derive(Clone)]
pub struct Context {
    /// The settings.
    pub settings: Arc<Settings>,
    /// The monotonic and the wall clock.
    pub clock: Clock,
    /// The logger.
    pub log: Logger,
    /// The metrics.
    pub metrics: Metrics,
    shared: Arc<Shared>,
}

/// The sending ends of the threads' inboxes.
pub struct Senders {
    /// The inbox of the control thread.
    pub control: UnboundedSender<control::Event>,
    /// The inbox of the dispatch thread.
    pub dispatch: UnboundedSender<dispatch::Event>,
    /// The inbox of the peer thread.
    pub peer: UnboundedSender<peer::Command>,
}

struct Shared {
    senders: Senders,
    config: watch::Sender<Arc<Config>>,
    incarnation: AtomicU64,
    asks: AtomicUsize,
    in_flight: AtomicUsize,
    is_stop_requested: AtomicBool,
    is_draining: AtomicBool,
    is_ready: AtomicBool,
}

/// Counts one HTTP request as in flight until this guard is dropped.
pub struct InFlightGuard(Arc<Shared>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Context {
    /// Creates the context of a daemon, with a new incarnation.
    pub fn new(
        settings: Settings,
        clock: Clock,
        log: Logger,
        metrics: Metrics,
        senders: Senders,
    ) -> Context {
        let shared = Shared {
            senders,
            config: watch::Sender::new(Arc::default()),
            incarnation: AtomicU64::new(incarnation(clock)),
            asks: AtomicUsize::new(0),
            in_flight: AtomicUsize::new(0),
            is_stop_requested: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            is_ready: AtomicBool::new(false),
        };
        Context {
            settings: Arc::new(settings),
            clock,
            log,
            metrics,
            shared: Arc::new(shared),
        }
    }

    /// Returns the identity of this run of the daemon: its VM and incarnation.
    pub fn node(&self) -> Node {
        let incarnation = Incarnation(self.shared.incarnation.load(Ordering::Relaxed));
        Node {
            vm: Vm(self.settings.node.vm),
            incarnation,
        }
    }

    /// Generates a new, higher incarnation; needed when the state of the former one is lost.
    pub fn renew_incarnation(&self) {
        let newer = self.node().incarnation.0 + 1;
        let renewed = incarnation(self.clock).max(newer);
        self.shared.incarnation.store(renewed, Ordering::Relaxed);
    }

    /// Sends an event to the control thread.
    pub fn control(&self, event: control::Event) {
        let _ = self.shared.senders.control.send(event);
    }

    /// Sends an event to the dispatch thread.
    pub fn dispatch(&self, event: dispatch::Event) {
        let _ = self.shared.senders.dispatch.send(event);
    }

    /// Sends a command to the peer thread.
    pub fn peer(&self, command: peer::Command) {
        let _ = self.shared.senders.peer.send(command);
    }

    /// Sends a request to the control thread, which may forward it to another entry unless it
    /// `is_forwarded` already, and waits for the response.
    ///
    /// # Errors
    ///
    /// The error in the response; [`Kind::Overloaded`] when too many requests wait;
    /// [`Kind::AnswerLost`] when no response arrives within `timeout`.
    pub async fn request(
        &self,
        request: Request,
        timeout: Duration,
        is_forwarded: bool,
    ) -> Result<Response> {
        if self.shared.asks.load(Ordering::Relaxed) >= MAX_ASKS {
            return Err(Error::new(
                Kind::Overloaded,
                "too many requests wait at this entry; retry later",
            ));
        }
        self.shared.asks.fetch_add(1, Ordering::Relaxed);
        let (reply, response) = oneshot::channel();
        let deadline = self.clock.now() + timeout;
        self.control(control::Event::Request {
            request,
            deadline,
            is_forwarded,
            reply,
        });
        let result = actix_rt::time::timeout(timeout + RESPONSE_GRACE, response).await;
        self.shared.asks.fetch_sub(1, Ordering::Relaxed);
        match result {
            Ok(Ok(response)) => response,
            Ok(Err(_)) => Err(Error::new(
                Kind::AnswerLost,
                "the control thread restarted before it responded",
            )),
            Err(_) => Err(Error::new(
                Kind::AnswerLost,
                "no response arrived before the deadline",
            )),
        }
    }

    /// Runs a call, here or through the owner of its key, and waits for its response.
    ///
    /// # Errors
    ///
    /// The error that the call failed with; [`Kind::AnswerLost`] when no response arrives within
    /// `timeout`.
    pub async fn call(&self, call: Call, origin: Origin, timeout: Duration) -> Result<Response> {
        let (reply, response) = oneshot::channel();
        let deadline = self.clock.now() + timeout;
        self.dispatch(dispatch::Event::Call {
            call,
            origin,
            deadline,
            reply,
        });
        match actix_rt::time::timeout(timeout + RESPONSE_GRACE, response).await {
            Ok(Ok(response)) => response,
            Ok(Err(_)) => Err(Error::new(
                Kind::AnswerLost,
                "the dispatch thread restarted before it responded",
            )),
            Err(_) => Err(Error::new(
                Kind::AnswerLost,
                "no response arrived before the deadline",
            )),
        }
    }

    /// Returns the state of the dispatch thread, by service.
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] when it does not respond within `timeout`.
    pub async fn dump_dispatch(&self, timeout: Duration) -> Result<serde_json::Value> {
        let (reply, response) = oneshot::channel();
        self.dispatch(dispatch::Event::Dump(reply));
        let result = actix_rt::time::timeout(timeout, response).await;
        result
            .ok()
            .and_then(std::result::Result::ok)
            .ok_or_else(|| Error::new(Kind::Internal, "the dispatch thread does not respond"))
    }

    /// Counts an HTTP request as in flight until the returned guard is dropped.
    pub fn track_request(&self) -> InFlightGuard {
        self.shared.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(Arc::clone(&self.shared))
    }

    /// Returns how many HTTP requests are in flight.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::Relaxed)
    }

    /// Requests a planned stop.
    pub fn request_stop(&self) {
        self.shared.is_stop_requested.store(true, Ordering::Relaxed);
    }

    /// Returns whether a planned stop was requested.
    pub fn is_stop_requested(&self) -> bool {
        self.shared.is_stop_requested.load(Ordering::Relaxed)
    }

    /// Publishes the configuration in force to the HTTP threads.
    pub fn set_config(&self, config: Arc<Config>) {
        self.shared.config.send_replace(config);
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(&self.shared.config.borrow())
    }

    /// Sets whether the daemon has read the VM list and knows an owner of every partition.
    pub fn set_ready(&self, is_ready: bool) {
        self.shared.is_ready.store(is_ready, Ordering::Relaxed);
    }

    /// Returns whether the daemon accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready.load(Ordering::Relaxed) && !self.is_draining()
    }

    /// Marks the daemon as draining, so that it is no longer ready.
    pub fn begin_drain(&self) {
        self.shared.is_draining.store(true, Ordering::Relaxed);
    }

    /// Returns whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.shared.is_draining.load(Ordering::Relaxed)
    }
}

/// How much longer than its timeout a request waits, so that the response that reports the timeout
/// can still arrive.
const RESPONSE_GRACE: Duration = Duration::from_millis(250);

/// How many of the lowest bits of an incarnation are random; the others are a time.
const INCARNATION_RANDOM_BITS: u32 = 10;

/// Generates an incarnation from the wall clock and random bits; a later one on the same VM is
/// higher.
fn incarnation(clock: Clock) -> u64 {
    let random = u64::from(rand::random::<u32>() >> (u32::BITS - INCARNATION_RANDOM_BITS));
    (clock.stamp().0 << INCARNATION_RANDOM_BITS) | random
}
