//! A job that has been accepted, and what has become of its tasks.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use laburnum_derive::{state, value};

use super::advice::Permits;
use super::id::{Mark, Request, Run, Worker};
use super::record::{self, Phase, Progress};
use super::spec::{Queue, Spec};
use crate::core::time::{Instant, Stamp};

/// Where a task stands.
#[value]
pub enum Place {
    /// It is to be started.
    Waiting,
    /// A run may be on a worker.
    Active {
        /// The worker.
        worker: Worker,
        /// The run.
        run: Run,
    },
    /// It is done.
    Done,
}

/// A task.
#[state]
pub struct Task {
    /// Where it stands.
    pub place: Place,
    /// The runs that failed.
    pub failed: Vec<Run>,
    /// The newest checkpoint known. The first task of a gang has that of the whole gang.
    pub checkpoint: Option<Checkpoint>,
    /// The worker that the last run failed on.
    pub failed_on: Option<Worker>,
}

/// A checkpoint, and how far it goes.
#[state]
pub struct Checkpoint {
    /// Shown to the worker at the next start.
    pub value: Arc<str>,
    /// The run that saved it.
    pub run: Run,
    /// How much of the work was done when it was seen, in percent.
    pub percent: u8,
}

/// A step of an occurrence.
#[state]
pub struct Step {
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// How many tasks are done.
    pub done: usize,
    /// How many tasks wait.
    pub waiting: usize,
    /// Which workers may run it.
    pub permits: Permits,
    /// When it became ready to start.
    pub ready_at: Option<Instant>,
}

/// One occurrence.
#[state]
pub struct Occurrence {
    /// By step.
    pub steps: Vec<Step>,
}

/// A job.
#[state]
pub struct Job {
    /// The queue, as the configuration has it or last had it.
    pub queue: Queue,
    /// What the client asked for.
    pub spec: Arc<Spec>,
    /// By step, the estimated run time of the longest chain from it to the end.
    pub chains: Vec<Duration>,
    /// Handed to every task.
    pub payload: Arc<str>,
    /// When it was accepted.
    pub accepted: Stamp,
    /// The same on our clock, before now for a job that was taken over.
    pub accepted_at: Instant,
    /// How it stands.
    pub phase: Phase,
    /// Whether its acceptance is in the log.
    pub is_durable: bool,
    /// Whether its end, if it has one, is in the log.
    pub is_end_durable: bool,
    /// The occurrences that have begun and are not complete.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// The next occurrence to begin.
    pub next_occurrence: u32,
    /// The number of the last run of any of its tasks.
    pub last_run: Run,
    /// Who waits for its acceptance.
    pub submitters: Vec<Request>,
    /// Who waits for its cancelling.
    pub cancellers: Vec<Request>,
    /// Whether an earlier owner may have started its tasks.
    pub is_inherited: bool,
    /// Whether any task was ever started.
    pub has_started: bool,
    /// The mark of the record of its acceptance.
    pub accepted_mark: Mark,
    /// The mark of its last progress record.
    pub progress_mark: Mark,
}

impl Occurrence {
    /// Makes an occurrence in which nothing has begun.
    pub fn new(spec: &Spec) -> Occurrence {
        let steps = spec.steps.iter().map(|step| Step::new(step.tasks));
        Occurrence {
            steps: steps.collect(),
        }
    }

    /// Whether all steps are done.
    pub fn is_complete(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }

    /// Whether all steps that `step` depends on are done.
    pub fn is_ready(&self, spec: &Spec, step: u16) -> bool {
        let before = &spec.steps[usize::from(step)].after;
        before
            .iter()
            .all(|&before| self.steps[usize::from(before)].is_done())
    }
}

impl Step {
    fn new(tasks: u16) -> Step {
        let task = Task {
            place: Place::Waiting,
            failed: Vec::new(),
            checkpoint: None,
            failed_on: None,
        };
        Step {
            tasks: vec![task; usize::from(tasks)],
            done: 0,
            waiting: usize::from(tasks),
            permits: Permits::default(),
            ready_at: None,
        }
    }

    /// Whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.done == self.tasks.len()
    }

    /// Moves a task and keeps the counts.
    pub fn set(&mut self, task: u16, place: Place) {
        let task = &mut self.tasks[usize::from(task)];
        match task.place {
            Place::Waiting => self.waiting -= 1,
            Place::Done => self.done -= 1,
            Place::Active { .. } => {}
        }
        match place {
            Place::Waiting => self.waiting += 1,
            Place::Done => self.done += 1,
            Place::Active { .. } => {}
        }
        task.place = place;
    }

    /// Returns the tasks that wait.
    pub fn waiting_tasks(&self) -> Vec<u16> {
        let tasks = self.tasks.iter().enumerate();
        tasks
            .filter(|(_, task)| task.place == Place::Waiting)
            .map(|(index, _)| index as u16)
            .collect()
    }
}

impl Job {
    /// Returns a step of an occurrence that has begun and not completed.
    pub fn step(&self, id: super::id::Step) -> Option<&Step> {
        self.occurrences
            .get(&id.occurrence)?
            .steps
            .get(usize::from(id.index))
    }

    /// Returns a step of an occurrence that has begun and not completed.
    pub fn step_mut(&mut self, id: super::id::Step) -> Option<&mut Step> {
        let steps = &mut self.occurrences.get_mut(&id.occurrence)?.steps;
        steps.get_mut(usize::from(id.index))
    }

    /// Returns a task of an occurrence that has begun and not completed.
    pub fn task(&self, id: super::id::Task) -> Option<&Task> {
        self.step(id.step)?.tasks.get(usize::from(id.index))
    }

    /// Takes the next run number.
    pub fn take_run(&mut self) -> Run {
        self.last_run = Run(self.last_run.0 + 1);
        self.last_run
    }

    /// Returns what a progress record says.
    pub fn progress(&self) -> Progress {
        let occurrences = self.occurrences.iter();
        let noted = occurrences.filter_map(|(&index, occurrence)| {
            let steps: Vec<record::Step> = occurrence.steps.iter().map(note).collect();
            let is_empty = steps.iter().all(|step| *step == record::Step::default());
            (!is_empty).then_some(record::Occurrence { index, steps })
        });
        let first = self.occurrences.keys().next().copied();
        Progress {
            occurrences: noted.collect(),
            complete_before: first.unwrap_or(self.next_occurrence),
        }
    }

    /// Takes in what a progress record says.
    pub fn restore(&mut self, progress: &Progress) {
        self.next_occurrence = self.next_occurrence.max(progress.complete_before);
        for noted in &progress.occurrences {
            let occurrence = Occurrence::new(&self.spec);
            let occurrence = self.occurrences.entry(noted.index).or_insert(occurrence);
            for (step, noted) in occurrence.steps.iter_mut().zip(&noted.steps) {
                restore(step, noted);
            }
            self.next_occurrence = self.next_occurrence.max(noted.index + 1);
            self.has_started = true;
        }
        // An occurrence between two noted ones that is not noted itself had begun nothing.
        for index in progress.complete_before..self.next_occurrence {
            let occurrence = Occurrence::new(&self.spec);
            self.occurrences.entry(index).or_insert(occurrence);
        }
    }
}

fn note(step: &Step) -> record::Step {
    let mut noted = record::Step::default();
    for (index, task) in step.tasks.iter().enumerate() {
        if task.place == Place::Done {
            noted.set_done(index as u16);
        }
        if !task.failed.is_empty() {
            noted.failures.push(record::Failures {
                task: index as u16,
                runs: task.failed.clone(),
            });
        }
    }
    noted
}

fn restore(step: &mut Step, noted: &record::Step) {
    for index in 0..step.tasks.len() as u16 {
        if noted.is_done(index) {
            step.set(index, Place::Done);
        }
    }
    for failures in &noted.failures {
        if let Some(task) = step.tasks.get_mut(usize::from(failures.task)) {
            task.failed.clone_from(&failures.runs);
        }
    }
}
