//! The state of the connections to one target.
//!
//! A connection carries one request at a time and answers heartbeats. One that was not heard for
//! the silence timeout is closed and replaced by another with a new number, and is never used
//! again. An answer counts only when it names the attempt and comes on the connection that the
//! request was last sent with, so a late or repeated answer reaches neither another request nor a
//! later attempt of the same one.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnum_derive::{state, value};

use super::call::Id;
use crate::core::time::Instant;

/// A connection, unique within one run of one traffic thread and never used twice.
#[value]
pub struct Connection(pub u64);

/// One attempt to run a request; the target repeats it in its answer.
#[value]
pub struct Attempt {
    /// The request.
    pub request: Id,
    /// Counts the attempts of the request, from 1.
    pub number: u32,
}

/// The rules of the connections.
#[value]
pub struct Rules {
    /// How often a connection is asked for a sign of life.
    pub heartbeat: Duration,
    /// A connection not heard for this long is silent.
    pub silence: Duration,
    /// How long the target may hold its end of a silent connection.
    pub linger: Duration,
    /// Whether answers are matched by their connection; tests switch it off.
    #[doc(hidden)]
    pub match_connection: bool,
}

/// One open connection.
#[state]
struct Link {
    heard: Instant,
    asked: Instant,
    attempt: Option<Attempt>,
}

/// The connections to one target.
#[state]
pub struct Pool {
    rules: Rules,
    links: BTreeMap<Connection, Link>,
    /// When the target's ends of closed silent connections are surely gone.
    lingering: Vec<Instant>,
}

/// What [`Pool::tick`] found.
#[state]
#[derive(Default)]
pub struct Check {
    /// Connections to send a heartbeat on.
    pub ping: Vec<Connection>,
    /// Connections to close as silent.
    pub silent: Vec<Connection>,
    /// Requests that were on them.
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
    /// Makes an empty pool.
    pub fn new(rules: Rules) -> Pool {
        Pool {
            rules,
            links: BTreeMap::new(),
            lingering: Vec::new(),
        }
    }

    /// Returns how many connections the target may hold open.
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

    /// Adds a new connection.
    pub fn insert(&mut self, now: Instant, connection: Connection) {
        let link = Link {
            heard: now,
            asked: now,
            attempt: None,
        };
        self.links.insert(connection, link);
    }

    /// Puts an attempt on an unused connection.
    pub fn assign(&mut self, connection: Connection, attempt: Attempt) {
        if let Some(link) = self.links.get_mut(&connection) {
            link.attempt = Some(attempt);
        }
    }

    /// Notes a sign of life.
    pub fn heard(&mut self, now: Instant, connection: Connection) {
        if let Some(link) = self.links.get_mut(&connection) {
            link.heard = now;
        }
    }

    /// Takes the attempt off the connection that its answer came on and returns whether it was
    /// there.
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

    /// Removes a connection that was closed and returns the request on it.
    pub fn remove(&mut self, connection: Connection) -> Option<Id> {
        let attempt = self.links.remove(&connection)?.attempt;
        attempt.map(|attempt| attempt.request)
    }

    /// Removes all connections and returns them.
    pub fn clear(&mut self) -> Vec<Connection> {
        let links = std::mem::take(&mut self.links);
        links.into_keys().collect()
    }

    /// Takes unused connections out until no more than `most` are open, and returns them.
    pub fn trim(&mut self, now: Instant, most: u32) -> Vec<Connection> {
        let surplus = self.open(now).saturating_sub(most) as usize;
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
            if now.since(link.heard) >= self.rules.silence {
                check.silent.push(connection);
                check
                    .lost
                    .extend(link.attempt.map(|attempt| attempt.request));
            } else if now.since(link.asked) >= self.rules.heartbeat {
                link.asked = now;
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
