//! The entries as one of them sees them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use laburnum_derive::{message, state, value};

use super::message::{Heartbeat, Status, Update};
use super::rendezvous::{Candidate, prefer};
use super::ring::Ring;
use super::settings::{Settings, Site};
use crate::core::id::{Node, Partition, Vm};
use crate::core::lease::{Member, Preference, Roster};
use crate::core::time::Instant;
use crate::platform::vms;

/// How many times the logarithm of the cell's size an update is carried on.
const CARRY_FACTOR: u32 = 3;

/// What a view is told.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// Time has passed; tick at least as often as heartbeats are sent.
    Tick,
    /// The platform's VM list.
    List(&'a vms::List),
    /// A heartbeat came.
    Heartbeat(&'a Heartbeat),
    /// This process is leaving.
    Leave,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a heartbeat.
    Send {
        /// To whom.
        to: Vm,
        /// What to send.
        heartbeat: Heartbeat,
    },
    /// The state of an entry changed; owners and standbys may have to move.
    Changed {
        /// The entry.
        vm: Vm,
        /// Its new state.
        state: State,
    },
    /// An entry answers as another run of the daemon than before.
    Returned(Node),
}

/// The state of an entry.
#[value]
pub enum State {
    /// It is on the VM list and has not been heard of.
    Joining,
    /// It answers.
    Live,
    /// It answers and is leaving.
    Leaving,
    /// It has not answered for a while; it may be paused.
    Suspect,
    /// It has not answered for long.
    Dead,
}

/// What is known of one entry.
#[state]
struct Entry {
    listed: Option<Listed>,
    update: Option<Update>,
    /// When the update was learnt.
    learnt: Instant,
    /// When this node last heard the entry itself.
    heard: Instant,
    /// How often the update is still to be carried on.
    carries: u32,
}

/// What the VM list says of one entry.
#[state]
struct Listed {
    site: Site,
    address: SocketAddr,
    is_leaving: bool,
}

/// The entries as one of them sees them.
#[state]
pub struct View {
    own: Update,
    settings: Settings,
    version: u64,
    entries: BTreeMap<Vm, Entry>,
    ring: Ring,
    round: u64,
    sent: Option<Instant>,
    ticked: Instant,
}

/// A view, for people.
#[message]
pub struct Dump {
    /// The version of the VM list.
    pub version: u64,
    /// The entries on the list.
    pub rows: Vec<Row>,
}

/// One entry, for people.
#[message]
pub struct Row {
    /// The entry's VM.
    pub vm: Vm,
    /// Its run, if it was heard of.
    pub node: Option<Node>,
    /// Its state.
    pub state: State,
    /// Where it answers.
    pub address: SocketAddr,
}

impl View {
    /// Makes the view of `node`. Runs of the daemon on one VM must be numbered upwards.
    pub fn new(node: Node, settings: Settings) -> View {
        View {
            own: Update {
                node,
                count: 0,
                status: Status::Alive,
            },
            settings,
            version: 0,
            entries: BTreeMap::new(),
            ring: Ring::default(),
            round: 0,
            sent: None,
            ticked: Instant::default(),
        }
    }

    /// Takes one input and adds what is to be done to `out`.
    pub fn step(&mut self, now: Instant, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::List(list) => self.adopt(now, list, out),
            Input::Heartbeat(heartbeat) => self.hear(now, heartbeat, out),
            Input::Leave => self.own.status = Status::Leaving,
        }
    }

    /// Returns the state of an entry that is on the VM list.
    pub fn state(&self, vm: Vm) -> Option<State> {
        let entry = self.entries.get(&vm)?;
        let listed = entry.listed.as_ref()?;
        let update = if vm == self.own.node.vm {
            Some(self.own)
        } else {
            entry.update
        };
        Some(match update.map(|update| update.status) {
            None => State::Joining,
            Some(Status::Dead) => State::Dead,
            Some(Status::Suspect) => State::Suspect,
            Some(Status::Leaving) => State::Leaving,
            Some(Status::Alive) if listed.is_leaving => State::Leaving,
            Some(Status::Alive) => State::Live,
        })
    }

    /// Returns where an entry answers.
    pub fn address(&self, vm: Vm) -> Option<SocketAddr> {
        let listed = self.entries.get(&vm)?.listed.as_ref()?;
        Some(listed.address)
    }

    /// Returns the entries as the lease table needs them.
    pub fn roster(&self) -> Roster {
        let listed = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.listed.is_some());
        let member = |(&vm, _)| Member {
            vm,
            incarnation: self.node(vm).map(|node| node.incarnation),
        };
        Roster {
            version: self.version,
            members: listed.map(member).collect(),
        }
    }

    /// Returns the entries that may own partitions: those that live or may be paused.
    pub fn candidates(&self) -> Vec<Candidate> {
        let candidate = |&vm: &Vm| {
            let is_fit = matches!(self.state(vm)?, State::Live | State::Suspect);
            let site = self.entries.get(&vm)?.listed.as_ref()?.site;
            let node = self.node(vm)?;
            is_fit.then_some(Candidate { node, site })
        };
        self.entries.keys().filter_map(candidate).collect()
    }

    /// Returns which entries should own each of `partitions` partitions.
    pub fn preferences(&self, partitions: u16) -> Vec<Preference> {
        let candidates = self.candidates();
        let all = (0..partitions).map(Partition);
        all.map(|partition| prefer(partition, &candidates))
            .collect()
    }

    /// Returns the state for people.
    pub fn dump(&self) -> Dump {
        let row = |&vm: &Vm| {
            Some(Row {
                vm,
                node: self.node(vm),
                state: self.state(vm)?,
                address: self.address(vm)?,
            })
        };
        Dump {
            version: self.version,
            rows: self.entries.keys().filter_map(row).collect(),
        }
    }

    /// Returns the newest run of the daemon on `vm`.
    fn node(&self, vm: Vm) -> Option<Node> {
        if vm == self.own.node.vm {
            return Some(self.own.node);
        }
        Some(self.entries.get(&vm)?.update?.node)
    }

    /// Adopts a newer VM list.
    fn adopt(&mut self, now: Instant, list: &vms::List, out: &mut Vec<Output>) {
        if list.version <= self.version && !self.entries.is_empty() {
            return;
        }
        self.version = list.version;
        let before = self.states();
        for entry in self.entries.values_mut() {
            entry.listed = None;
        }
        let entries = list
            .vms
            .iter()
            .filter(|vm| matches!(vm.role, vms::Role::Entry));
        for vm in entries {
            let listed = Listed {
                site: self.settings.site(&vm.data_centre),
                address: vm.address,
                is_leaving: vm.state == vms::State::Leaving,
            };
            self.entry(now, Vm(vm.id)).listed = Some(listed);
        }
        let listed = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.listed.is_some());
        self.ring = Ring::new(listed.map(|(&vm, _)| vm));
        self.watch_anew(now);
        self.report(&before, out);
    }

    /// Takes a heartbeat.
    fn hear(&mut self, now: Instant, heartbeat: &Heartbeat, out: &mut Vec<Output>) {
        let sender = heartbeat.sender.node.vm;
        if sender == self.own.node.vm {
            return;
        }
        let before = self.states();
        self.entry(now, sender).heard = now;
        self.learn(now, heartbeat.sender, out);
        for &update in &heartbeat.updates {
            self.learn(now, update, out);
        }
        if heartbeat.is_new {
            self.tell_all(sender, out);
        } else {
            self.tell_suspect(heartbeat.sender, out);
        }
        self.report(&before, out);
    }

    /// Adopts an update that overrides what is known.
    fn learn(&mut self, now: Instant, update: Update, out: &mut Vec<Output>) {
        if update.node == self.own.node {
            self.refute(update);
            return;
        }
        if update.node.vm == self.own.node.vm {
            return;
        }
        let carries = self.carries();
        let entry = self.entry(now, update.node.vm);
        let known = entry.update;
        if known.is_some_and(|known| !update.overrides(&known)) {
            return;
        }
        entry.update = Some(update);
        entry.learnt = now;
        entry.carries = carries;
        if known.is_some_and(|known| known.node != update.node) {
            out.push(Output::Returned(update.node));
        }
    }

    /// Overrides what others wrongly say of this node.
    fn refute(&mut self, update: Update) {
        if update.overrides(&self.own) {
            self.own.count = update.count + 1;
        }
    }

    /// Suspects the silent and sends heartbeats.
    fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        let was_paused = now.since(self.ticked) >= self.settings.suspect_after / 2;
        self.ticked = now;
        if was_paused {
            self.watch_anew(now);
        }
        let before = self.states();
        self.suspect(now);
        self.bury(now);
        self.report(&before, out);
        let is_due = self
            .sent
            .is_none_or(|sent| now >= sent + self.settings.interval);
        if is_due {
            self.sent = Some(now);
            self.send(out);
        }
    }

    /// Counts the silence of watched entries from now.
    fn watch_anew(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            entry.heard = now;
        }
    }

    /// Suspects watched entries that are silent.
    fn suspect(&mut self, now: Instant) {
        let carries = self.carries();
        let watched: Vec<Vm> = self
            .ring
            .before(self.own.node.vm, self.settings.watchers)
            .collect();
        for vm in watched {
            let Some(entry) = self.entries.get_mut(&vm) else {
                continue;
            };
            let is_silent = now >= entry.heard + self.settings.suspect_after;
            let Some(update) = entry.update.as_mut().filter(|_| is_silent) else {
                continue;
            };
            if update.status < Status::Suspect {
                update.status = Status::Suspect;
                entry.learnt = now;
                entry.carries = carries;
            }
        }
    }

    /// Counts as dead whom nobody cleared of suspicion, and forgets VMs that are off the list.
    fn bury(&mut self, now: Instant) {
        let after = self.settings.dead_after;
        for entry in self.entries.values_mut() {
            let is_overdue = now >= entry.learnt + after;
            if let Some(update) = entry.update.as_mut().filter(|_| is_overdue)
                && update.status == Status::Suspect
            {
                update.status = Status::Dead;
            }
        }
        let forget_after = after * 10;
        self.entries.retain(|_, entry| {
            let newest = entry.learnt.max(entry.heard);
            entry.listed.is_some() || now < newest + forget_after
        });
    }

    /// Sends this round's heartbeats.
    fn send(&mut self, out: &mut Vec<Output>) {
        let own = self.own.node.vm;
        let mut targets: Vec<Vm> = self.ring.after(own, self.settings.watchers).collect();
        targets.extend(self.ring.finger(own, self.round));
        targets.sort_unstable();
        targets.dedup();
        self.round += 1;
        for to in targets {
            let updates = self.news(to);
            let heartbeat = self.heartbeat(updates);
            out.push(Output::Send { to, heartbeat });
        }
    }

    /// Returns a heartbeat of this node.
    fn heartbeat(&self, updates: Vec<Update>) -> Heartbeat {
        let is_unknown = |entry: &Entry| entry.listed.is_some() && entry.update.is_none();
        let unknown = self
            .entries
            .values()
            .filter(|entry| is_unknown(entry))
            .count();
        Heartbeat {
            sender: self.own,
            is_new: unknown > self.settings.watchers,
            updates,
        }
    }

    /// Returns the updates to carry to `to`, most often due first.
    fn news(&mut self, to: Vm) -> Vec<Update> {
        let due = |(&vm, entry): (&Vm, &Entry)| {
            (entry.carries > 0 && vm != to).then_some((entry.carries, vm))
        };
        let mut due: Vec<(u32, Vm)> = self.entries.iter().filter_map(due).collect();
        due.sort_unstable_by(|one, other| other.cmp(one));
        due.truncate(self.settings.updates);
        let mut updates = Vec::with_capacity(due.len());
        for (_, vm) in due {
            if let Some(entry) = self.entries.get_mut(&vm) {
                entry.carries -= 1;
                updates.extend(entry.update);
            }
        }
        updates
    }

    /// Sends all updates to a newcomer.
    fn tell_all(&self, to: Vm, out: &mut Vec<Output>) {
        let updates = self.entries.values().filter_map(|entry| entry.update);
        let mut heartbeat = self.heartbeat(updates.collect());
        heartbeat.is_new = false;
        out.push(Output::Send { to, heartbeat });
    }

    /// Tells an entry that answers again what is said of it, so that it can refute it.
    fn tell_suspect(&self, sender: Update, out: &mut Vec<Output>) {
        let known = self
            .entries
            .get(&sender.node.vm)
            .and_then(|entry| entry.update);
        if let Some(update) = known.filter(|known| known.status >= Status::Suspect) {
            let to = sender.node.vm;
            let heartbeat = self.heartbeat(vec![update]);
            out.push(Output::Send { to, heartbeat });
        }
    }

    /// Returns how often a new update is carried on.
    fn carries(&self) -> u32 {
        let size = self.entries.len().max(1);
        CARRY_FACTOR * (usize::BITS - size.leading_zeros())
    }

    /// Returns what is known of `vm`, new if it was unknown.
    fn entry(&mut self, now: Instant, vm: Vm) -> &mut Entry {
        self.entries.entry(vm).or_insert(Entry {
            listed: None,
            update: None,
            learnt: now,
            heard: now,
            carries: 0,
        })
    }

    /// Returns the states of all entries on the list.
    fn states(&self) -> BTreeMap<Vm, State> {
        let state = |&vm: &Vm| Some((vm, self.state(vm)?));
        self.entries.keys().filter_map(state).collect()
    }

    /// Reports what changed since `before`.
    fn report(&self, before: &BTreeMap<Vm, State>, out: &mut Vec<Output>) {
        let after = self.states();
        for (&vm, &state) in &after {
            if before.get(&vm) != Some(&state) {
                out.push(Output::Changed { vm, state });
            }
        }
        for &vm in before.keys().filter(|vm| !after.contains_key(vm)) {
            let state = State::Dead;
            out.push(Output::Changed { vm, state });
        }
    }
}
