//! One message on a link between two entries.

use laburnum_derive::message;

use super::{Ask, Stream, Tell};
use crate::core::error::{Error, Kind, Result};
use crate::core::id::{Node, Partition, Target};
use crate::core::lease::Epoch;
use crate::core::request::slot;
use crate::core::stream::relay;
use crate::core::{lease, membership};

/// The grants in force of a partition's targets, from the owner that yields to the next.
#[message]
pub struct Estate {
    /// The partition.
    pub partition: Partition,
    /// The ownership of the receiver.
    pub epoch: Epoch,
    /// The grants by target; a target that is absent may have grants that the sender does not know.
    pub targets: Vec<Lot>,
}

/// The grants in force of one target.
#[message]
pub struct Lot {
    /// The target.
    pub target: Target,
    /// The grants.
    pub lent: Vec<slot::OutstandingGrant>,
}

/// One message on a link.
#[message]
pub enum Frame {
    /// The first message on a link: who sends.
    Hello {
        /// The sender.
        node: Node,
    },
    /// Shows that the link works.
    KeepAlive,
    /// Asks for something.
    Ask {
        /// Matches the answer.
        id: u64,
        /// How long the sender waits, in milliseconds.
        timeout_ms: u64,
        /// What is asked.
        ask: Box<Ask>,
    },
    /// Answers an ask.
    Tell {
        /// The id of the ask.
        id: u64,
        /// The answer.
        tell: Box<std::result::Result<Tell, Error>>,
    },
    /// A notice to the view of the entries.
    Membership(membership::Heartbeat),
    /// A notice to the lease table, from this run of the daemon.
    Lease(Node, lease::Message),
    /// A notice to the relay of a stream, from this run of the daemon.
    Relay {
        /// The sender.
        from: Node,
        /// The stream.
        stream: Stream,
        /// The notice.
        message: relay::Message,
    },
    /// Asks the owner of a target's partition for slots.
    SlotAsk(slot::SlotRequest),
    /// Answers an ask for slots.
    SlotGrant(slot::Grant),
    /// Hands the grants of a partition's targets to its next owner.
    SlotEstate(Estate),
}

impl Frame {
    /// Returns the name of this kind of message, as counters show it.
    pub fn name(&self) -> &'static str {
        match self {
            Frame::Hello { .. } => "hello",
            Frame::KeepAlive => "keep_alive",
            Frame::Ask { .. } => "ask",
            Frame::Tell { .. } => "tell",
            Frame::Membership(_) => "membership",
            Frame::Lease(..) => "lease",
            Frame::Relay { .. } => "relay",
            Frame::SlotAsk(_) => "slot_ask",
            Frame::SlotGrant(_) => "slot_grant",
            Frame::SlotEstate(_) => "slot_estate",
        }
    }

    /// Encodes the frame.
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] when the frame cannot be written, which is a defect.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut out = Vec::new();
        ciborium::into_writer(self, &mut out).map_err(|error| {
            Error::new(Kind::Internal, format!("cannot write a frame: {error}"))
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
            .map_err(|error| Error::new(Kind::Malformed, format!("cannot read a frame: {error}")))
    }
}
