//! The work of decisions, counted: it must grow with what has changed, not with what waits or is kept.

use super::cell::{Cell, queue, spec, step};

// The owner looked at each job of the last two minutes, thousands, whenever a client asked for a count.
#[test]
fn count_of_pending_jobs_looks_at_no_ended_job() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    for job in 0..200 {
        cell.submit(job, queue(), spec(vec![step(1)]));
    }
    cell.confirm();
    for job in 0..200 {
        cell.cancel(job);
    }
    cell.confirm();
    cell.submit(500, queue(), spec(vec![step(1)]));
    let before = cell.scheduler.work();
    let pending = cell.scheduler.pending(&queue().name);
    let work = cell.scheduler.work() - before;
    assert!(pending <= 1);
    assert!(work.jobs <= 1, "{work:?}");
}
