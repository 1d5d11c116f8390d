//! Which entries live and which partitions this entry owns.
//!
//! The view of the entries and the lease table stand here side by side: the view says who should
//! own a partition, the table who does. A partition that was acquired is first brought up to the
//! end of the work stream as of after the acquisition, because the former owner's last records may
//! not have been read yet; then it is open.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use crate::core::id::{DataCentre, Node, Partition, Region, Vm};
use crate::core::lease::{self, Acquired};
use crate::core::membership::{self, Site, View};
use crate::core::request::dispatcher::Owner;
use crate::core::request::route::Place;
use crate::core::time::{Instant, Stamp};
use crate::daemon::Context;
use crate::platform::vms::{List, Role};
use crate::settings::Settings;

/// How long an answer about the end of the work stream may take before it is asked for again.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// How far an acquired partition has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The end of the work stream is not known as of after the acquisition.
    AskEnd { acquired_at: Instant },
    /// The work stream is to be read up to this offset.
    CatchUp { end: u64 },
    /// The partition is acted on.
    Open,
}

/// A partition of this entry.
#[derive(Clone, Copy, Debug)]
struct Own {
    acquired: Acquired,
    stage: Stage,
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
    asked_end: Option<Instant>,
    is_ready: bool,
    /// When the live state of an open partition was last written anew.
    rewritten: HashMap<Partition, Instant>,
}

impl Tenure {
    /// Makes a tenure that knows nothing.
    pub(super) fn new(context: &Context) -> Tenure {
        let node = context.node();
        let settings = &context.settings;
        let partitions = settings.cell.request_partitions + settings.cell.worker_partitions;
        let duration = Duration::from_millis(settings.lease.duration_ms);
        let lease_settings = lease::Settings::builder().duration(duration).build();
        let view_settings = membership::Settings::builder().places(places(settings)).build();
        Tenure {
            node,
            partitions,
            view: View::new(node, view_settings),
            table: lease::Table::new(node, partitions, lease_settings),
            own: BTreeMap::new(),
            told: HashMap::new(),
            asked_end: None,
            is_ready: false,
            rewritten: HashMap::new(),
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
        if own.stage != Stage::Open || self.table.may_act(partition, now).is_none() {
            return None;
        }
        self.table.deadline(partition)
    }

    /// Returns whether the standbys have promised not to claim an open partition.
    pub(super) fn holds_promises(&self, partition: Partition, now: Instant) -> bool {
        self.table.holds_promises(partition, now)
    }

    /// Returns how many entries share the cell's rate of appends.
    pub(super) fn live_entries(&self) -> u32 {
        (self.view.candidates().len() as u32).max(1)
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
    pub(super) fn hear(&mut self, now: Instant, heartbeat: &membership::Heartbeat) -> Vec<membership::Output> {
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
    pub(super) fn deliver(&mut self, now: Instant, from: Node, message: &lease::Message) -> Vec<lease::Output> {
        self.step_table(now, lease::Input::Deliver { from, message })
    }

    /// Takes a record of the lease stream.
    pub(super) fn read(&mut self, now: Instant, offset: u64, record: &lease::Record) -> Vec<lease::Output> {
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
    pub(super) fn described(&mut self, now: Instant, partition: Partition) -> Vec<lease::Output> {
        self.step_table(now, lease::Input::Described(partition))
    }

    /// Lets time pass for the leases.
    pub(super) fn tick(&mut self, now: Instant, stamp: Stamp, is_log_up: bool) -> Vec<lease::Output> {
        let mut out = self.step_table(now, lease::Input::Log { up: is_log_up });
        out.extend(self.step_table(now, lease::Input::Tick(stamp)));
        out
    }

    /// Begins to hand all partitions over.
    pub(super) fn stop(&mut self, now: Instant) {
        let _ = self.step_view(now, membership::Input::Leave);
        let _ = self.step_table(now, lease::Input::Stop);
    }

    /// Notes a partition that was acquired.
    pub(super) fn note_acquired(&mut self, now: Instant, acquired: Acquired) {
        let stage = Stage::AskEnd { acquired_at: now };
        self.own.insert(acquired.partition, Own { acquired, stage });
    }

    /// Notes a partition that was lost.
    pub(super) fn note_lost(&mut self, partition: Partition) {
        self.own.remove(&partition);
        self.told.remove(&partition);
        self.rewritten.remove(&partition);
    }

    /// Returns whether the end of the work stream should be asked for now.
    pub(super) fn wants_end(&mut self, now: Instant) -> bool {
        let is_wanted = self.own.values().any(|own| matches!(own.stage, Stage::AskEnd { .. }));
        let is_asked = self.asked_end.is_some_and(|asked| now.since(asked) < END_TIMEOUT);
        if !is_wanted || is_asked {
            return false;
        }
        self.asked_end = Some(now);
        true
    }

    /// Notes where the work stream ended when it was asked for at `asked`.
    pub(super) fn note_end(&mut self, asked: Instant, end: u64) {
        self.asked_end = None;
        for own in self.own.values_mut() {
            if matches!(own.stage, Stage::AskEnd { acquired_at } if acquired_at <= asked) {
                own.stage = Stage::CatchUp { end };
            }
        }
    }

    /// Returns the partitions whose records are read, now that `next` is the next offset.
    pub(super) fn take_caught_up(&self, next: u64) -> Vec<Acquired> {
        let is_caught_up = |own: &&Own| matches!(own.stage, Stage::CatchUp { end } if end <= next);
        self.own.values().filter(is_caught_up).map(|own| own.acquired).collect()
    }

    /// Notes that a partition is acted on.
    pub(super) fn set_open(&mut self, partition: Partition, now: Instant) {
        if let Some(own) = self.own.get_mut(&partition) {
            own.stage = Stage::Open;
            self.rewritten.insert(partition, now);
        }
    }

    /// Returns whether a partition belongs to this entry, open or not.
    pub(super) fn is_own(&self, partition: Partition) -> bool {
        self.own.contains_key(&partition)
    }

    /// Returns open partitions whose live state is due to be written anew after `period`.
    pub(super) fn take_rewrites(&mut self, now: Instant, period: Duration) -> Vec<Partition> {
        let due = self.rewritten.iter().filter(|(_, at)| now.since(**at) >= period);
        let due: Vec<Partition> = due.map(|(&partition, _)| partition).collect();
        for &partition in &due {
            self.rewritten.insert(partition, now);
        }
        due
    }

    /// Returns the request partitions whose owner the dispatch part is to be told anew.
    pub(super) fn changed_owners(&mut self, now: Instant) -> Vec<(Partition, Option<Owner>)> {
        let mut changes = Vec::new();
        for partition in (0..self.partitions).map(Partition) {
            let owner = self.dispatch_owner(partition, now);
            if owner != self.told.get(&partition).copied() {
                match owner {
                    Some(owner) => self.told.insert(partition, owner),
                    None => self.told.remove(&partition),
                };
                changes.push((partition, owner));
            }
        }
        changes
    }

    /// Returns the owner of a partition as the dispatch part needs it.
    fn dispatch_owner(&self, partition: Partition, now: Instant) -> Option<Owner> {
        let node = self.table.owner(partition)?;
        let until = if node == self.node { self.deadline(partition, now)? } else { Instant(0) };
        let candidates = self.view.candidates();
        let site = candidates.iter().find(|candidate| candidate.node == node)?.site;
        Some(Owner { node, place: place(site), until })
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
    Place { region: site.region, data_centre: site.data_centre }
}

/// Returns the data centres of the settings by name.
fn places(settings: &Settings) -> Vec<membership::Place> {
    let mut places = Vec::new();
    for (region, entry) in settings.cell.regions.iter().enumerate() {
        for name in &entry.data_centres {
            let site = Site { data_centre: DataCentre(places.len() as u16), region: Region(region as u16) };
            places.push(membership::Place { name: name.clone(), site });
        }
    }
    places
}

/// Returns where a data centre is.
pub(in crate::daemon) fn place_of(settings: &Settings, data_centre: &str) -> Place {
    let known = places(settings).into_iter().find(|place| place.name == data_centre);
    place(known.map_or(Site::UNKNOWN, |place| place.site))
}

/// Returns where the entries of a list answer.
pub(super) fn addresses(list: &List) -> HashMap<Vm, SocketAddr> {
    let entries = list.vms.iter().filter(|vm| vm.role == Role::Entry);
    entries.map(|vm| (Vm(vm.id), vm.address)).collect()
}
