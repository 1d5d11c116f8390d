use std::time::Duration;

use actix_http::StatusCode;
use laburnum_testkit::http;
use laburnum_testkit::standin::worker::{
    ENDED_RETENTION, Options, Span, Tasks, Violation, overlaps,
};
use laburnumplank::core::id::{Attempt, Job, Task};
use laburnumplank::core::resource::Amount;
use laburnumplank::core::time::{Instant, Stamp};
use laburnumplank::platform::worker::{Action, Control, Inventory, Renew, Start, State};
use uuid::Uuid;

use super::{ANY_PORT, Fixture, run};

const START: Instant = Instant(0);
const SECOND: Duration = Duration::from_secs(1);
/// The wall-clock time of the requests, which is also their `not_after_ms`.
const STAMP: Stamp = Stamp(1_000);

/// Returns attempt `number` of the task with index `task`.
fn attempt(task: u32, number: u32) -> Attempt {
    let job = Job(Uuid::from_u128(1));
    let task = Task { job, index: task };
    Attempt { task, number }
}

/// Returns a request to start `attempt`, with a lease of ten seconds.
fn start(attempt: Attempt, cpu_millis: u64, command: &str) -> Start {
    Start {
        attempt,
        size: Amount {
            cpu_millis,
            memory_mib: 1,
            accelerators: 0,
        },
        command: command.to_owned(),
        lease_ms: 10_000,
        not_after_ms: STAMP.0,
    }
}

fn worker() -> Tasks {
    Tasks::new(Options::default(), 1)
}

/// Returns the states of the worker's attempts, in the order of their ids.
fn states(worker: &mut Tasks, now: Instant) -> Vec<State> {
    let tasks = worker.inventory(now).tasks;
    tasks.iter().map(|report| report.state).collect()
}

#[test]
fn command_determines_end() {
    let mut worker = worker();
    for (task, command) in (0..).zip(["sleep 500", "fail 500", "forever", "gibberish"]) {
        assert!(worker.start(START, STAMP, &start(attempt(task, 1), 1, command), false));
    }
    let before = [
        State::Running,
        State::Running,
        State::Running,
        State::Failed,
    ];
    assert_eq!(states(&mut worker, Instant(499_999)), before);
    let after = [
        State::Succeeded,
        State::Failed,
        State::Running,
        State::Failed,
    ];
    assert_eq!(states(&mut worker, Instant(500_000)), after);
}

#[test]
fn start_repeated_changes_nothing() {
    let mut worker = worker();
    let first = start(attempt(0, 1), 1_000, "sleep 500");
    assert!(worker.start(START, STAMP, &first, false));
    assert!(worker.start(START + SECOND, STAMP + SECOND, &first, false));
    assert_eq!(states(&mut worker, START + SECOND), [State::Succeeded]);
    assert!(worker.violations().is_empty());
}

#[test]
fn start_too_late_is_refused() {
    let mut worker = worker();
    let late = STAMP + Duration::from_millis(1);
    assert!(!worker.start(START, late, &start(attempt(0, 1), 1, "forever"), false));
    assert!(worker.inventory(START).tasks.is_empty());
}

#[test]
fn lease_without_renewal_lapses() {
    let mut worker = worker();
    worker.start(START, STAMP, &start(attempt(0, 1), 1, "forever"), false);
    let renew = Renew {
        attempts: vec![attempt(0, 1), attempt(7, 1)],
        lease_ms: 10_000,
        not_after_ms: STAMP.0,
    };
    assert!(worker.renew(START + 9 * SECOND, STAMP, &renew));
    assert_eq!(states(&mut worker, START + 18 * SECOND), [State::Running]);
    assert_eq!(states(&mut worker, START + 19 * SECOND), [State::Lapsed]);
    assert!(worker.renew(START + 20 * SECOND, STAMP, &renew));
    assert_eq!(states(&mut worker, START + 20 * SECOND), [State::Lapsed]);
}

#[test]
fn renewal_too_late_is_refused() {
    let mut worker = worker();
    worker.start(START, STAMP, &start(attempt(0, 1), 1, "forever"), false);
    let renew = Renew {
        attempts: vec![attempt(0, 1)],
        lease_ms: 10_000,
        not_after_ms: STAMP.0,
    };
    let late = STAMP + Duration::from_millis(1);
    assert!(!worker.renew(START + 9 * SECOND, late, &renew));
    assert_eq!(states(&mut worker, START + 10 * SECOND), [State::Lapsed]);
}

#[test]
fn lease_end_precedes_later_end_of_command() {
    let mut worker = worker();
    worker.start(START, STAMP, &start(attempt(0, 1), 1, "sleep 11000"), false);
    assert_eq!(states(&mut worker, START + 60 * SECOND), [State::Lapsed]);
}

#[test]
fn ended_task_is_dropped_after_retention() {
    let mut worker = worker();
    worker.start(START, STAMP, &start(attempt(0, 1), 1, "sleep 0"), false);
    assert_eq!(
        states(&mut worker, START + ENDED_RETENTION - SECOND),
        [State::Succeeded]
    );
    assert!(states(&mut worker, START + ENDED_RETENTION).is_empty());
}

#[test]
fn start_above_size_is_recorded() {
    let mut worker = worker();
    worker.start(
        START,
        STAMP,
        &start(attempt(0, 1), 10_000, "sleep 500"),
        false,
    );
    worker.start(
        START,
        STAMP,
        &start(attempt(1, 1), 6_000, "sleep 500"),
        false,
    );
    assert!(worker.violations().is_empty());
    worker.start(START, STAMP, &start(attempt(2, 1), 1, "sleep 500"), false);
    let [Violation::SizeExceeded { committed, .. }] = worker.violations() else {
        panic!("violations: {:?}", worker.violations());
    };
    assert_eq!(committed.cpu_millis, 16_001);
}

#[test]
fn start_of_running_task_is_recorded() {
    let mut worker = worker();
    worker.start(START, STAMP, &start(attempt(0, 1), 1, "sleep 500"), false);
    worker.start(START, STAMP, &start(attempt(0, 2), 1, "sleep 500"), false);
    let violation = Violation::TaskTwice {
        running: attempt(0, 1),
        started: attempt(0, 2),
    };
    assert_eq!(worker.violations(), [violation]);
    worker.start(
        START + SECOND,
        STAMP,
        &start(attempt(0, 3), 1, "sleep 500"),
        false,
    );
    assert_eq!(worker.violations().len(), 1);
}

#[test]
fn control_ends_or_throttles() {
    let mut worker = worker();
    for task in 0..3 {
        let start = start(attempt(task, 1), 1_000, "use 3000 512 forever");
        worker.start(START, STAMP, &start, false);
    }
    for (task, action) in (0..).zip([Action::Stop, Action::Checkpoint, Action::Throttle]) {
        let attempt = attempt(task, 1);
        assert!(worker.control(START, &Control { attempt, action }));
    }
    let ended = [State::Stopped, State::Checkpointed, State::Running];
    assert_eq!(states(&mut worker, START), ended);
    let usage = worker.inventory(START + 6 * SECOND).tasks[2].usage;
    assert_eq!(usage.cpu_millis, 1_000);
}

#[test]
fn usage_lags() {
    let mut worker = worker();
    worker.start(
        START,
        STAMP,
        &start(attempt(0, 1), 1_000, "use 3000 512 forever"),
        false,
    );
    let mut usage = |now| worker.inventory(now).tasks[0].usage.cpu_millis;
    assert_eq!(usage(START + 4 * SECOND), 0);
    assert_eq!(usage(START + 5 * SECOND), 3_000);
}

#[test]
fn broken_worker_fails_task() {
    let mut worker = worker();
    worker.start(START, STAMP, &start(attempt(0, 1), 1, "sleep 500"), true);
    assert_eq!(states(&mut worker, START), [State::Failed]);
}

#[test]
fn overlaps_of_workers_are_found() {
    let [mut one, mut two] = [worker(), worker()];
    let at = |millis: u64| Instant(millis * 1_000);
    one.start(at(0), STAMP, &start(attempt(0, 1), 1, "sleep 500"), false);
    one.start(at(0), STAMP, &start(attempt(1, 1), 1, "sleep 500"), false);
    two.start(at(499), STAMP, &start(attempt(0, 2), 1, "sleep 500"), false);
    two.start(at(500), STAMP, &start(attempt(1, 2), 1, "sleep 500"), false);
    let spans = [one.spans(at(600)), two.spans(at(600))].concat();
    let found = overlaps(&spans);
    assert_eq!(found.len(), 1, "{found:?}");
    let numbers = [found[0].first, found[0].second].map(|span| span.attempt);
    assert_eq!(numbers, [attempt(0, 1), attempt(0, 2)]);
}

#[test]
fn overlaps_with_long_attempt_are_all_found() {
    let span = |number, started, ended| Span {
        attempt: attempt(0, number),
        started: Instant(started),
        ended: Some(Instant(ended)),
    };
    let found = overlaps(&[
        span(1, 0, 100),
        span(2, 10, 20),
        span(3, 50, 120),
        span(4, 110, 130),
    ]);
    let second_numbers: Vec<u32> = found
        .iter()
        .map(|each| each.second.attempt.number)
        .collect();
    assert_eq!(second_numbers, [2, 3, 4]);
}

#[test]
fn start_over_http_runs() {
    run(async {
        let fixture = Fixture::start();
        let address = fixture
            .host
            .add_worker(ANY_PORT, Options::default())
            .unwrap();
        let mut message = start(attempt(0, 1), 99_000, "forever");
        let url = format!("http://{address}/v1/tasks/start");
        let late = post(&fixture.http, &url, &message).await;
        assert_eq!(late.status, StatusCode::CONFLICT);
        message.not_after_ms = u64::MAX;
        assert_eq!(
            post(&fixture.http, &url, &message).await.status,
            StatusCode::OK
        );
        let url = format!("http://{address}/v1/inventory");
        let inventory: Inventory = fixture.http.get(&url).await.unwrap();
        assert_eq!(inventory.tasks[0].state, State::Running);
        assert_eq!(fixture.control.violations(0).await.unwrap().len(), 1);
        assert_eq!(fixture.control.worker_counts(0).await.unwrap().late, 1);
    });
}

async fn post(http: &http::Client, url: &str, message: &Start) -> http::Response {
    let request = http::Request {
        method: actix_http::Method::POST,
        url,
        headers: &[],
        body: serde_json::to_vec(message).unwrap().into(),
    };
    http.send(request).await.unwrap()
}
