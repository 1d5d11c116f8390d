//! Checks of the configuration document, and merge patches.

use laburnumplank::core::config::{Config, apply, diff};
use laburnumplank::core::id::Service;
use proptest::prelude::*;
use serde_json::{Map, Value, json};

use crate::stream::config;

#[test]
fn document_lists_all_faults() {
    let document = json!({
        "services": {
            "Filing": {},
            "filing": {"timeout_ms": 0, "team": "none", "colour": "red", "idempotent_methods": ["a", "a"]},
            "lookup": {"concurrency": 4, "reserved_for_lookups": 4, "timeout_ms": 70_000},
        },
        "teams": {"a": {"weight": "heavy"}, "b": 3},
        "limits": {"request_bytes": 1.5},
        "quotas": {},
    });
    let faults = Config::parse(&document).unwrap_err();
    let mut paths: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
    paths.sort_unstable();
    let expected = [
        "limits.request_bytes",
        "quotas",
        "services.Filing",
        "services.filing.colour",
        "services.filing.idempotent_methods[1]",
        "services.filing.team",
        "services.filing.timeout_ms",
        "services.lookup.reserved_for_lookups",
        "services.lookup.timeout_ms",
        "teams.a.weight",
        "teams.b",
    ];
    assert_eq!(paths, expected);
    assert!(faults.iter().all(|fault| !fault.remedy.is_empty()));
}

#[test]
fn document_defaults_are_valid() {
    let document = json!({"services": {"filing": {}}, "teams": {"a": {"cpu_millis": 4_000}}});
    let config = Config::parse(&document).unwrap();
    let service = &config.services[&Service("filing".to_owned())];
    assert!(service.timeout <= service.max_timeout);
    assert_eq!(Config::parse(&json!({})).unwrap(), Config::default());
}

#[test]
fn document_lists_at_most_a_hundred_faults() {
    let teams: Map<String, Value> = (0..500).map(|n| (format!("T{n}"), json!({}))).collect();
    let faults = Config::parse(&json!({"teams": teams})).unwrap_err();
    assert_eq!(faults.len(), 100);
}

/// Returns arbitrary documents; only with `nulls` they may hold `null`.
fn documents(nulls: bool) -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        4 => (0..3_u64).prop_map(Value::from),
        1 => Just(json!([1])),
        u32::from(nulls) => Just(Value::Null),
    ];
    let value = leaf.prop_recursive(3, 24, 4, |inner| members(inner).boxed());
    members(value)
}

/// Returns objects whose members have this value.
fn members(value: impl Strategy<Value = Value>) -> impl Strategy<Value = Value> {
    proptest::collection::btree_map("[abc]", value, 0..4)
        .prop_map(|members| Value::Object(members.into_iter().collect()))
}

proptest! {
    #![proptest_config(config(500))]

    #[test]
    fn diff_leads_from_one_document_to_the_other(from in documents(false), to in documents(false)) {
        let mut document = from.clone();
        apply(&mut document, &diff(&from, &to));
        prop_assert_eq!(document, to);
    }

    #[test]
    fn undo_leads_back(document in documents(false), patch in documents(true)) {
        let mut changed = document.clone();
        let undo = apply(&mut changed, &patch);
        apply(&mut changed, &undo);
        prop_assert_eq!(changed, document);
    }
}
