//! A simulated region: nodes with real relays and readers on a fake log with long polls.

use std::time::Duration;

use laburnumplank::core::id::Node;
use laburnumplank::core::stream::reader::{self, Reader};
use laburnumplank::core::stream::relay::{Input, LOG_WAIT, Message, Output, Relay, Rules};
use laburnumplank::core::stream::{Batch, Body, Name, Sequence, encode};
use laburnumplank::core::time::Instant;

use super::{Log, node};

/// A fault of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The node works.
    None,
    /// The node processes and sends nothing, but the membership still lists it.
    Silent,
    /// The node runs but cannot reach the log.
    LogUnreachable,
}

/// A node of the region.
pub struct Member {
    /// The node's relay.
    pub relay: Relay,
    /// The node's stream reader.
    pub reader: Reader<u64>,
    /// The records that the reader delivered, in order.
    pub received: Vec<u64>,
    /// The fault that the node has now.
    pub fault: Fault,
    /// The fetch that waits at the log: its offset and the time of its arrival.
    waiting_fetch: Option<(u64, Instant)>,
}

/// A simulated region; messages between nodes arrive in order on the next step.
pub struct Region {
    /// The nodes; the VM number of each is its index.
    pub members: Vec<Member>,
    /// The log stream that the nodes read.
    pub log: Log,
    /// The virtual time.
    pub now: Instant,
    /// The number of fetches that all nodes sent to the log.
    pub fetches: u64,
    step: Duration,
    rules: Rules,
    in_flight: Vec<Delivery>,
}

/// A message in transit.
struct Delivery {
    from: Node,
    to: Node,
    message: Message,
}

impl Region {
    /// Creates a region of `nodes` nodes whose relays follow `rules`; time advances in steps of
    /// `step`.
    pub fn new(nodes: usize, step: Duration, rules: Rules) -> Region {
        let member = |index: usize| Member {
            relay: new_relay(nodes, index, rules),
            reader: Reader::new(index as u64),
            received: Vec::new(),
            fault: Fault::None,
            waiting_fetch: None,
        };
        Region {
            members: (0..nodes).map(member).collect(),
            log: Log::default(),
            now: Instant(0),
            fetches: 0,
            step,
            rules,
            in_flight: Vec::new(),
        }
    }

    /// Replaces the relay of a node by an empty one.
    pub fn reset_relay(&mut self, index: usize) {
        self.members[index].relay = new_relay(self.members.len(), index, self.rules);
    }

    /// Appends a record whose value is its offset.
    pub fn append(&mut self) {
        let number = self.log.next();
        let batch = Batch {
            node: node(u32::MAX, 1),
            first: Sequence(number + 1),
            read_position: number,
            records: vec![Body(encode(&number).unwrap_or_default())],
        };
        self.log.append(&batch.to_entry().unwrap_or_default());
    }

    /// Advances time by `span`; returns the time since which every node without a fault has all
    /// records, or `None` when one still lacks a record at the end.
    pub fn run(&mut self, span: Duration) -> Option<Instant> {
        let end = self.now + span;
        let mut complete = None;
        while self.now < end {
            self.now = self.now + self.step;
            for delivery in std::mem::take(&mut self.in_flight) {
                let from = delivery.from;
                let message = delivery.message;
                self.step_relay(delivery.to.vm.0 as usize, Input::Received { from, message });
            }
            for index in 0..self.members.len() {
                self.complete_fetch(index);
                self.step_reader(index, reader::Input::Tick);
                self.step_relay(index, Input::Tick);
            }
            complete = complete.filter(|_| self.is_complete());
            if complete.is_none() && self.is_complete() {
                complete = Some(self.now);
            }
        }
        complete
    }

    /// Returns whether every node without a fault has received all records.
    pub fn is_complete(&self) -> bool {
        let healthy = self
            .members
            .iter()
            .filter(|member| member.fault == Fault::None);
        healthy
            .into_iter()
            .all(|member| member.received.len() as u64 == self.log.next())
    }

    fn step_relay(&mut self, index: usize, input: Input) {
        if self.members[index].fault == Fault::Silent {
            return;
        }
        let mut out = Vec::new();
        self.members[index].relay.step(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Fetch { from } => {
                    self.fetches += 1;
                    self.members[index].waiting_fetch = Some((from, self.now));
                }
                Output::Page(page) => self.step_reader(index, reader::Input::Page(page)),
                Output::Failed => self.step_reader(index, reader::Input::Failed),
                Output::Send { to, message } => {
                    let from = node(index as u32, 1);
                    self.in_flight.push(Delivery { from, to, message });
                }
            }
        }
    }

    /// Completes the waiting fetch of a node once the log has a new entry or [`LOG_WAIT`] has
    /// passed, or fails it when the node cannot reach the log.
    fn complete_fetch(&mut self, index: usize) {
        let Some((from, since)) = self.members[index].waiting_fetch else {
            return;
        };
        let input = if self.members[index].fault == Fault::LogUnreachable {
            Input::Failed
        } else if self.log.next() > from || self.now >= since + LOG_WAIT {
            Input::Page(self.log.page(from, 100))
        } else {
            return;
        };
        self.members[index].waiting_fetch = None;
        self.step_relay(index, input);
    }

    fn step_reader(&mut self, index: usize, input: reader::Input) {
        if self.members[index].fault == Fault::Silent {
            return;
        }
        let mut out = Vec::new();
        self.members[index].reader.step(self.now, input, &mut out);
        for output in out {
            match output {
                reader::Output::Fetch { from } => self.step_relay(index, Input::Fetch { from }),
                reader::Output::Record(record) => self.members[index].received.push(record.value),
                reader::Output::Batch(_) | reader::Output::Read { .. } => {}
                other => panic!("{other:?}"),
            }
        }
    }

    /// Returns the indices of the nodes that read the log directly.
    pub fn direct_readers(&self) -> Vec<usize> {
        let is_direct = |index: &usize| self.members[*index].relay.is_direct();
        (0..self.members.len()).filter(is_direct).collect()
    }
}

/// Creates the relay of one of `nodes` nodes, with no records.
fn new_relay(nodes: usize, index: usize, rules: Rules) -> Relay {
    let ids: Vec<Node> = (0..nodes).map(|index| node(index as u32, 1)).collect();
    let mut relay = Relay::new(ids[index], &Name("config".to_owned())).with_rules(rules);
    relay.step(Instant(0), Input::Members(ids), &mut Vec::new());
    relay
}
