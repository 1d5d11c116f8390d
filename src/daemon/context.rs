//! What every part of the daemon is given.

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
use crate::wire::{Ask, Call, Tell};

/// How many asks may wait for the control part at once.
const MAX_ASKS: usize = 20_000;

/// Handles to the parts and what they share; copies are cheap.
#[derive(Clone)]
pub struct Context {
    /// The settings.
    pub settings: Arc<Settings>,
    /// The clocks.
    pub clock: Clock,
    /// The logger.
    pub log: Logger,
    /// The instruments.
    pub metrics: Metrics,
    shared: Arc<Shared>,
}

/// The senders of the parts' inboxes.
pub struct Senders {
    /// The control part.
    pub control: UnboundedSender<control::Event>,
    /// The dispatch part.
    pub dispatch: UnboundedSender<dispatch::Event>,
    /// The peer part.
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

/// Counts one request in flight until it is dropped.
pub struct Flight(Arc<Shared>);

impl Drop for Flight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Context {
    /// Makes the context of a daemon.
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

    /// Returns this run of the daemon on this VM.
    pub fn node(&self) -> Node {
        let incarnation = Incarnation(self.shared.incarnation.load(Ordering::Relaxed));
        Node {
            vm: Vm(self.settings.node.vm),
            incarnation,
        }
    }

    /// Draws a new incarnation, because the state of the former one is lost.
    pub fn renew_incarnation(&self) {
        let newer = self.node().incarnation.0 + 1;
        let drawn = incarnation(self.clock).max(newer);
        self.shared.incarnation.store(drawn, Ordering::Relaxed);
    }

    /// Hands an event to the control part.
    pub fn control(&self, event: control::Event) {
        let _ = self.shared.senders.control.send(event);
    }

    /// Hands an event to the dispatch part.
    pub fn dispatch(&self, event: dispatch::Event) {
        let _ = self.shared.senders.dispatch.send(event);
    }

    /// Hands a command to the peer part.
    pub fn peer(&self, command: peer::Command) {
        let _ = self.shared.senders.peer.send(command);
    }

    /// Asks the control part, here or through another entry, and waits for the answer.
    ///
    /// # Errors
    ///
    /// The answer's own error; [`Kind::Overloaded`] when too many asks wait; [`Kind::AnswerLost`]
    /// when no answer comes within `timeout`.
    pub async fn ask(&self, ask: Ask, timeout: Duration, is_forwarded: bool) -> Result<Tell> {
        if self.shared.asks.load(Ordering::Relaxed) >= MAX_ASKS {
            return Err(Error::new(
                Kind::Overloaded,
                "too many requests wait at this entry; come back",
            ));
        }
        self.shared.asks.fetch_add(1, Ordering::Relaxed);
        let (reply, answer) = oneshot::channel();
        let deadline = self.clock.now() + timeout;
        self.control(control::Event::Ask {
            ask,
            deadline,
            is_forwarded,
            reply,
        });
        let told = actix_rt::time::timeout(timeout + ANSWER_GRACE, answer).await;
        self.shared.asks.fetch_sub(1, Ordering::Relaxed);
        match told {
            Ok(Ok(tell)) => tell,
            Ok(Err(_)) => Err(Error::new(
                Kind::AnswerLost,
                "the control part was started again",
            )),
            Err(_) => Err(Error::new(
                Kind::AnswerLost,
                "no answer came before the deadline",
            )),
        }
    }

    /// Runs a call, here or through the owner of its key, and waits for its answer.
    ///
    /// # Errors
    ///
    /// Whatever stopped the call.
    pub async fn call(&self, call: Call, origin: Origin, timeout: Duration) -> Result<Tell> {
        let (reply, answer) = oneshot::channel();
        let deadline = self.clock.now() + timeout;
        self.dispatch(dispatch::Event::Call {
            call,
            origin,
            deadline,
            reply,
        });
        match actix_rt::time::timeout(timeout + ANSWER_GRACE, answer).await {
            Ok(Ok(tell)) => tell,
            Ok(Err(_)) => Err(Error::new(
                Kind::AnswerLost,
                "the dispatch part was started again",
            )),
            Err(_) => Err(Error::new(
                Kind::AnswerLost,
                "no answer came before the deadline",
            )),
        }
    }

    /// Returns the state of the dispatch part.
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] when it does not answer within `timeout`.
    pub async fn dump_dispatch(&self, timeout: Duration) -> Result<serde_json::Value> {
        let (reply, answer) = oneshot::channel();
        self.dispatch(dispatch::Event::Dump(reply));
        let told = actix_rt::time::timeout(timeout, answer).await;
        told.ok()
            .and_then(std::result::Result::ok)
            .ok_or_else(|| Error::new(Kind::Internal, "the dispatch part does not answer"))
    }

    /// Counts a request in flight.
    pub fn begin_flight(&self) -> Flight {
        self.shared.in_flight.fetch_add(1, Ordering::Relaxed);
        Flight(Arc::clone(&self.shared))
    }

    /// Returns how many requests are in flight.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::Relaxed)
    }

    /// Asks for a planned stop.
    pub fn request_stop(&self) {
        self.shared.is_stop_requested.store(true, Ordering::Relaxed);
    }

    /// Returns whether a planned stop was asked for.
    pub fn is_stop_requested(&self) -> bool {
        self.shared.is_stop_requested.load(Ordering::Relaxed)
    }

    /// Puts a configuration in force for the traffic threads.
    pub fn set_config(&self, config: Arc<Config>) {
        self.shared.config.send_replace(config);
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(&self.shared.config.borrow())
    }

    /// Notes whether the daemon knows an owner of every partition.
    pub fn set_ready(&self, is_ready: bool) {
        self.shared.is_ready.store(is_ready, Ordering::Relaxed);
    }

    /// Returns whether the daemon can take new requests.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready.load(Ordering::Relaxed) && !self.is_draining()
    }

    /// Marks the daemon as stopping.
    pub fn begin_drain(&self) {
        self.shared.is_draining.store(true, Ordering::Relaxed);
    }

    /// Returns whether the daemon is stopping.
    pub fn is_draining(&self) -> bool {
        self.shared.is_draining.load(Ordering::Relaxed)
    }
}

/// How much longer than its deadline an ask waits for its own final answer.
const ANSWER_GRACE: Duration = Duration::from_millis(250);

/// How many of the lowest bits of an incarnation are random.
const INCARNATION_RANDOM_BITS: u32 = 10;

/// Draws an incarnation; one that is drawn later on the same VM is higher.
fn incarnation(clock: Clock) -> u64 {
    let random = u64::from(rand::random::<u32>() >> (u32::BITS - INCARNATION_RANDOM_BITS));
    (clock.stamp().0 << INCARNATION_RANDOM_BITS) | random
}
