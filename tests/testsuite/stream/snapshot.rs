//! Snapshots: no partial state is returned, the newest complete one is found, and snapshots are
//! renewed in time.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnumplank::core::stream::snapshot::{
    self, CompleteSnapshot, Finder, Part, Publisher, Rules, finder, publisher, split,
};
use laburnumplank::core::stream::writer::PushId;
use laburnumplank::core::stream::{Batch, Body, Sequence, encode};
use laburnumplank::core::time::Instant;
use proptest::prelude::*;
use proptest::test_runner::{TestCaseError, TestRunner};

use super::{Log, config, node};

/// The damage to a part when it is appended to the log.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Damage {
    None,
    Missing,
    Torn,
    Twice,
}

#[derive(Clone, Debug)]
struct Case {
    /// The size in kilobytes of each snapshot and the damage to each of its parts.
    snapshots: Vec<(usize, Vec<Damage>)>,
    /// How many entries have expired from the start of the log.
    expired: u64,
    /// The number of entries in a page.
    page: usize,
}

fn cases() -> impl Strategy<Value = Case> {
    let damage = prop_oneof![
        8 => Just(Damage::None),
        1 => Just(Damage::Missing),
        1 => Just(Damage::Torn),
        1 => Just(Damage::Twice),
    ];
    let snapshot = (0..300_usize, proptest::collection::vec(damage, 5));
    let snapshots = proptest::collection::vec(snapshot, 0..6);
    (snapshots, 0..6_u64, 1..5_usize).prop_map(|(snapshots, expired, page)| Case {
        snapshots,
        expired,
        page,
    })
}

fn entry(part: &Part) -> Vec<u8> {
    let batch = Batch {
        node: node(1, 1),
        first: Sequence(1),
        read_position: 0,
        records: vec![Body(encode(part).unwrap())],
    };
    batch.to_entry().unwrap()
}

/// Appends the parts of one snapshot to the log. Returns the oldest offset that must be kept for
/// the snapshot to be complete, or `None` if a part is missing or torn.
fn append_parts(log: &mut Log, parts: &[Part], damages: &[Damage]) -> Option<u64> {
    let mut oldest = Some(u64::MAX);
    for (part, damage) in parts.iter().zip(damages) {
        let mut part = part.clone();
        let is_torn = *damage == Damage::Torn && part.data.0.pop().is_some();
        let copies = match damage {
            Damage::Missing => 0,
            Damage::Twice => 2,
            Damage::None | Damage::Torn => 1,
        };
        let last = (0..copies).map(|_| log.append(&entry(&part))).last();
        oldest = oldest.min(last.filter(|_| !is_torn));
    }
    oldest
}

fn find(log: &Log, page: usize, rules: Rules) -> Option<CompleteSnapshot> {
    let mut finder = Finder::with_rules(rules, 1);
    let mut out = Vec::new();
    finder.step(Instant(0), finder::Input::Tick, &mut out);
    for _ in 0..10_000 {
        match out.pop()? {
            finder::Output::Fetch { from, bounds_only } => {
                let most = if bounds_only { 0 } else { page };
                let input = finder::Input::Page(log.page(from, most));
                finder.step(Instant(0), input, &mut out);
            }
            finder::Output::Found(snapshot) => return Some(snapshot),
            finder::Output::Missing => return None,
        }
    }
    panic!("the search doesn't end");
}

fn check(case: &Case, rules: Rules) -> Result<(), TestCaseError> {
    let mut log = Log::default();
    let mut states = BTreeMap::new();
    let mut newest = None;
    for (number, (size, damages)) in case.snapshots.iter().enumerate() {
        let number = number as u64;
        let state: Vec<u8> = (0..size * 1_000)
            .map(|n| (n as u64 * (number + 3)) as u8)
            .collect();
        let id = snapshot::Id {
            node: node(1, 1),
            number,
        };
        let parts = split(id, number * 10, &state).unwrap();
        if append_parts(&mut log, &parts, damages).is_some_and(|oldest| oldest >= case.expired) {
            newest = Some(number * 10);
        }
        states.insert(number * 10, state);
    }
    log.first = case.expired.min(log.next());
    let found = find(&log, case.page, rules);
    prop_assert_eq!(found.as_ref().map(|snapshot| snapshot.covers), newest);
    if let Some(snapshot) = found {
        prop_assert!(
            snapshot.bytes == states[&snapshot.covers],
            "the state differs from the one written"
        );
    }
    Ok(())
}

fn is_detected(rules: Rules) -> bool {
    let mut runner = TestRunner::new(config(200));
    runner.run(&cases(), |case| check(&case, rules)).is_err()
}

proptest! {
    #![proptest_config(config(60))]

    #[test]
    fn newest_complete_snapshot_is_found(case in cases()) {
        check(&case, Rules::default())?;
    }
}

#[test]
fn oracle_catches_checksum_off() {
    assert!(is_detected(Rules {
        checksum: false,
        ..Rules::default()
    }));
}

#[test]
fn oracle_catches_part_count_off() {
    assert!(is_detected(Rules {
        count: false,
        checksum: false
    }));
}

/// A publisher with a writer that makes records durable at once unless the log is down.
struct Owner {
    publisher: Publisher,
    captured: u64,
    written: Vec<(Instant, u64)>,
    push_ids: u64,
    is_down: bool,
}

impl Owner {
    fn new(retention: Duration) -> Owner {
        Owner {
            publisher: Publisher::new(node(1, 1), retention),
            captured: 0,
            written: Vec::new(),
            push_ids: 0,
            is_down: false,
        }
    }

    fn step(&mut self, now: Instant, input: publisher::Input) {
        let mut out = Vec::new();
        self.publisher.step(now, input, &mut out).unwrap();
        for output in out {
            self.carry_out(now, output);
        }
    }

    fn carry_out(&mut self, now: Instant, output: publisher::Output) {
        match output {
            publisher::Output::Capture => {
                self.captured += 1;
                let bytes = vec![7; 150_000];
                let covers = self.captured;
                self.step(now, publisher::Input::Captured { covers, bytes });
            }
            publisher::Output::Push(part) if self.is_down => {
                self.step(now, publisher::Input::Refused(part));
            }
            publisher::Output::Push(_) => {
                self.push_ids += 1;
                let push_id = PushId(self.push_ids);
                self.step(now, publisher::Input::Pushed(push_id));
                self.step(now, publisher::Input::Durable(vec![push_id]));
            }
            publisher::Output::Written { covers } => self.written.push((now, covers)),
        }
    }

    fn run(&mut self, from: u64, to: u64) {
        for second in from..to {
            self.step(Instant(second * 1_000_000), publisher::Input::Tick);
        }
    }
}

#[test]
fn snapshot_is_renewed_before_retention() {
    let mut owner = Owner::new(Duration::from_secs(400));
    owner.run(0, 10);
    assert!(
        owner.written.is_empty(),
        "a node that isn't the owner wrote a snapshot"
    );
    owner.step(Instant(10_000_000), publisher::Input::Owner(true));
    owner.run(10, 1_000);
    let times: Vec<u64> = owner
        .written
        .iter()
        .map(|(at, _)| at.0 / 1_000_000)
        .collect();
    assert_eq!(times.len(), 10);
    assert!(times.windows(2).all(|pair| pair[1] - pair[0] <= 101));
}

#[test]
fn snapshot_is_written_at_once_after_an_outage() {
    let mut owner = Owner::new(Duration::from_secs(400));
    owner.step(Instant(0), publisher::Input::Owner(true));
    owner.is_down = true;
    owner.run(1, 1_000);
    let before = owner.written.len();
    owner.is_down = false;
    owner.run(1_000, 1_002);
    assert_eq!(owner.written.len(), before + 1);
}

#[test]
fn snapshot_with_a_lost_part_is_written_again() {
    let mut publisher = Publisher::new(node(1, 1), Duration::from_secs(400));
    let mut out = Vec::new();
    publisher
        .step(Instant(0), publisher::Input::Owner(true), &mut out)
        .unwrap();
    let captured = publisher::Input::Captured {
        covers: 5,
        bytes: vec![1],
    };
    publisher.step(Instant(0), captured, &mut out).unwrap();
    publisher
        .step(Instant(0), publisher::Input::Pushed(PushId(1)), &mut out)
        .unwrap();
    out.clear();
    let unknown = publisher::Input::Unknown(vec![PushId(1)]);
    publisher.step(Instant(0), unknown, &mut out).unwrap();
    assert_eq!(out, [publisher::Output::Capture]);
}
