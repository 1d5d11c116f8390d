//! Tests of single runs: starts, acknowledgements, unconfirmed starts, losses and stops.

use std::time::Duration;

use laburnumplank::core::scheduler::Input;
use laburnumplank::core::scheduler::id::{Job, Request, Run, Task, Worker};
use laburnumplank::core::scheduler::message::{
    ActiveRun, EndedRun, Outcome, Refusal, RunEnd, Start,
};
use laburnumplank::core::scheduler::record::Phase;
use laburnumplank::core::scheduler::worker::Entry;

use super::cell::{Cell, ended, entry, queue, running, spec, step, task};

#[test]
fn start_before_the_record_is_durable_never_leaves() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(1)]));
    assert!(cell.starts.is_empty());
    assert!(cell.answers.is_empty());
    cell.confirm();
    assert_eq!(cell.starts.len(), 1);
    assert_eq!(cell.answers.len(), 1);
}

#[test]
fn end_is_acknowledged_once_it_is_durable() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(2)]));
    cell.confirm();
    let starts = cell.accept_starts();
    cell.poll(
        worker,
        vec![running(&starts[1].1)],
        vec![ended(1, &starts[0].1, RunEnd::Done)],
    );
    assert_eq!(
        cell.scheduler.poll(cell.now, worker).unwrap().acknowledged,
        0
    );
    cell.confirm();
    assert_eq!(
        cell.scheduler.poll(cell.now, worker).unwrap().acknowledged,
        1
    );
}

/// Returns what the next poll of a worker acknowledges.
fn next_acknowledgement(cell: &mut Cell, worker: Worker) -> u64 {
    let poll = cell.scheduler.poll(cell.now, worker);
    poll.unwrap().acknowledged
}

#[test]
fn end_on_the_next_incarnation_is_not_acknowledged_unread() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    let starts = cell.accept_starts();
    let done = ended(1, &starts[0].1, RunEnd::Done);
    cell.poll(worker, Vec::new(), vec![done.clone()]);
    cell.confirm();
    assert_eq!(next_acknowledgement(&mut cell, worker), 1);
    cell.input(Input::PollFailed {
        worker,
        outcome: Outcome::Unknown,
    });
    // The worker may have restarted, and its first end has the number 1.
    assert_eq!(
        next_acknowledgement(&mut cell, worker),
        0,
        "the worker does not respond"
    );
    cell.poll(worker, Vec::new(), vec![done]);
    cell.poll(worker, Vec::new(), Vec::new());
    assert_eq!(
        next_acknowledgement(&mut cell, worker),
        0,
        "the worker has forgotten the end"
    );
}

#[test]
fn step_waits_for_all_tasks_before() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    let mut second = step(1);
    second.after = vec![0];
    cell.submit(7, queue(), spec(vec![step(2), second]));
    cell.confirm();
    let starts = cell.accept_starts();
    assert_eq!(starts.len(), 2);
    cell.poll(
        worker,
        vec![running(&starts[1].1)],
        vec![ended(1, &starts[0].1, RunEnd::Done)],
    );
    assert!(cell.starts.is_empty());
    cell.poll(
        worker,
        Vec::new(),
        vec![ended(2, &starts[1].1, RunEnd::Done)],
    );
    assert_eq!(cell.starts[0].1.task, task(7, 1, 0));
}

#[test]
fn capacity_is_never_passed() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(9)]));
    cell.confirm();
    assert_eq!(cell.starts.len(), 4, "16 cores hold four tasks of 4");
}

#[test]
fn doubtful_start_is_stopped_and_keeps_its_room_until_void() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    let (_, start) = cell.starts.pop().unwrap();
    cell.finish_start(worker, &start, Outcome::Unknown);
    cell.wait(Duration::from_millis(10));
    cell.poll(worker, Vec::new(), Vec::new());
    assert_eq!(cell.stops, [(worker, start.task, start.run)]);
    assert!(cell.starts.is_empty(), "the start may still be carried out");
    cell.input(Input::Stopped {
        worker,
        task: start.task,
        run: start.run,
        outcome: Outcome::Done(None),
    });
    cell.wait(Duration::from_millis(390));
    cell.poll(worker, Vec::new(), Vec::new());
    assert!(cell.starts.is_empty(), "a run may still be being stopped");
    cell.wait(Duration::from_millis(10));
    cell.poll(worker, Vec::new(), Vec::new());
    assert_eq!(cell.starts.len(), 1);
    assert!(cell.starts[0].1.run > start.run);
}

#[test]
fn silent_worker_loses_its_tasks_after_the_lease_only() {
    let mut cell = Cell::new(1);
    let one = cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    let (_, start) = cell.accept_starts().remove(0);
    cell.poll(one, vec![running(&start)], Vec::new());
    let two = cell.add_worker("w2");
    cell.input(Input::PollFailed {
        worker: one,
        outcome: Outcome::Unknown,
    });
    cell.wait(Duration::from_millis(4_000));
    cell.poll(two, Vec::new(), Vec::new());
    assert!(cell.starts.is_empty());
    cell.wait(Duration::from_millis(900));
    cell.poll(two, Vec::new(), Vec::new());
    assert_eq!(cell.starts.len(), 1);
    assert_eq!(cell.starts[0].0, two);
}

#[test]
fn gang_starts_whole_under_one_run() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    let mut gang = step(6);
    gang.gang = true;
    cell.submit(7, queue(), spec(vec![gang]));
    cell.confirm();
    assert!(
        cell.starts.is_empty(),
        "six tasks of 4 cores do not fit into 16"
    );
    cell.add_worker("w2");
    assert_eq!(cell.starts.len(), 6);
    assert!(
        cell.starts
            .iter()
            .all(|(_, start)| start.run == cell.starts[0].1.run)
    );
}

#[test]
fn gang_whose_member_is_refused_is_stopped() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    let mut gang = step(2);
    gang.gang = true;
    cell.submit(7, queue(), spec(vec![gang]));
    cell.confirm();
    let starts = std::mem::take(&mut cell.starts);
    cell.finish_start(worker, &starts[0].1, Outcome::Refused(Refusal::Late));
    assert_eq!(cell.stops, [(worker, starts[1].1.task, starts[1].1.run)]);
}

#[test]
fn cancelled_job_is_stopped_and_answered_when_durable() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    cell.accept_starts();
    cell.answers.clear();
    cell.input(Input::Cancel {
        request: Request(8),
        job: Job(7),
        queue: "filings".to_owned(),
        endpoint: None,
        account: None,
        at: cell.time().stamp,
    });
    assert_eq!(cell.stops.len(), 1);
    assert!(cell.answers.is_empty());
    cell.confirm();
    assert_eq!(cell.answers.len(), 1);
    assert_eq!(
        cell.scheduler.phase(Job(7), "filings"),
        Some(Phase::Cancelled)
    );
}

#[test]
fn fenced_start_ends_the_ownership() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    let (_, start) = cell.starts.pop().unwrap();
    cell.finish_start(worker, &start, Outcome::Refused(Refusal::Fenced));
    assert!(cell.is_superseded);
}

#[test]
fn gang_goes_on_from_one_checkpoint() {
    let mut cell = Cell::new(1);
    let workers = ["w1", "w2"].map(|name| cell.add_worker(name));
    let mut gang = step(8);
    gang.gang = true;
    gang.checkpoints = true;
    cell.submit(7, queue(), spec(vec![gang]));
    cell.confirm();
    let starts = cell.accept_starts();
    let running_on = |worker: Worker, percent: u8, value: &str| -> Vec<ActiveRun> {
        let started = starts.iter().filter(|(other, _)| *other == worker);
        let runs = started.map(|(_, start)| ActiveRun {
            percent,
            checkpoint: Some(value.into()),
            ..running(start)
        });
        runs.collect()
    };
    let reports = [
        (workers[0], running_on(workers[0], 40, "new")),
        (workers[1], running_on(workers[1], 20, "old")),
    ];
    for (worker, runs) in reports.clone() {
        cell.poll(worker, runs, Vec::new());
    }
    for (worker, runs) in reports {
        let ends = runs.into_iter().enumerate().map(|(index, run)| EndedRun {
            number: index as u64 + 1,
            task: run.task,
            run: run.run,
            end: RunEnd::Broken,
            checkpoint: None,
        });
        cell.poll(worker, Vec::new(), ends.collect());
    }
    assert_eq!(cell.starts.len(), 8);
    let mut values = cell
        .starts
        .iter()
        .map(|(_, start)| start.checkpoint.as_deref());
    assert!(values.all(|value| value == Some("new")));
}

#[test]
fn suspect_worker_gets_one_run_although_two_steps_wait() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    for job in [1, 2] {
        cell.submit(job, queue(), spec(vec![step(1)]));
        cell.confirm();
    }
    let starts = cell.accept_starts();
    let ends = (1..).zip(&starts);
    let ends = ends.map(|(number, (_, start))| ended(number, start, RunEnd::Failed));
    cell.poll(worker, Vec::new(), ends.collect());
    cell.confirm();
    assert!(cell.starts.is_empty(), "the worker is suspect");
    cell.wait(Duration::from_secs(3));
    assert_eq!(cell.starts.len(), 1);
}

#[test]
fn job_whose_start_has_no_answer_is_pending() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    let (_, start) = cell.starts.pop().unwrap();
    cell.finish_start(worker, &start, Outcome::Unknown);
    assert_eq!(
        cell.scheduler.pending("filings"),
        1,
        "no task is known to run"
    );
    assert_eq!(cell.scheduler.phase(Job(7), "filings"), Some(Phase::Queued));
    cell.wait(Duration::from_millis(10));
    cell.poll(worker, vec![running(&start)], Vec::new());
    assert_eq!(cell.scheduler.pending("filings"), 0);
    assert_eq!(
        cell.scheduler.phase(Job(7), "filings"),
        Some(Phase::Running)
    );
}

#[test]
fn gang_wider_than_a_cell_of_suspect_workers_starts() {
    let mut cell = Cell::new(1);
    let workers = ["w1", "w2"].map(|name| cell.add_worker(name));
    for worker in workers {
        for job in [1, 2] {
            let failed = ended(job, &placeholder(job), RunEnd::Failed);
            cell.poll(worker, Vec::new(), vec![failed]);
        }
    }
    let mut gang = step(3);
    gang.gang = true;
    cell.submit(7, queue(), spec(vec![gang]));
    cell.confirm();
    for _ in 0..60 {
        if !cell.starts.is_empty() {
            break;
        }
        cell.wait(Duration::from_secs(1));
        for worker in workers {
            cell.poll(worker, Vec::new(), Vec::new());
        }
    }
    assert_eq!(cell.starts.len(), 3, "8 tasks of 4 cores fit");
}

/// Returns the start of a run of a job that is not known.
fn placeholder(job: u64) -> Start {
    Start {
        task: task(job, 0, 0),
        run: Run(1),
        payload: "".into(),
        checkpoint: None,
        permit: None,
        deadline_ms: 0,
    }
}

/// Lets `steps` half seconds pass, in each of which the workers confirm stop commands and report
/// `running` less the stopped runs. Returns once a task was started.
fn wait_for_start(
    cell: &mut Cell,
    workers: &[Worker],
    running: &[(Worker, ActiveRun)],
    steps: u32,
) {
    let mut stopped: Vec<(Worker, Task, Run)> = Vec::new();
    for _ in 0..steps {
        cell.wait(Duration::from_millis(500));
        for (worker, task, run) in std::mem::take(&mut cell.stops) {
            cell.input(Input::Stopped {
                worker,
                task,
                run,
                outcome: Outcome::Done(None),
            });
            stopped.push((worker, task, run));
        }
        for &worker in workers {
            let here = running.iter().filter(|(other, run)| {
                *other == worker && !stopped.contains(&(worker, run.task, run.run))
            });
            let here = here.map(|(_, run)| run.clone());
            cell.poll(worker, here.collect(), Vec::new());
        }
        if !cell.starts.is_empty() {
            return;
        }
    }
}

#[test]
fn gang_that_lost_a_member_is_started_again_although_the_others_go_on() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    let two = cell.add_worker("w2");
    let mut gang = step(8);
    gang.gang = true;
    cell.submit(7, queue(), spec(vec![gang]));
    cell.confirm();
    let starts = cell.accept_starts();
    let others = starts.iter().filter(|(worker, _)| *worker == two);
    let others: Vec<(Worker, ActiveRun)> = others
        .map(|(worker, start)| (*worker, running(start)))
        .collect();
    assert_eq!(others.len(), 4);
    let one = cell.restart_worker("w1");
    wait_for_start(&mut cell, &[one, two], &others, 8);
    assert_eq!(cell.starts.len(), 8);
}

#[test]
fn start_that_never_has_an_outcome_is_given_up() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    cell.starts.clear();
    wait_for_start(&mut cell, &[worker], &[], 8);
    assert_eq!(cell.starts.len(), 1);
}

#[test]
fn replaced_worker_without_runs_is_removed_after_its_lease() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    let (_, start) = cell.starts.pop().unwrap();
    cell.input(Input::PollFailed {
        worker,
        outcome: Outcome::Refused(Refusal::OtherIncarnation),
    });
    cell.finish_start(worker, &start, Outcome::Refused(Refusal::Late));
    cell.wait(Duration::from_secs(7));
    assert_ne!(
        cell.list_worker("w1"),
        worker,
        "nothing polls a replaced worker"
    );
}

/// Lets the first worker that gets a start command answer all of them with `outcome`, and returns
/// whether another one gets a start within `steps` tenths of a second.
fn is_tried_elsewhere(outcome: &Outcome, steps: u32) -> bool {
    let mut cell = Cell::new(1);
    let workers = ["w1", "w2"].map(|name| cell.add_worker(name));
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    let refusing = cell.starts[0].0;
    for _ in 0..steps {
        for (worker, start) in std::mem::take(&mut cell.starts) {
            if worker != refusing {
                return true;
            }
            cell.finish_start(worker, &start, outcome.clone());
        }
        cell.wait(Duration::from_millis(100));
        for (worker, task, run) in std::mem::take(&mut cell.stops) {
            cell.input(Input::Stopped {
                worker,
                task,
                run,
                outcome: Outcome::Done(None),
            });
        }
        for worker in workers {
            cell.poll(worker, Vec::new(), Vec::new());
        }
    }
    false
}

#[test]
fn start_that_one_worker_always_refuses_is_tried_on_another() {
    for refusal in [Refusal::Unhealthy, Refusal::Room, Refusal::Late] {
        assert!(
            is_tried_elsewhere(&Outcome::Refused(refusal), 10),
            "{refusal:?}"
        );
    }
}

#[test]
fn start_that_one_worker_never_answers_is_tried_on_another() {
    assert!(is_tried_elsewhere(&Outcome::Unknown, 40));
}

#[test]
fn worker_that_refused_a_start_is_tried_again() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(2)]));
    cell.confirm();
    for (worker, start) in std::mem::take(&mut cell.starts) {
        cell.finish_start(worker, &start, Outcome::Refused(Refusal::Unhealthy));
    }
    cell.wait(Duration::from_millis(900));
    cell.poll(worker, Vec::new(), Vec::new());
    assert!(cell.starts.is_empty());
    cell.wait(Duration::from_millis(200));
    assert_eq!(cell.starts.len(), 2, "two refusals of a burst count as one");
}

#[test]
fn doubtful_start_whose_stop_is_always_refused_is_given_up_after_its_lease() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    let (_, start) = cell.starts.pop().unwrap();
    cell.finish_start(worker, &start, Outcome::Unknown);
    for _ in 0..14 {
        cell.wait(Duration::from_millis(500));
        for (worker, task, run) in std::mem::take(&mut cell.stops) {
            cell.input(Input::Stopped {
                worker,
                task,
                run,
                outcome: Outcome::Refused(Refusal::Unhealthy),
            });
        }
        cell.poll(worker, Vec::new(), Vec::new());
    }
    assert_eq!(
        cell.starts.len(),
        1,
        "the worker rejects the start after the end of the lease that it carries"
    );
}

#[test]
fn lease_of_a_drained_worker_that_falls_silent_is_not_extended() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    cell.input(Input::Listed(Entry {
        draining: true,
        ..entry("w1")
    }));
    let poll = cell.scheduler.poll(cell.now, worker).unwrap();
    assert!(poll.deadline_ms.is_some(), "it still responds");
    cell.input(Input::PollFailed {
        worker,
        outcome: Outcome::Unknown,
    });
    let poll = cell.scheduler.poll(cell.now, worker).unwrap();
    assert_eq!(poll.deadline_ms, None);
}

#[test]
fn lease_that_a_poll_of_the_former_incarnation_extended_counts_in_full() {
    let mut cell = Cell::new(1);
    cell.add_worker("w1");
    let next = cell.restart_worker("w1");
    cell.poll(next, Vec::new(), Vec::new());
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    let (_, start) = cell.accept_starts().remove(0);
    cell.poll(next, vec![running(&start)], Vec::new());
    cell.add_worker("w2");
    cell.input(Input::PollFailed {
        worker: next,
        outcome: Outcome::Unknown,
    });
    cell.wait(Duration::from_millis(6_200));
    assert!(cell.starts.is_empty(), "w1 may hold a lease of 6 s");
    cell.wait(Duration::from_millis(300));
    assert_eq!(cell.starts.len(), 1);
}

#[test]
fn worker_that_left_a_start_without_a_response_is_not_preferred() {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    let (_, start) = cell.starts.pop().unwrap();
    cell.finish_start(worker, &start, Outcome::Unknown);
    let other = cell.add_worker("w2");
    cell.submit(8, queue(), spec(vec![step(1)]));
    cell.confirm();
    let workers: Vec<Worker> = cell.starts.iter().map(|(worker, _)| *worker).collect();
    assert_eq!(workers, [other], "w1 is the better fit");
}
