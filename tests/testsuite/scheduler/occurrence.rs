//! Tests of jobs whose steps run at set times: occurrences overlap and end in any order.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use laburnumplank::core::scheduler::id::{Job, Task, Worker};
use laburnumplank::core::scheduler::message::{Outcome, RunEnd, Start};
use laburnumplank::core::scheduler::record::{Occurrence, Phase, Progress, Step};
use laburnumplank::core::scheduler::spec::{Schedule, Spec};
use proptest::prelude::*;
use proptest::test_runner::{TestError, TestRunner};
use serde::Serialize;

use super::cell::{Cell, ended, queue, running, spec, step};
use super::fuzz::config;

/// The number of cases unless `PROPTEST_CASES` says otherwise.
const CASES: u32 = 256;
/// The occurrences of every job.
const OCCURRENCES: u32 = 6;
/// The time from one occurrence to the next; a run may last for several.
const INTERVAL: Duration = Duration::from_millis(500);
/// The tasks of an occurrence; two occurrences fill the worker.
const TASKS: u16 = 2;

fn timed(cell: &Cell) -> Arc<Spec> {
    let schedule = Schedule {
        occurrences: OCCURRENCES,
        first: cell.time().stamp,
        interval: INTERVAL,
    };
    let mut spec = Spec::clone(&spec(vec![step(TASKS)]));
    spec.schedule = Some(schedule);
    Arc::new(spec)
}

/// A cell with one worker, which keeps its ends until they are acknowledged.
struct World {
    cell: Cell,
    worker: Worker,
    running: BTreeMap<Task, Start>,
    /// Ends that are not acknowledged, by number.
    ends: BTreeMap<u64, Start>,
    last_end: u64,
    /// Tasks that are done, with the number of the end.
    done: BTreeMap<Task, u64>,
    token: u64,
}

impl World {
    fn new() -> World {
        let mut cell = Cell::new(1);
        let worker = cell.add_worker("w1");
        let spec = timed(&cell);
        cell.submit(7, queue(), spec);
        cell.confirm();
        World {
            cell,
            worker,
            running: BTreeMap::new(),
            ends: BTreeMap::new(),
            last_end: 0,
            done: BTreeMap::new(),
            token: 1,
        }
    }

    /// Carries the start commands out.
    fn accept(&mut self) {
        for (worker, start) in std::mem::take(&mut self.cell.starts) {
            let task = start.task;
            assert!(!self.done.contains_key(&task), "{task} starts again");
            assert!(!self.running.contains_key(&task), "{task} runs twice");
            self.cell.finish_start(worker, &start, Outcome::Done(None));
            self.running.insert(task, start);
        }
    }

    fn wait(&mut self, span: Duration) {
        self.cell.wait(span);
        self.accept();
    }

    /// Ends one of the runs and reports it.
    fn end(&mut self, index: usize) {
        let count = self.running.len();
        if count > 0 {
            let task = *self.running.keys().nth(index % count).unwrap();
            let start = self.running.remove(&task).unwrap();
            self.last_end += 1;
            self.done.insert(task, self.last_end);
            self.ends.insert(self.last_end, start);
        }
        self.report();
    }

    fn report(&mut self) {
        let poll = self.cell.scheduler.poll(self.cell.now, self.worker);
        let acknowledged = poll.unwrap().acknowledged;
        self.ends.retain(|&number, _| number > acknowledged);
        let running = self.running.values().map(running).collect();
        let ends = self.ends.iter();
        let ends = ends.map(|(&number, start)| ended(number, start, RunEnd::Done));
        self.cell.poll(self.worker, running, ends.collect());
        self.accept();
    }

    fn confirm(&mut self) {
        self.cell.confirm();
        self.accept();
    }

    fn take_over(&mut self) {
        self.token += 1;
        self.cell = self.cell.successor(self.token);
        self.worker = self.cell.list_worker("w1");
        self.accept();
        self.report();
    }

    fn finish(&mut self) {
        for _ in 0..u32::from(TASKS) * OCCURRENCES {
            self.wait(INTERVAL);
            while !self.running.is_empty() {
                self.end(0);
                self.confirm();
            }
            self.confirm();
        }
        let phase = self.cell.scheduler.phase(Job(7), "filings");
        assert_eq!(phase, Some(Phase::Completed));
        assert_eq!(self.done.len(), usize::from(TASKS) * OCCURRENCES as usize);
    }
}

#[test]
fn occurrence_that_ends_before_an_earlier_one_is_not_run_again() {
    let mut world = World::new();
    world.wait(INTERVAL);
    assert_eq!(world.running.len(), 4, "two occurrences of two tasks");
    world.end(3);
    world.end(2);
    world.confirm();
    world.report();
    assert!(world.ends.is_empty(), "both ends are acknowledged");
    world.take_over();
    world.finish();
}

/// A cell with two occurrences under way, and its next owner by whose time of day the second one is
/// not due yet.
fn successor_with_slow_clock() -> (Vec<Start>, Cell) {
    let mut world = World::new();
    world.wait(INTERVAL);
    let starts: Vec<Start> = world.running.values().cloned().collect();
    assert_eq!(starts.len(), 4, "two occurrences of two tasks");
    let clock_behind = Duration::from_millis(200);
    (starts, world.cell.successor_behind(9, clock_behind))
}

#[test]
fn occurrence_that_is_not_due_for_the_next_owner_is_not_started_again_after_its_end() {
    let (starts, mut next) = successor_with_slow_clock();
    let worker = next.list_worker("w1");
    let active = starts[..2].iter().map(running).collect();
    let ends = (1..).zip(&starts[2..]);
    let ends = ends.map(|(number, start)| ended(number, start, RunEnd::Done));
    next.poll(worker, active, ends.collect());
    next.confirm();
    let poll = next.scheduler.poll(next.now, worker).unwrap();
    assert_eq!(poll.acknowledged, 2);
    next.wait(INTERVAL - Duration::from_millis(100));
    let started: Vec<Task> = next.starts.iter().map(|(_, start)| start.task).collect();
    assert_eq!(
        started,
        [],
        "both occurrences that are due have runs or ends"
    );
}

#[test]
fn occurrence_that_is_not_due_for_the_next_owner_is_not_started_beside_its_runs() {
    let (starts, mut next) = successor_with_slow_clock();
    let worker = next.list_worker("w1");
    next.add_worker("w2");
    next.poll(worker, starts.iter().map(running).collect(), Vec::new());
    next.wait(Duration::from_millis(250));
    let started: Vec<Task> = next.starts.iter().map(|(_, start)| start.task).collect();
    assert_eq!(started, [], "all tasks that are due have runs");
    assert_eq!(next.stops, []);
}

/// The progress record of versions that did not list complete occurrences.
#[derive(Serialize)]
struct OlderProgress {
    occurrences: Vec<Occurrence>,
    complete_before: u32,
}

#[test]
fn progress_record_of_an_older_version_is_restored() {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    let spec = timed(&first);
    first.submit(7, queue(), spec);
    first.confirm();
    let mut recorded = Step::default();
    recorded.set_done(1);
    let older = OlderProgress {
        occurrences: vec![Occurrence {
            index: 3,
            steps: vec![recorded],
        }],
        complete_before: 2,
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&older, &mut bytes).unwrap();
    let decoded: Progress = ciborium::from_reader(bytes.as_slice()).unwrap();
    assert_eq!(decoded.complete_before, 2);
    let key = format!("{}.p", Job(7)).into_bytes();
    first.log.insert(key, bytes);

    let mut second = first.successor(9);
    second.add_worker("w1");
    let tasks: Vec<(u32, u16)> = second
        .starts
        .iter()
        .map(|(_, start)| (start.task.step.occurrence, start.task.index))
        .collect();
    assert_eq!(tasks, [(2, 0), (2, 1), (3, 0)]);
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Wait(u64),
    End(usize),
    Confirm,
    TakeOver,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1u64..900).prop_map(Event::Wait),
        5 => (0usize..8).prop_map(Event::End),
        4 => Just(Event::Confirm),
        2 => Just(Event::TakeOver),
    ]
}

fn apply(world: &mut World, event: Event) {
    match event {
        Event::Wait(ms) => world.wait(Duration::from_millis(ms)),
        Event::End(index) => world.end(index),
        Event::Confirm => world.confirm(),
        Event::TakeOver => world.take_over(),
    }
}

#[test]
fn overlapping_occurrences_that_end_in_any_order_run_once_over_changes_of_owner() {
    let config = config(CASES, 2_000);
    let mut runner = TestRunner::new(config);
    let events = prop::collection::vec(event(), 10..60);
    let result = runner.run(&events, |events| {
        let mut world = World::new();
        for event in events {
            apply(&mut world, event);
        }
        world.finish();
        Ok(())
    });
    if let Err(TestError::Fail(reason, events)) = result {
        panic!("{reason}\n{events:?}");
    }
}
