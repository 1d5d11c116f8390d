//! Tracks the live entries and the partitions that this entry owns.
//!
//! The membership view determines which entry should own a partition; the lease table determines
//! which one does. An acquired partition is opened once this entry has read its own opening record
//! in the work stream, and thus every record before it.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::core::id::{DataCentre, Node, Partition, Region, Vm};
use crate::core::lease::{self, Acquired, Epoch};
use crate::core::membership::rendezvous::Candidate;
use crate::core::membership::{self, Site, View};
use crate::core::request::dedup::Term;
use crate::core::request::dispatcher::Owner;
use crate::core::request::route::{Place, Tier};
use crate::core::time::{Instant, Stamp};
use crate::daemon::Context;
use crate::daemon::peer::Neighbour;
use crate::platform::vms::{self, List, Role};
use crate::settings::Settings;

/// A partition that this entry owns.
#[derive(Clone, Copy, Debug)]
struct Own {
    acquired: Acquired,
    is_open: bool,
}

/// The membership view and the lease table.
pub(super) struct LeaseManager {
    node: Node,
    partitions: u16,
    view: View,
    table: lease::Table,
    own: BTreeMap<Partition, Own>,
    /// The owners last reported to the dispatch thread.
    reported: HashMap<Partition, Owner>,
    is_ready: bool,
    /// The partitions that are to move to another entry, each with the time since when.
    moving: HashMap<Partition, Instant>,
    /// How long unfinished work may delay a move.
    max_move_delay: Duration,
}

impl LeaseManager {
    /// Creates a view without other entries and a lease table without owners.
    pub(super) fn new(context: &Context) -> LeaseManager {
        let node = context.node();
        let settings = &context.settings;
        let partitions = settings.cell.request_partitions + settings.cell.worker_partitions;
        let duration = Duration::from_millis(settings.lease.duration_ms);
        let lease_settings = lease::Settings::builder().duration(duration).build();
        let view_settings = membership::Settings::builder()
            .data_centres(places(settings))
            .build();
        LeaseManager {
            node,
            partitions,
            view: View::new(node, view_settings),
            table: lease::Table::new(node, partitions, lease_settings),
            own: BTreeMap::new(),
            reported: HashMap::new(),
            is_ready: false,
            moving: HashMap::new(),
            max_move_delay: Duration::from_millis(settings.traffic.drain_ms / 2),
        }
    }

    /// Returns the identity of this run of the daemon.
    pub(super) fn node(&self) -> Node {
        self.node
    }

    /// Returns which entry owns a partition.
    pub(super) fn owner(&self, partition: Partition) -> Option<Node> {
        self.table.owner(partition)
    }

    /// Returns until when this entry may act on a partition; `None` when it is not open or this
    /// entry may not act on it now.
    pub(super) fn deadline(&self, partition: Partition, now: Instant) -> Option<Instant> {
        let own = self.own.get(&partition)?;
        if !own.is_open || self.table.may_act(partition, now).is_none() {
            return None;
        }
        self.table.deadline(partition)
    }

    /// Returns whether the standbys' promises not to claim a partition are in force.
    pub(super) fn holds_promises(&self, partition: Partition, now: Instant) -> bool {
        self.table.may_dispatch_unlogged(partition, now)
    }

    /// Returns the live entries of this region, including this one.
    pub(super) fn region(&self) -> Vec<Node> {
        let candidates = self.view.candidates();
        let own = candidates
            .iter()
            .find(|candidate| candidate.node == self.node);
        let region = own.map(|own| own.site.region);
        let near = candidates
            .iter()
            .filter(|candidate| Some(candidate.site.region) == region);
        near.map(|candidate| candidate.node).collect()
    }

    /// Returns the other live entries, those of this region first.
    pub(super) fn peers(&self) -> Vec<Node> {
        let near = self.region();
        let mut peers: Vec<Node> = self
            .view
            .candidates()
            .iter()
            .map(|candidate| candidate.node)
            .collect();
        peers.retain(|node| *node != self.node);
        peers.sort_by_key(|node| !near.contains(node));
        peers
    }

    /// Restores the lease table from a snapshot of the lease stream.
    pub(super) fn restore(
        &mut self,
        now: Instant,
        snapshot: &lease::Snapshot,
    ) -> Vec<lease::Output> {
        self.step_table(now, lease::Input::Restore(snapshot))
    }

    /// Returns a snapshot of the lease table at the offset read so far.
    pub(super) fn snapshot(&self) -> lease::Snapshot {
        self.table.snapshot()
    }

    /// Returns whether this entry owns no partition.
    pub(super) fn is_idle(&self) -> bool {
        self.table.is_idle()
    }

    /// Returns the states of all entries, for dumps.
    pub(super) fn dump_view(&self) -> membership::Dump {
        self.view.dump()
    }

    /// Returns the leases, for dumps.
    pub(super) fn dump_leases(&self, now: Instant) -> lease::Dump {
        self.table.dump(now)
    }

    /// Handles a heartbeat of another entry.
    pub(super) fn receive_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: &membership::Heartbeat,
    ) -> Vec<membership::Output> {
        self.step_view(now, membership::Input::Heartbeat(heartbeat))
    }

    /// Applies a newer VM list to the membership view.
    pub(super) fn apply_vm_list(&mut self, now: Instant, list: &List) -> Vec<membership::Output> {
        self.step_view(now, membership::Input::List(list))
    }

    /// Advances the membership view.
    pub(super) fn tick_view(&mut self, now: Instant) -> Vec<membership::Output> {
        self.step_view(now, membership::Input::Tick)
    }

    /// Passes the entries and the preferred owners of all partitions to the lease table.
    pub(super) fn update_preferences(&mut self, now: Instant) -> Vec<lease::Output> {
        let roster = self.view.roster();
        let preferences = self.view.preferences(self.partitions);
        let mut out = self.step_table(now, lease::Input::Roster(&roster));
        out.extend(self.step_table(now, lease::Input::Prefer(&preferences)));
        out
    }

    /// Handles a notification of another entry's lease table.
    pub(super) fn deliver(
        &mut self,
        now: Instant,
        from: Node,
        message: &lease::Message,
    ) -> Vec<lease::Output> {
        self.step_table(now, lease::Input::Deliver { from, message })
    }

    /// Handles a record of the lease stream.
    pub(super) fn read(
        &mut self,
        now: Instant,
        offset: u64,
        record: &lease::Record,
    ) -> Vec<lease::Output> {
        self.step_table(now, lease::Input::Read { offset, record })
    }

    /// Marks the lease stream as read to its end.
    pub(super) fn set_ready(&mut self, now: Instant) {
        if !self.is_ready {
            self.is_ready = true;
            let _ = self.step_table(now, lease::Input::Ready);
        }
    }

    /// Marks a partition's records in the log as complete, including those of work that was
    /// dispatched before its record.
    pub(super) fn set_described(&mut self, now: Instant, partition: Partition) {
        let _ = self.step_table(now, lease::Input::UnloggedDescribed(partition));
    }

    /// Advances the lease table.
    pub(super) fn tick(
        &mut self,
        now: Instant,
        stamp: Stamp,
        is_log_up: bool,
    ) -> Vec<lease::Output> {
        let mut out = self.step_table(now, lease::Input::Log { up: is_log_up });
        out.extend(self.step_table(now, lease::Input::Tick(stamp)));
        out
    }

    /// Returns whether this entry knows an owner of every partition.
    pub(super) fn has_owners(&self) -> bool {
        (0..self.partitions).all(|partition| self.table.owner(Partition(partition)).is_some())
    }

    /// Holds back each moving partition while `is_unfinished` is true of it, for at most
    /// `max_move_delay`.
    pub(super) fn hold_moving(&mut self, now: Instant, is_unfinished: impl Fn(Partition) -> bool) {
        let moving = self.table.partitions_to_hand_over(now);
        self.moving
            .retain(|partition, _| moving.contains(partition));
        for &partition in &moving {
            self.moving.entry(partition).or_insert(now);
        }
        let is_held = |(partition, since): &(&Partition, &Instant)| {
            now.since(**since) < self.max_move_delay && is_unfinished(**partition)
        };
        let held: Vec<Partition> = self
            .moving
            .iter()
            .filter(is_held)
            .map(|(&partition, _)| partition)
            .collect();
        let _ = self.step_table(now, lease::Input::UnfinishedWork(&held));
    }

    /// Returns whether a partition is to move to another entry, so that it accepts no new work.
    pub(super) fn is_moving(&self, partition: Partition) -> bool {
        self.moving.contains_key(&partition)
    }

    /// Starts to hand over all partitions, for a planned stop.
    pub(super) fn stop(&mut self, now: Instant) {
        let _ = self.step_view(now, membership::Input::Leave);
        let _ = self.step_table(now, lease::Input::Stop);
    }

    /// Adds a partition that was acquired.
    pub(super) fn add_acquired(&mut self, acquired: Acquired) {
        let own = Own {
            acquired,
            is_open: false,
        };
        self.own.insert(acquired.partition, own);
    }

    /// Returns the epoch of this entry's ownership of a partition; `None` if it does not own it.
    pub(super) fn epoch(&self, partition: Partition) -> Option<Epoch> {
        self.own.get(&partition).map(|own| own.acquired.epoch)
    }

    /// Removes a partition that was lost.
    pub(super) fn remove_lost(&mut self, partition: Partition) {
        self.own.remove(&partition);
        self.reported.remove(&partition);
    }

    /// Returns the acquisition that an opening record belongs to; `None` if the partition is open
    /// already or no longer owned under this epoch.
    pub(super) fn opening(&self, partition: Partition, epoch: Epoch) -> Option<Acquired> {
        let own = self.own.get(&partition)?;
        let is_due = !own.is_open && own.acquired.epoch == epoch;
        is_due.then_some(own.acquired)
    }

    /// Marks a partition as open.
    pub(super) fn set_open(&mut self, partition: Partition) {
        if let Some(own) = self.own.get_mut(&partition) {
            own.is_open = true;
        }
    }

    /// Returns the owners that changed since the last call, to be reported to the dispatch thread.
    pub(super) fn changed_owners(&mut self, now: Instant) -> Vec<(Partition, Owner)> {
        let mut changes = Vec::new();
        let candidates = self.view.candidates();
        for partition in (0..self.partitions).map(Partition) {
            let Some(owner) = self.dispatch_owner(partition, now, &candidates) else {
                continue;
            };
            if self.reported.insert(partition, owner) != Some(owner) {
                changes.push((partition, owner));
            }
        }
        changes
    }

    /// Returns the owner of a partition for the dispatch thread; `None` when it is not known.
    fn dispatch_owner(
        &self,
        partition: Partition,
        now: Instant,
        candidates: &[Candidate],
    ) -> Option<Owner> {
        let grant = self.table.grant(partition)?;
        let node = grant.holder;
        let until = match node == self.node {
            true => self.deadline(partition, now).unwrap_or_default(),
            false => Instant::default(),
        };
        let site = candidates
            .iter()
            .find(|candidate| candidate.node == node)?
            .site;
        Some(Owner {
            term: Term(grant.epoch.0),
            node,
            place: place(site),
            until,
        })
    }

    fn step_view(&mut self, now: Instant, input: membership::Input<'_>) -> Vec<membership::Output> {
        let mut out = Vec::new();
        self.view.step(now, input, &mut out);
        out
    }

    fn step_table(&mut self, now: Instant, input: lease::Input<'_>) -> Vec<lease::Output> {
        let mut out = Vec::new();
        self.table.step(now, input, &mut out);
        out
    }
}

/// Converts a site of the membership view to a place of the dispatchers.
fn place(site: Site) -> Place {
    Place {
        region: site.region,
        data_centre: site.data_centre,
    }
}

/// Returns the data centres of the settings with their names.
fn places(settings: &Settings) -> Vec<membership::DataCentreSite> {
    let mut places = Vec::new();
    for (region, entry) in settings.cell.regions.iter().enumerate() {
        for name in &entry.data_centres {
            let site = Site {
                data_centre: DataCentre(places.len() as u16),
                region: Region(region as u16),
            };
            places.push(membership::DataCentreSite {
                name: name.clone(),
                site,
            });
        }
    }
    places
}

/// Returns the place of a data centre, by its name.
pub(in crate::daemon) fn place_of(settings: &Settings, data_centre: &str) -> Place {
    let known = places(settings)
        .into_iter()
        .find(|place| place.name == data_centre);
    place(known.map_or(Site::UNKNOWN, |place| place.site))
}

/// Returns the entries of a VM list, which are the possible other ends of links.
pub(super) fn neighbours(settings: &Settings, list: &List) -> HashMap<Vm, Neighbour> {
    let own = place_of(settings, &settings.node.data_centre);
    let entries = list.vms.iter().filter(|vm| vm.role == Role::Entry);
    let neighbour = |vm: &vms::Vm| {
        let tier = own.tier(place_of(settings, &vm.data_centre));
        let neighbour = Neighbour {
            address: vm.address,
            is_remote: tier == Tier::Remote,
        };
        (Vm(vm.id), neighbour)
    };
    entries.map(neighbour).collect()
}
