//! The work of decisions, counted: it must grow with what has changed, not with what waits or is kept.

use std::time::Duration;

use laburnumplank::core::scheduler::Input;
use laburnumplank::core::scheduler::advice::AdvisorProxy;
use laburnumplank::core::scheduler::id::Worker;
use laburnumplank::core::scheduler::message::{ActiveRun, RunEnd, Start};
use laburnumplank::core::scheduler::spec::{Advice, Queue};
use laburnumplank::core::scheduler::work::Work;

use super::cell::{Cell, ended, queue, running, spec, step};

const WORKERS: usize = 300;
/// How many tasks a worker holds.
const SLOTS: usize = 4;
/// Longer than any pause between placements.
const PAUSE: Duration = Duration::from_millis(200);

/// Creates a cell in which nothing happens.
fn idle_cell() -> (Cell, Vec<Worker>) {
    let mut cell = Cell::new(1);
    let workers = (0..WORKERS).map(|index| cell.add_worker(&format!("w{index}")));
    let workers = workers.collect();
    cell.confirm();
    cell.wait(PAUSE);
    cell.tick();
    (cell, workers)
}

/// Fills the workers of a cell, and returns their runs.
fn fill(cell: &mut Cell) -> Vec<(Worker, Start)> {
    let tasks = (WORKERS * SLOTS) as u16;
    cell.submit(1, queue(), spec(vec![step(tasks)]));
    cell.confirm();
    cell.wait(PAUSE);
    let starts = cell.accept_starts();
    assert_eq!(starts.len(), WORKERS * SLOTS);
    starts
}

/// Lets the first run of a worker end.
fn end_first_run(cell: &mut Cell, starts: &[(Worker, Start)], worker: Worker) {
    let there = starts.iter().filter(|(other, _)| *other == worker);
    let there: Vec<&Start> = there.map(|(_, start)| start).collect();
    let left: Vec<ActiveRun> = there[1..].iter().map(|start| running(start)).collect();
    cell.poll(worker, left, vec![ended(1, there[0], RunEnd::Done)]);
}

/// Returns the work that `change` and the placement after it cost.
fn work_of(cell: &mut Cell, change: impl FnOnce(&mut Cell)) -> Work {
    let before = cell.scheduler.work();
    change(cell);
    cell.wait(PAUSE);
    cell.tick();
    cell.scheduler.work() - before
}

#[test]
fn placement_after_a_change_of_one_worker_looks_at_no_other() {
    let (mut cell, workers) = idle_cell();
    let work = work_of(&mut cell, |cell| cell.poll(workers[7], vec![], vec![]));
    assert!(work.placements > 0);
    assert!(work.workers <= 2 * work.placements, "{work:?}");
}

/// A queue whose steps are permitted on all workers that a call names.
fn advised_queue() -> Queue {
    Queue {
        advice: Some(Advice {
            base: Duration::from_millis(10),
            per_worker: Duration::from_micros(100),
            validity: Duration::from_secs(60),
        }),
        ..queue()
    }
}

// The work of an overloaded owner grew with the product of the steps that wait and the workers that they may use.
#[test]
fn placement_of_a_backlog_looks_at_no_full_workers() {
    for backlog in [50, 150, 300] {
        let (mut cell, workers) = idle_cell();
        let starts = fill(&mut cell);
        cell.input(Input::AdvisorProxies((0..400).map(AdvisorProxy).collect()));
        // The first step that is permitted on the only worker with room fills it again.
        end_first_run(&mut cell, &starts, workers[0]);
        for job in 0..backlog {
            cell.submit(100 + job, advised_queue(), spec(vec![step(1)]));
        }
        cell.wait(PAUSE);
        while let Some(call) = cell.calls.pop() {
            let names = call.workers.iter().map(|&worker| {
                let worker = cell.scheduler.worker(worker).unwrap();
                (worker.entry.name.clone(), "ticket".into())
            });
            let allowed = Some(names.collect());
            cell.input(Input::Advised {
                call,
                allowed,
                validity: Duration::from_secs(60),
            });
        }
        cell.confirm();
        cell.wait(PAUSE);
        cell.tick();
        let work = work_of(&mut cell, |cell| {
            let left = starts.iter().filter(|(other, _)| *other == workers[9]);
            let left: Vec<ActiveRun> = left.map(|(_, start)| running(start)).collect();
            cell.poll(workers[9], left, vec![]);
        });
        assert!(cell.scheduler.load().ready_steps as u64 >= backlog - 1);
        assert!(
            work.workers <= work.placements + 3 * work.steps,
            "{backlog}: {work:?}"
        );
    }
}

// The owner looked at each job of the last two minutes, thousands, whenever a client asked for a count.
#[test]
fn count_of_pending_jobs_looks_at_no_ended_job() {
    let (mut cell, _) = idle_cell();
    for job in 0..200 {
        cell.submit(job, queue(), spec(vec![step(1)]));
    }
    cell.confirm();
    for job in 0..200 {
        cell.cancel(job);
    }
    cell.confirm();
    cell.submit(500, queue(), spec(vec![step(1)]));
    let before = cell.scheduler.work();
    let pending = cell.scheduler.pending(&queue().name);
    let work = cell.scheduler.work() - before;
    assert!(pending <= 1);
    assert!(work.jobs <= 1, "{work:?}");
}
