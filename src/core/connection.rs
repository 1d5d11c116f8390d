//! Decides when the open connections to a peer are given up.
//!
//! Load: connections that stop delivering data for good while new ones work. The peer's kernel still
//! acknowledges what it receives, so that neither `TCP_USER_TIMEOUT` nor keep-alive probes show it; only a
//! request without a response does. All connections to a peer may fall silent at once, and a client that gives
//! them up one at a time spends a timeout on each.
//!
//! A request that times out therefore counts against all connections that were open when it was sent, and the
//! caller replaces them together. Timeouts of other requests over the same connections replace nothing again,
//! and neither do those over connections on which no response has ever arrived: a peer that is slow, stands
//! still or drops requests costs at most one set of connections each time that it has answered.

use std::time::Duration;

use laburnum_derive::{state, value};

use super::time::Instant;

/// A request that was sent.
#[value]
pub struct Request {
    /// The number of the set of connections that it uses.
    set: u32,
    /// When it was sent.
    sent: Instant,
}

/// What a request without a response shows.
#[value]
pub enum Silence {
    /// Requests that were sent later have been answered: at least one connection is silent, or the peer drops
    /// some requests.
    Partial,
    /// Nothing that was sent since has been answered, but earlier requests were.
    Complete,
    /// No request over these connections has ever been answered: the peer is slow or away.
    Peer,
}

impl Silence {
    /// Returns the name that log lines and metrics use.
    pub fn name(self) -> &'static str {
        match self {
            Silence::Partial => "partial",
            Silence::Complete => "complete",
            Silence::Peer => "peer",
        }
    }

    /// Whether the open connections are to be replaced.
    pub fn is_replacement_due(self) -> bool {
        self != Silence::Peer
    }
}

/// The requests to one peer, as far as they tell something about its connections.
#[state]
#[derive(Default)]
pub struct History {
    /// The number of the present set of connections.
    set: u32,
    /// When the latest of the answered requests of the present set was sent.
    answered: Option<Instant>,
    /// When the first request without a response was sent, since the last response.
    silent_since: Option<Instant>,
}

impl History {
    /// Notes a request that is sent over the present set of connections.
    pub fn send(&self, now: Instant) -> Request {
        Request {
            set: self.set,
            sent: now,
        }
    }

    /// Whether a request has had no response and none has arrived since over connections that are still in use.
    pub fn is_silent(&self) -> bool {
        self.silent_since.is_some()
    }

    /// Notes a response. Returns for how long there was none, if it is the first one after a silence.
    pub fn answer(&mut self, request: Request, now: Instant) -> Option<Duration> {
        if request.set != self.set {
            return None;
        }
        self.answered = self.answered.max(Some(request.sent));
        let silent_since = self.silent_since.take()?;
        Some(now.since(silent_since))
    }

    /// Notes that a request has timed out. Returns `None` if its connections have been replaced since.
    pub fn time_out(&mut self, request: Request) -> Option<Silence> {
        if request.set != self.set {
            return None;
        }
        let silence = match self.answered {
            Some(answered) if answered > request.sent => Silence::Partial,
            Some(_) => Silence::Complete,
            None => Silence::Peer,
        };
        self.silent_since.get_or_insert(request.sent);
        if silence.is_replacement_due() {
            self.set += 1;
            self.answered = None;
        }
        Some(silence)
    }
}
