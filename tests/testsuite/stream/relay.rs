//! One node of a region reads for the others, and another takes over when it dies or lags.

use std::collections::VecDeque;
use std::time::Duration;

use laburnumplank::core::id::Node;
use laburnumplank::core::stream::reader::{self, Reader};
use laburnumplank::core::stream::relay::{
    HEARTBEAT, Input, LAG, LOG_WAIT, Message, Output, Relay, Rules, SILENCE,
};
use laburnumplank::core::stream::{Batch, Body, Name, Sequence, encode};
use laburnumplank::core::time::Instant;
use proptest::prelude::*;

use super::{Log, config, node};

const NODES: usize = 5;

/// The span between two steps of the region.
const STEP: Duration = Duration::from_millis(50);

/// How a node fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// It does nothing; the membership hasn't noticed.
    Silent,
    /// It lives but can't reach the log.
    CutOff,
}

struct Member {
    relay: Relay,
    reader: Reader<u64>,
    got: Vec<u64>,
    fault: Fault,
    /// A fetch that the log holds: its offset and when it came.
    held: Option<(u64, Instant)>,
}

/// The nodes of a region, with messages that arrive in order on the next step.
struct Region {
    members: Vec<Member>,
    log: Log,
    now: Instant,
    mail: VecDeque<(usize, usize, Message)>,
    fetches: u64,
}

/// Returns a relay that has read nothing.
fn relay(index: usize, rules: Rules) -> Relay {
    let ids: Vec<Node> = (0..NODES).map(|index| node(index as u32, 1)).collect();
    let mut relay = Relay::new(ids[index], &Name("config".to_owned())).with_rules(rules);
    relay.step(Instant(0), Input::Members(ids), &mut Vec::new());
    relay
}

impl Region {
    fn new() -> Region {
        Region::with_rules(Rules::default())
    }

    fn with_rules(rules: Rules) -> Region {
        let member = |index: usize| Member {
            relay: relay(index, rules),
            reader: Reader::new(index as u64),
            got: Vec::new(),
            fault: Fault::None,
            held: None,
        };
        Region {
            members: (0..NODES).map(member).collect(),
            log: Log::default(),
            now: Instant(0),
            mail: VecDeque::new(),
            fetches: 0,
        }
    }

    fn append(&mut self) {
        let number = self.log.next();
        let batch = Batch {
            node: node(99, 1),
            first: Sequence(number + 1),
            seen: number,
            records: vec![Body(encode(&number).unwrap())],
        };
        self.log.append(&batch.to_entry().unwrap());
    }

    /// Lets `span` pass; returns when all nodes without a fault had everything, if they did.
    fn run(&mut self, span: Duration) -> Option<Instant> {
        let end = self.now + span;
        let mut complete = None;
        while self.now < end {
            self.now = self.now + STEP;
            for (from, to, message) in std::mem::take(&mut self.mail) {
                let from = node(from as u32, 1);
                self.relay(to, Input::Received { from, message });
            }
            for index in 0..NODES {
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

    fn is_complete(&self) -> bool {
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
                    self.mail.push_back((index, to.vm.0 as usize, message));
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
}

impl Region {
    /// Returns the nodes that read the log themselves.
    fn direct(&self) -> Vec<usize> {
        let is_direct = |index: &usize| self.members[*index].relay.is_direct();
        (0..NODES).filter(is_direct).collect()
    }

    /// Ends all faults and lets the region settle on one relay.
    fn heal(&mut self) {
        for member in &mut self.members {
            member.fault = Fault::None;
        }
        self.run(Duration::from_secs(30));
        assert_eq!(self.direct().len(), 1);
    }

    /// Breaks the only relay, appends a record and returns how long the others lacked it.
    fn outlive(&mut self, fault: Fault) -> Option<Duration> {
        self.run(Duration::from_secs(5));
        let relay = self.direct();
        assert_eq!(relay.len(), 1);
        self.members[relay[0]].fault = fault;
        self.append();
        let broken_at = self.now;
        let complete = self.run(Duration::from_secs(10))?;
        Some(complete.since(broken_at))
    }
}

#[test]
fn one_node_reads_for_the_region() {
    let mut region = Region::new();
    for _ in 0..100 {
        region.append();
        region.run(Duration::from_millis(100));
    }
    assert!(region.run(Duration::from_secs(1)).is_some());
    assert_eq!(region.direct().len(), 1);
    let fetches = region.fetches;
    region.append();
    let complete = region.run(Duration::from_secs(10)).unwrap();
    assert!(complete.since(region.now - Duration::from_secs(10)) <= STEP * 4);
    assert!(region.fetches - fetches <= 12, "more than one node fetches");
}

#[test]
fn silent_relay_is_replaced() {
    let span = Region::new().outlive(Fault::Silent).unwrap();
    assert!(span <= SILENCE + HEARTBEAT + STEP * 4, "{span:?}");
}

#[test]
fn lagging_relay_is_replaced() {
    let span = Region::new().outlive(Fault::CutOff).unwrap();
    assert!(span <= LAG + HEARTBEAT + STEP * 4, "{span:?}");
}

#[test]
fn second_relay_may_die_too() {
    let mut region = Region::new();
    region.outlive(Fault::Silent).unwrap();
    let sound = |index: &usize| region.members[*index].fault == Fault::None;
    let second: Vec<usize> = region.direct().into_iter().filter(sound).collect();
    assert_eq!(second.len(), 1);
    region.members[second[0]].fault = Fault::Silent;
    region.append();
    let start = region.now;
    let complete = region.run(Duration::from_secs(10)).unwrap();
    assert!(complete.since(start) <= SILENCE + HEARTBEAT + STEP * 4);
}

#[test]
fn returned_relay_is_trusted_again() {
    let mut region = Region::new();
    region.outlive(Fault::Silent).unwrap();
    region.heal();
    assert!(region.is_complete());
}

/// Gives a follower a gap that no relay keeps; returns whether it was filled.
fn fills_gap(rules: Rules) -> bool {
    let mut region = Region::with_rules(rules);
    region.run(Duration::from_secs(1));
    let follower = (region.direct()[0] + 1) % NODES;
    region.members[follower].fault = Fault::Silent;
    for _ in 0..500 {
        region.append();
        region.run(STEP);
    }
    for index in (0..NODES).filter(|index| *index != follower) {
        region.members[index].relay = relay(index, rules);
    }
    region.heal();
    region.is_complete()
}

#[test]
fn follower_far_behind_reads_the_log_itself() {
    assert!(fills_gap(Rules::default()));
}

#[test]
fn oracle_catches_catch_up_off() {
    assert!(!fills_gap(Rules {
        catch_up: false,
        ..Rules::default()
    }));
}

#[test]
fn oracle_catches_takeover_off() {
    let rules = Rules {
        takeover: false,
        ..Rules::default()
    };
    for fault in [Fault::Silent, Fault::CutOff] {
        assert!(Region::with_rules(rules).outlive(fault).is_none());
    }
}

proptest! {
    #![proptest_config(config(40))]

    #[test]
    fn faults_never_leave_a_gap(
        steps in proptest::collection::vec((0..NODES, 0..3_u8, 0..3_000_u64), 1..20),
    ) {
        let mut region = Region::new();
        for (index, fault, millis) in steps {
            region.members[index].fault = [Fault::None, Fault::Silent, Fault::CutOff][usize::from(fault)];
            region.append();
            region.run(Duration::from_millis(millis));
        }
        region.heal();
        let all: Vec<u64> = (0..region.log.next()).collect();
        for member in &region.members {
            prop_assert_eq!(&member.got, &all);
        }
    }
}
