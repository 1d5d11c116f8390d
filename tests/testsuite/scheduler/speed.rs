//! Workers that turn slow for some seconds while they respond, in virtual time.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use laburnumplank::core::scheduler::id::Worker;
use laburnumplank::core::scheduler::message::{ActiveRun, EndedRun, RunEnd, Start};
use laburnumplank::core::scheduler::spec;
use laburnumplank::core::time::Instant;

use super::cell::{Cell, ended, queue, running, spec, step};

const WORKERS: usize = 12;
const SLOW_WORKERS: usize = 3;
/// How many tasks a worker holds.
const SLOTS: usize = 4;
const STEP: Duration = Duration::from_millis(50);
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The run time of a task on a sound worker.
const RUN_TIME: Duration = Duration::from_secs(6);
/// How much slower a slow worker is.
const SLOWNESS: f64 = 7.0;

struct Run {
    start: Start,
    percent: f64,
}

struct World {
    cell: Cell,
    workers: Vec<Worker>,
    slow: HashSet<Worker>,
    runs: HashMap<Worker, Vec<Run>>,
    ends: HashMap<Worker, u64>,
    polled_at: Instant,
    next_job: u64,
    /// The workers of the starts since the last look.
    started_on: Vec<Worker>,
}

impl World {
    fn new() -> World {
        let mut cell = Cell::new(1);
        let names = (0..WORKERS).map(|index| format!("w{index}"));
        let workers: Vec<Worker> = names.map(|name| cell.add_worker(&name)).collect();
        World {
            polled_at: cell.now,
            cell,
            workers,
            slow: HashSet::new(),
            runs: HashMap::new(),
            ends: HashMap::new(),
            next_job: 1,
            started_on: Vec::new(),
        }
    }

    /// Creates a cell that is half full with one step, part of whose workers have turned slow a while
    /// ago.
    fn with_slow_workers() -> World {
        let mut world = World::new();
        let batch = spec::Step {
            max_per_worker: Some(2),
            ..step(WORKERS as u16 * 2)
        };
        world.submit(batch);
        world.start_runs();
        world.advance(RUN_TIME / 4);
        world.slow = world.workers[..SLOW_WORKERS].iter().copied().collect();
        world.advance(RUN_TIME / 2);
        world.started_on.clear();
        world
    }

    fn submit(&mut self, step: spec::Step) {
        let step = spec::Step {
            estimate: RUN_TIME,
            ..step
        };
        self.cell.submit(self.next_job, queue(), spec(vec![step]));
        self.cell.confirm();
        self.next_job += 1;
    }

    /// Lets time pass while jobs use up to two thirds of the cell.
    fn advance_under_batch(&mut self, span: Duration) {
        let end = self.cell.now + span;
        while self.cell.now < end {
            let used: usize = self.runs.values().map(Vec::len).sum();
            if used <= WORKERS * SLOTS / 3 {
                self.submit(step(16));
            }
            self.advance(STEP);
        }
    }

    fn advance(&mut self, span: Duration) {
        let end = self.cell.now + span;
        while self.cell.now < end {
            self.cell.wait(STEP);
            self.progress();
            self.start_runs();
            if self.cell.now.since(self.polled_at) >= POLL_INTERVAL {
                self.polled_at = self.cell.now;
                self.poll();
                self.start_runs();
            }
        }
    }

    fn start_runs(&mut self) {
        for (worker, start) in self.cell.accept_starts() {
            self.started_on.push(worker);
            let run = Run {
                start,
                percent: 0.0,
            };
            self.runs.entry(worker).or_default().push(run);
        }
    }

    fn progress(&mut self) {
        let sound = 100.0 * STEP.as_secs_f64() / RUN_TIME.as_secs_f64();
        for (worker, runs) in &mut self.runs {
            let is_slow = self.slow.contains(worker);
            let made = if is_slow { sound / SLOWNESS } else { sound };
            runs.iter_mut().for_each(|run| run.percent += made);
        }
    }

    fn poll(&mut self) {
        for &worker in &self.workers {
            let runs = self.runs.remove(&worker).unwrap_or_default();
            let (over, active): (Vec<Run>, Vec<Run>) =
                runs.into_iter().partition(|run| run.percent >= 100.0);
            let reported = active.iter().map(|run| ActiveRun {
                percent: run.percent as u8,
                ..running(&run.start)
            });
            let reported = reported.collect();
            self.runs.insert(worker, active);
            let number = self.ends.entry(worker).or_default();
            let over = over.iter().map(|run| {
                *number += 1;
                ended(*number, &run.start, RunEnd::Done)
            });
            let over: Vec<EndedRun> = over.collect();
            self.cell.poll(worker, reported, over);
        }
        self.cell.confirm();
    }
}

#[test]
fn gang_beside_slow_workers_starts_on_sound_ones() {
    let mut world = World::with_slow_workers();
    let gang = spec::Step {
        gang: true,
        ..step(12)
    };
    world.submit(gang);
    world.start_runs();
    assert_eq!(world.started_on.len(), 12, "half of the cell is free");
    let started_on = world.started_on.iter();
    let slow = started_on.filter(|&worker| world.slow.contains(worker));
    assert_eq!(slow.count(), 0, "sound workers have room for the gang");
}

#[test]
fn slow_worker_that_has_healed_gets_tasks_within_seconds() {
    let mut world = World::with_slow_workers();
    let healed = std::mem::take(&mut world.slow);
    world.advance(Duration::from_secs(3));
    // The workers with the least free capacity fit best, and the sound ones are empty by now.
    world.submit(step(SLOW_WORKERS as u16 * 2));
    world.start_runs();
    assert_eq!(world.started_on.len(), SLOW_WORKERS * 2);
    let mut started_on = world.started_on.iter();
    assert!(started_on.all(|worker| healed.contains(worker)));
}

#[test]
fn sound_workers_are_not_slow() {
    let mut world = World::new();
    world.advance_under_batch(Duration::from_secs(20));
    let mut events = world.cell.events.iter();
    assert!(events.all(|(_, event)| *event != "slow"));
}
