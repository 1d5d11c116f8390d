//! The membership view of one entry.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use laburnum_derive::state;

use super::entry::{Entry, Listed};
use super::message::{Status, Update};
use super::port::{Dump, Input, Output, Row, State};
use super::rendezvous::{Candidate, prefer};
use super::ring::Ring;
use super::settings::Settings;
use crate::core::id::{Node, Partition, Vm};
use crate::core::lease::{Member, Preference, Roster};
use crate::core::time::Instant;
use crate::platform::vms;

/// The entries of the cell and their states, from the VM lists and heartbeats that one entry
/// received.
#[state]
pub struct View {
    pub(super) own: Update,
    pub(super) settings: Settings,
    version: u64,
    pub(super) entries: BTreeMap<Vm, Entry>,
    pub(super) ring: Ring,
    pub(super) round: u64,
    pub(super) sent: Option<Instant>,
    pub(super) ticked: Instant,
}

impl View {
    /// Returns the view of `node`. Each run of the daemon on a VM must have a higher number than
    /// the one before it.
    pub fn new(node: Node, settings: Settings) -> View {
        View {
            own: Update {
                node,
                refutations: 0,
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

    /// Handles one input and adds the resulting outputs to `out`.
    pub fn step(&mut self, now: Instant, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::List(list) => self.apply_list(now, list, out),
            Input::Heartbeat(heartbeat) => self.receive_heartbeat(now, heartbeat, out),
            Input::Leave => self.own.status = Status::Leaving,
        }
    }

    /// Returns the state of an entry; `None` if it is not on the VM list.
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

    /// Returns the address on which an entry listens; `None` if it is not on the VM list.
    pub fn address(&self, vm: Vm) -> Option<SocketAddr> {
        let listed = self.entries.get(&vm)?.listed.as_ref()?;
        Some(listed.address)
    }

    /// Returns the entries on the VM list and their newest runs, for the lease table.
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

    /// Returns the entries that may own partitions: those that are live, or suspect and maybe only
    /// paused.
    pub fn candidates(&self) -> Vec<Candidate> {
        let candidate = |&vm: &Vm| {
            let may_own = matches!(self.state(vm)?, State::Live | State::Suspect);
            let site = self.entries.get(&vm)?.listed.as_ref()?.site;
            let node = self.node(vm)?;
            may_own.then_some(Candidate { node, site })
        };
        self.entries.keys().filter_map(candidate).collect()
    }

    /// Returns the preferred owner and standbys of each of `partitions` partitions.
    pub fn preferences(&self, partitions: u16) -> Vec<Preference> {
        let candidates = self.candidates();
        let all = (0..partitions).map(Partition);
        all.map(|partition| prefer(partition, &candidates))
            .collect()
    }

    /// Returns the state for operators.
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

    /// Returns the newest known run of the daemon on `vm`.
    fn node(&self, vm: Vm) -> Option<Node> {
        if vm == self.own.node.vm {
            return Some(self.own.node);
        }
        Some(self.entries.get(&vm)?.update?.node)
    }

    /// Adopts a VM list if it is newer.
    fn apply_list(&mut self, now: Instant, list: &vms::List, out: &mut Vec<Output>) {
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
        self.restart_silence_timers(now);
        let vms: BTreeSet<Vm> = before.keys().chain(self.entries.keys()).copied().collect();
        for vm in vms {
            self.output_change(vm, before.get(&vm).copied(), out);
        }
    }

    /// Returns the state of `vm`, added empty if it was unknown.
    pub(super) fn entry(&mut self, now: Instant, vm: Vm) -> &mut Entry {
        self.entries.entry(vm).or_insert(Entry {
            listed: None,
            update: None,
            updated_at: now,
            last_heard: now,
            sends_left: 0,
        })
    }

    /// Returns the states of all entries on the list.
    fn states(&self) -> BTreeMap<Vm, State> {
        let state = |&vm: &Vm| Some((vm, self.state(vm)?));
        self.entries.keys().filter_map(state).collect()
    }

    /// Outputs the state of an entry if it differs from the state `before`.
    pub(super) fn output_change(&self, vm: Vm, before: Option<State>, out: &mut Vec<Output>) {
        let state = self.state(vm);
        if state == before {
            return;
        }
        let state = state.unwrap_or(State::Dead);
        out.push(Output::Changed { vm, state });
    }
}
