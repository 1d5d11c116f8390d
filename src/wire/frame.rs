//! The messages on a link between two entries.

use laburnum_derive::message;

use super::{Request, Response, Stream};
use crate::core::error::{Error, Kind, Result};
use crate::core::id::{Node, Partition, Target};
use crate::core::lease::Epoch;
use crate::core::request::slot;
use crate::core::stream::relay;
use crate::core::{lease, membership};

/// The slot grants in force on the targets of a partition, which a yielding owner sends to the next
/// owner.
#[message]
pub struct SlotHandover {
    /// The partition.
    pub partition: Partition,
    /// The epoch of the receiver's ownership.
    pub epoch: Epoch,
    /// The grants by target; a target that is not listed may have grants unknown to the sender.
    pub targets: Vec<TargetGrants>,
}

/// The slot grants in force on one target.
#[message]
pub struct TargetGrants {
    /// The target.
    pub target: Target,
    /// The grants.
    #[serde(rename = "lent")]
    pub grants: Vec<slot::OutstandingGrant>,
}

/// One message on a link.
#[message]
pub enum Frame {
    /// The first message on a link, which identifies the sender.
    Hello {
        /// The sender.
        node: Node,
    },
    /// Sent on an idle link, so that the receiver does not close it.
    KeepAlive,
    /// A request.
    #[serde(rename = "Ask")]
    Request {
        /// The id that the response repeats.
        id: u64,
        /// How long the sender waits, in milliseconds.
        timeout_ms: u64,
        /// The request.
        #[serde(rename = "ask")]
        request: Box<Request>,
    },
    /// The response to a request.
    #[serde(rename = "Tell")]
    Response {
        /// The id of the request.
        id: u64,
        /// The response.
        #[serde(rename = "tell")]
        response: Box<std::result::Result<Response, Error>>,
    },
    /// A heartbeat for the receiver's membership view.
    Membership(membership::Heartbeat),
    /// A notification for the receiver's lease table, with the sender.
    Lease(Node, lease::Message),
    /// A notification for the receiver's relay of a stream.
    Relay {
        /// The sender.
        from: Node,
        /// The stream.
        stream: Stream,
        /// The notification.
        message: relay::Message,
    },
    /// Requests slots from the owner of the target's partition.
    #[serde(rename = "SlotAsk")]
    SlotRequest(slot::SlotRequest),
    /// The response to a request for slots.
    SlotGrant(slot::Grant),
    /// The grants on a partition's targets, for its next owner.
    #[serde(rename = "SlotEstate")]
    SlotHandover(SlotHandover),
}

impl Frame {
    /// Returns the kind of this message, as the label `message` of the metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Frame::Hello { .. } => "hello",
            Frame::KeepAlive => "keep_alive",
            Frame::Request { .. } => "ask",
            Frame::Response { .. } => "tell",
            Frame::Membership(_) => "membership",
            Frame::Lease(..) => "lease",
            Frame::Relay { .. } => "relay",
            Frame::SlotRequest(_) => "slot_ask",
            Frame::SlotGrant(_) => "slot_grant",
            Frame::SlotHandover(_) => "slot_estate",
        }
    }

    /// Encodes the frame.
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] when the frame cannot be serialized, which is a defect.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut out = Vec::new();
        ciborium::into_writer(self, &mut out).map_err(|error| {
            Error::new(Kind::Internal, format!("cannot serialize a frame: {error}"))
        })?;
        Ok(out)
    }

    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// [`Kind::Malformed`] when `data` is not a frame.
    pub fn decode(data: &[u8]) -> Result<Frame> {
        ciborium::from_reader(data)
            .map_err(|error| Error::new(Kind::Malformed, format!("cannot parse a frame: {error}")))
    }
}
