//! What goes into a view and what comes out of it.

use std::net::SocketAddr;

use laburnum_derive::{message, value};

use super::message::Heartbeat;
use crate::core::id::{Node, Vm};
use crate::platform::vms;

/// What a view is told.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// Time has passed; tick at least as often as heartbeats are sent.
    Tick,
    /// The platform's VM list.
    List(&'a vms::List),
    /// A heartbeat came.
    Heartbeat(&'a Heartbeat),
    /// This process is leaving.
    Leave,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a heartbeat.
    Send {
        /// To whom.
        to: Vm,
        /// What to send.
        heartbeat: Heartbeat,
    },
    /// The state of an entry changed; owners and standbys may have to move.
    Changed {
        /// The entry.
        vm: Vm,
        /// Its new state.
        state: State,
    },
    /// An entry answers as another run of the daemon than before.
    Returned(Node),
}

/// The state of an entry.
#[value]
pub enum State {
    /// It is on the VM list and has not been heard of.
    Joining,
    /// It answers.
    Live,
    /// It answers and is leaving.
    Leaving,
    /// It has not answered for a while; it may be paused.
    Suspect,
    /// It has not answered for long.
    Dead,
}

/// A view, for people.
#[message]
pub struct Dump {
    /// The version of the VM list.
    pub version: u64,
    /// The entries on the list.
    pub rows: Vec<Row>,
}

/// One entry, for people.
#[message]
pub struct Row {
    /// The entry's VM.
    pub vm: Vm,
    /// Its run, if it was heard of.
    pub node: Option<Node>,
    /// Its state.
    pub state: State,
    /// Where it answers.
    pub address: SocketAddr,
}
