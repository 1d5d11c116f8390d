//! The nodes of one region with real relays and readers on a log that holds fetches.

use std::time::Duration;

use laburnumplank::core::id::Node;
use laburnumplank::core::stream::reader::{self, Reader};
use laburnumplank::core::stream::relay::{Input, LOG_WAIT, Message, Output, Relay, Rules};
use laburnumplank::core::stream::{Batch, Body, Name, Sequence, encode};
use laburnumplank::core::time::Instant;

use super::{Log, node};

/// How a node fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// It does nothing; the membership hasn't noticed.
    Silent,
    /// It lives but can't reach the log.
    CutOff,
}

/// One node.
pub struct Member {
    /// Its relay.
    pub relay: Relay,
    /// Its reader.
    pub reader: Reader<u64>,
    /// What its reader delivered.
    pub got: Vec<u64>,
    /// How it fails.
    pub fault: Fault,
    /// A fetch that the log holds: its offset and when it came.
    held: Option<(u64, Instant)>,
}

/// The nodes of a region, with messages that arrive in order on the next step.
pub struct Region {
    /// The nodes; the VM number of each is its index.
    pub members: Vec<Member>,
    /// The stream.
    pub log: Log,
    /// The virtual time.
    pub now: Instant,
    /// How often any node asked the log.
    pub fetches: u64,
    step: Duration,
    rules: Rules,
    mail: Vec<Mail>,
}

/// A message on its way.
struct Mail {
    from: Node,
    to: Node,
    message: Message,
}

impl Region {
    /// Makes a region of `nodes` in which time passes in steps of `step`, with the relays' `rules`.
    pub fn new(nodes: usize, step: Duration, rules: Rules) -> Region {
        let member = |index: usize| Member {
            relay: relay(nodes, index, rules),
            reader: Reader::new(index as u64),
            got: Vec::new(),
            fault: Fault::None,
            held: None,
        };
        Region {
            members: (0..nodes).map(member).collect(),
            log: Log::default(),
            now: Instant(0),
            fetches: 0,
            step,
            rules,
            mail: Vec::new(),
        }
    }

    /// Gives a node a relay that keeps nothing.
    pub fn renew_relay(&mut self, index: usize) {
        self.members[index].relay = relay(self.members.len(), index, self.rules);
    }

    /// Appends a record that holds its offset.
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

    /// Lets `span` pass; returns when all nodes without a fault had everything, if they did.
    pub fn run(&mut self, span: Duration) -> Option<Instant> {
        let end = self.now + span;
        let mut complete = None;
        while self.now < end {
            self.now = self.now + self.step;
            for mail in std::mem::take(&mut self.mail) {
                let from = mail.from;
                let message = mail.message;
                self.relay(mail.to.vm.0 as usize, Input::Received { from, message });
            }
            for index in 0..self.members.len() {
                self.answer(index);
                self.reader(index, reader::Input::Tick);
                self.relay(index, Input::Tick);
            }
            complete = complete.filter(|_| self.is_complete());
            if complete.is_none() && self.is_complete() {
                complete = Some(self.now);
            }
        }
        complete
    }

    /// Returns whether all nodes without a fault have everything.
    pub fn is_complete(&self) -> bool {
        let sound = self
            .members
            .iter()
            .filter(|member| member.fault == Fault::None);
        sound
            .into_iter()
            .all(|member| member.got.len() as u64 == self.log.next())
    }

    fn relay(&mut self, index: usize, input: Input) {
        if self.members[index].fault == Fault::Silent {
            return;
        }
        let mut out = Vec::new();
        self.members[index].relay.step(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Fetch { from } => {
                    self.fetches += 1;
                    self.members[index].held = Some((from, self.now));
                }
                Output::Page(page) => self.reader(index, reader::Input::Page(page)),
                Output::Failed => self.reader(index, reader::Input::Failed),
                Output::Send { to, message } => {
                    let from = node(index as u32, 1);
                    self.mail.push(Mail { from, to, message });
                }
            }
        }
    }

    /// Answers a fetch that the log holds, once there is something new or the wait is over.
    fn answer(&mut self, index: usize) {
        let Some((from, since)) = self.members[index].held else {
            return;
        };
        let input = if self.members[index].fault == Fault::CutOff {
            Input::Failed
        } else if self.log.next() > from || self.now >= since + LOG_WAIT {
            Input::Page(self.log.page(from, 100))
        } else {
            return;
        };
        self.members[index].held = None;
        self.relay(index, input);
    }

    fn reader(&mut self, index: usize, input: reader::Input) {
        if self.members[index].fault == Fault::Silent {
            return;
        }
        let mut out = Vec::new();
        self.members[index].reader.step(self.now, input, &mut out);
        for output in out {
            match output {
                reader::Output::Fetch { from } => self.relay(index, Input::Fetch { from }),
                reader::Output::Record(record) => self.members[index].got.push(record.value),
                reader::Output::Batch(_) | reader::Output::Read { .. } => {}
                other => panic!("{other:?}"),
            }
        }
    }

    /// Returns the nodes that read the log themselves.
    pub fn direct(&self) -> Vec<usize> {
        let is_direct = |index: &usize| self.members[*index].relay.is_direct();
        (0..self.members.len()).filter(is_direct).collect()
    }
}

/// Returns the relay of one of `nodes` that has read nothing.
fn relay(nodes: usize, index: usize, rules: Rules) -> Relay {
    let ids: Vec<Node> = (0..nodes).map(|index| node(index as u32, 1)).collect();
    let mut relay = Relay::new(ids[index], &Name("config".to_owned())).with_rules(rules);
    relay.step(Instant(0), Input::Members(ids), &mut Vec::new());
    relay
}
