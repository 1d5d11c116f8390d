//! The lagging list of VMs.
//!
//! `GET /v1/vms` answers a [`List`] as JSON.

use std::net::SocketAddr;

use laburnum_derive::{message, value};

use crate::core::id::{Rack, Service};
use crate::core::resource::Amount;

/// The list as the platform last saw it.
#[message]
#[derive(Default)]
pub struct List {
    /// Grows with each change of the list.
    pub version: u64,
    /// The VMs that are live or leaving; a VM that is gone is absent.
    pub vms: Vec<Vm>,
}

/// One VM.
#[message]
pub struct Vm {
    /// The VM's number, never used again for another VM.
    pub id: u32,
    /// Whether the VM stays.
    pub state: State,
    /// Where the VM answers.
    pub address: SocketAddr,
    /// The name of the data centre.
    pub data_centre: String,
    /// What the VM does.
    pub role: Role,
}

/// Whether a VM stays.
#[value]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The VM stays.
    Live,
    /// The VM is leaving and must get nothing new.
    Leaving,
}

/// What a VM does.
#[message]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Runs the entry daemon.
    Entry,
    /// Runs tasks.
    Worker {
        /// The rack that holds the VM.
        rack: Rack,
        /// What the VM holds.
        size: Amount,
    },
    /// Answers calls.
    Target {
        /// The service that it answers.
        service: Service,
        /// How many requests it serves at once.
        slots: u32,
        /// How many connections it accepts.
        connections: u32,
    },
}
