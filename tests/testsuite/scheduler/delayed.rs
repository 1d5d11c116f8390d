//! Tests of starts that arrive after their runs were given up, at a next incarnation of their worker.

use std::time::Duration;

use laburnumplank::core::scheduler::Input;
use laburnumplank::core::scheduler::id::{Run, Task, Worker};
use laburnumplank::core::scheduler::message::{Outcome, Refusal, Start};

use super::cell::{Cell, entry, owner_with_start, running};

/// The same with a start that is not answered, made void by a stop and repeated on `w2`.
fn owner_with_voided_start() -> (Cell, Worker, Start) {
    let (mut cell, worker, start) = owner_with_start(Outcome::Unknown);
    cell.poll(worker, Vec::new(), Vec::new());
    assert_eq!(take_stops(&mut cell), [(worker, start.task, start.run)]);
    finish_stop(&mut cell, worker, &start, Outcome::Done(None));
    cell.wait(Duration::from_millis(500));
    cell.poll(worker, Vec::new(), Vec::new());
    assert_eq!(cell.accept_starts().len(), 1, "released and started on w2");
    (cell, worker, start)
}

fn finish_stop(cell: &mut Cell, worker: Worker, start: &Start, outcome: Outcome) {
    cell.input(Input::Stopped {
        worker,
        task: start.task,
        run: start.run,
        outcome,
    });
}

fn take_stops(cell: &mut Cell) -> Vec<(Worker, Task, Run)> {
    std::mem::take(&mut cell.stops)
}

/// Lists an incarnation of `w1`, which confirms its entry.
fn restart(cell: &mut Cell, incarnation: u64) -> Worker {
    let mut restarted = entry("w1");
    restarted.incarnation = incarnation;
    cell.input(Input::Listed(restarted));
    cell.finish_verifications(&Outcome::Done(None));
    cell.tick();
    cell.confirm();
    cell.scheduler.worker_named("w1").unwrap()
}

/// The delayed start ran beside the later run on another worker.
#[test]
fn start_voided_by_a_stop_is_stopped_again_on_each_next_incarnation() {
    let (mut cell, _, start) = owner_with_voided_start();
    for incarnation in [2, 3] {
        let next = restart(&mut cell, incarnation);
        let stops = take_stops(&mut cell);
        assert_eq!(stops, [(next, start.task, start.run)], "{incarnation}");
    }
}

/// The next incarnation at the known address is known some time before the directory lists it.
#[test]
fn start_voided_by_a_stop_is_stopped_at_the_address_where_the_next_incarnation_responds() {
    let (mut cell, worker, start) = owner_with_voided_start();
    let restarted = Outcome::Refused(Refusal::OtherIncarnation);
    cell.fail_poll(worker, restarted);
    assert_eq!(take_stops(&mut cell), [(worker, start.task, start.run)]);
}

/// A start that comes too late on the clock of its incarnation does not on that of the next one.
#[test]
fn start_released_after_its_deadline_is_stopped_on_the_next_incarnation() {
    let (mut cell, worker, start) = owner_with_start(Outcome::Unknown);
    for _ in 0..12 {
        cell.wait(Duration::from_millis(500));
        cell.poll(worker, Vec::new(), Vec::new());
    }
    assert_eq!(cell.accept_starts().len(), 1, "released and started again");
    take_stops(&mut cell);
    let next = restart(&mut cell, 2);
    assert_eq!(take_stops(&mut cell), [(next, start.task, start.run)]);
}

/// The worker is removed and listed anew.
#[test]
fn start_released_with_its_worker_is_stopped_on_the_next_incarnation() {
    let (mut cell, worker, start) = owner_with_start(Outcome::Unknown);
    cell.fail_poll(worker, Outcome::Unknown);
    cell.input(Input::Unlisted("w1".to_owned()));
    cell.wait(Duration::from_millis(7_500));
    assert_eq!(cell.accept_starts().len(), 1);
    assert!(cell.scheduler.worker_named("w1").is_none());
    let next = restart(&mut cell, 2);
    assert_eq!(take_stops(&mut cell), [(next, start.task, start.run)]);
}

#[test]
fn stop_of_a_delayed_start_is_repeated_until_it_is_confirmed() {
    let (mut cell, _, start) = owner_with_voided_start();
    let next = restart(&mut cell, 2);
    for _ in 0..3 {
        assert_eq!(take_stops(&mut cell), [(next, start.task, start.run)]);
        cell.wait(Duration::from_millis(500));
        assert_eq!(take_stops(&mut cell), [], "the stop is under way");
        finish_stop(&mut cell, next, &start, Outcome::Unknown);
        cell.wait(Duration::from_millis(300));
        assert_eq!(take_stops(&mut cell), []);
        cell.wait(Duration::from_millis(200));
    }
    take_stops(&mut cell);
    finish_stop(&mut cell, next, &start, Outcome::Done(None));
    cell.wait(Duration::from_millis(2_000));
    assert_eq!(take_stops(&mut cell), []);
}

#[test]
fn start_that_has_long_been_voided_is_not_stopped_on_the_next_incarnation() {
    let (mut cell, _, _) = owner_with_voided_start();
    cell.wait(Duration::from_millis(20_000));
    restart(&mut cell, 2);
    assert_eq!(take_stops(&mut cell), []);
}

/// A start that has arrived or was rejected cannot arrive any more.
#[test]
fn start_that_has_arrived_is_not_stopped_on_the_next_incarnation() {
    let rejected = Outcome::Refused(Refusal::Room);
    for outcome in [Outcome::Done(None), rejected] {
        let (mut cell, worker, start) = owner_with_start(outcome.clone());
        if outcome == Outcome::Done(None) {
            cell.poll(worker, vec![running(&start)], Vec::new());
        }
        restart(&mut cell, 2);
        assert_eq!(take_stops(&mut cell), [], "{outcome:?}");
    }
}
