//! Sends messages to workers.

use std::net::SocketAddr;
use std::time::Duration;

use super::Event;
use crate::core::id::{Partition, Worker};
use crate::core::placement::Start;
use crate::core::time::Instant;
use crate::daemon::Context;
use crate::platform::client::Client;
use crate::platform::worker::{self, Control, Renew};
use crate::util::metric::label;

/// The maximum number of connections to workers, and of those for the VM list.
pub(super) const CONNECTIONS: usize = 256;

/// How long a worker may take to respond.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The worker that a message is sent to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Receiver {
    /// The partition whose cell sends it.
    pub(super) partition: Partition,
    /// The worker.
    pub(super) worker: Worker,
    /// The address of the worker.
    pub(super) address: SocketAddr,
}

/// Sends messages to workers; their responses arrive in the control thread's inbox.
#[derive(Clone)]
pub(super) struct Sender {
    context: Context,
    client: Client,
}

impl Sender {
    /// Creates a sender without open connections.
    pub(super) fn new(context: &Context) -> Sender {
        Sender {
            context: context.clone(),
            client: Client::new(CONNECTIONS),
        }
    }

    /// Sends the start of a task.
    pub(super) fn start(&self, to: Receiver, start: Start) {
        self.count("start");
        let not_after = self.wall_clock(start.not_after);
        let message = worker::Start {
            attempt: start.attempt,
            size: start.size,
            command: start.command,
            lease_ms: start.lease.as_millis() as u64,
            not_after_ms: not_after,
        };
        let sender = self.clone();
        actix_rt::spawn(async move {
            let result = sender.client.start(to.address, &message, TIMEOUT).await;
            let event = Event::Started {
                partition: to.partition,
                attempt: message.attempt,
                result,
            };
            sender.context.control(event);
        });
    }

    /// Renews the leases of tasks; the worker refuses a renewal that arrives too late.
    pub(super) fn renew(&self, to: Receiver, renew: Renew) {
        self.count("renew");
        let sender = self.clone();
        actix_rt::spawn(async move {
            let _ = sender.client.renew(to.address, &renew, TIMEOUT).await;
        });
    }

    /// Sends an action on a task; the next inventory shows whether it succeeded.
    pub(super) fn control(&self, to: Receiver, control: Control) {
        self.count("control");
        let sender = self.clone();
        actix_rt::spawn(async move {
            let _ = sender.client.control(to.address, &control, TIMEOUT).await;
        });
    }

    /// Requests an inventory.
    pub(super) fn inventory(&self, to: Receiver, request: u64) {
        self.count("inventory");
        let sender = self.clone();
        actix_rt::spawn(async move {
            let result = sender.client.inventory(to.address, TIMEOUT).await;
            let event = Event::Inventory {
                partition: to.partition,
                worker: to.worker,
                request,
                result,
            };
            sender.context.control(event);
        });
    }

    /// Returns a point on the monotonic clock as wall-clock time, in Unix milliseconds.
    pub(super) fn wall_clock(&self, at: Instant) -> u64 {
        let left = at.since(self.context.clock.now());
        self.context.clock.stamp().0 + left.as_millis() as u64
    }

    fn count(&self, command: &'static str) {
        self.context
            .metrics
            .worker_commands
            .add(1, &label("command", command));
    }
}
