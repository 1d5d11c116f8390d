//! Verdicts of the store, and the results that operators get.

use std::time::Duration;

use laburnumplank::core::config::{Body, FORMAT, Input, Output, Pending, Store, Verdict, Version};
use laburnumplank::core::error::Kind;
use laburnumplank::core::stream::writer::PushId;
use laburnumplank::core::time::Instant;
use uuid::Uuid;

use super::{change, record, weight};

fn patch(text: &str) -> Body {
    Body::Patch(text.to_owned())
}

#[test]
fn race_for_one_key_names_version_in_force() {
    let mut store = Store::default();
    let first = store.apply(&record(0, change(1, Version(0), weight("a", 1))));
    let second = store.apply(&record(1, change(2, Version(0), weight("a", 2))));
    assert_eq!(first, Verdict::Accepted(Version(1)));
    assert_eq!(
        second,
        Verdict::Conflict {
            in_force: Version(1)
        }
    );
}

#[test]
fn race_for_two_keys_accepts_both() {
    let mut store = Store::default();
    store.apply(&record(0, change(1, Version(0), weight("a", 1))));
    let second = store.apply(&record(1, change(2, Version(0), weight("b", 2))));
    assert_eq!(second, Verdict::Accepted(Version(2)));
    let third = store.apply(&record(
        2,
        change(3, Version(0), patch(r#"{"teams": null}"#)),
    ));
    assert_eq!(
        third,
        Verdict::Conflict {
            in_force: Version(2)
        }
    );
}

#[test]
fn disjoint_changes_with_a_broken_reference_are_invalid() {
    let mut store = Store::default();
    store.apply(&record(0, change(1, Version(0), weight("a", 1))));
    let drop = patch(r#"{"teams": {"a": null}}"#);
    store.apply(&record(1, change(2, Version(1), drop)));
    let body = patch(r#"{"services": {"filing": {"team": "a"}}}"#);
    let verdict = store.apply(&record(2, change(3, Version(1), body)));
    let Verdict::Invalid(faults) = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(faults[0].path, "services.filing.team");
    assert_eq!(store.version(), Version(2));
}

#[test]
fn base_beyond_window_is_a_conflict() {
    let mut store = Store::default();
    for number in 0..5_000 {
        store.apply(&record(
            number,
            change(number, store.version(), weight("a", 1 + number % 9)),
        ));
    }
    let verdict = store.apply(&record(5_000, change(5_000, Version(800), weight("b", 1))));
    assert_eq!(
        verdict,
        Verdict::Conflict {
            in_force: Version(5_000)
        }
    );
}

#[test]
fn newer_format_blocks_store() {
    let mut store = Store::default();
    let mut newer = change(1, Version(0), weight("a", 1));
    newer.format = FORMAT + 1;
    assert_eq!(store.apply(&record(0, newer)), Verdict::Unsupported);
    let later = store.apply(&record(1, change(2, Version(0), weight("a", 1))));
    assert_eq!(later, Verdict::Unsupported);
    assert_eq!(store.version(), Version(0));
    assert!(store.state().is_none());
}

#[test]
fn preview_changes_nothing() {
    let mut store = Store::default();
    store.apply(&record(0, change(1, Version(0), weight("a", 1))));
    let before = store.document().clone();
    let next = change(2, Version(1), weight("a", 2));
    assert_eq!(store.preview(&next), Verdict::Accepted(Version(2)));
    assert_eq!(store.document(), &before);
    assert_eq!(store.version(), Version(1));
}

#[test]
fn operator_is_answered_by_verdict_only() {
    let mut pending = Pending::default();
    let id = Uuid::from_u128(7);
    let deadline = Instant(0) + Duration::from_secs(5);
    let mut out = Vec::new();
    let submitted = Input::Submitted {
        id,
        push_id: PushId(1),
        deadline,
    };
    pending.step(Instant(0), submitted, &mut out);
    pending.step(Instant(1), Input::Tick, &mut out);
    assert!(out.is_empty());
    let verdict = Verdict::Conflict {
        in_force: Version(3),
    };
    pending.step(Instant(2), Input::Evaluated { id, verdict }, &mut out);
    let [
        Output::Answer {
            result: Err(error), ..
        },
    ] = &out[..]
    else {
        panic!("{out:?}");
    };
    assert_eq!(error.kind, Kind::Conflict);
    assert!(error.message.contains("version 3"));
}

#[test]
fn operator_at_deadline_gets_kind_by_whether_change_was_sent() {
    for (withdrawn, kind) in [(true, Kind::LogDown), (false, Kind::AnswerLost)] {
        let mut pending = Pending::default();
        let id = Uuid::from_u128(7);
        let mut out = Vec::new();
        let submitted = Input::Submitted {
            id,
            push_id: PushId(1),
            deadline: Instant(5),
        };
        pending.step(Instant(0), submitted, &mut out);
        pending.step(Instant(5), Input::Tick, &mut out);
        assert_eq!(out, [Output::Withdraw(PushId(1))]);
        out.clear();
        if withdrawn {
            pending.step(Instant(5), Input::Withdrawn(PushId(1)), &mut out);
        }
        pending.step(Instant(6), Input::Tick, &mut out);
        let [
            Output::Answer {
                result: Err(error), ..
            },
        ] = &out[..]
        else {
            panic!("{out:?}");
        };
        assert_eq!(error.kind, kind);
    }
}
