//! In which order waiting steps get room.

use std::time::Duration;

use super::cell::{Cell, queue, spec, step, task};

#[test]
fn lookup_overtakes_bulk_that_waits() {
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
fn nearest_latest_start_goes_first() {
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
fn step_past_its_objective_goes_last() {
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
fn step_that_is_of_no_use_any_more_goes_after_one_that_is_late() {
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
