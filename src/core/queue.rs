//! Which queue a request is for, by host and the longest prefix of its path.

use std::collections::HashMap;
use std::time::Duration;

use laburnum_derive::state;

use super::scheduler::spec::Queue;

/// A way to a queue.
#[state]
pub struct Route {
    /// The host that clients name.
    pub host: String,
    /// What the path begins with.
    pub prefix: String,
    /// The queue.
    pub queue: Queue,
}

/// Limits on what clients send.
#[state]
pub struct Limits {
    /// The longest body, in bytes.
    pub body_bytes: usize,
    /// The most bytes of a request's headers.
    pub header_bytes: usize,
    /// How long a client may take to send its headers.
    pub header_time: Duration,
    /// How long an unused connection is kept.
    pub idle_time: Duration,
}

/// The queues of one version of the configuration.
#[state]
pub struct Table {
    /// The version.
    pub version: u64,
    /// Limits on what clients send.
    pub limits: Limits,
    /// By host, the longest prefix first.
    by_host: HashMap<String, Vec<Route>>,
}

impl Table {
    /// Makes the table of a version.
    pub fn new(version: u64, limits: Limits, routes: Vec<Route>) -> Table {
        let mut by_host: HashMap<String, Vec<Route>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Table {
            version,
            limits,
            by_host,
        }
    }

    /// Returns the queue of a request and the rest of its path.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let routes = self.by_host.get(host)?;
        let route = routes
            .iter()
            .find(|route| path.starts_with(&route.prefix))?;
        Some((&route.queue, &path[route.prefix.len()..]))
    }

    /// Returns all queues.
    pub fn queues(&self) -> impl Iterator<Item = &Queue> {
        self.by_host.values().flatten().map(|route| &route.queue)
    }
}
