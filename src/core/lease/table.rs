//! The table of all partitions in one process.

use std::collections::BTreeMap;
use std::time::Duration;

use super::port::{Acquired, Input, Member, Origin, Output, Preference, Roster};
use super::record::{Epoch, STANDBYS, Standbys};
use super::settings::Settings;
use super::slot::{Slot, Tenure};
use super::view::{Dump, Entry, Grant, Row, Snapshot};
use crate::core::id::{Incarnation, Node, Partition, Vm};
use crate::core::time::{Instant, Stamp};

/// All partitions, as one process sees them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Table {
    pub(super) node: Node,
    pub(super) settings: Settings,
    pub(super) slots: Vec<Slot>,
    /// The first offset that was not read yet.
    pub(super) next: u64,
    pub(super) ready: bool,
    pub(super) stopping: bool,
    pub(super) log_up: bool,
    /// The version of the VM list.
    pub(super) listed: u64,
    pub(super) members: BTreeMap<Vm, Option<Incarnation>>,
}

impl Table {
    /// Makes the table of `node` for `partitions` partitions. It claims nothing before
    /// [`Input::Ready`].
    pub fn new(node: Node, partitions: u16, settings: Settings) -> Table {
        Table {
            node,
            settings,
            slots: vec![Slot::default(); usize::from(partitions)],
            next: 0,
            ready: false,
            stopping: false,
            log_up: true,
            listed: 0,
            members: BTreeMap::new(),
        }
    }

    /// Takes one input and adds what is to be done to `out`.
    pub fn step(&mut self, now: Instant, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Tick(stamp) => self.tick(now, stamp, out),
            Input::Read { offset, record } => self.read(now, offset, record, out),
            Input::Restore(snapshot) => self.restore(now, snapshot, out),
            Input::Ready => self.ready = true,
            Input::Deliver { from, message } => self.deliver(now, from, message, out),
            Input::Roster(roster) => self.adopt(roster),
            Input::Prefer(preferences) => self.prefer(preferences),
            Input::Log { up } => self.log_up = up,
            Input::Described(partition) => self.described(now, partition),
            Input::Stop => self.stopping = true,
        }
    }

    /// Returns which node holds the newest valid record of the partition, to route to.
    pub fn owner(&self, partition: Partition) -> Option<Node> {
        let head = self.slot(partition)?.head.as_ref()?;
        (!head.grant.released).then_some(head.grant.holder)
    }

    /// Returns the fencing token while this node may act as owner.
    pub fn may_act(&self, partition: Partition, now: Instant) -> Option<Epoch> {
        let tenure = self.slot(partition)?.tenure.as_ref()?;
        tenure.is_active(now).then_some(tenure.epoch)
    }

    /// Returns until when [`Table::may_act`] holds if nothing else happens.
    pub fn deadline(&self, partition: Partition) -> Option<Instant> {
        let tenure = self.slot(partition)?.tenure.as_ref()?;
        tenure.is_open.then_some(tenure.deadline)
    }

    /// Returns whether this node may dispatch requests that the log does not describe yet: it may
    /// act, and every node that may succeed it has promised not to and so knows of the possibility.
    pub fn holds_promises(&self, partition: Partition, now: Instant) -> bool {
        self.may_act(partition, now).is_some()
            && self
                .slot(partition)
                .is_some_and(|slot| slot.exposed && slot.has_promises(now, &self.settings))
    }

    /// Returns whether no partition is held by this node, so that a stopping process may end.
    pub fn is_idle(&self) -> bool {
        !self.slots.iter().any(|slot| slot.is_held_by(self.node))
    }

    /// Returns the state for newcomers, as of the records read so far.
    pub fn snapshot(&self) -> Snapshot {
        let entries = self.grants().map(|(partition, slot_grant)| Entry {
            partition,
            grant: slot_grant.clone(),
        });
        Snapshot {
            next: self.next,
            entries: entries.collect(),
        }
    }

    /// Returns the state for people.
    pub fn dump(&self, now: Instant) -> Dump {
        let rows = self
            .grants()
            .filter_map(|(partition, grant)| self.row(now, partition, grant));
        Dump {
            node: self.node,
            ready: self.ready,
            stopping: self.stopping,
            rows: rows.collect(),
        }
    }

    /// Returns the newest grant of each partition that ever had one.
    fn grants(&self) -> impl Iterator<Item = (Partition, &Grant)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let head = slot.head.as_ref()?;
            Some((Partition(index as u16), &head.grant))
        })
    }

    /// Returns one row of the dump.
    fn row(&self, now: Instant, partition: Partition, grant: &Grant) -> Option<Row> {
        let slot = self.slot(partition)?;
        let millis = |until: Instant| until.since(now).as_millis() as u64;
        let tenure = slot.tenure.as_ref().filter(|tenure| tenure.is_active(now));
        let given = slot.given.filter(|given| now < given.until);
        Some(Row {
            partition,
            grant: grant.clone(),
            ends_in_ms: slot.head.as_ref().map_or(0, |head| millis(head.ends)),
            acts_for_ms: tenure.map(|tenure| millis(tenure.deadline)),
            promised_for_ms: given.map(|given| millis(given.until)),
        })
    }

    /// Returns what is known of a partition.
    pub(super) fn slot(&self, partition: Partition) -> Option<&Slot> {
        self.slots.get(usize::from(partition.0))
    }

    /// Does what is due.
    fn tick(&mut self, now: Instant, stamp: Stamp, out: &mut Vec<Output>) {
        for index in 0..self.slots.len() {
            self.refresh(now, index, out);
        }
        if !self.ready {
            return;
        }
        self.hand_over(now, out);
        let record = self.record(now, stamp, out);
        self.append(now, record, out);
        self.ask(now, out);
    }

    /// Ends an ownership that lapsed and begins one whose former holder has stopped.
    pub(super) fn refresh(&mut self, now: Instant, index: usize, out: &mut Vec<Output>) {
        let is_final = self.settings.rules.lapse_is_final;
        let settings = self.settings;
        let slot = &mut self.slots[index];
        let Some(tenure) = &slot.tenure else {
            return;
        };
        let has_lapsed = now >= tenure.deadline;
        let may_open = !has_lapsed && !tenure.is_open && !slot.is_gated(now);
        if has_lapsed && is_final {
            end(slot, index, out);
        }
        if may_open {
            slot.exposed |= slot.has_promises(now, &settings);
            open(slot, index, out);
        } else if !has_lapsed {
            slot.exposed |= slot.has_promises(now, &settings);
        }
    }

    /// Adopts a newer list of entries.
    fn adopt(&mut self, roster: &Roster) {
        if roster.version < self.listed {
            return;
        }
        self.listed = roster.version;
        let entry = |member: &Member| (member.vm, member.incarnation);
        self.members = roster.members.iter().map(entry).collect();
    }

    /// Adopts which nodes should own partitions.
    fn prefer(&mut self, preferences: &[Preference]) {
        for preference in preferences {
            if let Some(slot) = self.slots.get_mut(usize::from(preference.partition.0)) {
                slot.candidates = preference.candidates;
            }
        }
    }

    /// Notes that the log describes all that was dispatched.
    fn described(&mut self, now: Instant, partition: Partition) {
        let Some(slot) = self.slots.get_mut(usize::from(partition.0)) else {
            return;
        };
        if let Some(tenure) = &mut slot.tenure {
            tenure.quiet = now + Duration::from_micros(1);
            slot.exposed = false;
        }
    }

    /// Returns whether `node` is on the list and is the newest run on its VM.
    pub(super) fn is_present(&self, node: Node) -> bool {
        self.members
            .get(&node.vm)
            .is_some_and(|newest| newest.is_none_or(|incarnation| incarnation <= node.incarnation))
    }

    /// Returns whether `node`, which was on the VM list at version `listed`, has ended for good.
    pub(super) fn is_gone(&self, node: Node, listed: u64) -> bool {
        let is_fresh = self.listed >= listed || !self.settings.rules.fresh_list;
        match self.members.get(&node.vm) {
            None => is_fresh,
            Some(newest) => newest.is_some_and(|incarnation| incarnation > node.incarnation),
        }
    }

    /// Returns the standbys that this node would name.
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

    /// Returns how long a grant is to be waited out on this clock.
    pub(super) fn wait(&self, duration_ms: u32) -> Duration {
        let span = Duration::from_millis(u64::from(duration_ms));
        self.settings.lengthened(span)
    }
}

/// Ends the ownership of a slot.
pub(super) fn end(slot: &mut Slot, index: usize, out: &mut Vec<Output>) {
    let Some(tenure) = slot.tenure.take() else {
        return;
    };
    if tenure.is_open {
        out.push(Output::Lost {
            partition: Partition(index as u16),
            epoch: tenure.epoch,
        });
    }
}

/// Lets the owner of a slot act.
fn open(slot: &mut Slot, index: usize, out: &mut Vec<Output>) {
    let (Some(tenure), Some(head)) = (&mut slot.tenure, &slot.head) else {
        return;
    };
    tenure.is_open = true;
    out.push(Output::Acquired(Acquired {
        partition: Partition(index as u16),
        epoch: tenure.epoch,
        origin: tenure.origin,
        exposed: slot.exposed,
        stamp: head.grant.stamp,
    }));
}

/// Begins an ownership of this node.
pub(super) fn begin(slot: &mut Slot, deadline: Instant, origin: Origin) {
    let Some(head) = &slot.head else {
        return;
    };
    slot.tenure = Some(Tenure {
        epoch: head.grant.epoch,
        since: head.grant.sent,
        deadline,
        origin,
        is_open: false,
        quiet: head.grant.sent,
        promises: Vec::new(),
        asked: None,
    });
}
