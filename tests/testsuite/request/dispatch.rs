//! The dispatcher without the other parts.

use std::time::Duration;

use bytes::Bytes;
use laburnumplank::core::error::{Effect, Error, Kind};
use laburnumplank::core::id::{Caller, DataCentre, Incarnation, Key, Node, Partition, Region};
use laburnumplank::core::id::{Target, Vm};
use laburnumplank::core::request::dedup::Term;
use laburnumplank::core::request::dispatcher::{
    Input, Listed, Listing, Output, Owner, Reason, Reply,
};
use laburnumplank::core::request::link::{Attempt, Connection};
use laburnumplank::core::request::route::{Partitions, Place};
use laburnumplank::core::request::slot::{Capacity, Grant, Member};
use laburnumplank::core::request::{Answer, Call, Dispatcher, Id, Origin, Safety, Settings};
use laburnumplank::core::time::Instant;
use laburnumplank::core::workload::Priority;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use uuid::Uuid;

/// An entry with a dispatcher whose requests for slots are granted at once.
struct Entry {
    dispatcher: Dispatcher<Pcg32>,
    now: Instant,
    out: Vec<Output>,
}

fn node(vm: u32) -> Node {
    Node {
        vm: Vm(vm),
        incarnation: Incarnation(1),
    }
}

fn place(region: u16) -> Place {
    Place {
        region: Region(region),
        data_centre: DataCentre(region),
    }
}

fn listing(version: u64, targets: &[(u32, u16, bool)]) -> Input {
    let listed = |&(target, region, is_leaving): &(u32, u16, bool)| Listed {
        target: Target(target),
        place: place(region),
        capacity: Capacity {
            slots: 8,
            connections: 64,
        },
        is_leaving,
    };
    Input::Targets(Listing {
        version,
        targets: targets.iter().map(listed).collect(),
    })
}

fn call(id: u64, priority: Priority) -> Call {
    Call {
        id: Id(id),
        caller: Caller("one".to_owned()),
        priority,
        safety: Safety::Idempotent,
        origin: Origin::Caller,
        deadline: Instant(20_000_000),
        size: 100,
    }
}

impl Entry {
    fn new(targets: &[(u32, u16, bool)]) -> Entry {
        let settings = Settings::builder().partitions(Partitions(1)).build();
        let member = Member {
            node: node(1),
            thread: 0,
        };
        let random = Pcg32::seed_from_u64(3);
        let mut entry = Entry {
            dispatcher: Dispatcher::new(settings, member, place(0), random),
            now: Instant(10_000_000),
            out: Vec::new(),
        };
        entry.step(listing(1, targets));
        entry
    }

    /// Handles an input and grants all requested slots.
    fn step(&mut self, input: Input) {
        let mut out = Vec::new();
        self.dispatcher.step(self.now, input, &mut out);
        for output in out {
            if let Output::RequestSlots(_, request) = &output {
                let grant = Grant {
                    member: request.member,
                    target: request.target,
                    sequence: request.sequence,
                    slots: request.wants,
                    connections: request.wants * 8,
                };
                self.step(Input::Granted(grant));
            }
            self.out.push(output);
        }
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
        self.step(Input::Tick);
    }

    /// Returns the target, connection and attempt of the last sent request.
    fn last_sent(&self) -> Option<(Target, Connection, Attempt)> {
        self.out.iter().rev().find_map(|output| match output {
            Output::Send {
                target,
                connection,
                attempt,
                ..
            } => Some((*target, *connection, *attempt)),
            _ => None,
        })
    }

    fn reply(&mut self, reply: Reply) {
        let (target, connection, attempt) = self.last_sent().unwrap();
        self.step(Input::Replied {
            target,
            connection,
            attempt,
            reply,
        });
    }

    fn answers(&self, id: u64) -> Vec<&Answer> {
        let answers = self.out.iter().filter_map(|output| match output {
            Output::Answer(of, answer) if *of == Id(id) => Some(answer),
            _ => None,
        });
        answers.collect()
    }

    fn kind(&self, id: u64) -> Option<Kind> {
        let answer = *self.answers(id).first()?;
        answer.result.as_ref().err().map(|error| error.kind)
    }
}

#[test]
fn drain_finishes_requests_in_flight() {
    let mut entry = Entry::new(&[(1, 0, false)]);
    entry.step(Input::Arrived(call(1, Priority::Lookup)));
    entry.step(Input::Drain);
    entry.step(Input::Arrived(call(2, Priority::Lookup)));
    assert_eq!(entry.kind(2), Some(Kind::Stopping));
    assert!(!entry.out.contains(&Output::Drained));
    entry.reply(Reply::Done(Bytes::from_static(b"x")));
    assert_eq!(entry.answers(1), [&Answer::done(Bytes::from_static(b"x"))]);
    entry.advance(10);
    let drained = entry
        .out
        .iter()
        .filter(|output| **output == Output::Drained);
    assert_eq!(drained.count(), 1);
}

#[test]
fn leaving_target_gets_no_new_requests() {
    let mut entry = Entry::new(&[(1, 0, false), (2, 0, false)]);
    entry.step(listing(2, &[(1, 0, true), (2, 0, false)]));
    entry.step(listing(1, &[(1, 0, false), (2, 0, false)]));
    for id in 0..6 {
        entry.step(Input::Arrived(call(id, Priority::Lookup)));
        assert_eq!(entry.last_sent().unwrap().0, Target(2));
        entry.advance(50);
    }
}

#[test]
fn missing_target_is_answered_at_once() {
    let mut entry = Entry::new(&[(1, 0, true)]);
    entry.step(Input::Arrived(call(1, Priority::Lookup)));
    assert_eq!(entry.kind(1), Some(Kind::NoTarget));
    assert_eq!(entry.answers(1)[0].effect, Effect::NotRun);
}

#[test]
fn repeated_answer_is_ignored() {
    let mut entry = Entry::new(&[(1, 0, false)]);
    entry.step(Input::Arrived(call(1, Priority::Lookup)));
    let (target, connection, attempt) = entry.last_sent().unwrap();
    entry.reply(Reply::Done(Bytes::from_static(b"one")));
    entry.step(Input::Arrived(call(2, Priority::Lookup)));
    entry.step(Input::Replied {
        target,
        connection,
        attempt,
        reply: Reply::Done(Bytes::from_static(b"one")),
    });
    assert!(entry.answers(2).is_empty());
    assert_eq!(entry.dispatcher.counters().ignored_answers, 1);
}

#[test]
fn failed_attempt_is_retried() {
    let mut entry = Entry::new(&[(1, 0, false), (2, 0, false)]);
    entry.step(Input::Arrived(call(1, Priority::Lookup)));
    entry.reply(Reply::Failed(Error::new(Kind::TargetFailed, "broken")));
    assert!(entry.answers(1).is_empty());
    entry.advance(100);
    assert_eq!(entry.last_sent().unwrap().2.number, 2);
    entry.reply(Reply::Done(Bytes::new()));
    assert_eq!(entry.answers(1).len(), 1);
}

#[test]
fn silent_connection_is_replaced_and_its_request_retried() {
    let mut entry = Entry::new(&[(1, 0, false)]);
    entry.step(Input::Arrived(call(1, Priority::Lookup)));
    let (_, silent, _) = entry.last_sent().unwrap();
    for _ in 0..30 {
        entry.advance(100);
    }
    assert!(entry.out.contains(&Output::Close(Target(1), silent)));
    let (_, connection, attempt) = entry.last_sent().unwrap();
    assert_ne!(connection, silent);
    assert_eq!(attempt.number, 2);
}

#[test]
fn request_is_answered_by_its_deadline_in_any_stage() {
    let mut entry = Entry::new(&[(1, 0, false)]);
    for id in 0..12 {
        entry.step(Input::Arrived(call(id, Priority::Lookup)));
    }
    while entry.now < Instant(20_000_000) {
        let (target, connection, _) = entry.last_sent().unwrap();
        entry.step(Input::Received { target, connection });
        entry.advance(100);
    }
    assert!((0..12).all(|id| entry.answers(id).len() == 1));
}

#[test]
fn bulk_stays_in_a_region_with_a_usable_target() {
    let mut entry = Entry::new(&[(1, 0, false), (2, 1, false)]);
    for id in 0..16 {
        entry.step(Input::Arrived(call(id, Priority::Bulk)));
        entry.advance(50);
    }
    assert_eq!(entry.dispatcher.counters().remote.total(), 0);
    assert!(entry.dispatcher.waiting() > 0);
    for id in 20..24 {
        entry.step(Input::Arrived(call(id, Priority::Lookup)));
        entry.advance(50);
    }
    assert!(entry.dispatcher.counters().remote.bytes(Reason::Request) > 0);
}

#[test]
fn key_without_known_owner_has_unknown_effect() {
    let mut entry = Entry::new(&[(1, 0, false)]);
    let key = Key(Uuid::from_u128(7));
    let keyed = Call {
        safety: Safety::AtMostOnce {
            key,
            fingerprint: 1,
        },
        ..call(1, Priority::Normal)
    };
    entry.step(Input::Arrived(keyed.clone()));
    assert_eq!(entry.kind(1), Some(Kind::NoOwner));
    assert_eq!(entry.answers(1)[0].effect, Effect::Unknown);
    let owner = Owner {
        term: Term(1),
        node: node(2),
        place: place(1),
        until: Instant(0),
    };
    entry.step(Input::Owner(Partition(0), owner));
    entry.step(Input::Arrived(Call { id: Id(2), ..keyed }));
    assert!(entry.out.contains(&Output::Forward(Id(2), node(2))));
    assert_eq!(
        entry.dispatcher.counters().remote.bytes(Reason::Forward),
        100
    );
}
