//! What the dispatch part is told.

use serde_json::Value;
use tokio::sync::oneshot;

use crate::core::error::Result;
use crate::core::id::{Partition, Service, Target};
use crate::core::request::Origin;
use crate::core::request::call::Id;
use crate::core::request::dispatcher::{Input, Owner, Verdict};
use crate::core::request::slot::Grant;
use crate::core::time::Instant;
use crate::platform::vms::List;
use crate::wire::{Call, Reply, Tell};

/// What the dispatch part is told.
pub enum Event {
    /// A call arrived.
    Call {
        /// The call.
        call: Call,
        /// Who sent it.
        origin: Origin,
        /// When the answer is due.
        deadline: Instant,
        /// Where the answer goes.
        reply: Reply,
    },
    /// A table of keys has decided.
    Verdict {
        /// The service of the request.
        service: Service,
        /// The decision.
        verdict: Verdict,
    },
    /// The owner answered a forwarded call.
    Returned {
        /// The service of the call.
        service: Service,
        /// The request.
        id: Id,
        /// The answer.
        tell: Result<Tell>,
    },
    /// A forwarded call could not be sent or its answer was lost.
    ForwardFailed {
        /// The service of the call.
        service: Service,
        /// The request.
        id: Id,
    },
    /// Slots were granted.
    Granted(Grant),
    /// The VM list changed.
    Vms(List),
    /// The ownership of a partition changed.
    Owner(Partition, Owner),
    /// A target answered, or a connection to it closed.
    Target {
        /// The target.
        target: Target,
        /// What happened.
        input: Input,
    },
    /// The state is asked for, as JSON by service.
    Dump(oneshot::Sender<Value>),
    /// A planned stop began.
    Drain,
}
