//! The events that the control thread handles.

use tokio::sync::oneshot;

use crate::core::id::{Attempt, Node, Partition, Service, Worker};
use crate::core::request::{dedup, slot};
use crate::core::time::Instant;
use crate::core::{lease, membership};
use crate::daemon::control::journal;
use crate::platform::client::Failure;
use crate::platform::vms::List;
use crate::platform::worker::Inventory;
use crate::wire::{Reply, Request, SlotHandover};

/// An event for the control thread.
pub enum Event {
    /// A request of an HTTP thread or of another entry.
    Request {
        /// The request.
        request: Request,
        /// When the response is due.
        deadline: Instant,
        /// Whether another entry forwarded the request to this one.
        is_forwarded: bool,
        /// The channel for the response.
        reply: Reply,
    },
    /// A heartbeat of another entry.
    Membership(membership::Heartbeat),
    /// A notification of another entry's lease table.
    Lease {
        /// The other entry.
        from: Node,
        /// The notification.
        message: lease::Message,
    },
    /// An event for the journal.
    Log(journal::Event),
    /// The response to a request for the VM list.
    Vms(std::result::Result<List, Failure>),
    /// A dispatcher submits a request to the key table of a partition.
    Admit {
        /// The service of the dispatcher.
        service: Service,
        /// The partition.
        partition: Partition,
        /// The request.
        submission: dedup::Submission,
    },
    /// A dispatcher reports a request's progress to the key table of a partition.
    Report {
        /// The partition.
        partition: Partition,
        /// The report.
        input: dedup::Input,
    },
    /// A dispatcher, here or at another entry, requests slots of a target.
    SlotRequest(slot::SlotRequest),
    /// The former owner of a partition hands over its slot grants.
    SlotHandover(SlotHandover),
    /// A worker responded to a start, or the start failed.
    Started {
        /// The partition whose cell sent the start.
        partition: Partition,
        /// The attempt.
        attempt: Attempt,
        /// The response.
        result: std::result::Result<(), Failure>,
    },
    /// A worker responded to a request for its inventory, or the request failed.
    Inventory {
        /// The partition whose cell sent the request.
        partition: Partition,
        /// The worker.
        worker: Worker,
        /// The number of the request.
        request: u64,
        /// The response.
        result: std::result::Result<Inventory, Failure>,
    },
    /// A planned stop began.
    Drain {
        /// Notified once this entry owns no partition.
        done: oneshot::Sender<()>,
    },
}
