//! Tests of how often steps are placed.

use std::time::Duration;

use laburnumplank::core::scheduler::message::RunEnd;
use laburnumplank::core::scheduler::spec::Queue;

use super::cell::{Cell, ended, queue, spec, step};

/// The workers of a large cell.
const WORKERS: usize = 1_100;
/// The steps that wait on it after a burst.
const READY_STEPS: u64 = 100;
/// The pairs of a step and a worker that an owner of half a core considers in a third of a second.
const MAX_VISITS: u64 = 2_000_000;

/// Creates a cell with many workers, one of which is known to be free, and a long queue.
fn busy_cell() -> Cell {
    let mut cell = Cell::new(1);
    for index in 1..WORKERS {
        cell.list_worker(&format!("w{index}"));
    }
    for job in 0..READY_STEPS {
        cell.submit(job, queue(), spec(vec![step(16)]));
    }
    cell.confirm();
    cell
}

/// Nearly all of the processor went to placements, and lookups waited for their calls.
#[test]
fn placements_of_a_long_queue_on_a_large_cell_leave_the_processor_to_calls() {
    let mut cell = busy_cell();
    let worker = cell.add_worker("w0");
    let before = cell.scheduler.load().visits;
    let end = cell.now + Duration::from_secs(1);
    while cell.now < end {
        cell.poll(worker, Vec::new(), Vec::new());
    }
    let visits = cell.scheduler.load().visits - before;
    assert!(visits > 0 && visits <= MAX_VISITS, "{visits} visits");
}

/// The longest time between two placements of all steps.
const PLACE_INTERVAL: Duration = Duration::from_millis(100);
/// How soon an urgent task starts once there is room for it.
const URGENT_START: Duration = Duration::from_millis(20);

#[test]
fn urgent_task_starts_before_the_next_placement_of_a_long_queue() {
    let mut cell = busy_cell();
    let worker = cell.add_worker("w0");
    cell.wait(PLACE_INTERVAL);
    let start = cell.accept_starts().remove(0).1;
    let urgent = Queue {
        priority: 0,
        ..queue()
    };
    cell.submit(READY_STEPS, urgent, spec(vec![step(1)]));
    cell.confirm();
    let end = cell.now + URGENT_START;
    cell.poll(worker, Vec::new(), vec![ended(1, &start, RunEnd::Done)]);
    while cell.starts.is_empty() {
        assert!(cell.now < end, "no start");
        cell.tick();
    }
    assert_eq!(cell.starts[0].1.task.step.job.0, READY_STEPS);
}
