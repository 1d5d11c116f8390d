//! Tests that the capacity of a run stays in use until the run is certainly gone.

use std::time::Duration;

use laburnumplank::core::scheduler::advice::AdvisorProxy;
use laburnumplank::core::scheduler::id::Worker;
use laburnumplank::core::scheduler::message::{Outcome, Refusal, RunEnd, Start};
use laburnumplank::core::scheduler::spec::{self, Advice};
use laburnumplank::core::scheduler::worker::{Attempt, State};
use laburnumplank::core::scheduler::{Input, OVERCOMMITTED};
use laburnumplank::core::time::Instant;

use super::cell::{Cell, ended, entry, queue, running, spec, step};

/// The longest time that a worker takes to stop a run.
const STOP_TIME: Duration = Duration::from_millis(400);

/// Creates a cell with one worker that is full.
fn full_cell() -> (Cell, Worker, Vec<Start>) {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(4)]));
    cell.confirm();
    let starts = cell.accept_starts().into_iter().map(|(_, start)| start);
    let starts: Vec<Start> = starts.collect();
    assert_eq!(starts.len(), 4, "four tasks of 4 cores on 16");
    (cell, worker, starts)
}

fn answer_stops(cell: &mut Cell) {
    for (worker, task, run) in std::mem::take(&mut cell.stops) {
        cell.input(Input::Stopped {
            worker,
            task,
            run,
            outcome: Outcome::Done(None),
        });
    }
    cell.wait(Duration::from_millis(1));
}

#[test]
fn stopped_run_that_is_not_reported_keeps_its_capacity_for_the_stop_time() {
    let (mut cell, worker, starts) = full_cell();
    cell.submit(8, queue(), spec(vec![step(4)]));
    cell.confirm();
    cell.cancel(7);
    cell.confirm();
    answer_stops(&mut cell);
    cell.poll(worker, Vec::new(), Vec::new());
    assert!(cell.starts.is_empty(), "the end of no run is reported");
    let ends = starts[..2].iter().zip(1..);
    let ends = ends.map(|(start, number)| ended(number, start, RunEnd::Stopped));
    cell.poll(worker, Vec::new(), ends.collect());
    assert_eq!(cell.starts.len(), 2, "two of four runs have ended");
    let started = cell.accept_starts();
    cell.wait(STOP_TIME);
    let running = started.iter().map(|(_, start)| running(start)).collect();
    cell.poll(worker, running, Vec::new());
    assert_eq!(cell.starts.len(), 2, "a stop takes no longer than this");
}

#[test]
fn silence_after_the_first_report_leaves_the_lease_of_an_earlier_owner() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    first.submit(7, queue(), spec(vec![step(1)]));
    first.confirm();
    let starts = first.accept_starts();

    let mut second = first.successor(9);
    let one = second.list_worker("w1");
    second.poll(one, vec![running(&starts[0].1)], Vec::new());
    second.add_worker("w2");
    second.input(Input::PollFailed {
        worker: one,
        outcome: Outcome::Unknown,
    });
    second.wait(Duration::from_millis(5_900));
    assert!(
        second.starts.is_empty(),
        "an earlier owner may have granted a lease of 6 s"
    );
}

#[test]
fn rejection_of_a_run_that_was_reported_frees_no_capacity() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(5)]));
    cell.confirm();
    let starts: Vec<Start> = std::mem::take(&mut cell.starts)
        .into_iter()
        .map(|(_, start)| start)
        .collect();
    cell.poll(worker, starts.iter().map(running).collect(), Vec::new());
    cell.finish_start(worker, &starts[0], Outcome::Refused(Refusal::OldRun));
    cell.tick();
    assert!(cell.starts.is_empty(), "the worker reported all four runs");
}

#[test]
fn report_with_unreadable_rows_frees_no_capacity() {
    let (mut cell, worker, starts) = full_cell();
    cell.submit(8, queue(), spec(vec![step(4)]));
    cell.confirm();
    cell.poll_with(worker, Vec::new(), Vec::new(), false);
    assert!(cell.starts.is_empty(), "the rows may be of the four runs");
    let ends = starts.iter().zip(1..);
    let ends = ends.map(|(start, number)| ended(number, start, RunEnd::Done));
    cell.poll_with(worker, Vec::new(), ends.collect(), false);
    assert!(cell.starts.is_empty(), "the rows may be of further runs");
    cell.poll(worker, Vec::new(), Vec::new());
    assert_eq!(cell.starts.len(), 4);
}

#[test]
fn start_under_way_when_a_worker_restarts_uses_capacity_of_the_next_incarnation() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(4)]));
    cell.confirm();
    let starts = std::mem::take(&mut cell.starts);
    assert_eq!(starts.len(), 4);

    let worker = cell.restart_worker("w1");
    cell.poll(worker, Vec::new(), Vec::new());
    assert!(
        cell.starts.is_empty(),
        "the worker has the same name and may yet carry the commands out"
    );
    assert_eq!(cell.stops.len(), 4);
    answer_stops(&mut cell);
    cell.wait(STOP_TIME);
    cell.poll(worker, Vec::new(), Vec::new());
    assert_eq!(cell.starts.len(), 4);
    let is_later = |start: &Start| start.run > starts[0].1.run;
    assert!(cell.starts.iter().all(|(_, start)| is_later(start)));
}

#[test]
fn start_confirmed_by_the_next_incarnation_of_a_worker_goes_on_there() {
    let mut cell = Cell::new(1);
    let former = cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(4)]));
    cell.confirm();
    let starts = std::mem::take(&mut cell.starts);
    cell.input(Input::PollFailed {
        worker: former,
        outcome: Outcome::Refused(Refusal::OtherIncarnation),
    });
    cell.finish_start(former, &starts[0].1, Outcome::Done(None));
    cell.wait(Duration::from_millis(100));
    assert!(cell.starts.is_empty() && cell.stops.is_empty());

    let worker = cell.restart_worker("w1");
    cell.poll(worker, vec![running(&starts[0].1)], Vec::new());
    assert_eq!(cell.stops.len(), 3, "the first run is known to be there");
    answer_stops(&mut cell);
    cell.wait(STOP_TIME);
    cell.poll(worker, vec![running(&starts[0].1)], Vec::new());
    assert_eq!(cell.starts.len(), 3);
}

#[test]
fn start_confirmed_before_a_restart_was_noticed_goes_on_in_the_next_incarnation() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    // The worker had restarted already, and its response names no incarnation.
    let (_, start) = cell.accept_starts().remove(0);
    cell.add_worker("w2");
    let worker = cell.restart_worker("w1");
    cell.tick();
    assert!(cell.starts.is_empty(), "{} may run on w1", start.task);
    cell.poll(worker, vec![running(&start)], Vec::new());
    assert!(cell.starts.is_empty() && cell.stops.is_empty());
}

#[test]
fn start_confirmed_before_a_poll_showed_a_restart_goes_on_in_the_next_incarnation() {
    let mut cell = Cell::new(1);
    let former = cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    let (_, start) = cell.accept_starts().remove(0);
    cell.add_worker("w2");
    cell.input(Input::PollFailed {
        worker: former,
        outcome: Outcome::Refused(Refusal::OtherIncarnation),
    });
    cell.tick();
    assert!(cell.starts.is_empty(), "{} may run on w1", start.task);
    let worker = cell.restart_worker("w1");
    cell.poll(worker, vec![running(&start)], Vec::new());
    assert!(cell.starts.is_empty() && cell.stops.is_empty());
}

#[test]
fn start_under_way_is_not_given_up_while_the_next_incarnation_is_silent() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    cell.starts.clear();
    cell.add_worker("w2");
    cell.restart_worker("w1");
    cell.wait(Duration::from_millis(6_900));
    assert!(
        cell.starts.is_empty(),
        "the command may arrive 1 s late, and w1 hold a lease of 6 s from then on"
    );
    cell.wait(Duration::from_millis(500));
    let two = cell.scheduler.worker_named("w2").unwrap();
    cell.poll(two, Vec::new(), Vec::new());
    assert_eq!(cell.starts.len(), 1);
}

#[test]
fn report_of_more_runs_than_capacity_is_noticed_once() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    first.add_worker("w2");
    first.submit(7, queue(), spec(vec![step(8)]));
    first.confirm();
    let starts = first.accept_starts();
    assert_eq!(starts.len(), 8, "two workers for four tasks each");

    let mut second = first.successor(9);
    let worker = second.list_worker("w1");
    let runs: Vec<_> = starts.iter().map(|(_, start)| running(start)).collect();
    second.poll(worker, runs.clone(), Vec::new());
    second.poll(worker, runs.clone(), Vec::new());
    let of_event = |cell: &Cell| {
        let events = cell.events.iter();
        events.filter(|(_, event)| *event == OVERCOMMITTED).count()
    };
    assert_eq!(of_event(&second), 1);
    second.poll(worker, runs[..4].to_vec(), Vec::new());
    assert!(second.events.contains(&(worker, "within its capacity")));
    second.poll(worker, runs, Vec::new());
    assert_eq!(of_event(&second), 2);
}

#[test]
fn expected_end_between_reports_stays() {
    let started = Instant(0);
    let attempt = Attempt {
        need: None,
        charge: None,
        state: State::Running,
        since: started,
        started,
        estimate: Duration::from_secs(60),
        stop_sent: None,
        stop_answered: None,
        deadline_ms: None,
        absent_since: None,
        is_confirmed: true,
        present_since: Some(started),
        is_reported: true,
        is_trial: false,
        percent: 50,
        reported_at: started + Duration::from_secs(1),
    };
    for ms in [1_000, 1_500, 1_800] {
        let now = started + Duration::from_millis(ms);
        assert_eq!(attempt.expected_end(now), started + Duration::from_secs(2));
    }
}

/// Lists a worker with another capacity.
fn resize(cell: &mut Cell, name: &str, cpu_millis: u64) {
    let mut resized = entry(name);
    resized.capacity.cpu_millis = cpu_millis;
    cell.input(Input::Listed(resized));
    cell.tick();
}

/// Reports the ends of runs, from `number` on, and the other runs as running.
fn end_runs(cell: &mut Cell, worker: Worker, number: u64, ends: &[Start], others: &[Start]) {
    let ends = ends.iter().zip(number..);
    let ends = ends.map(|(start, number)| ended(number, start, RunEnd::Done));
    cell.poll(worker, others.iter().map(running).collect(), ends.collect());
}

#[test]
fn shrunk_worker_gets_no_run_until_its_runs_fit_again() {
    let (mut cell, worker, starts) = full_cell();
    cell.submit(8, queue(), spec(vec![step(4)]));
    cell.confirm();
    resize(&mut cell, "w1", 8_000);
    assert!(cell.stops.is_empty(), "nothing asks to stop running tasks");
    end_runs(&mut cell, worker, 1, &starts[..2], &starts[2..]);
    assert!(cell.starts.is_empty(), "two runs fill the worker");
    end_runs(&mut cell, worker, 3, &starts[2..3], &starts[3..]);
    assert_eq!(cell.starts.len(), 1);
    resize(&mut cell, "w1", 16_000);
    assert_eq!(cell.starts.len(), 3, "it has grown by two tasks");
}

#[test]
fn starts_under_way_use_the_capacity_of_a_shrunk_worker() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(4)]));
    cell.confirm();
    cell.submit(8, queue(), spec(vec![step(4)]));
    cell.confirm();
    let starts = std::mem::take(&mut cell.starts);
    assert_eq!(starts.len(), 4);
    resize(&mut cell, "w1", 8_000);
    for (worker, start) in &starts[..2] {
        cell.finish_start(*worker, start, Outcome::Unknown);
    }
    for (worker, start) in &starts[2..] {
        cell.finish_start(*worker, start, Outcome::Refused(Refusal::Room));
    }
    cell.wait(Duration::from_millis(100));
    assert!(cell.starts.is_empty(), "two runs may be there");
    cell.stops.clear();
    cell.poll(worker, vec![running(&starts[0].1)], Vec::new());
    cell.wait(Duration::from_millis(100));
    assert!(cell.starts.is_empty(), "the second run may still start");
}

#[test]
fn runs_being_stopped_use_the_capacity_of_a_shrunk_worker() {
    let (mut cell, worker, starts) = full_cell();
    cell.submit(8, queue(), spec(vec![step(4)]));
    cell.confirm();
    resize(&mut cell, "w1", 8_000);
    cell.cancel(7);
    cell.confirm();
    answer_stops(&mut cell);
    let stopped = |number: usize| ended(number as u64 + 1, &starts[number], RunEnd::Stopped);
    let others = starts[2..].iter().map(running).collect();
    cell.poll(worker, others, vec![stopped(0), stopped(1)]);
    assert!(cell.starts.is_empty(), "two runs are still being stopped");
    cell.poll(worker, vec![running(&starts[3])], vec![stopped(2)]);
    assert_eq!(cell.starts.len(), 1);
}

#[test]
fn gang_that_waits_for_a_worker_that_shrinks_starts_elsewhere() {
    let mut cell = Cell::new(1);
    let one = cell.add_worker("w1");
    let two = cell.add_worker("w2");
    cell.submit(7, queue(), spec(vec![step(8)]));
    cell.confirm();
    let starts = cell.accept_starts();
    let of = |worker: Worker| -> Vec<Start> {
        let of_worker = starts.iter().filter(|(other, _)| *other == worker);
        of_worker.map(|(_, start)| start.clone()).collect()
    };
    let gang = spec::Step {
        gang: true,
        ..step(6)
    };
    cell.submit(8, queue(), spec(vec![gang]));
    cell.confirm();
    end_runs(&mut cell, one, 1, &of(one), &[]);
    assert!(
        cell.starts.is_empty(),
        "the gang waits for the second worker"
    );
    resize(&mut cell, "w1", 8_000);
    end_runs(&mut cell, two, 1, &of(two)[..2], &of(two)[2..]);
    assert!(cell.starts.is_empty(), "there is capacity for four tasks");
    end_runs(&mut cell, two, 3, &of(two)[2..], &[]);
    let on_one = cell.starts.iter().filter(|(worker, _)| *worker == one);
    assert_eq!((cell.starts.len(), on_one.count()), (6, 2));
}

#[test]
fn answer_of_the_advisor_fills_a_shrunk_worker_to_its_present_capacity() {
    for is_gang in [false, true] {
        let mut cell = Cell::new(1);
        cell.add_worker("w1");
        cell.input(Input::AdvisorProxies(vec![AdvisorProxy(0)]));
        let mut queue = queue();
        queue.advice = Some(Advice {
            base: Duration::from_millis(400),
            per_worker: Duration::from_millis(5),
            validity: Duration::from_millis(2_500),
        });
        let step = spec::Step {
            gang: is_gang,
            ..step(4)
        };
        cell.submit(7, queue, spec(vec![step]));
        cell.confirm();
        let call = cell.calls[0].clone();
        resize(&mut cell, "w1", 8_000);
        cell.input(Input::Advised {
            call,
            allowed: Some(vec![("w1".to_owned(), "ticket".into())]),
            validity: Duration::from_millis(2_500),
        });
        cell.tick();
        assert_eq!(cell.starts.len(), if is_gang { 0 } else { 2 });
        resize(&mut cell, "w1", 16_000);
        assert_eq!(cell.starts.len(), 4);
    }
}

#[test]
fn next_owner_counts_the_runs_on_a_shrunk_worker() {
    let (mut first, _, starts) = full_cell();
    first.submit(8, queue(), spec(vec![step(4)]));
    first.confirm();

    let mut second = first.successor(9);
    let worker = second.list_worker("w1");
    resize(&mut second, "w1", 8_000);
    second.poll(worker, starts.iter().map(running).collect(), Vec::new());
    second.confirm();
    assert!(second.starts.is_empty());
    end_runs(&mut second, worker, 1, &starts[..2], &starts[2..]);
    second.confirm();
    assert!(second.starts.is_empty(), "two runs fill the worker");
    end_runs(&mut second, worker, 3, &starts[2..], &[]);
    second.confirm();
    assert_eq!(second.starts.len(), 2);
}

#[test]
fn worker_that_shrinks_while_unlisted_gets_no_run_by_its_former_capacity() {
    let (mut cell, worker, starts) = full_cell();
    cell.submit(8, queue(), spec(vec![step(4)]));
    cell.confirm();
    cell.input(Input::Unlisted("w1".to_owned()));
    end_runs(&mut cell, worker, 1, &starts[..2], &starts[2..]);
    assert!(
        cell.starts.is_empty(),
        "the directory does not list the worker"
    );
    resize(&mut cell, "w1", 8_000);
    end_runs(&mut cell, worker, 3, &[], &starts[2..]);
    assert!(cell.starts.is_empty(), "two runs fill the worker");
    resize(&mut cell, "w1", 12_000);
    assert_eq!(cell.starts.len(), 1);
}

// Operators see that the runs on a worker exceed a capacity that has shrunk.
#[test]
fn worker_that_shrinks_below_its_runs_is_reported() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(4)]));
    cell.confirm();
    let starts = cell.accept_starts();
    let runs = || starts.iter().map(|(_, start)| running(start)).collect();
    cell.poll(worker, runs(), Vec::new());
    cell.events.clear();
    let mut shrunk = entry("w1");
    shrunk.capacity.cpu_millis = 8_000;
    cell.input(Input::Listed(shrunk));
    cell.input(Input::Listed(entry("w1")));
    let events: Vec<&str> = cell.events.iter().map(|(_, event)| *event).collect();
    assert_eq!(
        events,
        [
            "capacity changed",
            "over its capacity",
            "capacity changed",
            "within its capacity"
        ]
    );
}

/// The sum of what two jobs need overflowed, which ended the owner or made the sum small.
#[test]
fn jobs_that_need_more_than_can_be_counted_hold_up_no_other_job() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    for (job, gang) in [(1, false), (2, false), (3, true), (4, true)] {
        let mut largest = step(10_000);
        largest.need.cpu_millis = u64::MAX;
        largest.need.memory_mib = u64::MAX;
        largest.gang = gang;
        cell.submit(job, queue(), spec(vec![largest]));
    }
    cell.submit(7, queue(), spec(vec![step(4)]));
    cell.confirm();
    assert_eq!(cell.scheduler.load().waiting_cpu_millis, u64::MAX);
    assert_eq!(cell.accept_starts().len(), 4);
}
