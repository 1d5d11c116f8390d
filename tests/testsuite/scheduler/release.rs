//! Tests of what shows that a run is not on its worker any more while the worker is up.

use std::time::Duration;

use laburnumplank::core::scheduler::Input;
use laburnumplank::core::scheduler::id::Worker;
use laburnumplank::core::scheduler::message::{Outcome, Refusal, RunEnd, Start};

use super::cell::{Cell, cell_with_a_run, ended, owner_with_start, queue, running, spec, step};
use super::recovery::full_report;

/// The same with a start that is not answered.
fn owner_with_unanswered_start() -> (Cell, Worker, Start) {
    owner_with_start(Outcome::Unknown)
}

/// The end of the run may be among those that the next response lists.
#[test]
fn run_that_a_full_list_of_ends_leaves_out_is_kept() {
    let (mut cell, worker, start) = cell_with_a_run();
    for _ in 0..5 {
        cell.wait(Duration::from_millis(100));
        cell.poll(worker, Vec::new(), full_report(&start));
        assert!(cell.starts.is_empty());
    }
}

#[test]
fn run_that_an_unreadable_report_leaves_out_is_kept() {
    let (mut cell, worker, _) = cell_with_a_run();
    for _ in 0..5 {
        cell.wait(Duration::from_millis(100));
        cell.poll_with(worker, Vec::new(), Vec::new(), false);
        assert!(cell.starts.is_empty());
    }
}

/// The next incarnation may carry the start out, and has seen no stop.
#[test]
fn stop_that_the_former_incarnation_confirmed_voids_no_start_on_the_next() {
    let (mut cell, worker, start) = owner_with_unanswered_start();
    cell.poll(worker, Vec::new(), Vec::new());
    assert_eq!(cell.stops, [(worker, start.task, start.run)]);
    cell.input(Input::Stopped {
        worker,
        task: start.task,
        run: start.run,
        outcome: Outcome::Done(None),
    });
    let next = cell.restart_worker("w1");
    for _ in 0..10 {
        cell.wait(Duration::from_millis(100));
        cell.poll(next, Vec::new(), Vec::new());
        assert!(cell.starts.is_empty(), "no stop was answered by w1");
    }
}

/// The end of the lease in the start was a time on the clock of the former incarnation.
#[test]
fn clock_of_the_next_incarnation_voids_no_start() {
    let (mut cell, _, _) = owner_with_unanswered_start();
    let next = cell.restart_worker("w1");
    for _ in 0..100 {
        cell.wait(Duration::from_millis(100));
        cell.poll(next, Vec::new(), Vec::new());
        assert!(cell.starts.is_empty(), "w1 may carry the start out");
    }
}

/// The lease that the poll carried ends on the clock of the former incarnation, so that the next one shortens it to the
/// longest that it grants.
#[test]
fn lease_that_a_poll_answered_by_the_next_incarnation_extended_counts_in_full() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    cell.scheduler.poll(cell.now, worker);
    cell.fail_poll(worker, Outcome::Refused(Refusal::OtherIncarnation));
    let next = cell.restart_worker("w1");
    cell.poll(next, Vec::new(), Vec::new());
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    let (_, start) = cell.accept_starts().remove(0);
    cell.poll(next, vec![running(&start)], Vec::new());
    cell.add_worker("w2");
    cell.fail_poll(next, Outcome::Unknown);
    cell.wait(Duration::from_millis(6_100));
    assert!(cell.starts.is_empty(), "w1 may hold a lease of 6 s");
    cell.wait(Duration::from_millis(400));
    assert_eq!(cell.starts.len(), 1);
}

/// The same with a poll of the former owner.
#[test]
fn lease_that_a_former_owner_extended_on_a_restarted_worker_counts_in_full() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    first.confirm();
    let mut second = first.successor(9);
    let worker = second.restart_worker("w1");
    second.poll(worker, Vec::new(), Vec::new());
    second.submit(7, queue(), spec(vec![step(1)]));
    second.confirm();
    assert_eq!(second.accept_starts().len(), 1);
    second.add_worker("w2");
    second.fail_poll(worker, Outcome::Unknown);
    second.wait(Duration::from_millis(6_100));
    assert!(second.starts.is_empty(), "w1 may hold a lease of 6 s");
    second.wait(Duration::from_millis(8_000));
    assert_eq!(second.starts.len(), 1);
}

/// Workers that have not seen the token of the successor would carry the next start out.
#[test]
fn start_that_a_worker_fenced_is_not_repeated_on_another() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    let (_, start) = cell.starts.remove(0);
    cell.add_worker("w2");
    cell.finish_start(worker, &start, Outcome::Refused(Refusal::Fenced));
    cell.wait(Duration::from_millis(100));
    assert!(cell.is_superseded && cell.starts.is_empty());
}

/// The same with a worker that is silent after the start.
fn owner_with_unreported_start(outcome: Outcome) -> (Cell, Worker) {
    let (mut cell, worker, _) = owner_with_start(outcome);
    cell.fail_poll(worker, Outcome::Unknown);
    (cell, worker)
}

/// The worker restarted under its name before the start arrived, and shortened the lease on the former clock to the
/// longest that it grants.
#[test]
fn start_carried_out_by_the_next_incarnation_runs_alone_until_its_lease_has_ended() {
    for outcome in [Outcome::Done(None), Outcome::Unknown] {
        let (mut cell, _) = owner_with_unreported_start(outcome.clone());
        cell.wait(Duration::from_millis(7_100));
        assert!(
            cell.starts.is_empty(),
            "{outcome:?}: the run may go on for 6 s after its start, which may arrive 1 s late"
        );
        cell.wait(Duration::from_millis(400));
        assert_eq!(cell.starts.len(), 1, "{outcome:?}");
    }
}

/// The next incarnation carries out polls as well, each of which extends its lease anew.
#[test]
fn polls_after_a_start_extend_the_lease_of_the_next_incarnation() {
    let (mut cell, worker) = owner_with_unreported_start(Outcome::Done(None));
    cell.wait(Duration::from_millis(2_000));
    let poll = cell.scheduler.poll(cell.now, worker).unwrap();
    assert!(poll.deadline_ms.is_some());
    cell.wait(Duration::from_millis(7_100));
    assert!(cell.starts.is_empty(), "the poll may have extended a lease");
    cell.wait(Duration::from_millis(400));
    assert_eq!(cell.starts.len(), 1);
}

/// The same for the next owner, which the former one tells which leases are left.
#[test]
fn successor_waits_for_the_next_incarnation_with_an_unreported_start() {
    let (mut first, _) = owner_with_unreported_start(Outcome::Done(None));
    first.wait(Duration::from_millis(2_100));
    let mut second = first.successor(9);
    second.inherit_leases(&first);
    second.add_worker("w2");
    second.wait(Duration::from_millis(5_000));
    assert!(second.starts.is_empty(), "the run may go on");
    second.wait(Duration::from_millis(400));
    assert_eq!(second.starts.len(), 1);
}

/// A worker reports its runs once a second, and what it has reported is on the incarnation that is known.
#[test]
fn reported_run_is_started_again_once_the_lease_of_its_incarnation_has_ended() {
    let (mut cell, worker, _) = cell_with_a_run();
    cell.fail_poll(worker, Outcome::Unknown);
    cell.wait(Duration::from_millis(4_900));
    assert_eq!(cell.starts.len(), 1);
}

/// A start that is under way when the restart becomes known arrives later, and its lease begins then.
#[test]
fn start_under_way_at_a_restart_counts_its_lease_from_its_arrival() {
    let (mut cell, worker, _) = owner_with_unanswered_start();
    cell.scheduler.poll(cell.now, worker);
    cell.restart_worker("w1");
    cell.wait(Duration::from_millis(7_100));
    assert!(
        cell.starts.is_empty(),
        "the start may have arrived 1 s late"
    );
    cell.wait(Duration::from_millis(400));
    assert_eq!(cell.starts.len(), 1);
}

/// An owner without the log starts the task again at the end of its claim, on a worker that its successor cannot reach.
#[test]
fn successor_waits_for_the_next_incarnation_with_a_start_of_an_isolated_owner() {
    let mut first = Cell::new(1);
    let worker = first.add_worker("w1");
    first.submit(7, queue(), spec(vec![step(1)]));
    first.confirm();
    let (_, start) = first.accept_starts().remove(0);
    let mut second = first.successor(9);
    second.add_worker("w2");
    first.is_claim_confirmed = false;
    for _ in 0..9 {
        first.wait(Duration::from_millis(500));
        first.poll(worker, vec![running(&start)], Vec::new());
    }
    let end = ended(1, &start, RunEnd::Failed);
    first.poll(worker, Vec::new(), vec![end]);
    assert_eq!(first.starts.len(), 1);
    let arrives_by = first.now + Duration::from_secs(1);
    let ends_by = arrives_by + Duration::from_millis(6_100);
    second.wait(ends_by.since(second.now));
    assert!(second.starts.is_empty(), "the run may go on for 6 s");
}
