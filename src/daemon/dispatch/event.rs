//! The events that the dispatch thread handles.

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
use crate::wire::{Call, Reply, Response};

/// An event for the dispatch thread.
pub enum Event {
    /// A call arrived.
    Call {
        /// The call.
        call: Call,
        /// Whether a caller or another entry sent it.
        origin: Origin,
        /// When the response is due.
        deadline: Instant,
        /// The channel for the response.
        reply: Reply,
    },
    /// A key table has decided about a request.
    Verdict {
        /// The service of the request.
        service: Service,
        /// The decision.
        verdict: Verdict,
    },
    /// The owner responded to a forwarded call.
    Returned {
        /// The service of the call.
        service: Service,
        /// The id of the call at the dispatcher.
        id: Id,
        /// The response.
        response: Result<Response>,
    },
    /// A forwarded call could not be sent, or its response was lost.
    ForwardFailed {
        /// The service of the call.
        service: Service,
        /// The id of the call at the dispatcher.
        id: Id,
    },
    /// An owner granted slots.
    Granted(Grant),
    /// The VM list changed.
    Vms(List),
    /// The ownership of a partition changed.
    Owner(Partition, Owner),
    /// A target responded, or a connection to it closed.
    Target {
        /// The target.
        target: Target,
        /// The input for the dispatcher.
        input: Input,
    },
    /// A request for the state, as JSON by service.
    Dump(oneshot::Sender<Value>),
    /// A planned stop began.
    Drain,
}
