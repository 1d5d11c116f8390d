//! The pool of connections to one target.
//!
//! A connection carries one request at a time and answers heartbeats. A connection on which nothing
//! was received for the silence timeout is closed and replaced by one with a new number. An answer
//! is accepted only when it names the attempt and arrives on the connection that the request was
//! last sent on, so a late or repeated answer is not matched to another request or to a later
//! attempt of the same one.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnum_derive::{state, value};

use super::call::Id;
use crate::core::time::Instant;

/// Identifies a connection; unique within one traffic thread until the process ends, and
/// never reused.
#[value]
pub struct Connection(pub u64);

/// One attempt to run a request; the target returns it in its answer.
#[value]
pub struct Attempt {
    /// The request.
    pub request: Id,
    /// The number of the attempt, from 1 for each request.
    pub number: u32,
}

/// The timeouts of the connections.
#[value]
pub struct Rules {
    /// The interval between heartbeats on a connection.
    pub heartbeat: Duration,
    /// A connection is silent when nothing was received on it for this time.
    pub silence: Duration,
    /// How long the target may keep its end of a silent connection open.
    pub linger: Duration,
    /// Whether answers are matched by their connection and attempt; tests disable this.
    #[doc(hidden)]
    pub match_connection: bool,
}

/// One open connection.
#[state]
struct Link {
    last_received: Instant,
    last_heartbeat: Instant,
    attempt: Option<Attempt>,
}

/// The connections to one target.
#[state]
pub struct Pool {
    rules: Rules,
    links: BTreeMap<Connection, Link>,
    /// Times until which the target may keep its ends of closed silent connections open.
    lingering: Vec<Instant>,
}

/// What [`Pool::tick`] found.
#[state]
#[derive(Default)]
pub struct Check {
    /// Connections that are due for a heartbeat.
    pub ping: Vec<Connection>,
    /// Silent connections, which must be closed.
    pub silent: Vec<Connection>,
    /// Requests that were in flight on the silent connections.
    pub lost: Vec<Id>,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            heartbeat: Duration::from_millis(700),
            silence: Duration::from_millis(2500),
            linger: Duration::from_secs(10),
            match_connection: true,
        }
    }
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(rules: Rules) -> Pool {
        Pool {
            rules,
            links: BTreeMap::new(),
            lingering: Vec::new(),
        }
    }

    /// Returns how many connections may still be open at the target, including its ends of closed
    /// silent connections.
    pub fn open(&self, now: Instant) -> u32 {
        let lingering = self.lingering.iter().filter(|&&until| now < until).count();
        (self.links.len() + lingering) as u32
    }

    /// Returns an unused connection.
    pub fn idle(&self) -> Option<Connection> {
        self.links
            .iter()
            .find(|(_, link)| link.attempt.is_none())
            .map(|(&connection, _)| connection)
    }

    /// Adds a new unused connection.
    pub fn insert(&mut self, now: Instant, connection: Connection) {
        let link = Link {
            last_received: now,
            last_heartbeat: now,
            attempt: None,
        };
        self.links.insert(connection, link);
    }

    /// Records that an attempt is sent on a connection.
    pub fn assign(&mut self, connection: Connection, attempt: Attempt) {
        if let Some(link) = self.links.get_mut(&connection) {
            link.attempt = Some(attempt);
        }
    }

    /// Records that something was received on a connection.
    pub fn record_received(&mut self, now: Instant, connection: Connection) {
        if let Some(link) = self.links.get_mut(&connection) {
            link.last_received = now;
        }
    }

    /// Removes the attempt from the connection that its answer arrived on and returns whether it
    /// was in flight there.
    pub fn take(&mut self, connection: Connection, attempt: Attempt) -> bool {
        if !self.rules.match_connection {
            return true;
        }
        match self.links.get_mut(&connection) {
            Some(link) if link.attempt == Some(attempt) => {
                link.attempt = None;
                true
            }
            _ => false,
        }
    }

    /// Removes a closed connection and returns the request that was in flight on it.
    pub fn remove(&mut self, connection: Connection) -> Option<Id> {
        let attempt = self.links.remove(&connection)?.attempt;
        attempt.map(|attempt| attempt.request)
    }

    /// Removes all connections and returns them.
    pub fn clear(&mut self) -> Vec<Connection> {
        let links = std::mem::take(&mut self.links);
        links.into_keys().collect()
    }

    /// Removes unused connections until at most `max_open` are open, and returns the removed ones.
    pub fn trim(&mut self, now: Instant, max_open: u32) -> Vec<Connection> {
        let surplus = self.open(now).saturating_sub(max_open) as usize;
        let idle = self.links.iter().filter(|(_, link)| link.attempt.is_none());
        let closed: Vec<Connection> = idle.map(|(&id, _)| id).take(surplus).collect();
        for connection in &closed {
            self.links.remove(connection);
        }
        closed
    }

    /// Finds connections that are silent or due for a heartbeat.
    pub fn tick(&mut self, now: Instant) -> Check {
        let mut check = Check::default();
        self.lingering.retain(|&until| now < until);
        for (&connection, link) in &mut self.links {
            if now.since(link.last_received) >= self.rules.silence {
                check.silent.push(connection);
                check
                    .lost
                    .extend(link.attempt.map(|attempt| attempt.request));
            } else if now.since(link.last_heartbeat) >= self.rules.heartbeat {
                link.last_heartbeat = now;
                check.ping.push(connection);
            }
        }
        for connection in &check.silent {
            self.links.remove(connection);
            self.lingering.push(now + self.rules.linger);
        }
        check
    }
}
