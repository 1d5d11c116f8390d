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

    fn take_over(&mut self, behind: Duration) {
        self.token += 1;
        self.cell = self.cell.successor_behind(self.token, behind);
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
    world.take_over(Duration::ZERO);
    world.finish();
}

/// How far the time of day of an owner may be behind that of the one before.
const BEHIND: Duration = Duration::from_millis(300);

/// Returns an owner that has begun the first occurrence of a job, and the starts of its tasks that fit
/// on one worker.
fn owner_that_began_an_occurrence(tasks: u16) -> (Cell, Vec<Start>) {
    let mut first = Cell::new(1);
    first.add_worker("w1");
    let mut spec = Spec::clone(&spec(vec![step(tasks)]));
    spec.schedule = Some(Schedule {
        occurrences: OCCURRENCES,
        first: first.time().stamp,
        interval: 20 * INTERVAL,
    });
    first.submit(7, queue(), Arc::new(spec));
    first.confirm();
    let starts = first.accept_starts().into_iter();
    let starts = starts.map(|(_, start)| start).collect();
    (first, starts)
}

#[test]
fn run_of_an_occurrence_goes_on_under_an_owner_whose_clock_is_behind() {
    let (first, starts) = owner_that_began_an_occurrence(1);
    let start = &starts[0];
    let mut second = first.successor_behind(9, BEHIND);
    let worker = second.list_worker("w1");
    second.add_worker("w2");
    second.poll(worker, vec![running(start)], Vec::new());
    second.wait(BEHIND);
    assert!(second.starts.is_empty(), "{} runs on w1", start.task);
    assert!(second.stops.is_empty());
}

#[test]
fn end_of_an_occurrence_counts_under_an_owner_whose_clock_is_behind() {
    let (first, starts) = owner_that_began_an_occurrence(1);
    let start = &starts[0];
    let mut second = first.successor_behind(9, BEHIND);
    let worker = second.list_worker("w1");
    second.poll(worker, Vec::new(), vec![ended(1, start, RunEnd::Done)]);
    second.confirm();
    second.wait(BEHIND);
    assert!(second.starts.is_empty(), "{} is done", start.task);
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

    // The recorded occurrences are due.
    let mut second = first.successor_after(9, 3 * INTERVAL);
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
    TakeOver(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1u64..900).prop_map(Event::Wait),
        5 => (0usize..8).prop_map(Event::End),
        4 => Just(Event::Confirm),
        2 => (0u64..400).prop_map(Event::TakeOver),
    ]
}

fn apply(world: &mut World, event: Event) {
    match event {
        Event::Wait(ms) => world.wait(Duration::from_millis(ms)),
        Event::End(index) => world.end(index),
        Event::Confirm => world.confirm(),
        Event::TakeOver(behind_ms) => world.take_over(Duration::from_millis(behind_ms)),
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

// A run that an owner with a clock ahead has started brings the others of its occurrence no earlier.
#[test]
fn rest_of_a_reported_occurrence_waits_for_its_time() {
    let (first, starts) = owner_that_began_an_occurrence(6);
    assert_eq!(starts.len(), 4);
    let mut second = first.successor_behind(9, Duration::from_secs(8));
    let worker = second.list_worker("w1");
    second.add_worker("w2");
    let runs = starts.iter().map(running).collect();
    second.poll(worker, runs, Vec::new());
    second.wait(Duration::from_millis(300));
    second.confirm();
    assert!(second.starts.is_empty(), "7.7 s before their time");
    for _ in 0..8 {
        second.wait(Duration::from_secs(1));
    }
    assert_eq!(second.starts.len(), 2);
}
