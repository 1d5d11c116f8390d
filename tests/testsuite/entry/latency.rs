//! Tests of what a writer concludes from the latency of a log.

use std::time::Duration;

use laburnumplank::entry::latency::Latency;

/// Answers of a log whose usual 4 ms are 92 times as long.
const SLOW: Duration = Duration::from_millis(368);

fn after_answers(span: Duration, count: usize) -> Latency {
    let mut latency = Latency::default();
    for _ in 0..count {
        latency.note(span);
    }
    latency
}

#[test]
fn append_to_a_slow_log_is_not_repeated_before_its_answer_is_due() {
    assert!(after_answers(SLOW, 5).hedge_after() > SLOW);
}

#[test]
fn four_appends_that_a_slow_log_takes_in_turn_are_no_outage() {
    assert!(after_answers(SLOW, 10).max_silence() >= SLOW * 4);
}

#[test]
fn append_to_a_quick_log_is_repeated_soon_again_after_slow_seconds() {
    let mut latency = after_answers(SLOW, 10);
    let quick = after_answers(Duration::from_millis(4), 10);
    for _ in 0..10 {
        latency.note(Duration::from_millis(4));
    }
    assert_eq!(latency.hedge_after(), quick.hedge_after());
    assert_eq!(latency.max_silence(), quick.max_silence());
}

#[test]
fn log_without_answers_counts_as_unavailable_while_callers_still_wait() {
    let callers_wait = Duration::from_secs(3);
    let latency = after_answers(Duration::from_secs(60), 100);
    assert!(latency.max_silence() < callers_wait);
    assert!(latency.hedge_after() <= latency.max_silence());
}

/// Returns how long the last of `count` appends takes in a log that takes one at a time, each for
/// `service`, while the writer always has records.
fn last_append_of_queueing_log(service: Duration, count: usize) -> Duration {
    let mut latency = Latency::default();
    let mut answers: Vec<Duration> = Vec::new();
    let mut last = Duration::ZERO;
    for index in 0..count {
        let awaited = index.checked_sub(latency.max_in_flight());
        let sent = awaited.map_or(Duration::ZERO, |awaited| answers[awaited]);
        let free = answers.last().copied().unwrap_or_default();
        let answered = free.max(sent) + service;
        last = answered - sent;
        answers.push(answered);
        latency.note(last);
    }
    last
}

#[test]
fn appends_do_not_queue_up_at_a_slow_log() {
    let last = last_append_of_queueing_log(SLOW, 40);
    assert!(last <= SLOW * 2, "{last:?}");
}

#[test]
fn quick_log_has_as_many_appends_in_flight_as_it_recognizes() {
    let quick = after_answers(Duration::from_millis(30), 10);
    assert_eq!(quick.max_in_flight(), 4);
}
