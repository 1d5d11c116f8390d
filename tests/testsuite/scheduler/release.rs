//! Tests of what shows that a run is not on its worker any more while the worker is up.

use std::time::Duration;

use laburnumplank::core::scheduler::Input;
use laburnumplank::core::scheduler::id::Worker;
use laburnumplank::core::scheduler::message::{Outcome, Refusal};

use super::cell::{Cell, queue, spec, step};

fn fail_poll(cell: &mut Cell, worker: Worker, outcome: Outcome) {
    cell.input(Input::PollFailed { worker, outcome });
    cell.tick();
}

/// The next incarnation may have got a poll of the former owner. The lease that it carried ends on the clock of the
/// former incarnation, so that the next one shortens it to the longest that it grants.
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
    fail_poll(&mut second, worker, Outcome::Unknown);
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
