//! The grants of the slots of targets whose partitions this entry owns.

use std::collections::{BTreeMap, HashSet};

use super::tenure::Tenure;
use crate::core::id::{Partition, Target};
use crate::core::request::route::Partitions;
use crate::core::request::slot::{Ask, Capacity, Grant, Grantor, Rules};
use crate::core::time::Instant;
use crate::daemon::Context;
use crate::platform::vms::{List, Role};

/// The grantors of this entry.
pub(super) struct Slots {
    rules: Rules,
    partitions: Partitions,
    targets: BTreeMap<Target, Capacity>,
    /// Targets that were on a VM list while this entry owned their partition from before.
    open: HashSet<Partition>,
    grantors: BTreeMap<Target, Grantor>,
}

impl Slots {
    /// Makes no grantors.
    pub(super) fn new(context: &Context) -> Slots {
        Slots {
            rules: Rules::default(),
            partitions: Partitions(context.settings.cell.request_partitions),
            targets: BTreeMap::new(),
            open: HashSet::new(),
            grantors: BTreeMap::new(),
        }
    }

    /// Returns the partition of a target.
    pub(super) fn partition_of(&self, target: Target) -> Partition {
        self.partitions.of_target(target)
    }

    /// Adopts the targets of a newer VM list; a target that is new to the cell has no grants yet,
    /// but an entry that lists late cannot know that it is new, so every grantor waits.
    pub(super) fn adopt(&mut self, now: Instant, list: &List) {
        let targets = list.vms.iter().filter_map(|vm| match vm.role {
            Role::Target { slots, connections, .. } => Some((Target(vm.id), Capacity { slots, connections })),
            _ => None,
        });
        self.targets = targets.collect();
        self.grantors.retain(|target, _| self.targets.contains_key(target));
        self.add_grantors(now);
    }

    /// Begins to grant the slots of a partition's targets.
    pub(super) fn open(&mut self, now: Instant, partition: Partition) {
        self.open.insert(partition);
        self.add_grantors(now);
    }

    /// Stops granting.
    pub(super) fn close(&mut self, partition: Partition) {
        self.open.remove(&partition);
        let partitions = self.partitions;
        self.grantors.retain(|&target, _| partitions.of_target(target) != partition);
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
        self.grantors.iter().map(|(target, grantor)| (target.0, grantor.counted(now))).collect()
    }

    fn add_grantors(&mut self, now: Instant) {
        for (&target, &capacity) in &self.targets {
            if self.open.contains(&self.partitions.of_target(target)) {
                let rules = self.rules;
                self.grantors.entry(target).or_insert_with(|| Grantor::after_takeover(now, rules, capacity));
            }
        }
    }
}
