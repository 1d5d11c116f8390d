//! Tests of the order of client accounts: one account sends far more than its weight entitles it to, and
//! the cell has too little room for all.

use std::time::Duration;

use laburnumplank::core::account::{Account, Cap, Name};
use laburnumplank::core::error::{Error, Kind};
use laburnumplank::core::resource::Amount;
use laburnumplank::core::scheduler::Input;
use laburnumplank::core::scheduler::id::{Job, Request};
use laburnumplank::core::scheduler::message::{RunEnd, Start};
use laburnumplank::core::scheduler::share::{WINDOW, dominant_share};

use super::cell::{Cell, ended, running, spec, step};

/// The longest time between two placements while many steps wait and inputs arrive.
const BULK_PAUSE: Duration = Duration::from_millis(25);
/// How many jobs an account with weight 1 may send at once.
const ENTITLED: u64 = 25;

fn account(name: &str, weight: f64) -> Account {
    Account {
        name: Name(name.to_owned()),
        weight,
        cap: Cap::default(),
    }
}

fn configure(cell: &mut Cell, hot: f64, school: f64) {
    let accounts = vec![account("hot", hot), account("school", school)];
    cell.input(Input::Accounts(accounts));
    cell.tick();
}

/// Returns a cell of one worker with room for four tasks, and two accounts with the same weight.
fn cell() -> Cell {
    let mut cell = Cell::new(1);
    configure(&mut cell, 1.0, 1.0);
    cell.add_worker("w1");
    cell
}

/// Submits jobs of one task each, without a placement in between.
fn burst(cell: &mut Cell, account: &str, jobs: std::ops::Range<u64>) {
    for job in jobs {
        cell.submit_for(job, account, spec(vec![step(1)]));
    }
}

fn refusals(cell: &Cell) -> Vec<(Request, &Error)> {
    let answers = cell.answers.iter();
    let refused = answers.filter_map(|(request, answer)| Some((*request, answer.as_ref().err()?)));
    refused.collect()
}

/// Ends the oldest run again and again until `count` more tasks have started, and returns their jobs in the
/// order of their starts.
fn work(cell: &mut Cell, count: usize) -> Vec<u64> {
    let mut active: Vec<Start> = Vec::new();
    let mut jobs = Vec::new();
    let mut number = 0;
    loop {
        cell.wait(BULK_PAUSE);
        for (_, start) in cell.accept_starts() {
            jobs.push(start.task.step.job.0);
            active.push(start);
        }
        if jobs.len() >= count || active.is_empty() {
            return jobs;
        }
        number += 1;
        let end = ended(number, &active.remove(0), RunEnd::Done);
        let worker = cell.scheduler.worker_named("w1").unwrap();
        cell.poll(worker, active.iter().map(running).collect(), vec![end]);
    }
}

#[test]
fn account_within_its_share_goes_before_one_that_fills_the_cell() {
    let mut cell = cell();
    burst(&mut cell, "hot", 0..20);
    cell.confirm();
    burst(&mut cell, "school", 100..104);
    cell.confirm();
    let jobs = work(&mut cell, 8);
    let of_school = jobs.iter().filter(|&&job| job >= 100).count();
    assert!(jobs[..4].iter().all(|&job| job < 20), "{jobs:?}");
    assert_eq!(jobs[4..6], [100, 101], "{jobs:?}");
    assert!(of_school >= 2, "{jobs:?}");
}

#[test]
fn shares_follow_the_weights() {
    let mut cell = Cell::new(1);
    configure(&mut cell, 1.0, 3.0);
    cell.add_worker("w1");
    burst(&mut cell, "hot", 0..20);
    burst(&mut cell, "school", 100..120);
    cell.confirm();
    let jobs = work(&mut cell, 20);
    let of_school = jobs[4..].iter().filter(|&&job| job >= 100).count();
    assert_eq!(of_school, 12, "three of four: {jobs:?}");
}

#[test]
fn idle_share_is_lent() {
    let mut cell = cell();
    burst(&mut cell, "hot", 0..4);
    cell.confirm();
    assert_eq!(cell.starts.len(), 4);
}

#[test]
fn jobs_beyond_the_weight_come_after_all_others() {
    let mut cell = cell();
    burst(&mut cell, "hot", 0..ENTITLED + 5);
    burst(&mut cell, "school", 100..120);
    cell.confirm();
    assert_eq!(refusals(&cell), []);
    let jobs = work(&mut cell, 50);
    assert_eq!(jobs.len(), 50);
    let last: Vec<u64> = (ENTITLED..ENTITLED + 5).collect();
    assert_eq!(jobs[45..], last, "{jobs:?}");
}

#[test]
fn jobs_beyond_the_weight_are_refused_while_the_cell_is_full() {
    let mut cell = cell();
    burst(&mut cell, "hot", 0..ENTITLED);
    cell.confirm();
    burst(&mut cell, "hot", 50..53);
    burst(&mut cell, "school", 100..103);
    let refused = refusals(&cell);
    assert_eq!(refused.len(), 3);
    for (request, error) in refused {
        assert!((50..53).contains(&request.0));
        assert_eq!(error.kind, Kind::Overloaded);
        let wait = error.retry_after.unwrap();
        assert!(!wait.is_zero() && wait <= WINDOW, "{wait:?}");
        assert!(cell.scheduler.job(Job(request.0)).is_none());
    }
    let reports = cell.scheduler.take_account_reports(cell.now);
    assert_eq!((reports.len(), reports[0].refused_jobs), (1, 3));
}

#[test]
fn accepted_job_is_not_refused_when_it_is_sent_again() {
    let mut cell = cell();
    burst(&mut cell, "hot", 0..ENTITLED);
    cell.confirm();
    burst(&mut cell, "hot", 0..1);
    assert_eq!(refusals(&cell), []);
}

#[test]
fn jobs_beyond_the_weight_run_while_the_cell_has_room() {
    let mut cell = Cell::new(1);
    configure(&mut cell, 1.0, 1.0);
    for index in 0..10 {
        cell.add_worker(&format!("w{index}"));
    }
    burst(&mut cell, "hot", 0..ENTITLED);
    cell.confirm();
    burst(&mut cell, "hot", 50..60);
    cell.confirm();
    assert_eq!(refusals(&cell), []);
    assert_eq!(cell.starts.len(), 35);
}

#[test]
fn account_is_entitled_to_further_jobs_as_the_window_moves() {
    let mut cell = cell();
    burst(&mut cell, "hot", 0..ENTITLED);
    cell.confirm();
    cell.wait(WINDOW - Duration::from_secs(1));
    burst(&mut cell, "hot", 50..51);
    assert_eq!(refusals(&cell).len(), 1);
    cell.wait(Duration::from_secs(1));
    burst(&mut cell, "hot", 51..52);
    assert_eq!(refusals(&cell).len(), 1);
}

#[test]
fn next_owner_knows_which_jobs_are_beyond_the_weight() {
    let mut first = cell();
    burst(&mut first, "hot", 0..ENTITLED + 2);
    first.confirm();
    let mut second = first.successor(9);
    configure(&mut second, 1.0, 1.0);
    for job in [ENTITLED, ENTITLED + 1] {
        assert!(second.scheduler.job(Job(job)).unwrap().is_surplus);
    }
    burst(&mut second, "hot", 50..51);
    assert!(second.scheduler.job(Job(50)).unwrap().is_surplus);
}

#[test]
fn dominant_share_is_that_of_the_scarcest_resource() {
    let capacity = Amount {
        cpu_millis: 10_000,
        memory_mib: 1_000,
        accelerators: 0,
    };
    let used = Amount {
        cpu_millis: 1_000,
        memory_mib: 500,
        accelerators: 0,
    };
    assert!((dominant_share(used, capacity) - 0.5).abs() < f64::EPSILON);
}
