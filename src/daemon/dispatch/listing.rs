//! Passes the targets of the VM list and the owners of partitions to the dispatchers.

use std::collections::HashMap;

use rand::SeedableRng;
use rand_pcg::Pcg32;

use crate::core::id::{Partition, Service, Target};
use crate::core::request::Dispatcher;
use crate::core::request::dispatcher::{self, Input, Listed, Listing, Owner};
use crate::core::request::route::Partitions;
use crate::core::request::slot::{Capacity, Member};
use crate::daemon::control::place_of;
use crate::daemon::dispatch::{Dispatch, TargetInfo};
use crate::platform::vms::{List, Role, State};

impl Dispatch {
    /// Applies the targets of a newer VM list.
    pub(super) fn apply_vm_list(&mut self, list: &List) {
        self.is_listed = !list.vms.is_empty();
        self.targets.clear();
        let mut listed: HashMap<Service, Vec<Listed>> = HashMap::new();
        for vm in &list.vms {
            if let Role::Target {
                service,
                slots,
                connections,
            } = &vm.role
            {
                let target = Target(vm.id);
                let info = TargetInfo {
                    service: service.clone(),
                    address: vm.address,
                };
                self.targets.insert(target, info);
                listed.entry(service.clone()).or_default().push(Listed {
                    target,
                    place: place_of(&self.context.settings, &vm.data_centre),
                    capacity: Capacity {
                        slots: *slots,
                        connections: *connections,
                    },
                    is_leaving: vm.state == State::Leaving,
                });
            }
        }
        for service in listed.keys() {
            self.ensure_dispatcher(service);
        }
        let services: Vec<Service> = self.dispatchers.keys().cloned().collect();
        for service in services {
            let targets = listed.remove(&service).unwrap_or_default();
            let version = list.version;
            self.step(&service, Input::Targets(Listing { version, targets }));
        }
    }

    /// Creates the dispatcher of a service if it does not exist.
    pub(super) fn ensure_dispatcher(&mut self, service: &Service) {
        if self.dispatchers.contains_key(service) {
            return;
        }
        let settings = &self.context.settings;
        let partitions = Partitions(settings.cell.request_partitions);
        let rules = dispatcher::Settings::builder()
            .partitions(partitions)
            .build();
        let member = Member {
            node: self.context.node(),
            thread: 0,
        };
        let place = place_of(settings, &settings.node.data_centre);
        let random = Pcg32::seed_from_u64(rand::random());
        let dispatcher = Dispatcher::new(rules, member, place, random);
        self.dispatchers.insert(service.clone(), dispatcher);
        let owners: Vec<(Partition, Owner)> =
            self.owners.iter().map(|(&p, &owner)| (p, owner)).collect();
        for (partition, owner) in owners {
            self.step(service, Input::Owner(partition, owner));
        }
    }

    /// Sets the owner of a partition in all dispatchers.
    pub(super) fn set_owner(&mut self, partition: Partition, owner: Owner) {
        self.owners.insert(partition, owner);
        let services: Vec<Service> = self.dispatchers.keys().cloned().collect();
        for service in services {
            self.step(&service, Input::Owner(partition, owner));
        }
    }
}
