//! A simulation of entries that run the real dispatchers, tables and grantors, with fakes of the
//! network, the log, leases and targets.

mod lease;
mod process;
mod target;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use laburnumplank::core::error::{Error, Kind};
use laburnumplank::core::id::{Caller, DataCentre, Incarnation, Key, Node, Partition, Region};
use laburnumplank::core::id::{Target, Vm};
use laburnumplank::core::request::dedup::{
    self, Acquired, Acquisition, Now, OwnerStatus, Record, Serial, Term,
};
use laburnumplank::core::request::dispatcher::{
    Input, Listed, Listing, Output, Owner, Reply, Report, Verdict,
};
use laburnumplank::core::request::link::{self, Attempt, Connection};
use laburnumplank::core::request::retry;
use laburnumplank::core::request::route::{Partitions, Place};
use laburnumplank::core::request::slot::{self, Capacity, Grantor, Member, SlotRequest};
use laburnumplank::core::request::{Answer, Call, Dispatcher, Id, Origin, Safety, Settings};
use laburnumplank::core::time::{Instant, Stamp};
use laburnumplank::core::workload::Priority;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use uuid::Uuid;

use super::oracle::Oracle;

/// How late a final answer may be, because of delays inside a process and the step of time.
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

/// Parameters of the mechanisms, each of which a test may disable.
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
                max_call_time: Duration::from_secs(1),
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

/// An operation on the world.
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
    /// Hands a partition over to a standby, if its owner may do that now.
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
    /// A new key with a creation time this many milliseconds from now.
    New { ahead_ms: i64 },
    /// An existing key, counted backwards from the newest.
    Old { back: usize },
}

/// A message or an event that is delivered after a delay.
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
    SlotRequest {
        partition: Partition,
        from: usize,
        request: SlotRequest,
    },
    Request {
        from: usize,
        target: Target,
        connection: Connection,
        attempt: Attempt,
        span: Duration,
    },
    Append {
        partition: Partition,
        term: Term,
        from: usize,
        serial: Serial,
        record: Record,
    },
}

/// A process of an entry.
struct Entry {
    incarnation: u64,
    is_alive: bool,
    is_paused: bool,
    dispatcher: Dispatcher<Pcg32>,
    tables: BTreeMap<Partition, (Term, dedup::Table)>,
    grantors: BTreeMap<Target, Grantor>,
    held: Vec<Event>,
    /// Requests that other entries forwarded, with the entry, its incarnation and its id of the
    /// request.
    forwarded: BTreeMap<Id, (usize, u64, Id)>,
    /// Appends that are not sent to the log yet.
    appends: Vec<(Partition, Term, Serial, Record)>,
    /// The offset of the wall clock, from zero to the skew bound.
    clock_offset: Duration,
}

/// The lease of one partition.
struct Lease {
    owner: usize,
    incarnation: u64,
    standbys: Vec<(usize, u64)>,
    term: Term,
    until: Instant,
    has_promised: bool,
}

/// A request that a target serves.
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
struct FakeTarget {
    runs: Vec<Run>,
    /// Open connections and the times at which the target drops them, if set.
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
    targets: Vec<FakeTarget>,
    leases: Vec<Lease>,
    streams: Vec<Vec<Record>>,
    log_up: bool,
    loses_answers: bool,
    pub(super) longest_run: Duration,
    cuts: Vec<(usize, usize)>,
    /// Events by time and order, with the index and incarnation of the receiving process.
    events: BTreeMap<(Instant, u64), (usize, u64, Event)>,
    order: u64,
    list_version: u64,
    keys: Vec<Key>,
    calls: BTreeMap<Id, Call>,
    /// Forwarded requests, whose answer another entry decided.
    answered_by_owner: BTreeSet<Id>,
    incarnations: u64,
    pub(super) oracle: Oracle,
}

/// Returns the body of a target's answer to a request.
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
            targets: (0..TARGETS).map(|_| FakeTarget::default()).collect(),
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
            answered_by_owner: BTreeSet::new(),
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
            world.send_targets_and_owners(index);
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
                self.targets[target as usize].is_faulty = is_faulty;
            }
        }
    }

    /// Advances time in small steps.
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

    fn heal(&mut self) {
        self.log_up = true;
        self.loses_answers = false;
        self.cuts.clear();
        for index in 0..ENTRIES {
            self.resume(index);
            self.restart(index);
        }
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

    /// Handles an event for a process. It is dropped if the process has ended, and held while the
    /// process is paused.
    fn handle(&mut self, index: usize, incarnation: u64, event: Event) {
        match event {
            Event::Append {
                partition,
                term,
                from,
                serial,
                record,
            } => {
                return self.apply_append(partition, term, from, incarnation, serial, record);
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
                if let Input::ForwardAnswered(id, _) = &input {
                    self.answered_by_owner.insert(*id);
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
                    .forwarded
                    .insert(call.id, (from, incarnation, id));
                self.calls.insert(call.id, call.clone());
                self.input(index, Input::Arrived(call));
            }
            Event::SlotRequest {
                partition,
                from,
                request,
            } => self.handle_slot_request(index, partition, from, &request),
            Event::Append { .. } | Event::Request { .. } => {}
        }
    }

    fn is_running(&self, index: usize) -> bool {
        self.entries[index].is_alive && !self.entries[index].is_paused
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        one != other && (self.cuts.contains(&(one, other)) || self.cuts.contains(&(other, one)))
    }

    fn random_span(&mut self, max: Duration) -> Duration {
        Duration::from_micros(self.random.random_range(0..=max.as_micros() as u64))
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
