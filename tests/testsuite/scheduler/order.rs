//! Tests of the order in which waiting steps are placed.

use std::time::Duration;

use laburnumplank::core::scheduler::id::Worker;
use laburnumplank::core::scheduler::message::{RunEnd, Start};
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
    let former = cell.add_worker("w1");
    cell.submit(1, queue(), spec(vec![long_running()]));
    cell.confirm();
    let mut starts = cell.accept_starts();
    cell.wait(Duration::from_secs(20));
    for job in 2..12 {
        cell.submit(job, queue(), spec(vec![step(4)]));
    }
    cell.confirm();
    starts.extend(cell.accept_starts());
    let runs = starts.iter().map(|(_, start)| running(start));
    cell.poll(former, runs.collect(), Vec::new());
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

/// A queue whose jobs meet their objective also after a long wait.
fn patient() -> Queue {
    Queue {
        target: Duration::from_secs(60),
        ..queue()
    }
}

fn gang(tasks: u16) -> Step {
    Step {
        gang: true,
        ..step(tasks)
    }
}

/// Reports the runs of a worker with a tenth of their progress.
fn report(cell: &mut Cell, starts: &[(Worker, Start)]) {
    let runs = starts.iter().map(|(_, start)| running(start));
    cell.poll(starts[0].0, runs.collect(), Vec::new());
}

/// Creates a cell in which a gang runs on `w1` until 4 s, and a wide gang waits for it and `w2`.
fn cell_with_waiting_gang() -> (Cell, Worker, Vec<(Worker, Start)>) {
    let mut cell = Cell::new(1);
    let first = cell.add_worker("w1");
    cell.submit(1, patient(), spec(vec![gang(4)]));
    cell.confirm();
    let free = cell.add_worker("w2");
    let starts = cell.accept_starts();
    assert!(starts.iter().all(|(worker, _)| *worker == first));
    cell.wait(Duration::from_millis(400));
    report(&mut cell, &starts);
    cell.submit(2, patient(), spec(vec![gang(8)]));
    cell.confirm();
    assert!(cell.starts.is_empty());
    (cell, free, starts)
}

#[test]
fn gang_that_ends_before_a_wide_gang_can_start_does_not_wait_for_it() {
    let (mut cell, free, _) = cell_with_waiting_gang();
    cell.submit(3, patient(), spec(vec![gang(2)]));
    cell.confirm();
    let workers: Vec<Worker> = cell.starts.iter().map(|(worker, _)| *worker).collect();
    assert_eq!(workers, [free, free]);
}

#[test]
fn gang_that_would_delay_a_wide_gang_waits() {
    let (mut cell, ..) = cell_with_waiting_gang();
    let long = Step {
        estimate: Duration::from_secs(8),
        ..gang(2)
    };
    cell.submit(3, patient(), spec(vec![long]));
    cell.confirm();
    assert!(cell.starts.is_empty());
}

#[test]
fn wide_gang_that_has_waited_long_is_not_passed() {
    let (mut cell, _, starts) = cell_with_waiting_gang();
    cell.wait(Duration::from_secs(11));
    report(&mut cell, &starts);
    cell.submit(3, patient(), spec(vec![gang(2)]));
    cell.confirm();
    assert!(cell.starts.is_empty());
}
