//! The lease table of one process, with all partitions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::port::{Acquired, Input, Member, Origin, Output, Preference, Roster};
use super::record::{Epoch, STANDBYS, Standbys};
use super::settings::Settings;
use super::slot::{Ownership, Slot};
use super::view::Grant;
use crate::core::id::{Incarnation, Node, Partition, Vm};
use crate::core::time::{Instant, Stamp};

/// The lease state of all partitions, from the records and messages that one process has received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Table {
    pub(super) node: Node,
    pub(super) settings: Settings,
    pub(super) slots: Vec<Slot>,
    /// The slots that may require an action of this node.
    active_slots: BTreeSet<u16>,
    /// The first offset that has not been read.
    pub(super) next: u64,
    pub(super) ready: bool,
    pub(super) stopping: bool,
    pub(super) log_up: bool,
    /// The version of the VM list.
    pub(super) list_version: u64,
    pub(super) members: BTreeMap<Vm, Option<Incarnation>>,
}

impl Table {
    /// Returns the table of `node` for `partitions` partitions. It claims nothing before
    /// [`Input::Ready`].
    pub fn new(node: Node, partitions: u16, settings: Settings) -> Table {
        Table {
            node,
            settings,
            slots: vec![Slot::default(); usize::from(partitions)],
            active_slots: BTreeSet::new(),
            next: 0,
            ready: false,
            stopping: false,
            log_up: true,
            list_version: 0,
            members: BTreeMap::new(),
        }
    }

    /// Handles one input and adds the resulting outputs to `out`.
    pub fn step(&mut self, now: Instant, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Tick(stamp) => self.tick(now, stamp, out),
            Input::Read { offset, record } => self.read(now, offset, record, out),
            Input::Restore(snapshot) => self.restore(now, snapshot, out),
            Input::Ready => self.ready = true,
            Input::Deliver { from, message } => self.deliver(now, from, message, out),
            Input::Roster(roster) => self.apply_roster(roster),
            Input::Prefer(preferences) => self.apply_preferences(preferences),
            Input::Log { up } => self.log_up = up,
            Input::UnloggedDescribed(partition) => self.clear_unlogged(now, partition),
            Input::UnfinishedWork(partitions) => self.set_unfinished(partitions),
            Input::Stop => self.stopping = true,
        }
    }

    /// Returns the node that holds the newest valid record of the partition, to which requests are
    /// routed; `None` if the partition never had an owner or was released.
    pub fn owner(&self, partition: Partition) -> Option<Node> {
        let head = self.slot(partition)?.head.as_ref()?;
        (!head.grant.released).then_some(head.grant.holder)
    }

    /// Returns what the newest valid record of the partition grants.
    pub fn grant(&self, partition: Partition) -> Option<&Grant> {
        Some(&self.slot(partition)?.head.as_ref()?.grant)
    }

    /// Returns the fencing token if this node may act as owner at `now`.
    pub fn may_act(&self, partition: Partition, now: Instant) -> Option<Epoch> {
        let ownership = self.slot(partition)?.ownership.as_ref()?;
        ownership.is_active(now).then_some(ownership.epoch)
    }

    /// Returns the time from which [`Table::may_act`] returns `None` unless the ownership is
    /// extended.
    pub fn deadline(&self, partition: Partition) -> Option<Instant> {
        let ownership = self.slot(partition)?.ownership.as_ref()?;
        ownership.is_announced.then_some(ownership.deadline)
    }

    /// Returns whether this node may dispatch requests that the log does not describe yet. It may
    /// act as owner, and every node that may succeed it has promised not to claim, and so will
    /// assume that such requests may have been dispatched.
    pub fn may_dispatch_unlogged(&self, partition: Partition, now: Instant) -> bool {
        self.may_act(partition, now).is_some()
            && self.slot(partition).is_some_and(|slot| {
                slot.may_have_unlogged && slot.may_dispatch_unlogged(now, &self.settings)
            })
    }

    /// Returns the partitions that this node holds and should hand over, so that it can finish its
    /// work on them first.
    pub fn partitions_to_hand_over(&self, now: Instant) -> Vec<Partition> {
        let slots = self.slots.iter().enumerate();
        let partitions = slots.filter(|(_, slot)| self.should_hand_over(now, slot));
        partitions
            .map(|(index, _)| Partition(index as u16))
            .collect()
    }

    /// Returns whether this node holds no partition, so that a stopping process may exit.
    pub fn is_idle(&self) -> bool {
        !self.slots.iter().any(|slot| slot.is_held_by(self.node))
    }

    /// Returns the state of a partition; `None` if its number is out of range.
    pub(super) fn slot(&self, partition: Partition) -> Option<&Slot> {
        self.slots.get(usize::from(partition.0))
    }

    /// Starts and ends ownerships by time, and outputs the appends and messages that are due.
    fn tick(&mut self, now: Instant, stamp: Stamp, out: &mut Vec<Output>) {
        for index in self.active_slots() {
            self.refresh(now, index, out);
        }
        if !self.ready {
            return;
        }
        self.hand_over(now, out);
        let record = self.build_record(now, stamp, out);
        self.append(now, record, out);
        self.request_promises(now, out);
    }

    /// Ends an ownership that lapsed, and announces one whose former holder has stopped.
    pub(super) fn refresh(&mut self, now: Instant, index: usize, out: &mut Vec<Output>) {
        let is_final = self.settings.rules.lapse_is_final;
        let settings = self.settings;
        let slot = &mut self.slots[index];
        let Some(ownership) = &slot.ownership else {
            return;
        };
        let has_lapsed = now >= ownership.deadline;
        let may_announce =
            !has_lapsed && !ownership.is_announced && !slot.is_waiting_for_yield(now);
        if has_lapsed && is_final {
            end_ownership(slot, index, out);
        }
        if may_announce {
            slot.may_have_unlogged |= slot.may_dispatch_unlogged(now, &settings);
            announce_ownership(slot, index, out);
        } else if !has_lapsed {
            slot.may_have_unlogged |= slot.may_dispatch_unlogged(now, &settings);
        }
    }

    /// Adopts a newer list of entries.
    fn apply_roster(&mut self, roster: &Roster) {
        if roster.version < self.list_version {
            return;
        }
        self.list_version = roster.version;
        let entry = |member: &Member| (member.vm, member.incarnation);
        self.members = roster.members.iter().map(entry).collect();
    }

    /// Adopts the nodes that should own partitions.
    fn apply_preferences(&mut self, preferences: &[Preference]) {
        for preference in preferences {
            let index = usize::from(preference.partition.0);
            if let Some(slot) = self.slots.get_mut(index) {
                slot.candidates = preference.candidates;
                self.update_active_slot(index);
            }
        }
    }

    /// Adopts the set of partitions with unfinished work.
    fn set_unfinished(&mut self, partitions: &[Partition]) {
        for (index, slot) in self.slots.iter_mut().enumerate() {
            slot.has_unfinished_work = partitions.contains(&Partition(index as u16));
        }
    }

    /// Adds a slot to the active slots or removes it, after its state changed.
    pub(super) fn update_active_slot(&mut self, index: usize) {
        if self.slots[index].involves(self.node) {
            self.active_slots.insert(index as u16);
        } else {
            self.active_slots.remove(&(index as u16));
        }
    }

    /// Returns the slots that may require an action of this node.
    pub(super) fn active_slots(&self) -> Vec<usize> {
        self.active_slots.iter().copied().map(usize::from).collect()
    }

    /// Clears the mark that requests may have been dispatched unlogged, because the log now
    /// describes them. Promises requested up to now allow no further such request.
    fn clear_unlogged(&mut self, now: Instant, partition: Partition) {
        let Some(slot) = self.slots.get_mut(usize::from(partition.0)) else {
            return;
        };
        if let Some(ownership) = &mut slot.ownership {
            ownership.unlogged_allowed_from = now + Duration::from_micros(1);
            slot.may_have_unlogged = false;
        }
    }

    /// Returns whether the VM of `node` is on the VM list and no newer run on it is known.
    pub(super) fn is_present(&self, node: Node) -> bool {
        self.members
            .get(&node.vm)
            .is_some_and(|newest| newest.is_none_or(|incarnation| incarnation <= node.incarnation))
    }

    /// Returns whether `node`, which was on the VM list at version `list_version`, has ended: its
    /// VM is no longer on a list that is at least as new, or a newer run is known on the VM.
    pub(super) fn is_gone(&self, node: Node, list_version: u64) -> bool {
        let is_fresh = self.list_version >= list_version || !self.settings.rules.fresh_vm_list;
        match self.members.get(&node.vm) {
            None => is_fresh,
            Some(newest) => newest.is_some_and(|incarnation| incarnation > node.incarnation),
        }
    }

    /// Returns the standbys that this node names in a record for the slot.
    pub(super) fn standbys(&self, slot: &Slot) -> Standbys {
        let mut chosen = [None; STANDBYS];
        let others = slot
            .candidates
            .iter()
            .flatten()
            .filter(|&&node| node != self.node && self.is_present(node));
        for (place, node) in chosen.iter_mut().zip(others) {
            *place = Some(*node);
        }
        chosen
    }

    /// Returns how long to wait on this clock so that a lease of `duration_ms` has ended on any
    /// clock.
    pub(super) fn lease_wait(&self, duration_ms: u32) -> Duration {
        let span = Duration::from_millis(u64::from(duration_ms));
        self.settings.lengthened(span)
    }
}

/// Ends this node's ownership of a slot, if any.
pub(super) fn end_ownership(slot: &mut Slot, index: usize, out: &mut Vec<Output>) {
    let Some(ownership) = slot.ownership.take() else {
        return;
    };
    if ownership.is_announced {
        out.push(Output::Lost {
            partition: Partition(index as u16),
            epoch: ownership.epoch,
        });
    }
}

/// Outputs that this node may act as owner of a slot.
fn announce_ownership(slot: &mut Slot, index: usize, out: &mut Vec<Output>) {
    let (Some(ownership), Some(head)) = (&mut slot.ownership, &slot.head) else {
        return;
    };
    ownership.is_announced = true;
    out.push(Output::Acquired(Acquired {
        partition: Partition(index as u16),
        epoch: ownership.epoch,
        origin: ownership.origin,
        may_have_unlogged: slot.may_have_unlogged,
        stamp: head.grant.stamp,
    }));
}

/// Begins an ownership of this node, not yet announced.
pub(super) fn begin_ownership(slot: &mut Slot, deadline: Instant, origin: Origin) {
    let Some(head) = &slot.head else {
        return;
    };
    slot.ownership = Some(Ownership {
        epoch: head.grant.epoch,
        since: head.grant.sent,
        deadline,
        origin,
        is_announced: false,
        unlogged_allowed_from: head.grant.sent,
        promises: Vec::new(),
        requested_at: None,
    });
}
