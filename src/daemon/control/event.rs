//! What the control part is told.

use tokio::sync::oneshot;

use crate::core::id::{Attempt, Node, Partition, Service, Worker};
use crate::core::request::{dedup, slot};
use crate::core::time::Instant;
use crate::core::{lease, membership};
use crate::daemon::control::journal;
use crate::platform::client::Failure;
use crate::platform::vms::List;
use crate::platform::worker::Inventory;
use crate::wire::{Ask, Estate, Reply};

/// What the control part is told.
pub enum Event {
    /// Something is asked.
    Ask {
        /// What is asked.
        ask: Ask,
        /// When the answer is due.
        deadline: Instant,
        /// Whether another entry forwarded it here.
        is_forwarded: bool,
        /// Where the answer goes.
        reply: Reply,
    },
    /// A heartbeat of another entry.
    Membership(membership::Heartbeat),
    /// A notice of another entry's lease table.
    Lease {
        /// The other entry.
        from: Node,
        /// The notice.
        message: lease::Message,
    },
    /// An answer of the log service.
    Log(journal::Event),
    /// An answer of the VM list.
    Vms(std::result::Result<List, Failure>),
    /// A dispatcher asks its partition's table about a request.
    Admit {
        /// The service of the dispatcher.
        service: Service,
        /// The partition.
        partition: Partition,
        /// The request.
        submission: dedup::Submission,
    },
    /// A dispatcher tells its partition's table about a request.
    Report {
        /// The partition.
        partition: Partition,
        /// What happened.
        input: dedup::Input,
    },
    /// A dispatcher asks for slots of a target.
    SlotAsk(slot::SlotRequest),
    /// The former owner of a partition hands its grants over.
    SlotEstate(Estate),
    /// A worker answered a start.
    Started {
        /// The partition whose cell sent the start.
        partition: Partition,
        /// The attempt.
        attempt: Attempt,
        /// The answer.
        result: std::result::Result<(), Failure>,
    },
    /// A worker answered a request for its inventory.
    Inventory {
        /// The partition whose cell asked.
        partition: Partition,
        /// The worker.
        worker: Worker,
        /// The number of the request.
        request: u64,
        /// The answer.
        result: std::result::Result<Inventory, Failure>,
    },
    /// A planned stop began.
    Drain {
        /// Told when nothing is owned any more.
        done: oneshot::Sender<()>,
    },
}
