//! When the connections to a peer are given up.

use std::time::Duration;

use laburnumplank::core::connection::{History, Silence};
use laburnumplank::core::time::Instant;
use proptest::prelude::*;

fn at(ms: u64) -> Instant {
    Instant(ms * 1_000)
}

/// A timeout on each of many silent connections left a worker without a poll past its lease.
#[test]
fn time_out_after_responses_replaces_connections_once() {
    let mut history = History::default();
    let commands: Vec<_> = (0..36).map(|_| history.send(at(0))).collect();
    for command in commands {
        assert_eq!(history.answer(command, at(10)), None);
    }
    let silent: Vec<_> = (0..36).map(|_| history.send(at(1_000))).collect();
    let verdicts = silent.iter().map(|&request| history.time_out(request));
    let verdicts: Vec<_> = verdicts.flatten().collect();
    assert_eq!(verdicts, [Silence::Complete]);
    let next = history.send(at(2_000));
    assert_eq!(
        history.answer(next, at(2_010)),
        Some(Duration::from_millis(1_010))
    );
}

#[test]
fn time_out_while_later_requests_are_answered_is_partial() {
    let mut history = History::default();
    let silent = history.send(at(0));
    let other = history.send(at(100));
    history.answer(other, at(110));
    let verdict = history.time_out(silent);
    assert_eq!(verdict, Some(Silence::Partial));
    assert!(Silence::Partial.is_replacement_due());
}

#[test]
fn time_out_on_new_connections_replaces_nothing() {
    let mut history = History::default();
    for second in 0..5 {
        let request = history.send(at(second * 1_000));
        let verdict = history.time_out(request);
        assert_eq!(verdict, Some(Silence::Peer));
        assert!(!Silence::Peer.is_replacement_due());
    }
    assert!(history.is_silent());
    let request = history.send(at(6_000));
    assert_eq!(
        history.answer(request, at(6_100)),
        Some(Duration::from_millis(6_100))
    );
    assert!(!history.is_silent());
}

/// A response over connections that have been replaced says nothing of the present ones.
#[test]
fn answer_over_replaced_connections_leaves_the_peer_silent() {
    let mut history = History::default();
    let first = history.send(at(0));
    history.answer(first, at(10));
    let slow = history.send(at(20));
    let silent = history.send(at(30));
    assert_eq!(history.time_out(silent), Some(Silence::Complete));
    assert_eq!(history.answer(slow, at(1_000)), None);
    assert!(history.is_silent());
}

proptest! {
    /// Each replacement follows a response over the connections that it gives up, so that a peer that is slow,
    /// stands still or drops requests costs no more sets of connections than it answers requests.
    #[test]
    fn time_out_replaces_at_most_once_for_each_response(
        events in prop::collection::vec((any::<bool>(), any::<prop::sample::Index>()), 1..200),
    ) {
        let mut history = History::default();
        let (mut open, mut responses, mut replacements) = (Vec::new(), 0, 0);
        for (time, (is_answered, index)) in events.into_iter().enumerate() {
            let now = at(time as u64);
            open.push(history.send(now));
            let request = open.swap_remove(index.index(open.len()));
            if is_answered {
                history.answer(request, now);
                responses += 1;
            } else if history.time_out(request).is_some_and(Silence::is_replacement_due) {
                replacements += 1;
            }
            prop_assert!(replacements <= responses);
        }
    }
}
