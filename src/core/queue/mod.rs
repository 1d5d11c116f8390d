//! Maps a client's request to a queue, by the host and the longest matching prefix of the path.

pub mod patch;
mod registry;

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use laburnum_derive::{message, name, state};

use super::account;
use super::scheduler::spec::Queue;

pub use registry::Registry;

/// The host and the path prefix at which clients reach a queue. Clients know no other name of it.
#[name]
pub struct Endpoint {
    /// The host that requests name.
    pub host: String,
    /// The prefix of their paths.
    pub prefix: String,
}

/// Which queue a request is for, or a job belongs to.
#[state]
#[derive(Copy, Eq)]
pub struct Locator<'a> {
    /// The endpoint; `None` for a job of a release that did not record it and for a request of such an entry.
    pub endpoint: Option<&'a Endpoint>,
    /// The name that the queue had when the job was accepted, or has in the configuration of the entry that took the
    /// request.
    pub name: &'a str,
}

impl<'a> Locator<'a> {
    /// Creates the locator of a queue at an endpoint, if it is known, with its name.
    pub fn new(endpoint: Option<&'a Endpoint>, name: &'a str) -> Locator<'a> {
        Locator { endpoint, name }
    }
}

impl<'a> From<&'a str> for Locator<'a> {
    fn from(name: &'a str) -> Locator<'a> {
        Locator::new(None, name)
    }
}

impl<'a> From<&'a String> for Locator<'a> {
    fn from(name: &'a String) -> Locator<'a> {
        name.as_str().into()
    }
}

/// A host and a path prefix whose requests go to a queue.
#[message]
pub struct QueueBinding {
    /// The host that the request names.
    pub host: String,
    /// The prefix of the path.
    pub prefix: String,
    /// The queue.
    pub queue: Queue,
    /// Whether requests need no key of a client account.
    pub is_public: bool,
}

impl QueueBinding {
    /// Returns the host and the prefix as an endpoint.
    pub fn endpoint(&self) -> Endpoint {
        Endpoint {
            host: self.host.clone(),
            prefix: self.prefix.clone(),
        }
    }

    /// Returns the host and the prefix.
    fn key(&self) -> (&str, &str) {
        (&self.host, &self.prefix)
    }
}

/// Limits for the HTTP requests of clients.
#[message]
pub struct Limits {
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// The most bytes of a request's headers.
    pub header_bytes: usize,
    /// How long a client may take to send the headers of a request.
    pub header_time: Duration,
    /// How long a connection without a request is kept open.
    pub idle_time: Duration,
}

/// The queues and limits of one version of the configuration.
#[message]
pub struct QueueTable {
    /// The version of the configuration.
    pub version: u64,
    /// Limits for the HTTP requests of clients.
    pub limits: Limits,
    /// The client accounts; `None` in a deployment without accounts, where callers need no key.
    pub accounts: Option<account::Table>,
    /// By host, the longest prefix first.
    by_host: HashMap<String, Vec<QueueBinding>>,
}

/// Returns the place of a prefix among those of its host.
fn order(prefix: &str) -> (Reverse<usize>, &str) {
    (Reverse(prefix.len()), prefix)
}

impl QueueTable {
    /// Creates the table of a version. Of several bindings with the same host and prefix, the first counts.
    pub fn new(
        version: u64,
        limits: Limits,
        bindings: Vec<QueueBinding>,
        accounts: Option<account::Table>,
    ) -> QueueTable {
        let mut by_host: HashMap<String, Vec<QueueBinding>> = HashMap::new();
        for binding in bindings {
            by_host
                .entry(binding.host.clone())
                .or_default()
                .push(binding);
        }
        for bindings in by_host.values_mut() {
            bindings.sort_by(|one, other| order(&one.prefix).cmp(&order(&other.prefix)));
            bindings.dedup_by(|later, first| later.prefix == first.prefix);
        }
        QueueTable {
            version,
            limits,
            accounts,
            by_host,
        }
    }

    /// Returns the binding of a request and the path after the prefix; `None` if no prefix matches.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&QueueBinding, &'a str)> {
        let bindings = self.by_host.get(host)?;
        let binding = bindings
            .iter()
            .find(|binding| path.starts_with(&binding.prefix))?;
        Some((binding, &path[binding.prefix.len()..]))
    }

    /// Returns the queue of every host and prefix; a queue may have several.
    pub fn queues(&self) -> impl Iterator<Item = &Queue> {
        self.bindings().map(|binding| &binding.queue)
    }

    /// Returns all bindings.
    pub fn bindings(&self) -> impl Iterator<Item = &QueueBinding> {
        self.by_host.values().flatten()
    }

    /// Returns the bindings by host and prefix.
    fn by_key(&self) -> BTreeMap<(&str, &str), &QueueBinding> {
        let bindings = self.bindings();
        bindings.map(|binding| (binding.key(), binding)).collect()
    }
}
