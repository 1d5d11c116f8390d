//! A simulation of a few nodes on one stream of a faulty log, driven by a list of operations.
//!
//! The log may respond to an append, lose the response, lose the append, or apply the append after
//! a retry of it. Nodes die and restart as new incarnations, start from a snapshot or a peer, and
//! find offsets expired.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::time::Duration;

use laburnumplank::core::id::Node;
use laburnumplank::core::stream::funnel::{self, Funnel};
use laburnumplank::core::stream::reader::{self, Reader};
use laburnumplank::core::stream::snapshot::{self, Assembly, Content};
use laburnumplank::core::stream::writer::{self, BatchCopy, Builder, PushId, Writer};
use laburnumplank::core::stream::{Name, Record, Rules, decode, encode};
use laburnumplank::core::time::Instant;
use proptest::option;
use proptest::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{Log, node};

/// The state that the nodes build from the stream.
pub(crate) trait StateMachine: Clone + Debug {
    type Value: Serialize + DeserializeOwned + Clone + Debug;
    type State: Serialize + DeserializeOwned;
    /// Returns the `number`th value that is pushed, on a node in this state.
    fn value(&self, number: u64, choice: u8) -> Self::Value;
    fn apply(&mut self, record: &Record<Self::Value>);
    fn state(&self) -> Self::State;
    fn restore(&mut self, state: Self::State);
}

/// The outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AppendOutcome {
    /// It takes effect and the writer gets the response.
    Answered,
    /// It takes effect but the response is lost.
    AnswerLost,
    /// It never takes effect.
    Lost,
    /// It takes effect later and the response is lost.
    Delayed,
    /// It is sent through the funnel.
    ThroughFunnel,
}

/// One step of the simulation; nodes are given by index.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Op {
    /// A node pushes a value, selected by the second number.
    Push(usize, u8),
    /// This many milliseconds pass and a node's writer ticks; its appends have this outcome.
    Tick(usize, AppendOutcome, u64),
    /// The delayed append with this index takes effect.
    AppendDelayed(usize),
    /// The funnel ticks; its appends have this outcome.
    Funnel(AppendOutcome),
    /// A node reads at most this many entries.
    Read(usize, usize),
    /// A node dies and restarts, from a peer's state if one is given.
    Kill(usize, Option<usize>),
    /// A node writes a snapshot; `true` for a torn one.
    Snapshot(usize, bool),
    /// At most this many entries expire.
    Expire(u64),
    /// The log goes down (`true`) or recovers (`false`).
    Outage(bool),
}

pub(crate) const NODES: usize = 3;

pub(crate) fn ops() -> impl Strategy<Value = Vec<Op>> {
    let outcome = prop_oneof![
        5 => Just(AppendOutcome::Answered),
        2 => Just(AppendOutcome::AnswerLost),
        1 => Just(AppendOutcome::Lost),
        3 => Just(AppendOutcome::Delayed),
        3 => Just(AppendOutcome::ThroughFunnel),
    ];
    let funnel_outcome = outcome.clone();
    let node = 0..NODES;
    let op = prop_oneof![
        6 => (node.clone(), any::<u8>()).prop_map(|(node, choice)| Op::Push(node, choice)),
        10 => (node.clone(), outcome, 1..3_000_u64)
            .prop_map(|(node, outcome, millis)| Op::Tick(node, outcome, millis)),
        3 => (0..8_usize).prop_map(Op::AppendDelayed),
        3 => funnel_outcome.prop_map(Op::Funnel),
        6 => (node.clone(), 1..6_usize).prop_map(|(node, most)| Op::Read(node, most)),
        1 => (node.clone(), option::of(node.clone())).prop_map(|(node, peer)| Op::Kill(node, peer)),
        1 => (node, any::<bool>()).prop_map(|(node, torn)| Op::Snapshot(node, torn)),
        1 => (1..12_u64).prop_map(Op::Expire),
        1 => any::<bool>().prop_map(Op::Outage),
    ];
    proptest::collection::vec(op, 20..200)
}

/// One node.
pub(crate) struct Member<M: StateMachine> {
    pub(crate) state_machine: M,
    writer: Writer,
    reader: Reader<M::Value>,
    /// The numbers of the values that aren't settled, by push id.
    pushed: BTreeMap<PushId, u64>,
    id: Node,
}

pub(crate) struct Cell<M: StateMachine> {
    pub(crate) members: Vec<Member<M>>,
    pub(crate) log: Log,
    /// The numbers of the values that a writer reported as durable.
    pub(crate) durable: BTreeSet<u64>,
    blank: M,
    rules: Rules,
    stream: Name,
    now: Instant,
    delayed: Vec<Vec<u8>>,
    funnel: Funnel,
    snapshots: Assembly,
    down: bool,
    pushes: u64,
    incarnations: u64,
}

impl<M: StateMachine> Cell<M> {
    pub(crate) fn new(blank: M, rules: Rules) -> Cell<M> {
        let mut cell = Cell {
            members: Vec::new(),
            log: Log::default(),
            durable: BTreeSet::new(),
            blank,
            rules,
            stream: Name("test".to_owned()),
            now: Instant(0),
            delayed: Vec::new(),
            funnel: Funnel::new(1, &[]),
            snapshots: Assembly::default(),
            down: false,
            pushes: 0,
            incarnations: 0,
        };
        for index in 0..NODES {
            let member = cell.start(index);
            cell.members.push(member);
        }
        cell
    }

    pub(crate) fn run(&mut self, ops: &[Op]) {
        for op in ops {
            self.op(*op);
        }
        self.settle();
    }

    fn op(&mut self, op: Op) {
        match op {
            Op::Push(node, choice) => self.push(node, choice),
            Op::Tick(node, outcome, millis) => {
                self.now = self.now + Duration::from_millis(millis);
                self.write(node, writer::Input::Tick, outcome);
            }
            Op::AppendDelayed(index) if !self.down && index < self.delayed.len() => {
                let bytes = self.delayed.remove(index);
                self.log.append(&bytes);
            }
            Op::AppendDelayed(_) => {}
            Op::Funnel(outcome) => self.funnel(funnel::Input::Tick, outcome),
            Op::Read(node, most) => self.read(node, most),
            Op::Kill(node, peer) => self.kill(node, peer),
            Op::Snapshot(node, torn) => self.snapshot(node, torn),
            Op::Expire(count) => self.expire(count),
            Op::Outage(on) => self.down = on,
        }
    }

    fn start(&mut self, index: usize) -> Member<M> {
        self.incarnations += 1;
        let id = node(index as u32, self.incarnations);
        let builder = Builder::new(id, self.incarnations);
        let mut member = Member {
            state_machine: self.blank.clone(),
            writer: builder.window(self.rules.window).build(),
            reader: Reader::with_rules(self.rules, self.incarnations),
            pushed: BTreeMap::new(),
            id,
        };
        let input = member.position(&self.stream, false);
        member.writer.step(self.now, input, &mut Vec::new());
        member
    }

    fn push(&mut self, node: usize, choice: u8) {
        let member = &mut self.members[node];
        let value = member.state_machine.value(self.pushes, choice);
        if let Ok(push_id) = member.writer.push(&self.stream, &value) {
            member.pushed.insert(push_id, self.pushes);
        }
        self.pushes += 1;
    }

    /// Steps a writer; its appends have the outcome `outcome`.
    fn write(&mut self, node: usize, input: writer::Input, outcome: AppendOutcome) {
        let mut out = Vec::new();
        self.members[node].writer.step(self.now, input, &mut out);
        self.handle_outputs(node, out, outcome);
    }

    fn handle_outputs(&mut self, node: usize, out: Vec<writer::Output>, outcome: AppendOutcome) {
        use writer::Output::{Append, Durable, Unknown};
        for output in out {
            match output {
                Append {
                    stream,
                    copy,
                    bytes,
                } if outcome == AppendOutcome::ThroughFunnel => {
                    let from = self.members[node].id;
                    let input = funnel::Input::Offered {
                        from,
                        stream,
                        copy,
                        bytes,
                    };
                    self.funnel(input, AppendOutcome::Lost);
                }
                Append {
                    stream,
                    copy,
                    bytes,
                } => {
                    let offset = self.append(&bytes, outcome);
                    self.write(node, answer(stream, copy, offset), AppendOutcome::Lost);
                }
                Durable { push_ids, .. } => {
                    let pushed = &mut self.members[node].pushed;
                    let settled = push_ids.iter().filter_map(|push_id| pushed.remove(push_id));
                    self.durable.extend(settled);
                }
                Unknown { push_ids, .. } => {
                    let pushed = &mut self.members[node].pushed;
                    pushed.retain(|push_id, _| !push_ids.contains(push_id));
                }
            }
        }
    }

    /// Appends an entry with the outcome `outcome`; returns its offset if there is a response.
    fn append(&mut self, bytes: &[u8], outcome: AppendOutcome) -> Option<u64> {
        if self.down || outcome == AppendOutcome::Lost {
            return None;
        }
        if outcome == AppendOutcome::Delayed {
            self.delayed.push(bytes.to_vec());
            return None;
        }
        let offset = self.log.append(bytes);
        (outcome != AppendOutcome::AnswerLost).then_some(offset)
    }

    /// Steps the funnel; its appends have the outcome `outcome`.
    fn funnel(&mut self, input: funnel::Input, outcome: AppendOutcome) {
        use funnel::Input::{Appended, Failed};
        use funnel::Output::{Answer, Append};
        let mut out = Vec::new();
        self.funnel.step(self.now, input, &mut out);
        for output in out {
            match output {
                Append {
                    stream,
                    number,
                    bytes,
                } => {
                    let input = match self.append(&bytes, outcome) {
                        Some(offset) => Appended {
                            stream,
                            number,
                            offset,
                        },
                        None => Failed { stream, number },
                    };
                    self.funnel(input, AppendOutcome::Lost);
                }
                Answer {
                    to,
                    stream,
                    copy,
                    offset,
                } => {
                    let node = to.vm.0 as usize;
                    if self.members[node].id == to {
                        self.write(node, answer(stream, copy, offset), AppendOutcome::Lost);
                    }
                }
            }
        }
    }

    fn read(&mut self, node: usize, most: usize) {
        if self.down {
            return;
        }
        let member = &mut self.members[node];
        let page = self.log.page(member.reader.next(), most);
        let mut out = Vec::new();
        member
            .reader
            .step(self.now, reader::Input::Page(page), &mut out);
        for output in out {
            if let reader::Output::Record(record) = output {
                member.state_machine.apply(&record);
            }
        }
        if self.members[node].reader.is_expired() {
            self.recover(node, None);
        } else {
            self.report_position(node, false);
        }
    }

    /// Reports the reader's position to the writer.
    fn report_position(&mut self, node: usize, jumped: bool) {
        let input = self.members[node].position(&self.stream, jumped);
        self.write(node, input, AppendOutcome::Lost);
    }

    fn kill(&mut self, node: usize, peer: Option<usize>) {
        let others = (0..NODES).filter(|other| *other != node);
        let kept = others.map(|other| self.members[other].reader.next()).max();
        if kept.max(self.snapshots.best().map(|best| best.covers)) < Some(self.log.first) {
            return;
        }
        self.members[node] = self.start(node);
        self.recover(node, peer.filter(|peer| *peer != node));
    }

    /// Restores a node from `peer` or else from the best snapshot; if that isn't enough to read on,
    /// from the node that has read furthest.
    fn recover(&mut self, node: usize, peer: Option<usize>) {
        let snapshot = self.snapshots.best().map(|snapshot| snapshot.bytes.clone());
        let bytes = match peer {
            Some(peer) => Some(self.members[peer].content()),
            None => snapshot,
        };
        if let Some(bytes) = bytes {
            self.restore(node, &bytes);
        }
        if self.members[node].reader.next() < self.log.first {
            let most_advanced = (0..NODES).max_by_key(|node| self.members[*node].reader.next());
            let bytes = self.members[most_advanced.unwrap()].content();
            self.restore(node, &bytes);
        }
    }

    fn restore(&mut self, node: usize, bytes: &[u8]) {
        let content: Content<M::State> = decode(bytes).unwrap();
        let member = &mut self.members[node];
        let (next, writers) = (content.next, content.writers);
        if next <= member.reader.next() {
            return;
        }
        let input = reader::Input::Restored { next, writers };
        member.reader.step(self.now, input, &mut Vec::new());
        member.state_machine.restore(content.state);
        self.report_position(node, true);
    }

    /// Writes a snapshot; a torn one lacks its last byte.
    fn snapshot(&mut self, node: usize, torn: bool) {
        let member = &self.members[node];
        let id = snapshot::Id {
            node: member.id,
            number: self.now.0,
        };
        let mut parts = snapshot::split(id, member.reader.next(), &member.content()).unwrap();
        if torn {
            parts.last_mut().unwrap().data.0.pop();
        }
        for part in parts {
            self.snapshots.insert(part);
        }
    }

    /// Expires entries, but never those that no node has read and no snapshot covers.
    fn expire(&mut self, count: u64) {
        let nodes = self.members.iter().map(|member| member.reader.next()).max();
        let kept = nodes.max(self.snapshots.best().map(|best| best.covers));
        self.log.first = (self.log.first + count).min(kept.unwrap_or(0));
    }

    /// Ends all faults, applies delayed appends and runs all nodes until all records are read.
    fn settle(&mut self) {
        self.down = false;
        for bytes in std::mem::take(&mut self.delayed) {
            self.log.append(&bytes);
        }
        for _ in 0..50 {
            for node in 0..NODES {
                self.now = self.now + Duration::from_secs(10);
                self.write(node, writer::Input::Tick, AppendOutcome::Answered);
                self.read(node, 1_000);
            }
        }
    }

    /// Returns the state of a node that reads the whole log, including expired entries.
    pub(crate) fn replay(&self) -> M {
        let mut state_machine = self.blank.clone();
        let mut reader: Reader<M::Value> = Reader::with_rules(self.rules, 0);
        let mut log = self.log.clone();
        log.first = 0;
        let mut out = Vec::new();
        reader.step(
            self.now,
            reader::Input::Page(log.page(0, usize::MAX)),
            &mut out,
        );
        for output in out {
            if let reader::Output::Record(record) = output {
                state_machine.apply(&record);
            }
        }
        state_machine
    }

    /// Returns how many pushed values are not settled.
    pub(crate) fn unsettled(&self) -> usize {
        self.members.iter().map(|member| member.pushed.len()).sum()
    }
}

/// Returns the input of a writer for the result of an append.
fn answer(stream: Name, copy: BatchCopy, offset: Option<u64>) -> writer::Input {
    match offset {
        Some(offset) => writer::Input::Appended {
            stream,
            copy,
            offset,
        },
        None => writer::Input::Failed { stream, copy },
    }
}

impl<M: StateMachine> Member<M> {
    fn content(&self) -> Vec<u8> {
        let content = Content {
            next: self.reader.next(),
            writers: self.reader.writers().clone(),
            state: self.state_machine.state(),
        };
        encode(&content).unwrap()
    }

    /// Returns the input of the writer for the reader's position.
    fn position(&self, stream: &Name, jumped: bool) -> writer::Input {
        let stream = stream.clone();
        let next = self.reader.next();
        let last = self.reader.writers().last(self.id);
        if jumped {
            writer::Input::Jumped { stream, next, last }
        } else {
            writer::Input::Read { stream, next, last }
        }
    }
}
