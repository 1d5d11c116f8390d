//! What the peer part is asked to do.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::core::error::Result;
use crate::core::id::{Service, Vm};
use crate::core::request::call::Id;
use crate::wire::{Ask, Call, Frame, Reply, Tell};

/// Another entry, as the VM list shows it.
#[derive(Clone, Copy, Debug)]
pub struct Neighbour {
    /// Where it answers.
    pub address: SocketAddr,
    /// Whether it is in another region.
    pub is_remote: bool,
}

/// What the peer part is asked to do.
pub enum Command {
    /// Replaces what is known of the other entries.
    Neighbours(HashMap<Vm, Neighbour>),
    /// Takes a link that another entry dialled, after the handshake.
    Accepted(std::net::TcpStream),
    /// Sends a notice; it is lost when the link is.
    Send {
        /// The receiver.
        to: Vm,
        /// The notice.
        frame: Frame,
    },
    /// Asks another entry; the reply always comes.
    Ask {
        /// The receiver.
        to: Vm,
        /// What is asked.
        ask: Ask,
        /// How long to wait.
        timeout: Duration,
        /// Where the answer goes.
        reply: Reply,
    },
    /// Forwards a call for the dispatch part, which is told how that ended.
    Forward {
        /// The receiver.
        to: Vm,
        /// The service of the call.
        service: Service,
        /// The request.
        id: Id,
        /// The call.
        call: Call,
        /// How long to wait.
        timeout: Duration,
    },
    /// Answers an ask on the link it came from.
    Tell {
        /// The link.
        link: u64,
        /// The id of the ask.
        id: u64,
        /// The answer.
        tell: Result<Tell>,
    },
    /// A frame arrived.
    Arrived {
        /// The link.
        link: u64,
        /// The frame.
        frame: Frame,
    },
    /// A dialled link is up.
    Dialled {
        /// The link.
        link: u64,
        /// The other end.
        vm: Vm,
    },
    /// A link is gone.
    Closed {
        /// The link.
        link: u64,
    },
    /// An ask has waited long enough.
    Expired {
        /// The id of the ask.
        id: u64,
    },
}
