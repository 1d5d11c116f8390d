//! Every node delivers the same records, each once, and nothing durable is missing.

use std::collections::BTreeSet;

use laburnumplank::core::stream::{Record, Rules};
use proptest::prelude::*;
use proptest::test_runner::{TestCaseError, TestRunner};

use super::cell::{Cell, Machine, Op, ops};
use super::config;

/// A window that the short runs of a test exceed.
const WINDOW: u64 = 8;

/// The list of all delivered values.
#[derive(Clone, Debug, Default, PartialEq)]
struct List(Vec<u64>);

impl Machine for List {
    type Value = u64;
    type State = Vec<u64>;

    fn value(&self, number: u64, _choice: u8) -> u64 {
        number
    }

    fn apply(&mut self, record: &Record<u64>) {
        self.0.push(record.value);
    }

    fn state(&self) -> Vec<u64> {
        self.0.clone()
    }

    fn restore(&mut self, state: Vec<u64>) {
        self.0 = state;
    }
}

fn check(ops: &[Op], rules: Rules) -> Result<(), TestCaseError> {
    let mut cell = Cell::new(List::default(), rules);
    cell.run(ops);
    let all = cell.replay().0;
    let once: BTreeSet<u64> = all.iter().copied().collect();
    prop_assert_eq!(once.len(), all.len(), "a record was delivered twice");
    prop_assert!(cell.durable.is_subset(&once), "a durable record is missing");
    prop_assert_eq!(cell.unsettled(), 0, "a record was never settled");
    for member in &cell.members {
        prop_assert_eq!(&member.machine.0, &all, "a node delivered something else");
    }
    Ok(())
}

fn rules() -> Rules {
    Rules {
        window: WINDOW,
        ..Rules::default()
    }
}

/// Returns whether the fuzzing finds a fault under `rules`.
fn is_caught(rules: Rules) -> bool {
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

#[test]
fn oracle_catches_dedup_off() {
    assert!(is_caught(Rules {
        dedup: false,
        ..rules()
    }));
}

#[test]
fn oracle_catches_late_check_off() {
    assert!(is_caught(Rules {
        late: false,
        ..rules()
    }));
}
