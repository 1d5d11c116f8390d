//! Tests of the order in which waiting steps are placed.

use std::time::Duration;

use laburnumplank::core::scheduler::message::RunEnd;
use laburnumplank::core::scheduler::spec::{Queue, Step};

use super::cell::{Cell, ended, queue, running, spec, step, task};

/// The queue of urgent jobs.
fn lookups() -> Queue {
    Queue {
        name: "lookups".to_owned(),
        priority: 0,
        ..queue()
    }
}

#[test]
fn lookup_is_placed_before_waiting_bulk_step() {
    let mut cell = Cell::new(1);
    for job in 0..10 {
        cell.submit(job, queue(), spec(vec![step(4)]));
    }
    cell.submit(99, lookups(), spec(vec![step(1)]));
    cell.confirm();
    cell.add_worker("w1");
    assert_eq!(cell.starts[0].1.task, task(99, 0, 0));
}

#[test]
fn step_with_earliest_latest_start_is_placed_first() {
    let mut cell = Cell::new(1);
    cell.submit(1, queue(), spec(vec![step(4)]));
    let mut tight = queue();
    tight.slack_factor = 1.1;
    cell.submit(2, tight, spec(vec![step(4)]));
    cell.confirm();
    cell.add_worker("w1");
    assert!(
        cell.starts
            .iter()
            .all(|(_, start)| start.task.step.job.0 == 2)
    );
}

#[test]
fn step_past_its_objective_is_placed_last() {
    let mut cell = Cell::new(1);
    cell.submit(1, queue(), spec(vec![step(4)]));
    cell.confirm();
    cell.wait(Duration::from_secs(10));
    cell.submit(2, queue(), spec(vec![step(4)]));
    cell.confirm();
    cell.add_worker("w1");
    assert!(
        cell.starts
            .iter()
            .all(|(_, start)| start.task.step.job.0 == 2)
    );
}

#[test]
fn useless_step_is_placed_after_late_one() {
    let mut cell = Cell::new(1);
    cell.submit(1, queue(), spec(vec![step(4)]));
    cell.confirm();
    cell.wait(Duration::from_secs(10));
    cell.submit(2, queue(), spec(vec![step(4)]));
    cell.confirm();
    cell.wait(Duration::from_secs(5));
    cell.add_worker("w1");
    let mut jobs = cell.starts.iter().map(|(_, start)| start.task.step.job.0);
    assert!(jobs.all(|job| job == 2));
}

/// A job of one task that runs until the job is cancelled.
fn long_running() -> Step {
    Step {
        long_running: true,
        ..step(1)
    }
}

#[test]
fn long_running_task_of_an_old_job_is_restarted_before_bulk_tasks() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    cell.submit(1, queue(), spec(vec![long_running()]));
    cell.confirm();
    cell.accept_starts();
    cell.wait(Duration::from_secs(20));
    for job in 2..12 {
        cell.submit(job, queue(), spec(vec![step(4)]));
    }
    cell.confirm();
    cell.accept_starts();
    let worker = cell.restart_worker("w1");
    cell.poll(worker, Vec::new(), Vec::new());
    assert_eq!(cell.starts[0].1.task, task(1, 0, 0));
}

#[test]
fn long_running_task_gets_the_capacity_that_small_tasks_free() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    // Tasks of one core use the whole worker, and more of them wait.
    let mut small = step(32);
    small.need.cpu_millis = 1_000;
    small.need.memory_mib = 100;
    cell.submit(1, queue(), spec(vec![small]));
    cell.confirm();
    let mut active = cell.accept_starts();
    cell.submit(2, queue(), spec(vec![long_running()]));
    cell.confirm();
    let mut ends = 0;
    for _ in 0..4 {
        assert!(
            cell.starts.is_empty(),
            "the capacity is reserved for the long-running task"
        );
        let (_, first) = active.remove(0);
        let rest = active.iter().map(|(_, start)| running(start)).collect();
        ends += 1;
        cell.poll(worker, rest, vec![ended(ends, &first, RunEnd::Done)]);
    }
    let started: Vec<_> = cell.starts.iter().map(|(_, start)| start.task).collect();
    assert_eq!(started, [task(2, 0, 0)]);
}

#[test]
fn long_running_task_that_waits_long_precedes_lookups() {
    let mut cell = Cell::new(1);
    cell.submit(1, queue(), spec(vec![long_running()]));
    cell.confirm();
    cell.wait(Duration::from_secs(2));
    cell.submit(2, lookups(), spec(vec![step(8)]));
    cell.confirm();
    cell.add_worker("w1");
    assert_eq!(cell.starts[0].1.task, task(1, 0, 0));
}

#[test]
fn lookup_is_placed_between_two_placements_of_a_long_queue() {
    let mut cell = Cell::new(1);
    // More steps are ready than are visited at each placement, and none of them fits.
    let mut wide = step(1);
    wide.need.cpu_millis = 32_000;
    for job in 0..40 {
        cell.submit(job, queue(), spec(vec![wide.clone()]));
    }
    cell.confirm();
    cell.add_worker("w1");
    cell.wait(Duration::from_millis(100));
    let placed_at = cell.now;
    cell.submit(98, queue(), spec(vec![step(1)]));
    cell.submit(99, lookups(), spec(vec![step(1)]));
    cell.confirm();
    let started: Vec<_> = cell.starts.iter().map(|(_, start)| start.task).collect();
    assert_eq!(started, [task(99, 0, 0)]);
    assert!(cell.now.since(placed_at) < Duration::from_millis(25));
    for _ in 0..5 {
        cell.tick();
    }
    assert_eq!(cell.starts[1].1.task, task(98, 0, 0));
}
