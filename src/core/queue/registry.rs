//! The queues in force, by which the owner of a cell tells what queue a job belongs to.
//!
//! Load: versions of the configuration that rename queues, move them, exchange their names, or remove them for a while.
//! A job stays with the endpoint at which its client handed it in, because that is all that the client knows. The name
//! decides only where the endpoint is unknown or no queue is there any more, so that the jobs of a queue that has moved
//! to another endpoint stay in reach.

use std::collections::HashMap;

use super::{Endpoint, Locator, QueueBinding};
use crate::core::scheduler::spec::Queue;

/// The queues in force, by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    by_endpoint: HashMap<Endpoint, Queue>,
    /// The first endpoint of each name.
    by_name: HashMap<String, Endpoint>,
}

impl Registry {
    /// Creates the registry of these bindings.
    pub fn new(bindings: Vec<QueueBinding>) -> Registry {
        let mut registry = Registry::default();
        for binding in bindings {
            let endpoint = binding.endpoint();
            let name = binding.queue.name.clone();
            let first = registry.by_name.entry(name).or_insert(endpoint.clone());
            if endpoint < *first {
                first.clone_from(&endpoint);
            }
            registry.by_endpoint.insert(endpoint, binding.queue);
        }
        registry
    }

    /// Returns the queue that a job belongs to now; `None` if it was removed.
    pub fn find(&self, job: Locator<'_>) -> Option<(&Endpoint, &Queue)> {
        let own = job.endpoint;
        let own = own.and_then(|endpoint| self.by_endpoint.get_key_value(endpoint));
        own.or_else(|| {
            let endpoint = self.by_name.get(job.name)?;
            self.by_endpoint.get_key_value(endpoint)
        })
    }

    /// Returns the name that a queue has now, or had before it was removed.
    pub fn name_of<'a>(&'a self, locator: Locator<'a>) -> &'a str {
        let queue = locator
            .endpoint
            .and_then(|endpoint| self.by_endpoint.get(endpoint));
        queue.map_or(locator.name, |queue| &queue.name)
    }

    /// Whether a request is for the queue of a job.
    pub fn is_same(&self, job: Locator<'_>, request: Locator<'_>) -> bool {
        let is_at_endpoint = request.endpoint.is_some() && job.endpoint == request.endpoint;
        is_at_endpoint || self.name_of(job) == self.name_of(request)
    }
}
