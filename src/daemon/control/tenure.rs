//! Which entries live and which partitions this entry owns.
//!
//! The view of the entries and the lease table stand here side by side: the view says who should
//! own a partition, the table who does. A partition that was acquired is opened when this entry has
//! read its own opening record in the work stream, and with it all that stands before.

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

/// A partition of this entry.
#[derive(Clone, Copy, Debug)]
struct Own {
    acquired: Acquired,
    is_open: bool,
}

/// The view of the entries and the lease table.
pub(super) struct Tenure {
    node: Node,
    partitions: u16,
    view: View,
    table: lease::Table,
    own: BTreeMap<Partition, Own>,
    /// What the dispatch part was last told.
    told: HashMap<Partition, Owner>,
    is_ready: bool,
    /// Since when partitions are to move.
    moving: HashMap<Partition, Instant>,
    /// How long unfinished work may delay a move.
    patience: Duration,
}

impl Tenure {
    /// Makes a tenure that knows nothing.
    pub(super) fn new(context: &Context) -> Tenure {
        let node = context.node();
        let settings = &context.settings;
        let partitions = settings.cell.request_partitions + settings.cell.worker_partitions;
        let duration = Duration::from_millis(settings.lease.duration_ms);
        let lease_settings = lease::Settings::builder().duration(duration).build();
        let view_settings = membership::Settings::builder()
            .data_centres(places(settings))
            .build();
        Tenure {
            node,
            partitions,
            view: View::new(node, view_settings),
            table: lease::Table::new(node, partitions, lease_settings),
            own: BTreeMap::new(),
            told: HashMap::new(),
            is_ready: false,
            moving: HashMap::new(),
            patience: Duration::from_millis(settings.traffic.drain_ms / 2),
        }
    }

    /// Returns this run of the daemon.
    pub(super) fn node(&self) -> Node {
        self.node
    }

    /// Returns which entry owns a partition.
    pub(super) fn owner(&self, partition: Partition) -> Option<Node> {
        self.table.owner(partition)
    }

    /// Returns until when this entry may act on an open partition.
    pub(super) fn deadline(&self, partition: Partition, now: Instant) -> Option<Instant> {
        let own = self.own.get(&partition)?;
        if !own.is_open || self.table.may_act(partition, now).is_none() {
            return None;
        }
        self.table.deadline(partition)
    }

    /// Returns whether the standbys have promised not to claim an open partition.
    pub(super) fn holds_promises(&self, partition: Partition, now: Instant) -> bool {
        self.table.may_dispatch_unlogged(partition, now)
    }

    /// Returns the live entries of this region, this one among them.
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

    /// Takes all that the lease stream held up to some offset.
    pub(super) fn restore(
        &mut self,
        now: Instant,
        snapshot: &lease::Snapshot,
    ) -> Vec<lease::Output> {
        self.step_table(now, lease::Input::Restore(snapshot))
    }

    /// Returns all that the lease stream held up to what was read.
    pub(super) fn snapshot(&self) -> lease::Snapshot {
        self.table.snapshot()
    }

    /// Returns whether nothing is owned any more.
    pub(super) fn is_idle(&self) -> bool {
        self.table.is_idle()
    }

    /// Returns the states of the entries.
    pub(super) fn view(&self) -> membership::Dump {
        self.view.dump()
    }

    /// Returns the leases.
    pub(super) fn leases(&self, now: Instant) -> lease::Dump {
        self.table.dump(now)
    }

    /// Takes a heartbeat of another entry.
    pub(super) fn hear(
        &mut self,
        now: Instant,
        heartbeat: &membership::Heartbeat,
    ) -> Vec<membership::Output> {
        self.step_view(now, membership::Input::Heartbeat(heartbeat))
    }

    /// Adopts a newer VM list.
    pub(super) fn adopt(&mut self, now: Instant, list: &List) -> Vec<membership::Output> {
        self.step_view(now, membership::Input::List(list))
    }

    /// Lets time pass for the view.
    pub(super) fn tick_view(&mut self, now: Instant) -> Vec<membership::Output> {
        self.step_view(now, membership::Input::Tick)
    }

    /// Tells the lease table which entries there are and which should own what.
    pub(super) fn prefer(&mut self, now: Instant) -> Vec<lease::Output> {
        let roster = self.view.roster();
        let preferences = self.view.preferences(self.partitions);
        let mut out = self.step_table(now, lease::Input::Roster(&roster));
        out.extend(self.step_table(now, lease::Input::Prefer(&preferences)));
        out
    }

    /// Takes a notice of another entry's lease table.
    pub(super) fn deliver(
        &mut self,
        now: Instant,
        from: Node,
        message: &lease::Message,
    ) -> Vec<lease::Output> {
        self.step_table(now, lease::Input::Deliver { from, message })
    }

    /// Takes a record of the lease stream.
    pub(super) fn read(
        &mut self,
        now: Instant,
        offset: u64,
        record: &lease::Record,
    ) -> Vec<lease::Output> {
        self.step_table(now, lease::Input::Read { offset, record })
    }

    /// Notes that the lease stream was read to its end.
    pub(super) fn set_ready(&mut self, now: Instant) {
        if !self.is_ready {
            self.is_ready = true;
            let _ = self.step_table(now, lease::Input::Ready);
        }
    }

    /// Notes that the log describes all that was dispatched without a record.
    pub(super) fn set_described(&mut self, now: Instant, partition: Partition) {
        let _ = self.step_table(now, lease::Input::UnloggedDescribed(partition));
    }

    /// Lets time pass for the leases.
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

    /// Returns whether every partition has an owner that is known.
    pub(super) fn has_owners(&self) -> bool {
        (0..self.partitions).all(|partition| self.table.owner(Partition(partition)).is_some())
    }

    /// Lets partitions that are to move go once `is_unfinished` does not hold of them.
    pub(super) fn keep(&mut self, now: Instant, is_unfinished: impl Fn(Partition) -> bool) {
        let moving = self.table.partitions_to_hand_over(now);
        self.moving
            .retain(|partition, _| moving.contains(partition));
        for &partition in &moving {
            self.moving.entry(partition).or_insert(now);
        }
        let is_kept = |(partition, since): &(&Partition, &Instant)| {
            now.since(**since) < self.patience && is_unfinished(**partition)
        };
        let kept: Vec<Partition> = self
            .moving
            .iter()
            .filter(is_kept)
            .map(|(&partition, _)| partition)
            .collect();
        let _ = self.step_table(now, lease::Input::UnfinishedWork(&kept));
    }

    /// Returns whether a partition is to move to another entry and takes nothing new.
    pub(super) fn is_moving(&self, partition: Partition) -> bool {
        self.moving.contains_key(&partition)
    }

    /// Begins to hand all partitions over.
    pub(super) fn stop(&mut self, now: Instant) {
        let _ = self.step_view(now, membership::Input::Leave);
        let _ = self.step_table(now, lease::Input::Stop);
    }

    /// Notes a partition that was acquired.
    pub(super) fn note_acquired(&mut self, acquired: Acquired) {
        let own = Own {
            acquired,
            is_open: false,
        };
        self.own.insert(acquired.partition, own);
    }

    /// Returns the ownership of a partition of this entry.
    pub(super) fn epoch(&self, partition: Partition) -> Option<Epoch> {
        self.own.get(&partition).map(|own| own.acquired.epoch)
    }

    /// Notes a partition that was lost.
    pub(super) fn note_lost(&mut self, partition: Partition) {
        self.own.remove(&partition);
        self.told.remove(&partition);
    }

    /// Returns the ownership that an opening record begins, unless it has begun or ended.
    pub(super) fn opening(&self, partition: Partition, epoch: Epoch) -> Option<Acquired> {
        let own = self.own.get(&partition)?;
        let is_due = !own.is_open && own.acquired.epoch == epoch;
        is_due.then_some(own.acquired)
    }

    /// Notes that a partition is acted on.
    pub(super) fn set_open(&mut self, partition: Partition) {
        if let Some(own) = self.own.get_mut(&partition) {
            own.is_open = true;
        }
    }

    /// Returns the request partitions whose owner the dispatch part is to be told anew.
    pub(super) fn changed_owners(&mut self, now: Instant) -> Vec<(Partition, Owner)> {
        let mut changes = Vec::new();
        let candidates = self.view.candidates();
        for partition in (0..self.partitions).map(Partition) {
            let Some(owner) = self.dispatch_owner(partition, now, &candidates) else {
                continue;
            };
            if self.told.insert(partition, owner) != Some(owner) {
                changes.push((partition, owner));
            }
        }
        changes
    }

    /// Returns the owner of a partition as the dispatch part needs it.
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

/// Returns a site as the request rules take it.
fn place(site: Site) -> Place {
    Place {
        region: site.region,
        data_centre: site.data_centre,
    }
}

/// Returns the data centres of the settings by name.
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

/// Returns where a data centre is.
pub(in crate::daemon) fn place_of(settings: &Settings, data_centre: &str) -> Place {
    let known = places(settings)
        .into_iter()
        .find(|place| place.name == data_centre);
    place(known.map_or(Site::UNKNOWN, |place| place.site))
}

/// Returns the other ends of links, as a list shows them.
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
