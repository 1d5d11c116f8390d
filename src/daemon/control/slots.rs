//! Grants the slots of targets whose partitions this entry owns.

use std::collections::{BTreeMap, HashMap};

use super::lease_manager::LeaseManager;
use crate::core::id::{Partition, Target};
use crate::core::lease::{Acquired, Epoch, Origin};
use crate::core::request::route::Partitions;
use crate::core::request::slot::{Capacity, Grant, Grantor, OutstandingGrant, Rules, SlotRequest};
use crate::core::time::Instant;
use crate::daemon::Context;
use crate::platform::vms::{List, Role};
use crate::wire::{SlotHandover, TargetGrants};

/// How this entry acquired a partition.
#[derive(Clone, Copy, Debug)]
struct Opened {
    at: Instant,
    epoch: Epoch,
    /// Whether the partition never had another owner.
    is_first: bool,
}

/// The grantors of this entry.
pub(super) struct Slots {
    rules: Rules,
    partitions: Partitions,
    targets: BTreeMap<Target, Capacity>,
    /// The partitions that this entry owns.
    open: HashMap<Partition, Opened>,
    /// The grants that former owners handed over.
    received: HashMap<Partition, SlotHandover>,
    /// The grants of partitions that this entry no longer owns, for their next owners.
    to_hand_over: HashMap<Partition, Vec<TargetGrants>>,
    grantors: BTreeMap<Target, Grantor>,
}

impl Slots {
    /// Creates an empty set of grantors.
    pub(super) fn new(context: &Context) -> Slots {
        Slots {
            rules: Rules::default(),
            partitions: Partitions(context.settings.cell.request_partitions),
            targets: BTreeMap::new(),
            open: HashMap::new(),
            received: HashMap::new(),
            to_hand_over: HashMap::new(),
            grantors: BTreeMap::new(),
        }
    }

    /// Returns the partition of a target.
    pub(super) fn partition_of(&self, target: Target) -> Partition {
        self.partitions.of_target(target)
    }

    /// Applies the targets of a newer VM list.
    pub(super) fn apply_vm_list(&mut self, list: &List) {
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

    /// Starts to grant the slots of a partition's targets.
    pub(super) fn open(&mut self, now: Instant, acquired: &Acquired) {
        let is_first = acquired.origin == Origin::First;
        self.open.insert(
            acquired.partition,
            Opened {
                at: now,
                epoch: acquired.epoch,
                is_first,
            },
        );
        self.add_grantors();
    }

    /// Stops granting the slots of a partition's targets; the grants in force are kept for the next
    /// owner.
    pub(super) fn close(&mut self, now: Instant, partition: Partition) {
        self.open.remove(&partition);
        let partitions = self.partitions;
        let (closed, kept) = std::mem::take(&mut self.grantors)
            .into_iter()
            .partition(|(target, _)| partitions.of_target(*target) == partition);
        self.grantors = kept;
        let closed: BTreeMap<Target, Grantor> = closed;
        let grants = closed.iter().filter_map(|(&target, grantor)| {
            Some(TargetGrants {
                target,
                grants: grantor.outstanding_grants(now)?,
            })
        });
        self.to_hand_over.insert(partition, grants.collect());
    }

    /// Removes and returns the grants in force in a partition that this entry no longer owns.
    pub(super) fn take_handover(&mut self, partition: Partition) -> Vec<TargetGrants> {
        self.to_hand_over.remove(&partition).unwrap_or_default()
    }

    /// Stores the grants that a former owner handed over. Grants that arrive after the partition
    /// was opened are ignored, because this entry may have granted the same slots already.
    pub(super) fn receive_handover(&mut self, handover: SlotHandover) {
        if !self.open.contains_key(&handover.partition) {
            self.received.insert(handover.partition, handover);
        }
    }

    /// Grants slots for a request; returns `None` when this entry may not act on the target's
    /// partition, does not have the target in its VM list, or the grantor makes no grant.
    pub(super) fn grant(
        &mut self,
        now: Instant,
        leases: &LeaseManager,
        request: &SlotRequest,
    ) -> Option<Grant> {
        let until = leases.deadline(self.partition_of(request.target), now)?;
        let grantor = self.grantors.get_mut(&request.target)?;
        grantor.extend(until);
        grantor.grant(now, request)
    }

    /// Returns how many slots of each target may be in use under grants.
    pub(super) fn counted(&self, now: Instant) -> BTreeMap<u32, u32> {
        self.grantors
            .iter()
            .map(|(target, grantor)| (target.0, grantor.counted(now)))
            .collect()
    }

    /// Creates the missing grantors of targets in open partitions. Grants of an earlier owner
    /// expire counted from the time at which this entry opened the partition, however late the
    /// target appears in the VM list.
    fn add_grantors(&mut self) {
        for (&target, &capacity) in &self.targets {
            let partition = self.partitions.of_target(target);
            let Some(opened) = self.open.get(&partition) else {
                continue;
            };
            let grants = self
                .received
                .get(&partition)
                .and_then(|handover| handover.grants(opened, target));
            let rules = self.rules;
            self.grantors.entry(target).or_insert_with(|| match grants {
                _ if opened.is_first => Grantor::first(rules, capacity),
                Some(grants) => Grantor::from_handover(opened.at, rules, capacity, grants),
                None => Grantor::after_takeover(opened.at, rules, capacity),
            });
        }
        // The received grants are used only once: a target that appears later may have grants that
        // the former owner did not hand over.
        self.received
            .retain(|partition, _| !self.open.contains_key(partition));
    }
}

/// Looks up the grants of a target in a handover, if that was made to the ownership in force.
trait GrantLookup {
    /// Returns the grants of a target, if they were handed over to this ownership.
    fn grants(&self, opened: &Opened, target: Target) -> Option<&[OutstandingGrant]>;
}

impl GrantLookup for SlotHandover {
    fn grants(&self, opened: &Opened, target: Target) -> Option<&[OutstandingGrant]> {
        let is_valid = self.epoch == opened.epoch;
        let found = self.targets.iter().find(|listed| listed.target == target);
        found
            .filter(|_| is_valid)
            .map(|found| found.grants.as_slice())
    }
}
