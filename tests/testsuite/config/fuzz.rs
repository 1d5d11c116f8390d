//! Property tests: with concurrent operators on a faulty stream, all nodes agree with an oracle
//! that reads every record once and never recovers.

use std::collections::BTreeMap;

use laburnumplank::core::config::{
    self, Body, Change, Config, Rules, State, Store, Verdict, Version, apply,
};
use laburnumplank::core::stream::{self, Id, Record};
use proptest::prelude::*;
use proptest::test_runner::{TestCaseError, TestRunner};
use serde_json::{Value, json};
use uuid::Uuid;

use super::{change, record, weight};
use crate::stream::cell::{Cell, Op, StateMachine, ops};
use crate::stream::config;

const TEAMS: [&str; 3] = ["a", "b", "c"];

/// A store with the records that it applied itself and their verdicts.
#[derive(Clone, Debug, Default)]
struct Ledger {
    store: Store,
    verdicts: BTreeMap<Id, Verdict>,
    records: Vec<Record<Change>>,
}

impl StateMachine for Ledger {
    type Value = Change;
    type State = State;

    /// Returns changes that compete for a key; some replace the whole document, have an old base,
    /// are invalid or are sent twice.
    fn value(&self, number: u64, choice: u8) -> Change {
        let team = TEAMS[usize::from(choice) % TEAMS.len()];
        let base = self.store.version();
        match choice / 32 {
            0 => change(
                number,
                base,
                Body::Whole(json!({"limits": {"waiting_jobs": number + 1}}).to_string()),
            ),
            1 => change(
                number,
                Version(base.0.saturating_sub(2)),
                weight(team, number + 1),
            ),
            2 => change(number, base, weight(team, 0)),
            3 => change(number / 2, base, weight(team, number / 2 + 1)),
            4 => change(number, base, service_of(team)),
            5 => change(
                number,
                base,
                Body::Patch(format!(r#"{{"teams": {{"{team}": null}}}}"#)),
            ),
            _ => change(number, base, weight(team, number + 1)),
        }
    }

    fn apply(&mut self, record: &Record<Change>) {
        let before = self.store.version();
        let verdict = self.store.apply(record);
        assert!(self.store.version() >= before, "the version decreased");
        self.verdicts.insert(record.id, verdict);
        self.records.push(record.clone());
    }

    fn state(&self) -> State {
        self.store.state().unwrap()
    }

    fn restore(&mut self, state: State) {
        let before = self.store.version();
        self.store.restore(state).unwrap();
        assert!(self.store.version() >= before, "the version decreased");
    }
}

/// A naive store that keeps all accepted changes and all verdicts.
#[derive(Default)]
struct Oracle {
    document: Value,
    accepted: Vec<(Uuid, Body)>,
    verdicts: BTreeMap<Id, Verdict>,
}

impl Oracle {
    fn apply(&mut self, record: &Record<Change>) {
        let change = &record.value;
        let verdict = self.evaluate(change);
        if matches!(verdict, Verdict::Accepted(_)) {
            self.accepted.push((change.id, change.body.clone()));
            self.document = self.changed(&change.body);
        }
        self.verdicts.insert(record.id, verdict);
    }

    fn evaluate(&self, change: &Change) -> Verdict {
        let in_force = Version(self.accepted.len() as u64);
        if let Some(index) = self.accepted.iter().position(|(id, _)| *id == change.id) {
            return Verdict::Repeated(Version(index as u64 + 1));
        }
        let later = &self.accepted[change.base.0.min(in_force.0) as usize..];
        if later.iter().any(|(_, body)| conflicts(body, &change.body)) {
            return Verdict::Conflict { in_force };
        }
        match Config::parse(&self.changed(&change.body)) {
            Ok(_) => Verdict::Accepted(Version(in_force.0 + 1)),
            Err(faults) => Verdict::Invalid(faults),
        }
    }

    fn changed(&self, body: &Body) -> Value {
        let mut document = self.document.clone();
        if document.is_null() {
            document = json!({});
        }
        match body {
            Body::Whole(text) => serde_json::from_str(text).unwrap(),
            Body::Patch(text) => {
                apply(&mut document, &serde_json::from_str(text).unwrap());
                document
            }
        }
    }
}

/// Returns whether two changes modify the same team or the service, or one replaces the document.
fn conflicts(one: &Body, other: &Body) -> bool {
    let (Body::Patch(one), Body::Patch(other)) = (one, other) else {
        return true;
    };
    TEAMS.iter().chain([&"s"]).any(|member| {
        let key = format!("\"{member}\": ");
        one.contains(&key) && other.contains(&key)
    })
}

fn check(ops: &[Op], rules: Rules) -> Result<(), TestCaseError> {
    let blank = Ledger {
        store: Store::with_rules(rules),
        ..Ledger::default()
    };
    let window = stream::Rules {
        window: 8,
        ..stream::Rules::default()
    };
    let mut cell = Cell::new(blank, window);
    cell.run(ops);
    let replay = cell.replay();
    let mut oracle = Oracle::default();
    for record in &replay.records {
        oracle.apply(record);
    }
    for ledger in cell
        .members
        .iter()
        .map(|member| &member.state_machine)
        .chain([&replay])
    {
        let version = Version(oracle.accepted.len() as u64);
        prop_assert_eq!(ledger.store.version(), version);
        prop_assert_eq!(ledger.store.document(), &oracle.changed(&no_change()));
        let config = Config::parse(ledger.store.document());
        prop_assert_eq!(Ok(ledger.store.config().as_ref()), config.as_ref());
        for (id, verdict) in &ledger.verdicts {
            prop_assert_eq!(verdict, &oracle.verdicts[id]);
        }
    }
    Ok(())
}

/// Returns a patch that sets the team of the service `s`.
fn service_of(team: &str) -> Body {
    Body::Patch(format!(r#"{{"services": {{"s": {{"team": "{team}"}}}}}}"#))
}

/// Returns a patch that changes nothing.
fn no_change() -> Body {
    Body::Patch("{}".to_owned())
}

proptest! {
    #![proptest_config(config(200))]

    #[test]
    fn concurrent_changes_get_same_verdicts_on_all_nodes(ops in ops()) {
        check(&ops, Rules::default())?;
    }

    #[test]
    fn versions_never_go_back(steps in steps()) {
        check_forward(&steps, Rules::default())?;
    }
}

#[test]
fn oracle_catches_base_check_off() {
    let rules = Rules {
        base: false,
        ..Rules::default()
    };
    let mut runner = TestRunner::new(config(500));
    assert!(runner.run(&ops(), |ops| check(&ops, rules)).is_err());
}

/// One step of a store: a new record, or the record or the state of an earlier step again.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A new change of the team with this index.
    Next(u64),
    Record(usize),
    State(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0..3_u64).prop_map(Step::Next),
        1 => (0..20_usize).prop_map(Step::Record),
        1 => (0..20_usize).prop_map(Step::State),
    ];
    proptest::collection::vec(step, 1..40)
}

fn check_forward(steps: &[Step], rules: Rules) -> Result<(), TestCaseError> {
    let mut store = Store::with_rules(rules);
    let mut records = Vec::new();
    let mut states = vec![store.state().unwrap()];
    for step in steps {
        let before = store.version();
        match step {
            Step::Next(team) => {
                let number = records.len() as u64;
                let body = weight(TEAMS[*team as usize], number + 1);
                records.push(record(number, change(number, before, body)));
                store.apply(records.last().unwrap());
                states.push(store.state().unwrap());
            }
            Step::Record(index) => {
                if let Some(record) = records.get(*index) {
                    let verdict = store.apply(record);
                    prop_assert_eq!(verdict, Verdict::Stale);
                }
            }
            Step::State(index) => {
                if let Some(state) = states.get(*index) {
                    store.restore(state.clone()).unwrap();
                }
            }
        }
        prop_assert!(store.version() >= before);
    }
    Ok(())
}

#[test]
fn oracle_catches_forward_check_off() {
    let rules = Rules {
        forward: false,
        ..Rules::default()
    };
    let mut runner = TestRunner::new(config(500));
    assert!(
        runner
            .run(&steps(), |steps| check_forward(&steps, rules))
            .is_err()
    );
}

#[test]
fn history_shows_each_version() {
    let mut store = Store::default();
    let mut documents = vec![store.document().clone()];
    for number in 0..100_u64 {
        let body = weight(TEAMS[number as usize % 3], number + 1);
        store.apply(&record(number, change(number, store.version(), body)));
        documents.push(store.document().clone());
    }
    assert_eq!(store.history().len(), config::HISTORY);
    for (number, document) in documents.iter().enumerate().skip(100 - config::HISTORY) {
        assert_eq!(
            &store.document_at(Version(number as u64)).unwrap(),
            document
        );
    }
    assert!(store.document_at(Version(10)).is_err());
    let diff = store.diff(Version(99), Version(100)).unwrap();
    assert_eq!(diff, json!({"teams": {"a": {"weight": 100}}}));
}
