//! The grants of the slots of targets whose partitions this entry owns.

use std::collections::{BTreeMap, HashMap};

use super::tenure::Tenure;
use crate::core::id::{Partition, Target};
use crate::core::lease::{Acquired, Epoch, Origin};
use crate::core::request::route::Partitions;
use crate::core::request::slot::{Capacity, Grant, Grantor, OutstandingGrant, Rules, SlotRequest};
use crate::core::time::Instant;
use crate::daemon::Context;
use crate::platform::vms::{List, Role};
use crate::wire::{Estate, Lot};

/// How this entry came to own a partition.
#[derive(Clone, Copy, Debug)]
struct Opened {
    at: Instant,
    epoch: Epoch,
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
    /// Grants that former owners handed over.
    estates: HashMap<Partition, Estate>,
    /// Grants of partitions that this entry does not own any more.
    left: HashMap<Partition, Vec<Lot>>,
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
            estates: HashMap::new(),
            left: HashMap::new(),
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

    /// Stops granting; what is lent is kept for the next owner.
    pub(super) fn close(&mut self, now: Instant, partition: Partition) {
        self.open.remove(&partition);
        let partitions = self.partitions;
        let (gone, kept) = std::mem::take(&mut self.grantors)
            .into_iter()
            .partition(|(target, _)| partitions.of_target(*target) == partition);
        self.grantors = kept;
        let gone: BTreeMap<Target, Grantor> = gone;
        let lots = gone.iter().filter_map(|(&target, grantor)| {
            Some(Lot {
                target,
                lent: grantor.outstanding_grants(now)?,
            })
        });
        self.left.insert(partition, lots.collect());
    }

    /// Takes out what was lent in a partition that this entry does not own any more.
    pub(super) fn take_left(&mut self, partition: Partition) -> Vec<Lot> {
        self.left.remove(&partition).unwrap_or_default()
    }

    /// Takes what a former owner has lent. What came too late has no effect, because grants may have
    /// been made meanwhile.
    pub(super) fn inherit(&mut self, estate: Estate) {
        if !self.open.contains_key(&estate.partition) {
            self.estates.insert(estate.partition, estate);
        }
    }

    /// Answers an ask, if this entry owns the target's partition.
    pub(super) fn ask(
        &mut self,
        now: Instant,
        tenure: &Tenure,
        ask: &SlotRequest,
    ) -> Option<Grant> {
        let until = tenure.deadline(self.partition_of(ask.target), now)?;
        let grantor = self.grantors.get_mut(&ask.target)?;
        grantor.extend(until);
        grantor.grant(now, ask)
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
            let partition = self.partitions.of_target(target);
            let Some(opened) = self.open.get(&partition) else {
                continue;
            };
            let lent = self
                .estates
                .get(&partition)
                .and_then(|estate| estate.lent(opened, target));
            let rules = self.rules;
            self.grantors.entry(target).or_insert_with(|| match lent {
                _ if opened.is_first => Grantor::first(rules, capacity),
                Some(lent) => Grantor::from_handover(opened.at, rules, capacity, lent),
                None => Grantor::after_takeover(opened.at, rules, capacity),
            });
        }
        // A target that appears later may have grants that the former owner did not hand over.
        self.estates
            .retain(|partition, _| !self.open.contains_key(partition));
    }
}

/// What an estate says of a target, if it was handed to the ownership in force.
trait Inheritance {
    /// Returns the grants of a target.
    fn lent(&self, opened: &Opened, target: Target) -> Option<&[OutstandingGrant]>;
}

impl Inheritance for Estate {
    fn lent(&self, opened: &Opened, target: Target) -> Option<&[OutstandingGrant]> {
        let is_valid = self.epoch == opened.epoch;
        let lot = self.targets.iter().find(|lot| lot.target == target);
        lot.filter(|_| is_valid).map(|lot| lot.lent.as_slice())
    }
}
