//! Entries with the real decision code among fakes of the network, the log, leases and targets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use laburnumplank::core::error::{Error, Kind};
use laburnumplank::core::id::{Caller, DataCentre, Incarnation, Key, Node, Partition, Region};
use laburnumplank::core::id::{Target, Vm};
use laburnumplank::core::request::dedup::{
    self, Acquired, How, Now, Record, Serial, Standing, Term,
};
use laburnumplank::core::request::dispatcher::{
    Input, Listed, Listing, Output, Owner, Reply, Report, Verdict,
};
use laburnumplank::core::request::link::{self, Attempt, Connection};
use laburnumplank::core::request::retry;
use laburnumplank::core::request::route::{Partitions, Place};
use laburnumplank::core::request::slot::{self, Ask, Capacity, Grantor, Member};
use laburnumplank::core::request::{Answer, Call, Dispatcher, Id, Origin, Safety, Settings};
use laburnumplank::core::time::{Instant, Stamp};
use laburnumplank::core::workload::Priority;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use uuid::Uuid;

use super::oracle::Oracle;

/// How late a final answer may be, for hops inside a process and the step of time.
pub(super) const GRACE: Duration = Duration::from_millis(40);
const ENTRIES: usize = 4;
const TARGETS: u32 = 3;
const CAPACITY: Capacity = Capacity {
    slots: 2,
    connections: 8,
};
const PARTITIONS: u16 = 2;
const STEP: Duration = Duration::from_millis(10);
const LEASE: Duration = Duration::from_millis(1500);
const CLAIM_MARGIN: Duration = Duration::from_millis(100);
const SKEW: Duration = Duration::from_millis(400);
const EPOCH: u64 = 1_700_000_000_000;

/// Mechanisms, each of which a test may switch off.
#[derive(Clone, Copy, Debug)]
pub(super) struct Switches {
    pub(super) dedup: dedup::Rules,
    pub(super) slot: slot::Rules,
    pub(super) link: link::Rules,
    pub(super) retry: retry::Rules,
}

impl Default for Switches {
    fn default() -> Switches {
        Switches {
            dedup: dedup::Rules {
                skew: SKEW,
                retention: Duration::from_secs(60),
                watermark_lag: Duration::from_millis(300),
                watermark_interval: Duration::from_millis(200),
                ..dedup::Rules::default()
            },
            slot: slot::Rules {
                span: Duration::from_millis(800),
                longest: Duration::from_secs(1),
                renewal: Duration::from_millis(200),
                ..slot::Rules::default()
            },
            link: link::Rules {
                heartbeat: Duration::from_millis(100),
                silence: Duration::from_millis(400),
                linger: Duration::from_millis(1500),
                ..link::Rules::default()
            },
            retry: retry::Rules::default(),
        }
    }
}

/// Something that happens to the world.
#[derive(Clone, Debug)]
pub(super) enum Op {
    Submit {
        entry: usize,
        key: KeyChoice,
        span_ms: u64,
        bulk: bool,
    },
    Cancel,
    /// Kills the owner of the newest key.
    KillOwner,
    /// Pauses the owner of the newest key.
    PauseOwner,
    /// Hands a partition over to a standby, if its owner may do so.
    HandOver {
        partition: usize,
    },
    /// Ends all faults of processes, the network and the log.
    Heal,
    Advance {
        ms: u64,
    },
    Kill {
        entry: usize,
    },
    Restart {
        entry: usize,
    },
    Pause {
        entry: usize,
    },
    Resume {
        entry: usize,
    },
    Silence {
        entry: usize,
        target: u32,
    },
    Cut {
        one: usize,
        other: usize,
        is_cut: bool,
    },
    Log {
        is_up: bool,
    },
    LoseAppendAnswers {
        is_lost: bool,
    },
    Leave {
        target: u32,
        is_leaving: bool,
    },
    Faulty {
        target: u32,
        is_faulty: bool,
    },
}

/// The key of a submitted request.
#[derive(Clone, Debug)]
pub(super) enum KeyChoice {
    /// None: the request is idempotent.
    Idempotent,
    /// A new key, created this many milliseconds from now.
    New { ahead_ms: i64 },
    /// One of the newest keys, counted backwards.
    Old { back: usize },
}

/// A message or an event that takes time.
#[derive(Clone)]
enum Event {
    Dispatcher(Input),
    Table(Partition, Term, dedup::Input),
    Forward {
        from: usize,
        incarnation: u64,
        id: Id,
        call: Call,
    },
    Ask {
        partition: Partition,
        from: usize,
        ask: Ask,
    },
    Request {
        from: usize,
        target: Target,
        connection: Connection,
        attempt: Attempt,
        span: Duration,
    },
    Land {
        partition: Partition,
        term: Term,
        from: usize,
        serial: Serial,
        record: Record,
    },
}

/// One running process.
struct Entry {
    incarnation: u64,
    is_alive: bool,
    is_paused: bool,
    dispatcher: Dispatcher<Pcg32>,
    tables: BTreeMap<Partition, (Term, dedup::Table)>,
    grantors: BTreeMap<Target, Grantor>,
    held: Vec<Event>,
    /// Requests of other entries: who forwarded them and under which id.
    peers: BTreeMap<Id, (usize, u64, Id)>,
    /// Appends that wait for the log.
    appends: Vec<(Partition, Term, Serial, Record)>,
    /// How far the wall clock is ahead, less half of the skew bound.
    ahead: Duration,
}

/// The lease of one partition, as the log and the standbys know it.
struct Lease {
    owner: usize,
    incarnation: u64,
    standbys: Vec<(usize, u64)>,
    term: Term,
    until: Instant,
    has_promised: bool,
}

/// A request at a target.
struct Run {
    from: usize,
    incarnation: u64,
    connection: Connection,
    attempt: Attempt,
    key: Option<Key>,
    ends: Instant,
}

/// A fake target.
#[derive(Default)]
struct Runner {
    runs: Vec<Run>,
    /// Open connections and when the target drops them, if ever.
    connections: BTreeMap<(usize, u64, Connection), Option<Instant>>,
    silent: Vec<(usize, u64, Connection)>,
    is_leaving: bool,
    left_at: Option<Instant>,
    is_faulty: bool,
}

pub(super) struct World {
    switches: Switches,
    pub(super) now: Instant,
    random: Pcg32,
    entries: Vec<Entry>,
    runners: Vec<Runner>,
    leases: Vec<Lease>,
    streams: Vec<Vec<Record>>,
    log_up: bool,
    loses_answers: bool,
    pub(super) longest_run: Duration,
    cuts: Vec<(usize, usize)>,
    /// Events by time and order, with the process that they are for.
    events: BTreeMap<(Instant, u64), (usize, u64, Event)>,
    order: u64,
    list_version: u64,
    keys: Vec<Key>,
    calls: BTreeMap<Id, Call>,
    /// Requests whose answer was decided by another entry.
    relayed: BTreeSet<Id>,
    incarnations: u64,
    pub(super) oracle: Oracle,
}

/// Returns the answer that a target gives to a request.
pub(super) fn body_of(id: Id, key: Option<Key>) -> Bytes {
    match key {
        Some(key) => Bytes::from(key.to_string()),
        None => Bytes::from(id.0.to_string()),
    }
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl World {
    pub(super) fn new(seed: u64, switches: Switches) -> World {
        let mut world = World {
            switches,
            now: Instant(10_000_000),
            random: Pcg32::seed_from_u64(seed),
            entries: Vec::new(),
            runners: (0..TARGETS).map(|_| Runner::default()).collect(),
            leases: Vec::new(),
            streams: vec![Vec::new(); usize::from(PARTITIONS)],
            log_up: true,
            loses_answers: false,
            longest_run: millis(300),
            cuts: Vec::new(),
            events: BTreeMap::new(),
            order: 0,
            list_version: 0,
            keys: Vec::new(),
            calls: BTreeMap::new(),
            relayed: BTreeSet::new(),
            incarnations: 0,
            oracle: Oracle::default(),
        };
        for index in 0..ENTRIES {
            let entry = world.start(index);
            world.entries.push(entry);
        }
        for index in 0..usize::from(PARTITIONS) {
            world.first_lease(index);
        }
        for index in 0..ENTRIES {
            world.introduce(index);
        }
        world.advance(millis(500));
        world
    }

    pub(super) fn apply(&mut self, op: &Op) {
        match *op {
            Op::Submit {
                entry,
                ref key,
                span_ms,
                bulk,
            } => self.submit(entry, key, span_ms, bulk),
            Op::Cancel => self.cancel(),
            Op::KillOwner => self.kill(self.owner_of_newest()),
            Op::PauseOwner => self.pause(self.owner_of_newest()),
            Op::HandOver { partition } => self.hand_over(partition),
            Op::Heal => self.heal(),
            Op::Advance { ms } => self.advance(millis(ms)),
            Op::Kill { entry } => self.kill(entry),
            Op::Restart { entry } => self.restart(entry),
            Op::Pause { entry } => self.pause(entry),
            Op::Resume { entry } => self.resume(entry),
            Op::Silence { entry, target } => self.silence(entry, target),
            Op::Cut { one, other, is_cut } => {
                self.cuts
                    .retain(|cut| *cut != (one, other) && *cut != (other, one));
                if is_cut {
                    self.cuts.push((one, other));
                }
            }
            Op::Log { is_up } => self.log_up = is_up,
            Op::LoseAppendAnswers { is_lost } => self.loses_answers = is_lost,
            Op::Leave { target, is_leaving } => self.leave(target, is_leaving),
            Op::Faulty { target, is_faulty } => {
                self.runners[target as usize].is_faulty = is_faulty;
            }
        }
    }

    /// Lets time pass in small steps.
    pub(super) fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver();
            self.end_runs();
            self.renew_leases();
            self.tick();
            self.oracle.check_deadlines(self.now);
        }
    }

    /// Returns the entry that owns the newest key.
    fn owner_of_newest(&self) -> usize {
        let partition = self
            .keys
            .last()
            .map(|key| Partitions(PARTITIONS).of_key(*key).0);
        self.leases[usize::from(partition.unwrap_or(0))].owner
    }

    fn heal(&mut self) {
        self.log_up = true;
        self.loses_answers = false;
        self.cuts.clear();
        for index in 0..ENTRIES {
            self.resume(index);
            self.restart(index);
        }
    }

    fn start(&mut self, index: usize) -> Entry {
        self.incarnations += 1;
        let settings = Settings::builder()
            .partitions(Partitions(PARTITIONS))
            .slot(self.switches.slot)
            .link(self.switches.link)
            .retry(self.switches.retry)
            .build();
        let node = node(index, self.incarnations);
        let member = Member { node, thread: 0 };
        let random = Pcg32::seed_from_u64(self.random.random());
        Entry {
            incarnation: self.incarnations,
            is_alive: true,
            is_paused: false,
            dispatcher: Dispatcher::new(settings, member, place(index), random),
            tables: BTreeMap::new(),
            grantors: BTreeMap::new(),
            held: Vec::new(),
            peers: BTreeMap::new(),
            appends: Vec::new(),
            ahead: self.random_span(SKEW),
        }
    }

    /// Tells a new process the targets and the owners.
    fn introduce(&mut self, index: usize) {
        let listed = self.listing();
        self.input(index, Input::Targets(listed));
        for partition in 0..self.leases.len() {
            let owner = self.owner(partition);
            self.input(index, Input::Owner(Partition(partition as u16), owner));
        }
    }

    fn first_lease(&mut self, partition: usize) {
        let lease = Lease {
            owner: partition,
            incarnation: self.entries[partition].incarnation,
            standbys: self.others(partition),
            term: Term(1),
            until: self.now + LEASE,
            has_promised: false,
        };
        self.leases.push(lease);
        self.acquire(partition, How::First, None);
    }

    /// Names two standbys for an owner.
    fn others(&self, owner: usize) -> Vec<(usize, u64)> {
        let others = (1..ENTRIES).map(|step| (owner + step) % ENTRIES);
        let living = others.filter(|index| self.entries[*index].is_alive);
        let living = living.map(|index| (index, self.entries[index].incarnation));
        living.take(2).collect()
    }

    fn owner(&self, partition: usize) -> Owner {
        let lease = &self.leases[partition];
        Owner {
            term: lease.term,
            node: node(lease.owner, lease.incarnation),
            place: place(lease.owner),
            until: lease.until,
        }
    }

    /// Gives the process that holds the lease its table and its grantors.
    fn acquire(&mut self, partition: usize, how: How, before: Option<Term>) {
        let index = self.leases[partition].owner;
        let term = self.leases[partition].term;
        let acquired = Acquired { term, before, how };
        let mut out = Vec::new();
        let rules = self.switches.dedup;
        let now = self.clock(index);
        let table = dedup::recover(rules, now, &self.streams[partition], acquired, &mut out);
        let id = Partition(partition as u16);
        self.entries[index].tables.insert(id, (term, table));
        for target in (0..TARGETS).map(Target) {
            if Partitions(PARTITIONS).of_target(target) == id {
                let grantor = match how {
                    How::First => Grantor::first(self.switches.slot, CAPACITY),
                    _ => Grantor::after_takeover(self.now, self.switches.slot, CAPACITY),
                };
                self.entries[index].grantors.insert(target, grantor);
            }
        }
        self.table_outputs(index, id, term, out);
        self.stand(partition, false);
    }

    /// Tells the owner until when it owns the partition.
    fn stand(&mut self, partition: usize, promised: bool) {
        let (index, until) = (self.leases[partition].owner, self.leases[partition].until);
        let id = Partition(partition as u16);
        for (target, grantor) in &mut self.entries[index].grantors {
            if Partitions(PARTITIONS).of_target(*target) == id {
                grantor.extend(until);
            }
        }
        let standing = Standing {
            until,
            log_up: self.log_up,
            promised,
        };
        self.table_input(index, id, dedup::Input::Standing(standing));
        let owner = self.owner(partition);
        self.input(index, Input::Owner(id, owner));
    }

    /// Renews leases that have used up a third, and lets others claim lapsed ones.
    fn renew_leases(&mut self) {
        for partition in 0..self.leases.len() {
            let lease = &self.leases[partition];
            let entry = &self.entries[lease.owner];
            let is_same = entry.is_alive && entry.incarnation == lease.incarnation;
            let is_living = is_same && !entry.is_paused && self.now < lease.until;
            if is_living && self.now + LEASE - LEASE / 3 > lease.until {
                self.renew(partition);
            } else if self.now > lease.until + CLAIM_MARGIN && self.log_up {
                self.claim(partition);
            }
        }
    }

    fn renew(&mut self, partition: usize) {
        let lease = &self.leases[partition];
        let id = Partition(partition as u16);
        let undescribed = self.entries[lease.owner].tables[&id].1.undescribed();
        if self.log_up && undescribed == 0 {
            self.leases[partition].until = self.now + LEASE;
            self.leases[partition].has_promised = false;
            return self.stand(partition, false);
        }
        let owner = lease.owner;
        let promises = |&(index, incarnation): &(usize, u64)| {
            let entry = &self.entries[index];
            let is_same = entry.incarnation == incarnation;
            let is_cut = self.is_cut(owner, index);
            is_same && entry.is_alive && !entry.is_paused && !is_cut
        };
        if lease.standbys.len() == 2 && lease.standbys.iter().all(promises) {
            self.leases[partition].until = self.now + LEASE;
            self.leases[partition].has_promised = true;
            self.stand(partition, true);
        }
    }

    /// Lets a living standby claim a lapsed lease, or anyone when all three are gone.
    fn claim(&mut self, partition: usize) {
        let lease = &self.leases[partition];
        let can_act = |index: usize| self.entries[index].is_alive && !self.entries[index].is_paused;
        let is_here = |&(index, incarnation): &(usize, u64)| {
            self.entries[index].is_alive && self.entries[index].incarnation == incarnation
        };
        let mut standbys = lease.standbys.iter().filter(|standby| is_here(standby));
        let standby = standbys.find(|standby| can_act(standby.0)).copied();
        let are_gone = !lease.standbys.iter().any(is_here);
        let is_gone = are_gone && !is_here(&(lease.owner, lease.incarnation));
        let outsider = (0..ENTRIES)
            .find(|index| can_act(*index))
            .filter(|_| is_gone);
        let promised = lease.has_promised;
        let (index, how) = match (standby, outsider) {
            (Some((index, _)), _) => (index, How::Standby { promised }),
            (None, Some(index)) => (index, How::Outsider),
            (None, None) => return,
        };
        self.take_over(partition, index, how);
    }

    /// Gives the lease to another process and tells all others in time.
    fn take_over(&mut self, partition: usize, index: usize, how: How) {
        let before = self.leases[partition].term;
        self.leases[partition] = Lease {
            owner: index,
            incarnation: self.entries[index].incarnation,
            standbys: self.others(index),
            term: Term(before.0 + 1),
            until: self.now + LEASE,
            has_promised: false,
        };
        self.acquire(partition, how, Some(before));
        let owner = self.owner(partition);
        for other in (0..ENTRIES).filter(|other| *other != index) {
            let event = Event::Dispatcher(Input::Owner(Partition(partition as u16), owner));
            let delay = self.random_span(millis(300));
            self.schedule(delay, other, event);
        }
    }

    /// The owner ends its ownership once all its runs are in the log, and a standby goes on.
    fn hand_over(&mut self, partition: usize) {
        let lease = &self.leases[partition];
        let (owner, id) = (lease.owner, Partition(partition as u16));
        let is_same = self.entries[owner].incarnation == lease.incarnation;
        let is_living = is_same && self.is_running(owner) && self.now < lease.until;
        let standby = lease.standbys.iter().find(|(index, incarnation)| {
            self.is_running(*index) && self.entries[*index].incarnation == *incarnation
        });
        let Some((next, _)) = standby.copied() else {
            return;
        };
        if !is_living || !self.log_up || self.entries[owner].tables[&id].1.undescribed() > 0 {
            return;
        }
        self.leases[partition].until = self.now;
        self.stand(partition, false);
        self.take_over(partition, next, How::Handover);
    }

    fn submit(&mut self, entry: usize, choice: &KeyChoice, span_ms: u64, bulk: bool) {
        if !self.is_running(entry) {
            return;
        }
        self.order += 1;
        let id = Id(self.order);
        let safety = match self.key(choice) {
            None => Safety::Idempotent,
            Some(key) => Safety::AtMostOnce {
                key,
                fingerprint: 1,
            },
        };
        let call = Call {
            id,
            caller: Caller(format!("caller{}", id.0 % 3)),
            priority: if bulk {
                Priority::Bulk
            } else {
                Priority::Lookup
            },
            safety,
            origin: Origin::Caller,
            deadline: self.now + millis(span_ms),
            size: 100,
        };
        self.calls.insert(id, call.clone());
        self.oracle.submitted(entry, &call);
        self.input(entry, Input::Arrived(call));
    }

    fn key(&mut self, choice: &KeyChoice) -> Option<Key> {
        match *choice {
            KeyChoice::Idempotent => None,
            KeyChoice::New { ahead_ms } => {
                let now = EPOCH + self.now.0 / 1000 + SKEW.as_millis() as u64 / 2;
                let stamp = now.saturating_add_signed(ahead_ms);
                let low: u64 = self.random.random();
                let value = (u128::from(stamp) << 80) | (0x7 << 76) | (0x8 << 60);
                let key = Key(Uuid::from_u128(value | u128::from(low >> 4)));
                self.keys.push(key);
                Some(key)
            }
            KeyChoice::Old { back } => {
                let index = self.keys.len().checked_sub(back + 1)?;
                Some(self.keys[index])
            }
        }
    }

    fn cancel(&mut self) {
        let Some((&id, _)) = self.calls.last_key_value() else {
            return;
        };
        for index in 0..ENTRIES {
            if self.is_running(index) {
                self.input(index, Input::Canceled(id));
            }
        }
    }

    fn kill(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry.is_alive = false;
        entry.is_paused = false;
        entry.held.clear();
        entry.appends.clear();
        let incarnation = entry.incarnation;
        self.oracle.excuse(index);
        let gone = self.now + self.switches.link.linger;
        for runner in &mut self.runners {
            for ((from, of, _), drop) in &mut runner.connections {
                if (*from, *of) == (index, incarnation) {
                    *drop = Some(gone);
                }
            }
        }
    }

    fn restart(&mut self, index: usize) {
        if !self.entries[index].is_alive {
            let entry = self.start(index);
            self.entries[index] = entry;
            self.introduce(index);
        }
    }

    fn pause(&mut self, index: usize) {
        if self.entries[index].is_alive {
            self.entries[index].is_paused = true;
            self.oracle.excuse(index);
        }
    }

    fn resume(&mut self, index: usize) {
        if !self.entries[index].is_paused {
            return;
        }
        self.entries[index].is_paused = false;
        let incarnation = self.entries[index].incarnation;
        for event in std::mem::take(&mut self.entries[index].held) {
            self.handle(index, incarnation, event);
        }
    }

    /// Makes the present connections of an entry to a target silent.
    fn silence(&mut self, index: usize, target: u32) {
        let runner = &mut self.runners[target as usize];
        let open = runner.connections.keys().copied();
        let own = open.filter(|(from, _, _)| *from == index);
        runner.silent.extend(own.collect::<Vec<_>>());
    }

    fn leave(&mut self, target: u32, is_leaving: bool) {
        self.runners[target as usize].is_leaving = is_leaving;
        self.runners[target as usize].left_at = is_leaving.then_some(self.now);
        self.list_version += 1;
        let listed = self.listing();
        for index in 0..ENTRIES {
            let delay = self.random_span(millis(200));
            self.schedule(
                delay,
                index,
                Event::Dispatcher(Input::Targets(listed.clone())),
            );
        }
    }

    fn listing(&self) -> Listing {
        let runners = self.runners.iter().enumerate();
        let listed = runners.map(|(index, runner)| Listed {
            target: Target(index as u32),
            place: place(index),
            capacity: CAPACITY,
            is_leaving: runner.is_leaving,
        });
        Listing {
            version: self.list_version,
            targets: listed.collect(),
        }
    }

    fn tick(&mut self) {
        for index in 0..ENTRIES {
            if !self.is_running(index) {
                continue;
            }
            self.input(index, Input::Tick);
            let partitions: Vec<Partition> = self.entries[index].tables.keys().copied().collect();
            for partition in partitions {
                self.table_input(index, partition, dedup::Input::Tick);
            }
            self.append(index);
        }
    }

    /// Sends waiting appends while the log is up.
    fn append(&mut self, index: usize) {
        if !self.log_up {
            return;
        }
        for (partition, term, serial, record) in std::mem::take(&mut self.entries[index].appends) {
            let is_slow = self.random.random_ratio(1, 12);
            let delay = self.random_span(if is_slow { millis(1500) } else { millis(25) });
            let event = Event::Land {
                partition,
                term,
                from: index,
                serial,
                record,
            };
            self.schedule(delay, index, event);
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (index, incarnation, event) = entry.remove();
            self.handle(index, incarnation, event);
        }
    }

    fn schedule(&mut self, delay: Duration, index: usize, event: Event) {
        self.order += 1;
        let incarnation = self.entries[index].incarnation;
        let at = self.now + delay;
        self.events
            .insert((at, self.order), (index, incarnation, event));
    }

    /// Handles an event for a process, unless it is paused or another process by now.
    fn handle(&mut self, index: usize, incarnation: u64, event: Event) {
        match event {
            Event::Land {
                partition,
                term,
                from,
                serial,
                record,
            } => {
                return self.land(partition, term, from, incarnation, serial, record);
            }
            Event::Request {
                from,
                target,
                connection,
                attempt,
                span,
            } => {
                return self.receive((from, incarnation, connection), target, attempt, span);
            }
            _ => {}
        }
        let entry = &mut self.entries[index];
        if !entry.is_alive || entry.incarnation != incarnation {
            return;
        }
        if entry.is_paused {
            return entry.held.push(event);
        }
        match event {
            Event::Dispatcher(input) => {
                if let Input::Returned(id, _) = &input {
                    self.relayed.insert(*id);
                }
                self.input(index, input);
            }
            Event::Table(partition, term, input) => {
                let known = self.entries[index].tables.get(&partition);
                if known.is_some_and(|(own, _)| *own == term) {
                    self.table_input(index, partition, input);
                }
            }
            Event::Forward {
                from,
                incarnation,
                id,
                call,
            } => {
                self.entries[index]
                    .peers
                    .insert(call.id, (from, incarnation, id));
                self.calls.insert(call.id, call.clone());
                self.input(index, Input::Arrived(call));
            }
            Event::Ask {
                partition,
                from,
                ask,
            } => self.ask(index, partition, from, &ask),
            Event::Land { .. } | Event::Request { .. } => {}
        }
    }

    fn ask(&mut self, index: usize, _partition: Partition, from: usize, ask: &Ask) {
        let now = self.now;
        let grantor = self.entries[index].grantors.get_mut(&ask.target);
        let Some(grant) = grantor.and_then(|grantor| grantor.ask(now, ask)) else {
            return;
        };
        if self.is_cut(index, from) || self.random.random_ratio(1, 20) {
            return;
        }
        for _ in 0..self.random.random_range(1..=2) {
            let is_late = self.random.random_ratio(1, 10);
            let delay = self.random_span(millis(if is_late { 900 } else { 10 }));
            self.schedule(
                delay,
                from,
                Event::Dispatcher(Input::Granted(grant.clone())),
            );
        }
    }

    /// An append takes effect; its answer may be lost, and then it is sent again.
    fn land(
        &mut self,
        partition: Partition,
        term: Term,
        from: usize,
        incarnation: u64,
        serial: Serial,
        record: Record,
    ) {
        let is_taken = self.log_up || self.random.random_bool(0.5);
        if is_taken {
            self.streams[usize::from(partition.0)].push(record.clone());
            for (own, table) in self
                .entries
                .iter_mut()
                .filter_map(|entry| entry.tables.get_mut(&partition))
            {
                if *own > term {
                    let now = Now {
                        instant: self.now,
                        stamp: Stamp(EPOCH),
                    };
                    table.step(now, dedup::Input::Read(record.clone()), &mut Vec::new());
                }
            }
        }
        let is_lost = !is_taken || !self.log_up || self.loses_answers;
        let entry = &mut self.entries[from];
        let is_same = entry.is_alive && entry.incarnation == incarnation;
        if is_lost && is_same && is_taken && self.random.random_bool(0.8) {
            let delay = self.random_span(millis(400));
            let event = Event::Land {
                partition,
                term,
                from,
                serial,
                record,
            };
            self.schedule(delay, from, event);
        } else if is_lost && is_same {
            entry.appends.push((partition, term, serial, record));
        } else if is_same {
            let delay = self.random_span(millis(5));
            self.schedule(
                delay,
                from,
                Event::Table(partition, term, dedup::Input::Durable(serial)),
            );
        }
    }

    /// Gives an input to a dispatcher and carries out what it wants.
    fn input(&mut self, index: usize, input: Input) {
        let mut out = Vec::new();
        let now = self.now;
        if let Input::Owner(partition, owner) = &input {
            self.forget_lost(index, *partition, owner);
        }
        self.entries[index].dispatcher.step(now, input, &mut out);
        for output in out {
            self.output(index, output);
        }
    }

    /// A process drops its table and grantors when it learns of another owner.
    fn forget_lost(&mut self, index: usize, partition: Partition, owner: &Owner) {
        let entry = &mut self.entries[index];
        let own = entry.tables.get(&partition).map(|(term, _)| *term);
        if own.is_some_and(|own| own >= owner.term) {
            return;
        }
        entry.tables.remove(&partition);
        let of_target = |target: &Target| Partitions(PARTITIONS).of_target(*target);
        entry
            .grantors
            .retain(|target, _| of_target(target) != partition);
    }

    fn output(&mut self, index: usize, output: Output) {
        match output {
            Output::Answer(id, answer) => self.answer(index, id, answer),
            Output::Forward(id, node) => self.forward(index, id, node),
            Output::Admit(partition, submission) => {
                self.tell_table(index, partition, dedup::Input::Submit(submission));
            }
            Output::Report {
                partition,
                id,
                key,
                report,
            } => {
                let input = match report {
                    Report::Finished(outcome) => dedup::Input::Finished { id, key, outcome },
                    Report::GaveUp(answer) => dedup::Input::GaveUp { id, key, answer },
                    Report::Left => dedup::Input::Left { id, key },
                };
                self.tell_table(index, partition, input);
            }
            Output::Ask(partition, ask) => {
                let to = self.leases[usize::from(partition.0)].owner;
                if !self.is_cut(index, to) && !self.random.random_ratio(1, 20) {
                    let delay = self.random_span(millis(10));
                    self.schedule(
                        delay,
                        to,
                        Event::Ask {
                            partition,
                            from: index,
                            ask,
                        },
                    );
                }
            }
            Output::Open(target, connection) => self.open(index, target, connection),
            Output::Send {
                target,
                connection,
                attempt,
                until,
            } => {
                let span = until.since(self.now);
                let delay = self.random_span(millis(20));
                let event = Event::Request {
                    from: index,
                    target,
                    connection,
                    attempt,
                    span,
                };
                self.schedule(delay, index, event);
            }
            Output::Ping(target, connection) => self.ping(index, target, connection),
            Output::Close(target, connection) => {
                let own = (index, self.entries[index].incarnation, connection);
                let runner = &mut self.runners[target.0 as usize];
                if runner.silent.contains(&own) {
                    let gone = self.now + self.switches.link.linger;
                    runner.connections.insert(own, Some(gone));
                } else {
                    runner.connections.remove(&own);
                }
            }
            Output::Drained => {}
        }
    }

    fn answer(&mut self, index: usize, id: Id, answer: Answer) {
        let key = self.calls[&id].key();
        if !self.relayed.remove(&id) {
            self.oracle.decided(key, &answer);
        }
        let Some((from, incarnation, own)) = self.entries[index].peers.remove(&id) else {
            return self.oracle.answered(self.now, id, &answer);
        };
        if self.is_cut(index, from) || self.entries[from].incarnation != incarnation {
            return;
        }
        let delay = self.random_span(millis(5));
        self.schedule(delay, from, Event::Dispatcher(Input::Returned(own, answer)));
    }

    fn forward(&mut self, index: usize, id: Id, node: Node) {
        let to = node.vm.0 as usize;
        let is_same = self.entries[to].incarnation == node.incarnation.0;
        if self.is_cut(index, to) || !is_same || !self.entries[to].is_alive {
            let delay = self.random_span(millis(50));
            return self.schedule(delay, index, Event::Dispatcher(Input::ForwardFailed(id)));
        }
        self.order += 1;
        let call = Call {
            id: Id(self.order),
            origin: Origin::Peer,
            ..self.calls[&id].clone()
        };
        let incarnation = self.entries[index].incarnation;
        let delay = self.random_span(millis(8));
        let event = Event::Forward {
            from: index,
            incarnation,
            id,
            call,
        };
        self.schedule(delay, to, event);
    }

    /// Opens a connection at a target, which must not exceed what the target accepts.
    fn open(&mut self, index: usize, target: Target, connection: Connection) {
        let incarnation = self.entries[index].incarnation;
        let runner = &mut self.runners[target.0 as usize];
        runner
            .connections
            .insert((index, incarnation, connection), None);
        if runner.connections.len() > CAPACITY.connections as usize {
            self.oracle
                .violations
                .push(format!("{target:?} has too many connections"));
        }
    }

    fn ping(&mut self, index: usize, target: Target, connection: Connection) {
        let own = (index, self.entries[index].incarnation, connection);
        if !self.runners[target.0 as usize].silent.contains(&own) {
            let delay = self.random_span(millis(10));
            self.schedule(
                delay,
                index,
                Event::Dispatcher(Input::Heard { target, connection }),
            );
        }
    }

    /// A request reaches a target.
    fn receive(
        &mut self,
        at: (usize, u64, Connection),
        target: Target,
        attempt: Attempt,
        span: Duration,
    ) {
        let (from, incarnation, connection) = at;
        let is_faulty = self.runners[target.0 as usize].is_faulty;
        let is_silent = self.runners[target.0 as usize].silent.contains(&at);
        let is_refused = self.random.random_ratio(1, 15);
        let takes = self.random_span(self.longest_run).min(span);
        let runner = &mut self.runners[target.0 as usize];
        if is_silent {
            return;
        }
        let left = runner
            .left_at
            .is_some_and(|left| self.now > left + millis(3000));
        if left {
            self.oracle
                .violations
                .push(format!("{target:?} got work after it left"));
        }
        if is_refused || is_faulty {
            let reply = match is_refused {
                true => Reply::Refused,
                false => Reply::Failed(Error::new(Kind::TargetFailed, "it fails everything")),
            };
            if let (false, Some(key)) = (is_refused, self.calls[&attempt.request].key()) {
                self.oracle.ran(key);
            }
            return self.reply(from, incarnation, target, connection, attempt, &reply);
        }
        let key = self.calls[&attempt.request].key();
        let ends = self.now + takes;
        runner.runs.push(Run {
            from,
            incarnation,
            connection,
            attempt,
            key,
            ends,
        });
        if runner.runs.len() > CAPACITY.slots as usize {
            self.oracle
                .violations
                .push(format!("{target:?} has too many requests"));
        }
        if let Some(key) = key {
            self.oracle.ran(key);
        }
    }

    fn end_runs(&mut self) {
        for index in 0..self.runners.len() {
            let now = self.now;
            let runner = &mut self.runners[index];
            runner
                .connections
                .retain(|_, drop| drop.is_none_or(|drop| now < drop));
            let (ended, going) = std::mem::take(&mut runner.runs)
                .into_iter()
                .partition(|run| run.ends <= now);
            runner.runs = going;
            let ended: Vec<Run> = ended;
            for run in ended {
                let at = (run.from, run.incarnation, run.connection);
                if self.runners[index].silent.contains(&at) {
                    self.late_reply(index, &run);
                    continue;
                }
                let reply = Reply::Done(body_of(run.attempt.request, run.key));
                let target = Target(index as u32);
                self.reply(
                    run.from,
                    run.incarnation,
                    target,
                    run.connection,
                    run.attempt,
                    &reply,
                );
            }
        }
    }

    /// A silent connection may deliver an answer long after it was given up, also under the id of
    /// another request, as a runner that mixes up its answers would.
    fn late_reply(&mut self, index: usize, run: &Run) {
        if self.entries[run.from].incarnation != run.incarnation {
            return;
        }
        let others: Vec<Id> = self.calls.keys().copied().rev().take(4).collect();
        let others = others
            .into_iter()
            .map(|request| Attempt { request, number: 1 });
        for attempt in others.chain([run.attempt]) {
            let delay = millis(500) + self.random_span(millis(500));
            let event = Event::Dispatcher(Input::Replied {
                target: Target(index as u32),
                connection: run.connection,
                attempt,
                reply: Reply::Done(body_of(run.attempt.request, run.key)),
            });
            self.schedule(delay, run.from, event);
        }
    }

    fn reply(
        &mut self,
        from: usize,
        incarnation: u64,
        target: Target,
        connection: Connection,
        attempt: Attempt,
        reply: &Reply,
    ) {
        if self.entries[from].incarnation != incarnation {
            return;
        }
        for _ in 0..self.random.random_range(1..=2) {
            let delay = self.random_span(millis(15));
            let event = Event::Dispatcher(Input::Replied {
                target,
                connection,
                attempt,
                reply: reply.clone(),
            });
            self.schedule(delay, from, event);
        }
    }

    fn tell_table(&mut self, index: usize, partition: Partition, input: dedup::Input) {
        let Some((term, _)) = self.entries[index].tables.get(&partition) else {
            return;
        };
        let event = Event::Table(partition, *term, input);
        let delay = self.random_span(millis(3));
        self.schedule(delay, index, event);
    }

    fn table_input(&mut self, index: usize, partition: Partition, input: dedup::Input) {
        let now = self.clock(index);
        let mut out = Vec::new();
        let Some((term, table)) = self.entries[index].tables.get_mut(&partition) else {
            return;
        };
        let term = *term;
        table.step(now, input, &mut out);
        self.table_outputs(index, partition, term, out);
    }

    fn table_outputs(
        &mut self,
        index: usize,
        partition: Partition,
        term: Term,
        out: Vec<dedup::Output>,
    ) {
        for output in out {
            let verdict = match output {
                dedup::Output::Append { serial, record } => {
                    self.entries[index]
                        .appends
                        .push((partition, term, serial, record));
                    continue;
                }
                dedup::Output::Run { id, key } => Verdict::Run(id, key),
                dedup::Output::Answer { id, answer } => Verdict::Answer(id, answer),
            };
            let delay = self.random_span(millis(3));
            self.schedule(delay, index, Event::Dispatcher(Input::Verdict(verdict)));
        }
    }

    fn clock(&self, index: usize) -> Now {
        let wall = EPOCH + self.now.0 / 1000;
        Now {
            instant: self.now,
            stamp: Stamp(wall) + self.entries[index].ahead,
        }
    }

    fn is_running(&self, index: usize) -> bool {
        self.entries[index].is_alive && !self.entries[index].is_paused
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        one != other && (self.cuts.contains(&(one, other)) || self.cuts.contains(&(other, one)))
    }

    fn random_span(&mut self, most: Duration) -> Duration {
        Duration::from_micros(self.random.random_range(0..=most.as_micros() as u64))
    }
}

fn node(index: usize, incarnation: u64) -> Node {
    Node {
        vm: Vm(index as u32),
        incarnation: Incarnation(incarnation),
    }
}

fn place(index: usize) -> Place {
    Place {
        region: Region(index as u16 / 2),
        data_centre: DataCentre(index as u16),
    }
}
