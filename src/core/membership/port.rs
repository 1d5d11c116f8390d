//! Inputs and outputs of a view.

use std::net::SocketAddr;

use laburnum_derive::{message, value};

use super::message::Heartbeat;
use crate::core::id::{Node, Vm};
use crate::platform::vms;

/// An input of a view.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// Time has passed; ticks must be at least as frequent as heartbeats.
    Tick,
    /// A VM list from the platform.
    List(&'a vms::List),
    /// A heartbeat from another entry.
    Heartbeat(&'a Heartbeat),
    /// This process is leaving.
    Leave,
}

/// An output of a view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a heartbeat.
    Send {
        /// The receiver.
        to: Vm,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// The state of an entry changed; owners and standbys may have to move.
    Changed {
        /// The entry.
        vm: Vm,
        /// Its new state.
        state: State,
    },
    /// An entry is now known as another run of the daemon than before.
    Restarted(Node),
}

/// The state of an entry.
#[value]
pub enum State {
    /// It is on the VM list, and no update on it was received.
    Joining,
    /// It sends heartbeats.
    Live,
    /// It sends heartbeats and is leaving.
    Leaving,
    /// Its watchers have received no heartbeat from it for a while; it may be paused.
    Suspect,
    /// It was suspected for longer than the time limit, or is no longer on the VM list.
    Dead,
}

/// The state of a view, for operators.
#[message]
pub struct Dump {
    /// The version of the VM list.
    pub version: u64,
    /// The entries on the list.
    pub rows: Vec<Row>,
}

/// One entry in a dump.
#[message]
pub struct Row {
    /// The entry's VM.
    pub vm: Vm,
    /// Its newest known run of the daemon.
    pub node: Option<Node>,
    /// Its state.
    pub state: State,
    /// The address on which it listens.
    pub address: SocketAddr,
}
