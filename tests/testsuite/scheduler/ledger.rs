//! Tests of the caps of client accounts: an account that sends far more than it may have running, while
//! starts have no answer, workers are silent and owners change.

use std::sync::Arc;
use std::time::Duration;

use laburnumplank::core::account::{Account, Cap, Name};
use laburnumplank::core::error::Kind;
use laburnumplank::core::scheduler::Input;
use laburnumplank::core::scheduler::id::Job;
use laburnumplank::core::scheduler::message::{Outcome, RunEnd, Start};
use laburnumplank::core::scheduler::spec::{self, Spec};
use laburnumplank::core::scheduler::wait::Reason;

use super::cell::{Cell, ended, queue, rules, running, spec, step};

fn name(name: &str) -> Name {
    Name(name.to_owned())
}

fn capped(account: &str, cores: u64) -> Account {
    Account {
        name: name(account),
        weight: 1.0,
        cap: Cap {
            cpu_millis: Some(cores * 1_000),
            ..Cap::default()
        },
    }
}

fn set_cap(cell: &mut Cell, cores: u64) {
    let accounts = vec![capped("museum", cores), capped("school", 100)];
    cell.input(Input::Accounts(accounts));
    cell.tick();
}

fn submit(cell: &mut Cell, job: u64, account: &str, spec: Arc<Spec>) {
    cell.submit_for(job, account, spec);
    cell.tick();
    cell.confirm();
}

fn gang(tasks: u16) -> Arc<Spec> {
    spec(vec![spec::Step {
        gang: true,
        ..step(tasks)
    }])
}

/// Returns the number of start commands of a job.
fn starts_of(cell: &Cell, job: u64) -> usize {
    let starts = cell.starts.iter();
    starts
        .filter(|(_, start)| start.task.step.job == Job(job))
        .count()
}

fn used_cores(cell: &Cell) -> u64 {
    cell.scheduler.used_by(&name("museum")).cpu_millis / 1_000
}

/// Returns a cell of two workers with 16 cores each, of which one account may use `cores`.
fn cell_with_cap(cores: u64) -> Cell {
    let mut cell = Cell::new(1);
    set_cap(&mut cell, cores);
    cell.add_worker("w1");
    cell.add_worker("w2");
    cell
}

/// Returns a cell in which an account has two runs of 4 cores each and may not have more, with both start
/// commands. Another job of it waits.
fn cell_at_cap() -> (Cell, Vec<Start>) {
    let mut cell = cell_with_cap(8);
    submit(&mut cell, 7, "museum", spec(vec![step(2)]));
    let starts = cell.accept_starts();
    submit(&mut cell, 8, "museum", spec(vec![step(1)]));
    assert_eq!((starts.len(), starts_of(&cell, 8)), (2, 0));
    (cell, starts.into_iter().map(|(_, start)| start).collect())
}

#[test]
fn account_that_sends_many_jobs_stays_within_its_cap() {
    let mut cell = cell_with_cap(8);
    for job in 10..20 {
        submit(&mut cell, job, "museum", spec(vec![step(3)]));
    }
    assert_eq!(cell.starts.len(), 2);
    assert_eq!(used_cores(&cell), 8);
}

#[test]
fn account_at_its_cap_blocks_no_other() {
    let mut cell = cell_with_cap(8);
    submit(&mut cell, 7, "museum", spec(vec![step(6)]));
    submit(&mut cell, 8, "museum", gang(2));
    submit(&mut cell, 9, "school", spec(vec![step(6)]));
    assert_eq!(starts_of(&cell, 9), 6);
}

#[test]
fn step_wider_than_the_cap_runs_in_waves() {
    let mut cell = cell_with_cap(8);
    submit(&mut cell, 7, "museum", spec(vec![step(5)]));
    let mut waves = Vec::new();
    let mut number = 0;
    while waves.iter().sum::<usize>() < 5 {
        let starts = cell.accept_starts();
        waves.push(starts.len());
        for (worker, start) in starts {
            number += 1;
            cell.poll(
                worker,
                Vec::new(),
                vec![ended(number, &start, RunEnd::Done)],
            );
        }
    }
    // The second run of a wave starts as soon as the first of the former one has ended.
    assert!(waves.iter().all(|&wave| wave <= 2), "{waves:?}");
}

#[test]
fn raised_cap_takes_effect_at_once() {
    let (mut cell, _) = cell_at_cap();
    set_cap(&mut cell, 12);
    assert_eq!(starts_of(&cell, 8), 1);
}

#[test]
fn lowered_cap_ends_nothing_and_starts_nothing() {
    let (mut cell, starts) = cell_at_cap();
    set_cap(&mut cell, 4);
    assert!(cell.stops.is_empty());
    let worker = cell.scheduler.worker_named("w1").unwrap();
    cell.poll(
        worker,
        vec![running(&starts[1])],
        vec![ended(1, &starts[0], RunEnd::Done)],
    );
    assert_eq!((used_cores(&cell), starts_of(&cell, 8)), (4, 0));
    cell.poll(worker, Vec::new(), vec![ended(2, &starts[1], RunEnd::Done)]);
    assert_eq!(starts_of(&cell, 8), 1);
}

#[test]
fn account_that_is_not_listed_any_more_keeps_its_cap() {
    let (mut cell, _) = cell_at_cap();
    cell.input(Input::Accounts(vec![capped("school", 100)]));
    cell.tick();
    assert_eq!(starts_of(&cell, 8), 0);
}

#[test]
fn account_that_was_never_listed_gets_the_smallest_cap() {
    let mut cell = cell_with_cap(8);
    submit(&mut cell, 7, "archive", spec(vec![step(3)]));
    assert_eq!(starts_of(&cell, 7), 2);
}

#[test]
fn job_of_an_account_waits_until_the_accounts_are_known() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    submit(&mut cell, 7, "museum", spec(vec![step(1)]));
    cell.submit(8, queue(), spec(vec![step(1)]));
    cell.confirm();
    assert_eq!((starts_of(&cell, 7), starts_of(&cell, 8)), (0, 1));
    set_cap(&mut cell, 8);
    assert_eq!(starts_of(&cell, 7), 1);
}

#[test]
fn start_without_an_answer_counts() {
    let mut cell = cell_with_cap(8);
    submit(&mut cell, 7, "museum", spec(vec![step(2)]));
    let starts = std::mem::take(&mut cell.starts);
    for (worker, start) in &starts {
        cell.finish_start(*worker, start, Outcome::Unknown);
    }
    submit(&mut cell, 8, "museum", spec(vec![step(1)]));
    cell.wait(Duration::from_secs(1));
    assert_eq!((starts.len(), starts_of(&cell, 8)), (2, 0));
}

#[test]
fn run_that_is_being_stopped_counts_until_its_end() {
    let (mut cell, starts) = cell_at_cap();
    cell.cancel(7);
    cell.confirm();
    assert_eq!(starts_of(&cell, 8), 0);
    let worker = cell.scheduler.worker_named("w1").unwrap();
    let stopped = starts.iter().zip(1..);
    let stopped = stopped.map(|(start, number)| ended(number, start, RunEnd::Stopped));
    cell.poll(worker, Vec::new(), stopped.collect());
    assert_eq!(starts_of(&cell, 8), 1);
}

#[test]
fn run_on_a_silent_worker_counts_until_its_lease_has_ended() {
    let (mut cell, starts) = cell_at_cap();
    let worker = cell.scheduler.worker_named("w1").unwrap();
    cell.poll(worker, starts.iter().map(running).collect(), Vec::new());
    cell.input(Input::PollFailed {
        worker,
        outcome: Outcome::Unknown,
    });
    cell.wait(rules().lease - Duration::from_secs(1));
    assert_eq!(starts_of(&cell, 8), 0);
    cell.wait(Duration::from_secs(2));
    assert_eq!(cell.starts.len(), 2, "two runs, of either job");
}

/// Returns the next owner, which one of the two workers has answered; it knows the accounts.
fn successor(cell: &Cell) -> Cell {
    let mut next = cell.successor(9);
    set_cap(&mut next, 8);
    next.add_worker("w2");
    next.list_worker("w1");
    next
}

#[test]
fn unknown_runs_of_an_earlier_owner_count() {
    let (first, starts) = cell_at_cap();
    let mut second = successor(&first);
    submit(&mut second, 9, "museum", spec(vec![step(1)]));
    submit(&mut second, 10, "school", spec(vec![step(1)]));
    assert_eq!((starts_of(&second, 9), starts_of(&second, 10)), (0, 1));

    let worker = second.scheduler.worker_named("w1").unwrap();
    second.poll(worker, starts.iter().map(running).collect(), Vec::new());
    assert_eq!(used_cores(&second), 8);
    assert_eq!((starts_of(&second, 8), starts_of(&second, 9)), (0, 0));
    second.poll(
        worker,
        vec![running(&starts[1])],
        vec![ended(1, &starts[0], RunEnd::Done)],
    );
    assert_eq!(starts_of(&second, 8) + starts_of(&second, 9), 1);
}

#[test]
fn unknown_runs_count_no_more_than_their_workers_hold() {
    let mut first = cell_with_cap(40);
    submit(&mut first, 7, "museum", spec(vec![step(30)]));
    assert_eq!(first.accept_starts().len(), 8);
    let mut second = first.successor(9);
    set_cap(&mut second, 40);
    second.add_worker("w2");
    second.list_worker("w1");
    submit(&mut second, 8, "museum", spec(vec![step(30)]));
    // 30 tasks may wait, but w1 has 16 cores.
    assert_eq!(starts_of(&second, 8), 4);
}

#[test]
fn runs_that_a_job_left_when_it_ended_count_after_a_takeover() {
    let (mut first, starts) = cell_at_cap();
    first.cancel(7);
    first.confirm();
    let mut second = successor(&first);
    submit(&mut second, 9, "museum", spec(vec![step(1)]));
    assert_eq!(starts_of(&second, 9), 0);

    let worker = second.scheduler.worker_named("w1").unwrap();
    second.poll(worker, starts.iter().map(running).collect(), Vec::new());
    assert_eq!(used_cores(&second), 8);
    assert_eq!(second.starts.len(), 0);
    let stopped = starts.iter().zip(1..);
    let stopped = stopped.map(|(start, number)| ended(number, start, RunEnd::Stopped));
    second.poll(worker, Vec::new(), stopped.collect());
    assert_eq!(second.starts.len(), 2, "jobs 8 and 9");
}

#[test]
fn gang_is_not_overtaken_by_later_steps_of_its_account() {
    let mut cell = cell_with_cap(16);
    submit(&mut cell, 7, "museum", spec(vec![step(3)]));
    let starts = cell.accept_starts();
    submit(&mut cell, 8, "museum", gang(4));
    submit(&mut cell, 9, "museum", spec(vec![step(1)]));
    assert_eq!(cell.starts.len(), 0, "4 of 16 cores are left");
    let worker = starts[0].0;
    let ends = starts.iter().zip(1..);
    let ends = ends.map(|((_, start), number)| ended(number, start, RunEnd::Done));
    cell.poll(worker, Vec::new(), ends.collect());
    assert_eq!((starts_of(&cell, 8), starts_of(&cell, 9)), (4, 0));
}

#[test]
fn step_that_a_cap_holds_back_is_explained() {
    let (mut cell, _) = cell_at_cap();
    cell.wait(Duration::from_secs(2));
    let waits = cell.scheduler.waits(cell.now);
    let wait = waits.iter().find(|wait| wait.step.job == Job(8)).unwrap();
    let Reason::AccountCap(account) = &wait.reason else {
        panic!("{:?}", wait.reason);
    };
    assert_eq!(account.name, name("museum"));
    assert_eq!(account.used.cpu_millis, 8_000);
    assert_eq!(account.cap.unwrap().cpu_millis, Some(8_000));
    let reports = cell.scheduler.take_account_reports(cell.now);
    assert_eq!((reports.len(), reports[0].capped_steps), (1, 1));
}

#[test]
fn gang_wider_than_its_cap_is_refused() {
    let mut cell = cell_with_cap(8);
    submit(&mut cell, 7, "museum", gang(3));
    let refusal = cell.answers[0].1.as_ref().unwrap_err();
    assert_eq!(refusal.kind, Kind::Impossible);
    set_cap(&mut cell, 12);
    submit(&mut cell, 7, "museum", gang(3));
    assert_eq!(starts_of(&cell, 7), 3);
}

#[test]
fn gang_whose_cap_was_lowered_waits_and_blocks_nobody() {
    let mut cell = Cell::new(1);
    set_cap(&mut cell, 12);
    submit(&mut cell, 7, "museum", gang(3));
    set_cap(&mut cell, 8);
    cell.add_worker("w1");
    submit(&mut cell, 8, "museum", spec(vec![step(2)]));
    assert_eq!((starts_of(&cell, 7), starts_of(&cell, 8)), (0, 2));
    set_cap(&mut cell, 20);
    assert_eq!(starts_of(&cell, 7), 0, "8 of 16 cores are in use");
}
