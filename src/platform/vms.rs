//! The platform's list of VMs, which lags behind their actual state.
//!
//! `GET /v1/vms` returns a [`List`] as JSON.

use std::net::SocketAddr;

use laburnum_derive::{message, value};

use crate::core::id::{Rack, Service};
use crate::core::resource::Amount;

/// The VMs as last observed by the platform.
#[message]
#[derive(Default)]
pub struct List {
    /// The version of the list, which increases with each change.
    pub version: u64,
    /// The VMs that are live or leaving; a VM that no longer exists is absent.
    pub vms: Vec<Vm>,
}

/// One VM.
#[message]
pub struct Vm {
    /// The id of the VM, which no later VM reuses.
    pub id: u32,
    /// Whether the VM is live or leaving.
    pub state: State,
    /// The address on which the VM serves HTTP.
    pub address: SocketAddr,
    /// The name of the VM's data centre.
    pub data_centre: String,
    /// The role of the VM and its capacity.
    pub role: Role,
}

/// Whether a VM is live or leaving.
#[value]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The VM is in use and is not planned to be removed.
    Live,
    /// The VM will be removed and must get no new work.
    Leaving,
}

/// The role of a VM.
#[message]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Runs the entry daemon.
    Entry,
    /// Runs tasks.
    Worker {
        /// The rack that holds the VM.
        rack: Rack,
        /// The VM's total resources.
        size: Amount,
    },
    /// Serves calls.
    Target {
        /// The service whose calls it serves.
        service: Service,
        /// Maximum number of requests that it serves at the same time.
        slots: u32,
        /// Maximum number of connections that it accepts.
        connections: u32,
    },
}
