//! Property tests: every node delivers the same records, each once, including all durable ones.

use std::collections::{BTreeMap, BTreeSet};

use laburnumplank::core::id::Node;
use laburnumplank::core::stream::{Id, Record, Rules};
use proptest::prelude::*;
use proptest::test_runner::{TestCaseError, TestRunner};

use super::cell::{AppendOutcome, Cell, Op, StateMachine, ops};
use super::config;

/// A window, in offsets, small enough that the short runs of a test exceed it.
const WINDOW: u64 = 8;

/// A state machine that lists all delivered values with their ids.
#[derive(Clone, Debug, Default, PartialEq)]
struct List(Vec<(Id, u64)>);

impl StateMachine for List {
    type Value = u64;
    type State = Vec<(Id, u64)>;

    fn value(&self, number: u64, _choice: u8) -> u64 {
        number
    }

    fn apply(&mut self, record: &Record<u64>) {
        self.0.push((record.id, record.value));
    }

    fn state(&self) -> Vec<(Id, u64)> {
        self.0.clone()
    }

    fn restore(&mut self, state: Vec<(Id, u64)>) {
        self.0 = state;
    }
}

fn check(ops: &[Op], rules: Rules) -> Result<(), TestCaseError> {
    let mut cell = Cell::new(List::default(), rules);
    cell.run(ops);
    let all = cell.replay().0;
    let once: BTreeSet<u64> = all.iter().map(|(_, value)| *value).collect();
    prop_assert_eq!(once.len(), all.len(), "a record was delivered twice");
    prop_assert!(cell.durable.is_subset(&once), "a durable record is missing");
    prop_assert!(is_in_order(&all), "a writer's records are out of order");
    prop_assert_eq!(cell.unsettled(), 0, "a record was never settled");
    for member in &cell.members {
        prop_assert_eq!(
            &member.state_machine.0,
            &all,
            "a node delivered other records"
        );
    }
    Ok(())
}

/// Returns whether the records of each writer are in the order of their pushes.
fn is_in_order(all: &[(Id, u64)]) -> bool {
    let mut last: BTreeMap<Node, (Id, u64)> = BTreeMap::new();
    all.iter().all(|item| {
        let before = last.insert(item.0.node, *item);
        before.is_none_or(|before| before.0 < item.0 && before.1 < item.1)
    })
}

fn rules() -> Rules {
    Rules {
        window: WINDOW,
        ..Rules::default()
    }
}

/// Returns whether the property test fails under `rules`.
fn is_detected(rules: Rules) -> bool {
    let mut runner = TestRunner::new(config(500));
    runner.run(&ops(), |ops| check(&ops, rules)).is_err()
}

proptest! {
    #![proptest_config(config(300))]

    #[test]
    fn streams_survive_faults(ops in ops()) {
        check(&ops, rules())?;
    }

    #[test]
    fn streams_survive_faults_with_a_wide_window(ops in ops()) {
        check(&ops, Rules::default())?;
    }
}

/// A writer's append succeeds but its response is lost, and the writer is idle until all readers
/// have dropped it from their table of writers. When it runs again it must not append the batch
/// again.
#[test]
fn append_before_a_long_absence_is_not_repeated() {
    let mut ops = vec![Op::Push(0, 0), Op::Tick(0, AppendOutcome::AnswerLost, 10)];
    for _ in 0..2_000 {
        ops.extend([
            Op::Push(1, 0),
            Op::Tick(1, AppendOutcome::Answered, 10),
            Op::Read(1, 9),
        ]);
    }
    ops.extend([Op::Expire(2_000), Op::Read(0, 1)]);
    check(&ops, rules()).unwrap();
}

#[test]
fn oracle_catches_dedup_off() {
    assert!(is_detected(Rules {
        dedup: false,
        ..rules()
    }));
}

#[test]
fn oracle_catches_late_check_off() {
    assert!(is_detected(Rules {
        late: false,
        ..rules()
    }));
}
