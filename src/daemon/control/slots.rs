//! The grants of the slots of targets whose partitions this entry owns.

use std::collections::{BTreeMap, HashMap};

use super::tenure::Tenure;
use crate::core::id::{Partition, Target};
use crate::core::lease::{Acquired, Origin};
use crate::core::request::route::Partitions;
use crate::core::request::slot::{Ask, Capacity, Grant, Grantor, Rules};
use crate::core::time::Instant;
use crate::daemon::Context;
use crate::platform::vms::{List, Role};

/// How this entry came to own a partition.
#[derive(Clone, Copy, Debug)]
struct Opened {
    at: Instant,
    /// Whether no other entry ever owned it.
    is_first: bool,
}

/// The grantors of this entry.
pub(super) struct Slots {
    rules: Rules,
    partitions: Partitions,
    targets: BTreeMap<Target, Capacity>,
    /// The partitions that this entry owns.
    open: HashMap<Partition, Opened>,
    grantors: BTreeMap<Target, Grantor>,
}

impl Slots {
    /// Makes no grantors.
    pub(super) fn new(context: &Context) -> Slots {
        Slots {
            rules: Rules::default(),
            partitions: Partitions(context.settings.cell.request_partitions),
            targets: BTreeMap::new(),
            open: HashMap::new(),
            grantors: BTreeMap::new(),
        }
    }

    /// Returns the partition of a target.
    pub(super) fn partition_of(&self, target: Target) -> Partition {
        self.partitions.of_target(target)
    }

    /// Adopts the targets of a newer VM list.
    pub(super) fn adopt(&mut self, list: &List) {
        let targets = list.vms.iter().filter_map(|vm| match vm.role {
            Role::Target {
                slots, connections, ..
            } => Some((Target(vm.id), Capacity { slots, connections })),
            _ => None,
        });
        self.targets = targets.collect();
        self.grantors
            .retain(|target, _| self.targets.contains_key(target));
        self.add_grantors();
    }

    /// Begins to grant the slots of a partition's targets.
    pub(super) fn open(&mut self, now: Instant, acquired: &Acquired) {
        let is_first = acquired.origin == Origin::First;
        self.open
            .insert(acquired.partition, Opened { at: now, is_first });
        self.add_grantors();
    }

    /// Stops granting.
    pub(super) fn close(&mut self, partition: Partition) {
        self.open.remove(&partition);
        let partitions = self.partitions;
        self.grantors
            .retain(|&target, _| partitions.of_target(target) != partition);
    }

    /// Answers an ask, if this entry owns the target's partition.
    pub(super) fn ask(&mut self, now: Instant, tenure: &Tenure, ask: &Ask) -> Option<Grant> {
        let until = tenure.deadline(self.partition_of(ask.target), now)?;
        let grantor = self.grantors.get_mut(&ask.target)?;
        grantor.extend(until);
        grantor.ask(now, ask)
    }

    /// Returns how many slots of each target may be filled.
    pub(super) fn counted(&self, now: Instant) -> BTreeMap<u32, u32> {
        self.grantors
            .iter()
            .map(|(target, grantor)| (target.0, grantor.counted(now)))
            .collect()
    }

    /// Makes the grantors that are missing. Grants of an earlier owner end some time after this
    /// entry took over, whenever it learnt of the target.
    fn add_grantors(&mut self) {
        for (&target, &capacity) in &self.targets {
            let Some(opened) = self.open.get(&self.partitions.of_target(target)) else {
                continue;
            };
            let rules = self.rules;
            self.grantors
                .entry(target)
                .or_insert_with(|| match opened.is_first {
                    true => Grantor::first(rules, capacity),
                    false => Grantor::after_takeover(opened.at, rules, capacity),
                });
        }
    }
}
