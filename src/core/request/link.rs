//! The state of the connections to one target.
//!
//! A connection carries one request at a time and answers heartbeats. One that was not heard for
//! the silence timeout is closed and replaced by another with a new number, and is never used
//! again. An answer counts only when it comes on the connection that the request was last sent on,
//! so a late or repeated answer can't reach another request.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnum_derive::{state, value};

use super::call::Id;
use crate::core::time::Instant;

/// A connection, unique within one run of one traffic thread and never used twice.
#[value]
pub struct Connection(pub u64);

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
    request: Option<Id>,
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
            linger: Duration::from_secs(30),
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
            .find(|(_, link)| link.request.is_none())
            .map(|(&connection, _)| connection)
    }

    /// Adds a new connection.
    pub fn insert(&mut self, now: Instant, connection: Connection) {
        let link = Link {
            heard: now,
            asked: now,
            request: None,
        };
        self.links.insert(connection, link);
    }

    /// Puts `request` on an unused connection.
    pub fn assign(&mut self, connection: Connection, request: Id) {
        if let Some(link) = self.links.get_mut(&connection) {
            link.request = Some(request);
        }
    }

    /// Notes a sign of life.
    pub fn heard(&mut self, now: Instant, connection: Connection) {
        if let Some(link) = self.links.get_mut(&connection) {
            link.heard = now;
        }
    }

    /// Takes the request off the connection that its answer came on and returns whether it was
    /// there.
    pub fn take(&mut self, connection: Connection, request: Id) -> bool {
        if !self.rules.match_connection {
            return true;
        }
        match self.links.get_mut(&connection) {
            Some(link) if link.request == Some(request) => {
                link.request = None;
                true
            }
            _ => false,
        }
    }

    /// Removes a connection that was closed and returns the request on it.
    pub fn remove(&mut self, connection: Connection) -> Option<Id> {
        self.links.remove(&connection)?.request
    }

    /// Removes all connections and returns them.
    pub fn clear(&mut self) -> Vec<Connection> {
        let links = std::mem::take(&mut self.links);
        links.into_keys().collect()
    }

    /// Takes unused connections out until no more than `most` are open, and returns them.
    pub fn trim(&mut self, now: Instant, most: u32) -> Vec<Connection> {
        let surplus = self.open(now).saturating_sub(most) as usize;
        let idle = self.links.iter().filter(|(_, link)| link.request.is_none());
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
                check.lost.extend(link.request);
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
