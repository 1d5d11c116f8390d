//! Tests of the recovery of a new owner from the log and the inventories of the workers.

use std::sync::Arc;
use std::time::Duration;

use laburnumplank::core::error::Kind;
use laburnumplank::core::scheduler::advice::AdvisorProxy;
use laburnumplank::core::scheduler::id::{Job, Mark, Request, Worker};
use laburnumplank::core::scheduler::message::{EndedRun, Outcome, Refusal, RunEnd, Start};
use laburnumplank::core::scheduler::record::Phase;
use laburnumplank::core::scheduler::spec::{Advice, Queue};
use laburnumplank::core::scheduler::worker::{Entry, State};
use laburnumplank::core::scheduler::{Input, Output, Rules};
use laburnumplank::core::time::Instant;

use super::cell::{CLOCK_OFFSET_MS, Cell, ended, entry, queue, rules, running, spec, step, task};

/// The most ended runs that a worker reports at a time.
const MAX_REPORTED_ENDS: u64 = 500;

#[test]
fn end_listed_again_counts_once() {
    let mut first = Cell::new(1);
    let worker = first.add_worker("w1");
    first.submit(7, queue(), spec(vec![step(1)]));
    first.confirm();
    let starts = first.accept_starts();
    let failed = ended(1, &starts[0].1, RunEnd::Failed);
    first.poll(worker, Vec::new(), vec![failed.clone()]);
    first.confirm();

    // The record of the failed run is in the log, but the worker has not got the acknowledgement.
    let mut second = first.successor(9);
    let worker = second.list_worker("w1");
    second.poll(worker, Vec::new(), vec![failed]);
    assert_eq!(
        second.scheduler.phase(Job(7), "filings"),
        Some(Phase::Running)
    );
    assert_eq!(second.starts.len(), 1, "one of two attempts is left");
}

#[test]
fn failures_listed_in_any_order_all_count() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    first.add_worker("w2");
    first.submit(7, queue(), spec(vec![step(1)]));
    first.confirm();
    let run_1 = first.accept_starts();
    let failed_1 = ended(1, &run_1[0].1, RunEnd::Failed);
    first.poll(run_1[0].0, Vec::new(), vec![failed_1.clone()]);
    let run_2 = first.accept_starts();
    let failed_2 = ended(1, &run_2[0].1, RunEnd::Failed);
    let names = [run_2[0].0, run_1[0].0].map(|worker| {
        let worker = first.scheduler.worker(worker).unwrap();
        worker.entry.name.clone()
    });
    assert_ne!(names[0], names[1], "the second run is on the other worker");

    // Neither failed run is in the log, which was down.
    let mut second = first.successor(9);
    for (name, failed) in names.iter().zip([failed_2, failed_1]) {
        let worker = second.list_worker(name);
        second.poll(worker, Vec::new(), vec![failed]);
    }
    second.wait(Duration::from_secs(7));
    assert!(second.starts.is_empty(), "both attempts are used up");
}

#[test]
fn inherited_task_waits_for_worker_that_may_run_it() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    first.add_worker("w2");
    first.submit(7, queue(), spec(vec![step(1)]));
    first.confirm();

    let mut second = first.successor(9);
    let one = second.add_worker("w1");
    second.wait(Duration::from_millis(9_670));
    assert!(
        second.starts.is_empty(),
        "w2 may run the task until its lease ends"
    );
    second.wait(Duration::from_millis(200));
    second.poll(one, Vec::new(), Vec::new());
    assert_eq!(second.starts.len(), 1);
}

#[test]
fn inherited_task_waits_for_restarted_worker_that_has_not_reported() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    first.submit(7, queue(), spec(vec![step(1)]));
    first.confirm();

    let mut second = first.successor(9);
    let one = second.restart_worker("w1");
    second.add_worker("w2");
    assert!(
        second.starts.is_empty(),
        "w1 may have got a command that was meant for its former incarnation"
    );
    second.poll(one, Vec::new(), Vec::new());
    assert_eq!(second.starts.len(), 1);
}

#[test]
fn inherited_task_starts_at_once_when_all_workers_answered() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    first.submit(7, queue(), spec(vec![step(1)]));
    first.confirm();

    let mut second = first.successor(9);
    second.add_worker("w1");
    assert_eq!(second.starts.len(), 1);
}

#[test]
fn worker_gets_no_task_before_the_log_lists_it() {
    let mut cell = Cell::new(1);
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    cell.input(Input::Listed(entry("w1")));
    let worker = cell.scheduler.worker_named("w1").unwrap();
    cell.poll(worker, Vec::new(), Vec::new());
    assert!(cell.starts.is_empty());
    cell.confirm();
    assert_eq!(cell.starts.len(), 1);
}

#[test]
fn running_task_is_adopted() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    first.submit(7, queue(), spec(vec![step(1)]));
    first.confirm();
    let starts = first.accept_starts();

    let mut second = first.successor(9);
    let worker = second.list_worker("w1");
    second.poll(worker, vec![running(&starts[0].1)], Vec::new());
    second.wait(Duration::from_secs(7));
    assert!(second.starts.is_empty());
    assert!(second.stops.is_empty());
    second.poll(
        worker,
        Vec::new(),
        vec![ended(1, &starts[0].1, RunEnd::Done)],
    );
    second.confirm();
    assert_eq!(
        second.scheduler.phase(Job(7), "filings"),
        Some(Phase::Completed)
    );
}

#[test]
fn run_of_ended_job_is_stopped() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    first.submit(7, queue(), spec(vec![step(1)]));
    first.confirm();
    let starts = first.accept_starts();
    first.input(Input::Cancel {
        request: Request(8),
        job: Job(7),
        queue: "filings".to_owned(),
        endpoint: None,
        account: None,
        at: first.time().stamp,
    });
    first.confirm();

    let mut second = first.successor(9);
    let worker = second.list_worker("w1");
    second.poll(worker, vec![running(&starts[0].1)], Vec::new());
    assert_eq!(second.stops.len(), 1);
    assert_eq!(
        second.scheduler.phase(Job(7), "filings"),
        Some(Phase::Cancelled)
    );
}

#[test]
fn job_whose_record_never_left_is_refused_when_the_log_goes() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(1)]));
    let sent = cell.unconfirmed.back().unwrap().0;
    cell.submit(8, queue(), spec(vec![step(1)]));
    cell.input(Input::LogUnavailable { sent });
    assert_eq!(
        cell.answers.len(),
        1,
        "the record of job 7 may be in the log"
    );
    let (request, answer) = cell.answers.remove(0);
    assert_eq!(request, Request(8));
    assert_eq!(answer.unwrap_err().kind, Kind::LogDown);
    assert!(cell.unconfirmed.iter().all(|(mark, ..)| *mark <= sent));

    cell.input(Input::LogAvailable);
    cell.submit(8, queue(), spec(vec![step(1)]));
    cell.input(Input::Durable(Mark(sent.0 + 1)));
    assert_eq!(
        cell.answers.len(),
        1,
        "the second submission waits for its own record"
    );
    cell.confirm();
    assert_eq!(cell.answers.len(), 2);
}

#[test]
fn takeover_during_a_cancellation_overcommits_no_worker() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    first.submit(7, queue(), spec(vec![step(3)]));
    first.confirm();
    let cancelled = first.accept_starts();
    assert_eq!(cancelled.len(), 3, "12 of 16 cores");
    first.submit(8, queue(), spec(vec![step(4)]));
    first.cancel(7);
    first.confirm();
    first.starts.clear();

    // The stop commands take a while: the next owner finds the runs of the ended job.
    let mut second = first.successor(9);
    let worker = second.list_worker("w1");
    let being_stopped = cancelled.iter().map(|(_, start)| running(start)).collect();
    second.poll(worker, being_stopped, Vec::new());
    second.wait(Duration::from_millis(100));
    assert!(
        second.starts.len() <= 1,
        "4 of 16 cores are free, and {} runs of 4 cores were started",
        second.starts.len()
    );

    let ends = cancelled.iter().zip(1..);
    let ends = ends.map(|((_, start), number)| ended(number, start, RunEnd::Stopped));
    second.poll(worker, Vec::new(), ends.collect());
    assert_eq!(second.starts.len(), 4, "the whole worker is free");
}

#[test]
fn worker_that_has_left_blocks_no_later_takeover() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    first.add_worker("w2");
    first.submit(7, queue(), spec(vec![step(1)]));
    first.confirm();

    let mut second = first.successor(9);
    let one = second.add_worker("w1");
    second.wait(Duration::from_millis(10_470));
    second.poll(one, Vec::new(), Vec::new());
    second.confirm();

    let mut third = second.successor(20);
    third.add_worker("w1");
    assert_eq!(third.starts.len(), 1, "w2 left before the second takeover");
}

#[test]
fn worker_that_leaves_after_a_takeover_blocks_no_later_one() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    first.add_worker("w2");
    first.submit(7, queue(), spec(vec![step(1)]));
    first.confirm();

    let mut second = first.successor(9);
    second.add_worker("w1");
    let two = second.add_worker("w2");
    second.input(Input::Unlisted("w2".to_owned()));
    second.input(Input::PollFailed {
        worker: two,
        outcome: Outcome::Unknown,
    });
    second.wait(Duration::from_millis(10_470));
    assert!(second.events.contains(&(two, "gone")));
    second.tick();
    second.confirm();

    let mut third = second.successor(20);
    third.add_worker("w1");
    assert_eq!(third.starts.len(), 1, "w2 left before the second takeover");
}

/// Creates an owner with an empty worker `w1`, a worker `w2` that drains with one run, and a job that
/// waits for capacity.
fn owner_with_draining_worker() -> (Cell, Worker, Start) {
    let mut first = Cell::new(1);
    let two = first.add_worker("w2");
    first.submit(7, queue(), spec(vec![step(1)]));
    first.confirm();
    let (_, start) = first.accept_starts().remove(0);
    drain(&mut first, "w2", true);
    first.poll(two, vec![running(&start)], Vec::new());
    first.submit(8, queue(), spec(vec![step(1)]));
    first.confirm();
    (first, two, start)
}

fn drain(cell: &mut Cell, name: &str, draining: bool) {
    let entry = Entry {
        draining,
        ..entry(name)
    };
    cell.input(Input::Listed(entry));
    cell.tick();
}

#[test]
fn drained_worker_that_still_responds_blocks_no_takeover() {
    let (mut first, two, start) = owner_with_draining_worker();
    first.poll(two, Vec::new(), vec![ended(1, &start, RunEnd::Done)]);
    first.confirm();
    first.wait(Duration::from_millis(100));
    first.confirm();

    let mut second = first.successor(9);
    second.add_worker("w1");
    assert_eq!(second.starts.len(), 1, "nothing ran on w2 any more");
}

#[test]
fn drained_worker_blocks_a_takeover_until_its_ends_are_in_the_log() {
    let (mut first, two, start) = owner_with_draining_worker();
    first.poll(two, Vec::new(), vec![ended(1, &start, RunEnd::Done)]);
    first.wait(Duration::from_millis(100));

    let mut second = first.successor(9);
    second.add_worker("w1");
    assert!(second.starts.is_empty(), "w2 may still run a task of job 7");
}

#[test]
fn draining_worker_with_a_run_blocks_a_takeover() {
    let (mut first, ..) = owner_with_draining_worker();
    first.wait(Duration::from_millis(100));
    first.confirm();

    let mut second = first.successor(9);
    second.add_worker("w1");
    assert!(
        second.starts.is_empty(),
        "w2 may still run the task of job 7"
    );
}

#[test]
fn drained_worker_that_is_ready_again_gets_no_task_before_the_log_lists_it() {
    let (mut first, two, start) = owner_with_draining_worker();
    first.poll(two, Vec::new(), vec![ended(1, &start, RunEnd::Done)]);
    first.confirm();
    first.wait(Duration::from_millis(100));
    first.confirm();
    drain(&mut first, "w2", false);
    first.poll(two, Vec::new(), Vec::new());
    first.wait(Duration::from_millis(100));
    assert!(first.starts.is_empty(), "the last record leaves w2 out");
    first.confirm();
    assert_eq!(first.starts.len(), 1);
}

#[test]
fn cancelled_job_that_was_withdrawn_is_kept_when_it_is_handed_in_again() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(1)]));
    let sent = Mark(cell.unconfirmed[0].0.0 - 1);
    cell.cancel(7);
    cell.input(Input::LogUnavailable { sent });
    cell.input(Input::LogAvailable);
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    cell.wait(rules().status_kept + Duration::from_secs(11));
    cell.confirm();
    assert!(cell.scheduler.phase(Job(7), "filings").is_some());
}

/// Rules of a cell whose workers grant longer leases than owners ask for.
fn long_lease_rules() -> Rules {
    Rules {
        max_lease: Duration::from_secs(10),
        ..rules()
    }
}

/// Returns an owner whose worker `w2` has been silent for a second, with a job that has not started.
fn owner_with_lost_worker() -> Cell {
    let mut first = Cell::with_rules(1, Instant(0), long_lease_rules());
    let one = first.add_worker("w1");
    let two = first.add_worker("w2");
    first.poll(two, Vec::new(), Vec::new());
    first.input(Input::PollFailed {
        worker: two,
        outcome: Outcome::Unknown,
    });
    first.wait(Duration::from_secs(1));
    first.poll(one, Vec::new(), Vec::new());
    first.submit(7, queue(), spec(vec![step(1)]));
    first.confirm();
    first.starts.clear();
    first
}

#[test]
fn lost_worker_blocks_inherited_task_until_the_lease_of_the_former_owner_has_ended() {
    let first = owner_with_lost_worker();
    let mut second = first.successor(9);
    second.add_worker("w1");
    second.inherit_leases(&first);
    second.wait(Duration::from_millis(3_500));
    assert!(second.starts.is_empty(), "w2 may run the task");
    second.wait(Duration::from_millis(400));
    assert_eq!(second.starts.len(), 1);
}

#[test]
fn owners_that_follow_each_other_do_not_wait_anew_for_a_lost_worker() {
    let mut former = owner_with_lost_worker();
    for token in [9, 20, 31] {
        let mut next = former.successor(token);
        next.add_worker("w1");
        next.inherit_leases(&former);
        next.wait(Duration::from_millis(1_000));
        assert!(next.starts.is_empty(), "w2 may run the task");
        former = next;
    }
    let mut last = former.successor(42);
    last.add_worker("w1");
    last.inherit_leases(&former);
    last.wait(Duration::from_millis(1_000));
    assert_eq!(last.starts.len(), 1);
}

#[test]
fn worker_that_the_former_owner_had_given_up_blocks_no_takeover() {
    let mut first = owner_with_lost_worker();
    let two = first.scheduler.worker_named("w2").unwrap();
    // The record that w2 is gone is not in the log when the next owner reads it.
    first.input(Input::Unlisted("w2".to_owned()));
    first.wait(Duration::from_secs(5));
    assert!(first.events.contains(&(two, "gone")));
    let mut second = first.successor(9);
    second.add_worker("w1");
    assert!(second.starts.is_empty());
    second.inherit_leases(&first);
    assert_eq!(second.starts.len(), 1);
}

#[test]
fn start_under_way_to_a_lost_worker_counts_with_the_longest_lease() {
    let mut first = Cell::with_rules(1, Instant(0), long_lease_rules());
    first.add_worker("w1");
    first.submit(7, queue(), spec(vec![step(1)]));
    first.confirm();
    assert_eq!(first.starts.len(), 1);
    let mut second = first.successor(9);
    second.add_worker("w2");
    second.inherit_leases(&first);
    second.wait(Duration::from_secs(9));
    assert!(second.starts.is_empty(), "w1 may restart and run the task");
    second.wait(Duration::from_millis(1_500));
    assert_eq!(second.starts.len(), 1);
}

#[test]
fn permits_of_inherited_task_arrive_by_the_time_it_may_start() {
    let advised = Queue {
        advice: Some(Advice {
            base: Duration::from_millis(450),
            per_worker: Duration::from_millis(6),
            validity: Duration::from_millis(2_500),
        }),
        ..queue()
    };
    let mut first = Cell::new(1);
    first.add_worker("w1");
    first.add_worker("w2");
    first.submit(7, advised, spec(vec![step(1)]));
    first.confirm();

    let mut second = first.successor(9);
    second.input(Input::AdvisorProxies(vec![AdvisorProxy(0)]));
    let one = second.add_worker("w1");
    second.wait(Duration::from_millis(8_470));
    assert!(second.calls.is_empty(), "permits would end before the wait");
    second.wait(Duration::from_millis(700));
    assert_eq!(second.calls.len(), 1);
    let call = second.calls[0].clone();
    second.input(Input::Advised {
        call,
        allowed: Some(vec![("w1".to_owned(), Arc::from("permit"))]),
        validity: Duration::from_millis(2_500),
    });
    second.wait(Duration::from_millis(300));
    assert!(second.starts.is_empty(), "w2 may run the task");
    second.wait(Duration::from_millis(400));
    second.poll(one, Vec::new(), Vec::new());
    assert_eq!(second.starts.len(), 1);
    assert_eq!(second.calls.len(), 1);
}

#[test]
fn wait_for_a_lost_worker_counts_from_the_end_of_the_recovery() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    first.add_worker("w2");
    first.submit(7, queue(), spec(vec![step(1)]));
    first.confirm();

    let mut second = first.successor_after(9, Duration::from_secs(3));
    second.add_worker("w1");
    second.wait(Duration::from_millis(9_470));
    assert!(second.starts.is_empty(), "w2 may run the task");
    second.wait(Duration::from_millis(500));
    assert_eq!(second.starts.len(), 1);
}

#[test]
fn first_report_with_unreadable_rows_leaves_inherited_runs_unknown() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    first.add_worker("w2");
    first.submit(7, queue(), spec(vec![step(1)]));
    first.confirm();

    let mut second = first.successor(9);
    second.add_worker("w1");
    let two = second.list_worker("w2");
    second.poll_with(two, Vec::new(), Vec::new(), false);
    assert!(second.starts.is_empty(), "w2 may run the task");
    second.poll(two, Vec::new(), Vec::new());
    assert_eq!(second.starts.len(), 1);
}

// A log line has to tell on what evidence a run left the table of its worker.
#[test]
fn release_of_a_run_says_what_it_is_based_on() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    let (_, start) = cell.starts.pop().unwrap();
    cell.wait(Duration::from_millis(20));
    cell.finish_start(worker, &start, Outcome::Refused(Refusal::OldRun));
    let [
        Output::Released {
            reason, evidence, ..
        },
    ] = &cell.beliefs[..]
    else {
        panic!("{:?}", cell.beliefs);
    };
    assert_eq!(*reason, "old_run");
    assert_eq!(evidence.incarnation, 1);
    assert_eq!(evidence.state, State::Starting);
    assert!(!evidence.is_confirmed);
    assert!(evidence.age >= Duration::from_millis(20));
    assert!(evidence.lease_left > Duration::from_secs(4));
}

// A log line has to tell why an owner stopped waiting for a worker of an earlier one.
#[test]
fn end_of_the_wait_for_a_worker_says_what_it_is_based_on() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    first.add_worker("w2");
    let mut second = first.successor(9);
    second.add_worker("w1");
    second.wait(Duration::from_millis(9_970));
    let sources: Vec<(&str, &str)> = second
        .beliefs
        .iter()
        .filter_map(|belief| match belief {
            Output::Inherited {
                worker,
                is_known: true,
                source,
                ..
            } => Some((worker.as_str(), *source)),
            _ => None,
        })
        .collect();
    assert_eq!(
        sources,
        [
            ("w1", "it has reported"),
            ("w2", "the longest lease has ended")
        ]
    );
}

// A start under way when its worker restarts leaves a line as well.
#[test]
fn start_passed_on_to_the_next_incarnation_is_logged() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    cell.restart_worker("w1");
    let passed_on = cell
        .beliefs
        .iter()
        .any(|belief| matches!(belief, Output::PassedOn { from: 1, to: 2, .. }));
    assert!(passed_on, "{:?}", cell.beliefs);
}

// The former owner is cut from the log and from its successor, which cannot reach the worker either.
#[test]
fn run_of_an_isolated_owner_ends_before_its_successor_starts_the_task_again() {
    for rules in [rules(), long_lease_rules()] {
        let mut first = Cell::with_rules(1, Instant(0), rules);
        let worker = first.add_worker("w1");
        first.submit(7, queue(), spec(vec![step(1)]));
        first.confirm();
        let start = first.accept_starts().pop().unwrap().1;
        first.is_claim_confirmed = false;
        let mut second = first.successor(9);
        let other = second.add_worker("w2");
        let mut lease_end_ms = 0;
        while second.starts.is_empty() {
            first.wait(Duration::from_millis(500));
            first.poll(worker, vec![running(&start)], Vec::new());
            let granted = first.scheduler.poll(first.now, worker).unwrap();
            lease_end_ms = lease_end_ms.max(granted.deadline_ms.unwrap_or_default());
            second.now = first.now;
            second.poll(other, Vec::new(), Vec::new());
            assert!(first.now < Instant(60_000_000), "the task never starts");
        }
        let clock_ms = CLOCK_OFFSET_MS + second.now.0 / 1_000;
        assert!(
            clock_ms > lease_end_ms,
            "started at {clock_ms} ms, and w1 may run it until {lease_end_ms} ms"
        );
    }
}

// An owner that stood still must not start tasks before it knows that it has no successor.
#[test]
fn owner_whose_claim_was_last_confirmed_long_ago_starts_nothing() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    cell.is_claim_confirmed = false;
    cell.wait(Duration::from_secs(8));
    cell.poll(worker, Vec::new(), Vec::new());
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    assert!(cell.starts.is_empty(), "{:?}", cell.starts);
    cell.wait(Duration::from_secs(2));
    let waits = cell.scheduler.waits(cell.now);
    assert_eq!(waits[0].reason.name(), "claim_unconfirmed");
    cell.is_claim_confirmed = true;
    cell.poll(worker, Vec::new(), Vec::new());
    cell.wait(Duration::from_millis(10));
    assert_eq!(cell.starts.len(), 1);
}

/// Returns an owner that inherited a job and learns, after `w2` has reported, that another worker has
/// taken the address of `w2`.
fn owner_whose_worker_lost_its_address() -> Cell {
    let mut first = Cell::with_rules(1, Instant(0), long_lease_rules());
    first.add_worker("w1");
    first.add_worker("w2");
    first.submit(7, queue(), spec(vec![step(2)]));
    first.confirm();
    let mut second = first.successor(9);
    let two = second.add_worker("w2");
    second.input(Input::PollFailed {
        worker: two,
        outcome: Outcome::Refused(Refusal::OtherWorker),
    });
    second
}

// A name that has lost its address can neither run anything nor carry out a command.
#[test]
fn worker_whose_address_another_one_has_taken_blocks_no_inherited_task() {
    let mut second = owner_whose_worker_lost_its_address();
    second.add_worker("w1");
    assert_eq!(second.starts.len(), 2);
}

// The same for a start under way to it.
#[test]
fn start_under_way_to_a_worker_that_lost_its_address_is_void() {
    let mut second = owner_whose_worker_lost_its_address();
    let one = second.add_worker("w1");
    second.starts.clear();
    second.input(Input::PollFailed {
        worker: one,
        outcome: Outcome::Refused(Refusal::OtherWorker),
    });
    let three = second.add_worker("w3");
    let workers: Vec<_> = second.starts.iter().map(|(worker, _)| *worker).collect();
    assert_eq!(workers, [three; 2]);
    second.confirm();
    let mut third = second.successor(20);
    third.inherit_leases(&second);
    let three = third.add_worker("w3");
    let workers: Vec<_> = third.starts.iter().map(|(worker, _)| *worker).collect();
    assert_eq!(workers, [three; 2], "nobody waits for w1 and w2");
}

/// Returns as many ends of runs of other jobs as one report holds.
pub(super) fn full_report(start: &Start) -> Vec<EndedRun> {
    let ends = (1..=MAX_REPORTED_ENDS).map(|number| {
        let mut other = start.clone();
        other.task.step.job = Job(1_000 + number);
        ended(number, &other, RunEnd::Stopped)
    });
    ends.collect()
}

#[test]
fn first_report_without_all_ends_leaves_inherited_runs_unknown() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    first.submit(7, queue(), spec(vec![step(1)]));
    first.confirm();
    let (_, start) = first.accept_starts().remove(0);

    let mut second = first.successor(9);
    let one = second.list_worker("w1");
    second.poll(one, Vec::new(), full_report(&start));
    assert!(second.starts.is_empty(), "the end of the run may be unread");
    let done = ended(MAX_REPORTED_ENDS + 1, &start, RunEnd::Done);
    second.poll(one, Vec::new(), vec![done]);
    second.wait(Duration::from_secs(7));
    assert!(second.starts.is_empty(), "the task is done");
}

#[test]
fn ends_that_stay_unread_while_the_log_is_away_outlast_the_wait_for_leases() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    first.submit(7, queue(), spec(vec![step(1)]));
    first.confirm();
    let (_, start) = first.accept_starts().remove(0);

    // Without an acknowledgement the worker reports the same ends, and its lease goes on.
    let mut second = first.successor(9);
    let one = second.list_worker("w1");
    for _ in 0..8 {
        second.poll(one, Vec::new(), full_report(&start));
        second.wait(Duration::from_secs(1));
    }
    assert!(second.starts.is_empty(), "the end of the run may be unread");
    second.poll(one, Vec::new(), Vec::new());
    assert_eq!(second.starts.len(), 1);
}

/// Returns an owner that has ended a job of two steps, but of which the log has not confirmed the
/// last records; the end of the first step is acknowledged.
fn owner_that_ends_a_job() -> Cell {
    let mut first = Cell::new(1);
    let worker = first.add_worker("w1");
    let mut last = step(1);
    last.after = vec![0];
    first.submit(7, queue(), spec(vec![step(1), last]));
    first.confirm();
    let (_, start) = first.accept_starts().remove(0);
    first.poll(worker, Vec::new(), vec![ended(1, &start, RunEnd::Done)]);
    first.confirm();
    let poll = first.scheduler.poll(first.now, worker).unwrap();
    assert_eq!(poll.acknowledged, 1);
    let (_, start) = first.accept_starts().remove(0);
    first.poll(worker, Vec::new(), vec![ended(2, &start, RunEnd::Done)]);
    first
}

#[test]
fn done_task_is_not_run_again_when_only_part_of_the_end_of_its_job_is_in_the_log() {
    let first = owner_that_ends_a_job();
    for count in 0..=first.unconfirmed.len() {
        let mut second = first.successor_with(9, count);
        let worker = second.list_worker("w1");
        second.poll(worker, Vec::new(), Vec::new());
        let mut started = second.starts.iter();
        let is_again = started.any(|(_, start)| start.task == task(7, 0, 0));
        assert!(!is_again, "{count} records");
    }
}

#[test]
fn job_with_the_id_of_an_ended_one_begins_without_its_progress() {
    let first = owner_that_ends_a_job();
    let mut second = first.successor_with(9, 1);
    second.add_worker("w1");
    second.confirm();
    second.wait(rules().status_kept + Duration::from_secs(11));
    second.confirm();
    assert_eq!(second.scheduler.phase(Job(7), "filings"), None);
    second.submit(7, queue(), spec(vec![step(1)]));
    second.confirm();

    let mut third = second.successor(20);
    third.add_worker("w1");
    assert_eq!(third.starts.len(), 1);
}

// A successor may have extended the lease of a silent worker, whose run may be done by now.
#[test]
fn lease_that_a_successor_may_have_extended_has_not_ended() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    let (silent, start) = cell.accept_starts().pop().unwrap();
    cell.poll(silent, vec![running(&start)], Vec::new());
    cell.add_worker("w2");
    cell.input(Input::PollFailed {
        worker: silent,
        outcome: Outcome::Unknown,
    });
    cell.wait(Duration::from_secs(2));
    cell.is_claim_confirmed = false;
    cell.wait(Duration::from_millis(4_500));
    assert!(cell.starts.is_empty(), "nothing shows that the lease ended");
    cell.is_claim_confirmed = true;
    cell.wait(Duration::from_millis(10));
    assert_eq!(cell.starts.len(), 1);
}

// The same for the leases of earlier owners.
#[test]
fn inherited_lease_that_a_successor_may_have_extended_has_not_ended() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    first.add_worker("w2");
    first.submit(7, queue(), spec(vec![step(1)]));
    first.confirm();
    let mut second = first.successor(9);
    second.add_worker("w1");
    second.wait(Duration::from_secs(8));
    second.is_claim_confirmed = false;
    second.wait(Duration::from_secs(3));
    assert!(
        second.starts.is_empty(),
        "nothing shows that the lease ended"
    );
    second.is_claim_confirmed = true;
    second.wait(Duration::from_millis(10));
    assert_eq!(second.starts.len(), 1);
}

// The next incarnation of a worker that no owner has reached may have carried a start of an earlier one out.
#[test]
fn start_under_way_to_a_restarted_worker_counts_over_two_changes_of_owner() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    first.submit(7, queue(), spec(vec![step(1)]));
    first.confirm();
    assert_eq!(first.starts.len(), 1, "the start has no outcome yet");
    let mut second = first.successor(9);
    second.restart_worker("w1");
    second.wait(Duration::from_millis(100));
    let mut third = second.successor(17);
    third.restart_worker("w1");
    third.add_worker("w2");
    third.inherit_leases(&second);
    third.wait(Duration::from_millis(5_900));
    assert!(third.starts.is_empty(), "w1 may have a lease of 6 s");
    third.wait(Duration::from_millis(4_000));
    assert_eq!(third.starts.len(), 1);
}

// The rejection of a start shows it before the next poll does.
#[test]
fn start_rejected_by_another_worker_shows_that_the_address_is_lost() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(2)]));
    cell.confirm();
    let (worker, start) = cell.starts.remove(0);
    cell.finish_start(worker, &start, Outcome::Refused(Refusal::OtherWorker));
    cell.starts.clear();
    let other = cell.add_worker("w2");
    let workers: Vec<_> = cell.starts.iter().map(|(worker, _)| *worker).collect();
    assert_eq!(workers, [other; 2]);
}

// A worker that has restarted meanwhile does not refuse the start of an owner that has a successor.
#[test]
fn owner_that_stood_still_starts_nothing_before_its_claim_is_confirmed() {
    let mut cell = Cell::new(1);
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    cell.is_claim_confirmed = false;
    cell.wait(Duration::from_millis(1_400));
    cell.add_worker("w1");
    assert!(cell.starts.is_empty(), "{:?}", cell.starts);
    cell.is_claim_confirmed = true;
    cell.wait(Duration::from_millis(10));
    assert_eq!(cell.starts.len(), 1);
}

// A lease that this owner extends itself would outlast its wait for the worker.
#[test]
fn worker_whose_reports_stay_unreadable_gets_no_lease_beyond_the_wait_for_it() {
    let mut first = Cell::with_rules(1, Instant(0), long_lease_rules());
    first.add_worker("w1");
    first.submit(7, queue(), spec(vec![step(1)]));
    first.confirm();
    let mut second = first.successor(9);
    second.inherit_leases(&first);
    second.add_worker("w2");
    let worker = second.list_worker("w1");
    let mut lease_end_ms = 0;
    while second.starts.is_empty() {
        second.poll_with(worker, Vec::new(), Vec::new(), false);
        let granted = second.scheduler.poll(second.now, worker).unwrap();
        lease_end_ms = lease_end_ms.max(granted.deadline_ms.unwrap_or_default());
        second.confirm();
        second.wait(Duration::from_millis(500));
        assert!(second.now < Instant(30_000_000), "the task never starts");
    }
    let clock_ms = CLOCK_OFFSET_MS + second.now.0 / 1_000;
    assert!(
        clock_ms > lease_end_ms,
        "{clock_ms} ms, lease until {lease_end_ms} ms"
    );
}
