//! The library's own dispatch: dispatchers, tables of keys and grantors.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use laburnumplank::core::error::{Error, Kind};
use laburnumplank::core::id::{Caller, DataCentre, Incarnation, Key, Node, Partition, Region};
use laburnumplank::core::id::{Target, Vm};
use laburnumplank::core::request::dedup::{self, Acquired, Acquisition, Now, OwnerStatus, Term};
use laburnumplank::core::request::dispatcher::{
    Input, Listed, Listing, Output, Owner, Reply, Report, Verdict,
};
use laburnumplank::core::request::link::{Attempt, Connection};
use laburnumplank::core::request::route::{Partitions, Place};
use laburnumplank::core::request::slot::{self, Capacity, Grantor, Member, SlotRequest};
use laburnumplank::core::request::{Answer, Call, Dispatcher, Id, Origin, Safety, Settings};
use laburnumplank::core::time::{Instant, Stamp};
use laburnumplank::core::workload::Priority;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use uuid::Uuid;

use super::fabric::{self, Answered, Effect, Request, Served, data_centre};
use super::scenario::{
    ANSWER_BYTES, DATA_CENTRES, ENTRIES, REQUEST_BYTES, SLOTS, Scenario, TARGETS,
};

/// How long a group commit to the log takes.
const COMMIT: Duration = Duration::from_millis(12);
/// Callers that send bulk work.
const BULK_CALLERS: u64 = 4;
const PARTITIONS: Partitions = Partitions(64);
const EPOCH: u64 = 1_700_000_000_000;
const FOREVER: Instant = Instant(u64::MAX / 4);

/// A message between or within entries.
pub(super) enum Message {
    Dispatcher(Input),
    Table(Partition, dedup::Input),
    Forward { from: usize, id: Id, call: Call },
    Ask { from: usize, ask: SlotRequest },
}

struct Entry {
    dispatcher: Dispatcher<Pcg64Mcg>,
    tables: BTreeMap<Partition, dedup::Table>,
    grantors: BTreeMap<Target, Grantor>,
    peers: BTreeMap<Id, (usize, Id)>,
    /// Forwarded requests by the id that the caller's entry gave them.
    forwarded: BTreeMap<Id, Id>,
}

/// The policy.
pub(super) struct Policy {
    entries: Vec<Entry>,
    calls: BTreeMap<Id, Call>,
    forwarded: u64,
    body: Bytes,
}

/// Forwarded requests are counted from here, apart from those of callers.
const FORWARDED: u64 = 1 << 48;

type Effects = Vec<Effect<Message>>;

fn node(index: usize) -> Node {
    Node {
        vm: Vm(index as u32),
        incarnation: Incarnation(1),
    }
}

fn place(index: usize) -> Place {
    let data_centre = data_centre(index);
    Place {
        region: Region(u16::from(data_centre == DATA_CENTRES - 1)),
        data_centre: DataCentre(data_centre as u16),
    }
}

fn owner(partition: Partition) -> usize {
    usize::from(partition.0) % ENTRIES
}

fn clock(now: Instant) -> Now {
    Now {
        instant: now,
        stamp: Stamp(EPOCH + now.0 / 1000),
    }
}

impl Policy {
    pub(super) fn new(_scenario: &Scenario) -> Policy {
        let mut policy = Policy {
            entries: (0..ENTRIES).map(Entry::new).collect(),
            calls: BTreeMap::new(),
            forwarded: FORWARDED,
            body: Bytes::from(vec![0; ANSWER_BYTES]),
        };
        for index in 0..PARTITIONS.0 {
            policy.own(Partition(index));
        }
        policy
    }

    /// Makes a partition's owner known to all.
    fn own(&mut self, partition: Partition) {
        let index = owner(partition);
        let known = Owner {
            term: Term(1),
            node: node(index),
            place: place(index),
            until: FOREVER,
        };
        for entry in &mut self.entries {
            let input = Input::Owner(partition, known);
            entry.dispatcher.step(Instant(0), input, &mut Vec::new());
        }
        let acquired = Acquired {
            term: Term(1),
            before: None,
            how: Acquisition::First,
        };
        let now = clock(Instant(0));
        let rules = dedup::Rules::default();
        let mut table = dedup::recover(rules, now, &[], acquired, &mut Vec::new());
        let standing = OwnerStatus {
            until: FOREVER,
            log_up: true,
            promised: false,
        };
        table.step(now, dedup::Input::OwnerStatus(standing), &mut Vec::new());
        self.entries[index].tables.insert(partition, table);
    }

    fn dispatch(&mut self, now: Instant, entry: usize, input: Input, out: &mut Effects) {
        let mut outputs = Vec::new();
        self.entries[entry]
            .dispatcher
            .step(now, input, &mut outputs);
        for output in outputs {
            self.output(entry, output, out);
        }
    }

    fn output(&mut self, entry: usize, output: Output, out: &mut Effects) {
        match output {
            Output::Answer(id, answer) => self.answer(entry, id, answer, out),
            Output::Forward(id, to) => self.forward(entry, id, to, out),
            Output::Admit(partition, submission) => {
                let input = dedup::Input::Submit(submission);
                out.push(local(entry, Message::Table(partition, input)));
            }
            Output::Report {
                partition,
                id,
                key,
                report,
            } => {
                let input = match report {
                    Report::Finished(outcome) => dedup::Input::Finished { id, key, outcome },
                    Report::NotDispatched(answer) => {
                        dedup::Input::NotDispatched { id, key, answer }
                    }
                    Report::Abandoned => dedup::Input::Abandoned { id, key },
                };
                out.push(local(entry, Message::Table(partition, input)));
            }
            Output::RequestSlots(partition, ask) => out.push(Effect::Message {
                to: owner(partition),
                delay: Duration::ZERO,
                bytes: 0,
                message: Message::Ask { from: entry, ask },
            }),
            Output::Send {
                target,
                connection,
                attempt,
                ..
            } => out.push(Effect::Send {
                target: target.0 as usize,
                id: self.entries[entry].caller_id(attempt.request).0,
                token: token(connection, attempt),
            }),
            Output::Ping(target, connection) => {
                let input = Input::Received { target, connection };
                out.push(local(entry, Message::Dispatcher(input)));
            }
            Output::Open(..) | Output::Close(..) | Output::Drained => {}
        }
    }

    fn answer(&mut self, entry: usize, id: Id, answer: Answer, out: &mut Effects) {
        self.calls.remove(&id);
        let Some((from, own)) = self.entries[entry].peers.remove(&id) else {
            let is_good = answer.result.is_ok();
            out.push(Effect::Answer { id: id.0, is_good });
            return;
        };
        let body = answer.result.as_ref().map_or(0, Bytes::len);
        self.entries[entry].forwarded.remove(&own);
        out.push(Effect::Message {
            to: from,
            delay: Duration::ZERO,
            bytes: body,
            message: Message::Dispatcher(Input::ForwardAnswered(own, answer)),
        });
    }

    fn forward(&mut self, entry: usize, id: Id, to: Node, out: &mut Effects) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        self.forwarded += 1;
        let call = Call {
            id: Id(self.forwarded),
            origin: Origin::Peer,
            ..call.clone()
        };
        out.push(Effect::Message {
            to: to.vm.0 as usize,
            delay: Duration::ZERO,
            bytes: call.size as usize,
            message: Message::Forward {
                from: entry,
                id,
                call,
            },
        });
    }

    /// Gives an input to a table; appends are durable after a group commit.
    fn table(
        &mut self,
        now: Instant,
        entry: usize,
        partition: Partition,
        input: dedup::Input,
        out: &mut Effects,
    ) {
        let mut outputs = Vec::new();
        if let Some(table) = self.entries[entry].tables.get_mut(&partition) {
            table.step(clock(now), input, &mut outputs);
        }
        for output in outputs {
            let verdict = match output {
                dedup::Output::Append { serial, .. } => {
                    let message = Message::Table(partition, dedup::Input::Durable(serial));
                    out.push(Effect::Message {
                        to: entry,
                        delay: COMMIT,
                        bytes: 0,
                        message,
                    });
                    continue;
                }
                dedup::Output::Run { id, key } => Verdict::Run(id, key),
                dedup::Output::Answer { id, answer } => Verdict::Answer(id, answer),
            };
            out.push(local(entry, Message::Dispatcher(Input::Verdict(verdict))));
        }
    }
}

impl Entry {
    fn new(index: usize) -> Entry {
        let member = Member {
            node: node(index),
            thread: 0,
        };
        let random = Pcg64Mcg::seed_from_u64(index as u64);
        let settings = Settings::builder().partitions(PARTITIONS).build();
        let mut dispatcher = Dispatcher::new(settings, member, place(index), random);
        let targets = (0..TARGETS).map(listed).collect();
        let listing = Listing {
            version: 1,
            targets,
        };
        dispatcher.step(Instant(0), Input::Targets(listing), &mut Vec::new());
        let own = (0..TARGETS).map(|target| Target(target as u32));
        let own = own.filter(|target| owner(PARTITIONS.of_target(*target)) == index);
        Entry {
            dispatcher,
            tables: BTreeMap::new(),
            grantors: own.map(|target| (target, grantor())).collect(),
            peers: BTreeMap::new(),
            forwarded: BTreeMap::new(),
        }
    }
}

impl Entry {
    /// Returns the id under which a caller's request is counted.
    fn caller_id(&self, id: Id) -> Id {
        self.peers.get(&id).map_or(id, |(_, id)| *id)
    }
}

fn capacity() -> Capacity {
    Capacity {
        slots: SLOTS as u32,
        connections: 64,
    }
}

fn grantor() -> Grantor {
    let mut grantor = Grantor::first(slot::Rules::default(), capacity());
    grantor.extend(FOREVER);
    grantor
}

fn listed(target: usize) -> Listed {
    Listed {
        target: Target(target as u32),
        place: place(target),
        capacity: capacity(),
        is_leaving: false,
    }
}

fn local(entry: usize, message: Message) -> Effect<Message> {
    Effect::Message {
        to: entry,
        delay: Duration::ZERO,
        bytes: 0,
        message,
    }
}

/// Packs a connection and the number of an attempt.
fn token(connection: Connection, attempt: Attempt) -> u64 {
    connection.0 << 8 | u64::from(attempt.number)
}

fn call(now: Instant, request: &Request) -> Call {
    let stamp = EPOCH + now.0 / 1000;
    let value = (u128::from(stamp) << 80) | (0x7 << 76) | (0x8 << 60);
    let key = Key(Uuid::from_u128(value | u128::from(request.id)));
    let (priority, safety, caller) = if request.is_lookup {
        (Priority::Lookup, Safety::Idempotent, request.id % 50)
    } else {
        let safety = Safety::AtMostOnce {
            key,
            fingerprint: 1,
        };
        (Priority::Bulk, safety, request.id % BULK_CALLERS)
    };
    Call {
        id: Id(request.id),
        caller: Caller(format!("caller-{caller}")),
        priority,
        safety,
        origin: Origin::Caller,
        deadline: request.deadline,
        size: REQUEST_BYTES,
    }
}

impl fabric::Policy for Policy {
    type Message = Message;

    fn arrive(&mut self, now: Instant, entry: usize, request: Request, out: &mut Effects) {
        let call = call(now, &request);
        if call.safety != Safety::Idempotent {
            self.calls.insert(call.id, call.clone());
        }
        self.dispatch(now, entry, Input::Arrived(call), out);
    }

    fn served(&mut self, now: Instant, entry: usize, answer: Answered, out: &mut Effects) {
        let reply = match answer.served {
            Served::Done => Reply::Done(self.body.clone()),
            Served::Failed => Reply::Failed(Error::new(Kind::TargetFailed, "it fails")),
            Served::Refused => Reply::Refused,
        };
        let own = Id(answer.id);
        let forwarded = self.entries[entry].forwarded.get(&own);
        let request = forwarded.copied().unwrap_or(own);
        let input = Input::Replied {
            target: Target(answer.target as u32),
            connection: Connection(answer.token >> 8),
            attempt: Attempt {
                request,
                number: (answer.token & 0xff) as u32,
            },
            reply,
        };
        self.dispatch(now, entry, input, out);
    }

    fn message(&mut self, now: Instant, entry: usize, message: Message, out: &mut Effects) {
        match message {
            Message::Dispatcher(input) => self.dispatch(now, entry, input, out),
            Message::Table(partition, input) => self.table(now, entry, partition, input, out),
            Message::Forward { from, id, call } => {
                self.entries[entry].peers.insert(call.id, (from, id));
                self.entries[entry].forwarded.insert(id, call.id);
                self.dispatch(now, entry, Input::Arrived(call), out);
            }
            Message::Ask { from, ask } => {
                let grantor = self.entries[entry].grantors.get_mut(&ask.target);
                let grant = grantor.and_then(|grantor| grantor.grant(now, &ask));
                out.extend(grant.map(|grant| Effect::Message {
                    to: from,
                    delay: Duration::ZERO,
                    bytes: 0,
                    message: Message::Dispatcher(Input::Granted(grant)),
                }));
            }
        }
    }

    fn is_control(message: &Message) -> bool {
        use Input::{Granted, Received};
        let is_upkeep = |input: &Input| matches!(input, Granted(_) | Received { .. });
        match message {
            Message::Ask { .. } => true,
            Message::Dispatcher(input) => is_upkeep(input),
            Message::Table(..) | Message::Forward { .. } => false,
        }
    }

    fn tick(&mut self, now: Instant, entry: usize, out: &mut Effects) {
        self.dispatch(now, entry, Input::Tick, out);
        let partitions: Vec<Partition> = self.entries[entry].tables.keys().copied().collect();
        for partition in partitions {
            self.table(now, entry, partition, dedup::Input::Tick, out);
        }
    }
}
