//! What the next owner makes of what the last one left.

use std::time::Duration;

use laburnumplank::core::scheduler::id::Job;
use laburnumplank::core::scheduler::message::How;
use laburnumplank::core::scheduler::record::Phase;

use super::cell::{Cell, ended, queue, running, spec, step};

/// Returns what the log has of a job that was accepted and of which `confirmed` more records
/// followed.
fn records(cell: &Cell) -> Vec<(Vec<u8>, Vec<u8>)> {
    let appended = cell.unconfirmed.iter();
    appended
        .filter_map(|(_, key, value)| Some((key.clone(), value.clone()?)))
        .collect()
}

#[test]
fn end_listed_again_counts_once() {
    let mut first = Cell::new(1);
    let worker = first.add_worker("w1");
    first.submit(7, queue(), spec(vec![step(1)]));
    let mut log = records(&first);
    first.confirm();
    let starts = first.accept_starts();
    let failed = ended(1, &starts[0].1, How::Failed);
    first.look(worker, Vec::new(), vec![failed.clone()]);
    log.extend(records(&first));

    // The record of the failed run is in the log; the worker was not told.
    let mut second = Cell::successor(9, first.now, &log);
    let worker = second.add_worker("w1");
    second.look(worker, Vec::new(), vec![failed]);
    assert_eq!(
        second.scheduler.phase(Job(7), "filings"),
        Some(Phase::Running)
    );
    second.wait(Duration::from_millis(2_100));
    assert_eq!(second.starts.len(), 1, "one of two attempts is left");
}

#[test]
fn failures_listed_in_any_order_all_count() {
    let mut first = Cell::new(1);
    let one = first.add_worker("w1");
    let two = first.add_worker("w2");
    first.submit(7, queue(), spec(vec![step(1)]));
    let log = records(&first);
    first.confirm();
    let run_1 = first.accept_starts();
    let failed_1 = ended(1, &run_1[0].1, How::Failed);
    first.look(run_1[0].0, Vec::new(), vec![failed_1.clone()]);
    let run_2 = first.accept_starts();
    let failed_2 = ended(1, &run_2[0].1, How::Failed);
    assert!([one, two].contains(&run_2[0].0));

    // The log was down all the while.
    let mut second = Cell::successor(9, first.now, &log);
    let one = second.add_worker("w1");
    let two = second.add_worker("w2");
    second.look(two, Vec::new(), vec![failed_2]);
    second.look(one, Vec::new(), vec![failed_1]);
    second.wait(Duration::from_millis(2_100));
    assert!(second.starts.is_empty(), "both attempts are used up");
}

#[test]
fn inherited_task_waits_for_silent_worker() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    first.submit(7, queue(), spec(vec![step(1)]));
    let log = records(&first);

    let mut second = Cell::successor(9, first.now, &log);
    second.add_worker("w1");
    second.input(laburnumplank::core::scheduler::Input::Listed(
        super::cell::entry("w2"),
    ));
    second.wait(Duration::from_millis(5_900));
    assert!(
        second.starts.is_empty(),
        "w2 may run the task until its lease ends"
    );
    let one = second.scheduler.worker_named("w1").unwrap();
    second.look(one, Vec::new(), Vec::new());
    second.wait(Duration::from_millis(500));
    second.look(one, Vec::new(), Vec::new());
    assert_eq!(second.starts.len(), 1);
}

#[test]
fn running_task_is_adopted() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    first.submit(7, queue(), spec(vec![step(1)]));
    let log = records(&first);
    first.confirm();
    let starts = first.accept_starts();

    let mut second = Cell::successor(9, first.now, &log);
    let worker = second.add_worker("w1");
    second.look(worker, vec![running(&starts[0].1)], Vec::new());
    second.wait(Duration::from_millis(2_100));
    assert!(second.starts.is_empty());
    assert!(second.stops.is_empty());
    second.look(worker, Vec::new(), vec![ended(1, &starts[0].1, How::Done)]);
    second.confirm();
    assert_eq!(
        second.scheduler.phase(Job(7), "filings"),
        Some(Phase::Completed)
    );
}

#[test]
fn run_of_ended_job_is_stopped() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    first.submit(7, queue(), spec(vec![step(1)]));
    first.confirm();
    let starts = first.accept_starts();
    first.input(laburnumplank::core::scheduler::Input::Cancel {
        request: laburnumplank::core::scheduler::id::Request(8),
        job: Job(7),
        queue: "filings".to_owned(),
        at: first.time().stamp,
    });
    let log = records(&first);

    let mut second = Cell::successor(9, first.now, &log);
    let worker = second.add_worker("w1");
    second.look(worker, vec![running(&starts[0].1)], Vec::new());
    assert_eq!(second.stops.len(), 1);
    assert_eq!(
        second.scheduler.phase(Job(7), "filings"),
        Some(Phase::Cancelled)
    );
}
