//! Tests of the order in which waiting steps are placed.

use std::time::Duration;

use super::cell::{Cell, queue, spec, step, task};

#[test]
fn lookup_is_placed_before_waiting_bulk_step() {
    let mut cell = Cell::new(1);
    for job in 0..10 {
        cell.submit(job, queue(), spec(vec![step(4)]));
    }
    let mut lookups = queue();
    lookups.name = "lookups".to_owned();
    lookups.priority = 0;
    cell.submit(99, lookups, spec(vec![step(1)]));
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
