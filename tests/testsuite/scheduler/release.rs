//! Tests of what shows that a run is not on its worker any more while the worker is up.

use std::time::Duration;

use laburnumplank::core::scheduler::message::{Outcome, Refusal};

use super::cell::{Cell, queue, spec, step};

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
