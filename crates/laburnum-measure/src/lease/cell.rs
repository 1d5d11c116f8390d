//! Lease tables of a cell around one log, on a simulated clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use laburnumplank::core::id::{DataCentre, Incarnation, Node, Partition, Region, Vm};
use laburnumplank::core::lease::{
    Input, Member, Message, Output, Preference, Record, Roster, Settings, Table,
};
use laburnumplank::core::membership::Site;
use laburnumplank::core::membership::rendezvous::{Candidate, prefer};
use laburnumplank::core::time::{Instant, Stamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// How often a table ticks.
pub(super) const TICK: Duration = Duration::from_millis(50);

/// How long an append takes to reach the log.
const APPEND: Duration = Duration::from_millis(10);

/// How long a record takes from the log to a reader, in milliseconds.
const READ_MS: std::ops::Range<u64> = 2..12;

/// How long a message takes between nodes, in milliseconds.
const MESSAGE_MS: std::ops::Range<u64> = 1..9;

/// How many data centres the nodes are spread over.
const DATA_CENTRES: u32 = 3;

/// The incarnation of each node, as large as one drawn from a wall clock in microseconds.
pub(super) const INCARNATION: Incarnation = Incarnation(1_790_000_000_000_000);

/// The wall clock when the simulation begins, in milliseconds.
const EPOCH_MS: u64 = 1_790_000_000_000;

/// A scheduled event. The numbers are a node, a record and, for `Read`, a node and an offset.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Append(usize),
    Read(usize, u64),
    Deliver {
        from: Node,
        to: usize,
        message: Message,
    },
}

/// Appends and messages that a cell has sent so far.
#[derive(Clone, Copy, Default)]
pub(super) struct Traffic {
    pub(super) appends: u64,
    pub(super) append_bytes: u64,
    pub(super) messages: u64,
    pub(super) message_bytes: u64,
}

/// Lease tables of a cell around one log.
pub(super) struct Cell {
    pub(super) now: Instant,
    pub(super) traffic: Traffic,
    pub(super) log_up: bool,
    partitions: u16,
    tables: Vec<Option<Table>>,
    /// Records that were sent to the log, including those that were lost.
    records: Vec<Record>,
    /// The index in `records` of each record in the log, by offset.
    log: Vec<usize>,
    /// The next offset that each node reads.
    read: Vec<u64>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    serial: u64,
    rng: Pcg64,
}

impl Cell {
    /// Makes a cell of `nodes` nodes and runs it for twice the duration of a lease.
    pub(super) fn new(nodes: u32, partitions: u16, settings: Settings, seed: u64) -> Cell {
        let mut cell = Cell {
            now: Instant(0),
            traffic: Traffic::default(),
            log_up: true,
            partitions,
            tables: Vec::new(),
            records: Vec::new(),
            log: Vec::new(),
            read: vec![0; nodes as usize],
            events: BinaryHeap::new(),
            serial: 0,
            rng: Pcg64::seed_from_u64(seed),
        };
        for vm in 0..nodes {
            cell.tables
                .push(Some(Table::new(node(vm), partitions, settings)));
        }
        cell.send_roster();
        for index in 0..cell.tables.len() {
            let phase = cell.rng.random_range(0..TICK.as_micros() as u64);
            cell.push(Duration::from_micros(phase), Event::Tick(index));
        }
        cell.run(settings.duration * 2);
        cell
    }

    /// Gives all nodes the roster and the preferred owners, and marks them as ready.
    fn send_roster(&mut self) {
        let live = (0..self.tables.len() as u32).filter(|&vm| self.tables[vm as usize].is_some());
        let live: Vec<u32> = live.collect();
        let member = |&vm: &u32| Member {
            vm: Vm(vm),
            incarnation: Some(INCARNATION),
        };
        let roster = Roster {
            version: 1,
            members: live.iter().map(member).collect(),
        };
        let preferences = preferences(&live, self.partitions);
        for index in 0..self.tables.len() {
            self.step(index, Input::Roster(&roster));
            self.step(index, Input::Prefer(&preferences));
            self.step(index, Input::Ready);
        }
    }

    /// Runs the simulation for `span`.
    pub(super) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, _, _))) = self.events.peek() {
            if *at > end {
                break;
            }
            if let Some(Reverse((at, _, event))) = self.events.pop() {
                self.now = at;
                self.handle_event(event);
            }
        }
        self.now = end;
    }

    /// Gives all nodes preferences that leave one of them out.
    pub(super) fn exclude(&mut self, index: usize) {
        let others = (0..self.tables.len() as u32).filter(|&vm| vm as usize != index);
        let others: Vec<u32> = others.collect();
        let preferences = preferences(&others, self.partitions);
        for index in 0..self.tables.len() {
            self.step(index, Input::Prefer(&preferences));
        }
    }

    /// Ends a node without notice.
    pub(super) fn kill(&mut self, index: usize) {
        self.tables[index] = None;
    }

    /// Stops a node as planned, so that it hands its partitions over.
    pub(super) fn stop(&mut self, index: usize) {
        self.step(index, Input::Stop);
    }

    /// Sets whether the log takes appends and informs all nodes.
    pub(super) fn set_log(&mut self, up: bool) {
        self.log_up = up;
        for index in 0..self.tables.len() {
            self.step(index, Input::Log { up });
        }
    }

    /// Returns the node that may act on a partition.
    pub(super) fn owner(&self, partition: u16) -> Option<usize> {
        let now = self.now;
        let acts = |table: &Option<Table>| {
            let table = table.as_ref()?;
            table.may_act(Partition(partition), now)
        };
        self.tables.iter().position(|table| acts(table).is_some())
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick(index) => {
                let stamp = self.stamp();
                self.step(index, Input::Tick(stamp));
                self.push(TICK, Event::Tick(index));
            }
            Event::Append(record) => self.append(record),
            Event::Read(index, offset) => {
                while self.read[index] <= offset {
                    self.read(index);
                }
                let stamp = self.stamp();
                self.step(index, Input::Tick(stamp));
            }
            Event::Deliver { from, to, message } => {
                let message = &message;
                self.step(to, Input::Deliver { from, message });
                let stamp = self.stamp();
                self.step(to, Input::Tick(stamp));
            }
        }
    }

    /// Returns the wall-clock time.
    fn stamp(&self) -> Stamp {
        Stamp(EPOCH_MS + self.now.0 / 1_000)
    }

    /// Delivers the next record of the log to a node.
    fn read(&mut self, index: usize) {
        let offset = self.read[index];
        self.read[index] += 1;
        let record = self.records[self.log[offset as usize]].clone();
        let record = &record;
        self.step(index, Input::Read { offset, record });
    }

    /// Appends a record to the log, unless the log is down, and schedules the reads.
    fn append(&mut self, record: usize) {
        if !self.log_up {
            return;
        }
        let offset = self.log.len() as u64;
        self.log.push(record);
        for index in 0..self.tables.len() {
            let delay = self.rng.random_range(READ_MS);
            self.push(Duration::from_millis(delay), Event::Read(index, offset));
        }
    }

    fn step(&mut self, index: usize, input: Input<'_>) {
        let now = self.now;
        let Some(table) = &mut self.tables[index] else {
            return;
        };
        let mut out = Vec::new();
        table.step(now, input, &mut out);
        for output in out {
            self.handle_output(index, output);
        }
    }

    fn handle_output(&mut self, index: usize, output: Output) {
        match output {
            Output::Append(append) => {
                self.traffic.appends += 1;
                self.traffic.append_bytes += encoded(&append.record);
                self.records.push(append.record);
                self.push(APPEND, Event::Append(self.records.len() - 1));
            }
            Output::Send { to, message } => {
                self.traffic.messages += 1;
                self.traffic.message_bytes += encoded(&message);
                let from = node(index as u32);
                let to = to.vm.0 as usize;
                let delay = self.rng.random_range(MESSAGE_MS);
                let delay = Duration::from_millis(delay);
                self.push(delay, Event::Deliver { from, to, message });
            }
            Output::Acquired(_) | Output::Lost { .. } => {}
        }
    }

    fn push(&mut self, delay: Duration, event: Event) {
        self.serial += 1;
        let at = self.now + delay;
        self.events.push(Reverse((at, self.serial, event)));
    }
}

/// Returns the node on a VM.
pub(super) fn node(vm: u32) -> Node {
    Node {
        vm: Vm(vm),
        incarnation: INCARNATION,
    }
}

/// Returns the preferred owner and standbys of each partition among the VMs in `live`.
pub(super) fn preferences(live: &[u32], partitions: u16) -> Vec<Preference> {
    let candidate = |&vm: &u32| Candidate {
        node: node(vm),
        site: Site {
            data_centre: DataCentre((vm % DATA_CENTRES) as u16),
            region: Region(u16::from(vm % DATA_CENTRES == DATA_CENTRES - 1)),
        },
    };
    let candidates: Vec<Candidate> = live.iter().map(candidate).collect();
    let all = (0..partitions).map(Partition);
    all.map(|partition| prefer(partition, &candidates))
        .collect()
}

/// Returns how many bytes a value takes as CBOR.
pub(super) fn encoded<T: serde::Serialize>(value: &T) -> u64 {
    let mut bytes = Vec::new();
    let written = ciborium::into_writer(value, &mut bytes);
    written.map_or(0, |()| bytes.len() as u64)
}

/// Returns how many partitions each node owns, without nodes that own none.
pub(super) fn owned_counts(cell: &Cell, partitions: u16) -> BTreeMap<usize, usize> {
    let mut counts = BTreeMap::new();
    for owner in (0..partitions).filter_map(|partition| cell.owner(partition)) {
        *counts.entry(owner).or_default() += 1;
    }
    counts
}
