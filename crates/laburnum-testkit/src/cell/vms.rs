//! The VM list of a cell and the data centres of its VMs.

use std::net::SocketAddr;

use laburnumplank::core::id::{Rack, Service};
use laburnumplank::core::resource::Amount;
use laburnumplank::platform::vms::{Role, State, Vm};
use serde_json::Value;

/// The number of the first entry VM.
pub(super) const FIRST_ENTRY: u32 = 1;

/// The number of the first worker VM.
const FIRST_WORKER: u32 = 1_001;

/// The number of the first target VM.
const FIRST_TARGET: u32 = 100_001;

/// The number of workers in a rack.
const RACK_SIZE: u32 = 8;

/// The attributes that all VMs of a role share.
pub(super) struct Template<'a> {
    pub(super) regions: &'a Value,
    pub(super) worker_size: Amount,
    pub(super) service: &'a str,
    pub(super) slots: u32,
    pub(super) connections: u32,
}

/// The addresses of the VMs of each role.
pub(super) struct Addresses<'a> {
    pub(super) entries: &'a [SocketAddr],
    pub(super) workers: &'a [SocketAddr],
    pub(super) targets: &'a [SocketAddr],
}

impl Template<'_> {
    /// Returns the VM list of the cell.
    pub(super) fn vms(&self, addresses: &Addresses<'_>) -> Vec<Vm> {
        let entry = |index, address| self.vm(FIRST_ENTRY + index, index, address, Role::Entry);
        let worker = |index, address| {
            let rack = index / RACK_SIZE;
            let role = Role::Worker {
                rack: Rack(rack + 1),
                size: self.worker_size,
            };
            self.vm(FIRST_WORKER + index, rack, address, role)
        };
        let target = |index, address| {
            let role = Role::Target {
                service: Service(self.service.to_owned()),
                slots: self.slots,
                connections: self.connections,
            };
            self.vm(FIRST_TARGET + index, index, address, role)
        };
        let mut vms = vms_at(addresses.entries, entry);
        vms.extend(vms_at(addresses.workers, worker));
        vms.extend(vms_at(addresses.targets, target));
        vms
    }

    /// Returns a live VM in the data centre at `position`; see [`data_centre`].
    fn vm(&self, id: u32, position: u32, address: SocketAddr, role: Role) -> Vm {
        Vm {
            id,
            state: State::Live,
            address,
            data_centre: data_centre(self.regions, position),
            role,
        }
    }
}

/// Returns the data centre at `position` in the list of all regions' data centres; positions wrap
/// around at the end of the list.
pub(super) fn data_centre(regions: &Value, position: u32) -> String {
    let regions = regions.as_array().into_iter().flatten();
    let names: Vec<&str> = regions
        .filter_map(|region| region["data_centres"].as_array())
        .flatten()
        .filter_map(Value::as_str)
        .collect();
    let index = position as usize % names.len().max(1);
    names.get(index).copied().unwrap_or_default().to_owned()
}

/// Creates a VM for each address, with the address's index.
fn vms_at(addresses: &[SocketAddr], vm: impl Fn(u32, SocketAddr) -> Vm) -> Vec<Vm> {
    let indexed = (0..).zip(addresses);
    indexed
        .map(|(index, &address)| vm(index, address))
        .collect()
}
