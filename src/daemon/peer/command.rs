//! The commands that the peer thread handles.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::core::error::Result;
use crate::core::id::{Service, Vm};
use crate::core::request::call::Id;
use crate::wire::{Call, Frame, Reply, Request, Response};

/// Another entry in the VM list.
#[derive(Clone, Copy, Debug)]
pub struct Neighbour {
    /// The address of its daemon.
    pub address: SocketAddr,
    /// Whether it is in another region.
    pub is_remote: bool,
}

/// A command for the peer thread, or an event on one of its links.
pub enum Command {
    /// Replaces the list of the other entries.
    Neighbours(HashMap<Vm, Neighbour>),
    /// Adds a link that another entry opened; its WebSocket handshake is complete.
    Accepted(std::net::TcpStream),
    /// Sends a notification; it is lost when the link is.
    Send {
        /// The receiver.
        to: Vm,
        /// The notification.
        frame: Frame,
    },
    /// Sends a request to another entry; `reply` always receives a response or an error.
    Request {
        /// The receiver.
        to: Vm,
        /// The request.
        request: Request,
        /// How long to wait.
        timeout: Duration,
        /// The channel for the response.
        reply: Reply,
    },
    /// Forwards a call for the dispatch thread, which receives the response or the failure as an
    /// event.
    Forward {
        /// The receiver.
        to: Vm,
        /// The service of the call.
        service: Service,
        /// The id of the call at the dispatcher.
        id: Id,
        /// The call.
        call: Call,
        /// How long to wait.
        timeout: Duration,
    },
    /// Sends the response to a request on the link that the request arrived on.
    Respond {
        /// The link.
        link: u64,
        /// The id of the request.
        id: u64,
        /// The response.
        response: Result<Response>,
    },
    /// A frame arrived.
    Arrived {
        /// The link.
        link: u64,
        /// The frame.
        frame: Frame,
    },
    /// A link that this entry dialled is up.
    Dialled {
        /// The link.
        link: u64,
        /// The other end.
        vm: Vm,
    },
    /// A link has closed, or could not be opened.
    Closed {
        /// The link.
        link: u64,
    },
    /// A request has timed out.
    Expired {
        /// The id of the request.
        id: u64,
    },
}
