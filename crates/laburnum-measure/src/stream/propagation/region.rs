//! The nodes of one region, with real relays and readers on a log that holds fetches.

use std::time::Duration;

use laburnumplank::core::id::Node;
use laburnumplank::core::stream::reader::{self, Reader};
use laburnumplank::core::stream::relay::{Input, LOG_WAIT, Message, Output, Relay};
use laburnumplank::core::stream::{Batch, Body, Sequence, encode};
use laburnumplank::core::time::Instant;
use laburnumplank::platform::log::{Entry, Page};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::super::{name, node};

const NODES: u32 = 20;

/// The step of virtual time, which is also how long a message takes.
const STEP: Duration = Duration::from_millis(5);

/// What fails.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Fault {
    None,
    Silent,
    CutOff,
}

struct Member {
    relay: Relay,
    reader: Reader<u64>,
    fault: Fault,
    /// A fetch that the log holds: its offset and when it came.
    held: Option<(u64, Instant)>,
}

struct Mail {
    from: Node,
    to: Node,
    message: Message,
}

struct Region {
    members: Vec<Member>,
    entries: Vec<Entry>,
    mail: Vec<Mail>,
    now: Instant,
}

impl Fault {
    pub(super) fn label(self) -> &'static str {
        match self {
            Fault::None => "nothing",
            Fault::Silent => "the relay dies",
            Fault::CutOff => "the relay loses the log",
        }
    }
}

/// Breaks the relay of a region at a random time, appends a record and returns how long it takes
/// until all other nodes have it.
pub(super) fn outlive(fault: Fault, seed: u64) -> eyre::Result<Duration> {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut region = Region::new();
    region.run(Duration::from_millis(random.random_range(4_000..8_000)), 1);
    let relays = region
        .members
        .iter()
        .filter(|member| member.relay.is_direct())
        .count();
    eyre::ensure!(relays == 1, "{relays} nodes read the log");
    for member in region
        .members
        .iter_mut()
        .filter(|member| member.relay.is_direct())
    {
        member.fault = fault;
    }
    region.append()?;
    let start = region.now;
    region.run(Duration::from_secs(20), 1);
    eyre::ensure!(region.is_complete(1), "a node never got the record");
    Ok(region.now.since(start))
}

impl Region {
    fn new() -> Region {
        let ids: Vec<Node> = (0..NODES).map(node).collect();
        let member = |id: &Node| {
            let mut relay = Relay::new(*id, name("config"));
            relay.step(Instant(0), Input::Members(ids.clone()), &mut Vec::new());
            Member {
                relay,
                reader: Reader::new(u64::from(id.vm.0)),
                fault: Fault::None,
                held: None,
            }
        };
        Region {
            members: ids.iter().map(member).collect(),
            entries: Vec::new(),
            mail: Vec::new(),
            now: Instant(0),
        }
    }

    fn append(&mut self) -> eyre::Result<()> {
        let batch = Batch {
            node: node(NODES),
            first: Sequence(1),
            seen: 0,
            records: vec![Body(encode(&1_u64)?)],
        };
        let data = encode(&batch)?;
        self.entries.push(Entry { offset: 0, data });
        Ok(())
    }

    /// Lets time pass until the sound nodes have read `next` entries, or `span` is over.
    fn run(&mut self, span: Duration, next: u64) {
        let end = self.now + span;
        while self.now < end && !self.is_complete(next) {
            self.now = self.now + STEP;
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
        }
    }

    fn is_complete(&self, next: u64) -> bool {
        let mut sound = self
            .members
            .iter()
            .filter(|member| member.fault == Fault::None);
        sound.all(|member| member.reader.next() >= next)
    }

    /// Answers a fetch that the log holds, once there is something new or the wait is over.
    fn answer(&mut self, index: usize) {
        let Some((from, since)) = self.members[index].held else {
            return;
        };
        let next = self.entries.len() as u64;
        let input = if self.members[index].fault == Fault::CutOff {
            Input::Failed
        } else if next > from || self.now >= since + LOG_WAIT {
            let entries = self.entries.iter().skip(from as usize).cloned().collect();
            let first = 0;
            Input::Page(Page {
                first,
                next,
                entries,
            })
        } else {
            return;
        };
        self.members[index].held = None;
        self.relay(index, input);
    }

    fn relay(&mut self, index: usize, input: Input) {
        let now = self.now;
        let member = &mut self.members[index];
        if member.fault == Fault::Silent {
            return;
        }
        let mut out = Vec::new();
        member.relay.step(now, input, &mut out);
        for output in out {
            match output {
                Output::Fetch { from } => self.members[index].held = Some((from, now)),
                Output::Page(page) => self.reader(index, reader::Input::Page(page)),
                Output::Failed => self.reader(index, reader::Input::Failed),
                Output::Send { to, message } => {
                    let from = node(index as u32);
                    self.mail.push(Mail { from, to, message });
                }
            }
        }
    }

    fn reader(&mut self, index: usize, input: reader::Input) {
        let member = &mut self.members[index];
        if member.fault == Fault::Silent {
            return;
        }
        let mut out = Vec::new();
        member.reader.step(self.now, input, &mut out);
        for output in out {
            if let reader::Output::Fetch { from } = output {
                self.relay(index, Input::Fetch { from });
            }
        }
    }
}
