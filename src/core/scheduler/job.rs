//! The state of a submitted job and of its tasks.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use laburnum_derive::{state, value};

use super::advice::Permits;
use super::id::{Mark, Request, Run, Worker};
use super::ledger::Remainder;
use super::poison::CrashHistory;
use super::record::{self, Phase, Progress, Span};
use super::spec::{Queue, Spec};
use crate::core::account;
use crate::core::queue::{Endpoint, Locator};
use crate::core::time::{Instant, Stamp};

/// The state of a task.
#[value]
pub enum TaskState {
    /// The task waits to be started.
    Waiting,
    /// A run was started, or its start was sent, and it is not known to have ended.
    Active {
        /// The worker.
        worker: Worker,
        /// The run.
        run: Run,
    },
    /// The task is done and is not run again.
    Done,
}

/// A task.
#[state]
pub struct Task {
    /// The current state.
    pub state: TaskState,
    /// The runs that failed. The first task of a gang has those of the whole gang.
    pub failed: Vec<Run>,
    /// The newest known checkpoint. The first task of a gang has that of the whole gang.
    pub checkpoint: Option<Checkpoint>,
    /// The worker on which the last failed run was.
    pub failed_on: Option<Worker>,
    /// The crashes of workers under its runs. The first task of a gang has those of the whole gang.
    pub crashes: CrashHistory,
}

/// A checkpoint and the progress that it contains.
#[state]
pub struct Checkpoint {
    /// The worker's text for the checkpoint, which the next start passes on.
    pub value: Arc<str>,
    /// The run that saved it.
    pub run: Run,
    /// The progress of the run when the checkpoint was reported, in percent.
    pub percent: u8,
}

/// A step of an occurrence.
#[state]
pub struct Step {
    /// The tasks, by index.
    pub tasks: Vec<Task>,
    /// The number of tasks that are done.
    pub done: usize,
    /// The number of tasks that wait to be started.
    pub waiting: usize,
    /// The advisor's answers on which workers may run the step.
    pub permits: Permits,
    /// When the step began to have waiting tasks with all dependencies done; `None` while it has none.
    pub waiting_since: Option<Instant>,
}

/// One occurrence of a job.
#[state]
pub struct Occurrence {
    /// The steps, by index.
    pub steps: Vec<Step>,
}

/// A job.
#[state]
pub struct Job {
    /// The queue as configured now, or as last configured if it was removed.
    pub queue: Queue,
    /// Where the client handed the job in; `None` if an earlier release accepted it.
    pub endpoint: Option<Endpoint>,
    /// The client account that the job belongs to, if any.
    pub account: Option<account::Name>,
    /// The job as its client described it.
    pub spec: Arc<Spec>,
    /// By step, the estimated run time of the longest chain of steps from it to the end.
    pub chains: Vec<Duration>,
    /// The payload that every task gets.
    pub payload: Arc<str>,
    /// The time of day when the job was accepted.
    pub accepted: Stamp,
    /// The same on this process's monotonic clock. It may precede the start of this ownership.
    pub accepted_at: Instant,
    /// The current phase.
    pub phase: Phase,
    /// Whether the record of the job's acceptance is in the log.
    pub is_durable: bool,
    /// Whether the record of the job's end is in the log.
    pub is_end_durable: bool,
    /// The occurrences that have begun and are not complete.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// The number of the next occurrence to begin.
    pub next_occurrence: u32,
    /// The highest run number of any task of the job.
    pub last_run: Run,
    /// Submit requests that are answered once the acceptance is in the log.
    pub submitters: Vec<Request>,
    /// Cancel requests that are answered once the end is in the log.
    pub cancellers: Vec<Request>,
    /// Whether the job was accepted by an earlier owner, which may have started tasks.
    pub is_inherited: bool,
    /// Whether its client account has sent more than its weight entitles it to.
    pub is_surplus: bool,
    /// The runs that the job may have left since it ended; `None` without a client account.
    pub remainder: Option<Remainder>,
    /// The mark of the record of the job's acceptance.
    pub accepted_mark: Mark,
    /// The mark of the job's last progress record.
    pub progress_mark: Mark,
}

impl Occurrence {
    /// Creates an occurrence in which all tasks wait.
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
            state: TaskState::Waiting,
            failed: Vec::new(),
            checkpoint: None,
            failed_on: None,
            crashes: CrashHistory::default(),
        };
        Step {
            tasks: vec![task; usize::from(tasks)],
            done: 0,
            waiting: usize::from(tasks),
            permits: Permits::default(),
            waiting_since: None,
        }
    }

    /// Whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.done == self.tasks.len()
    }

    /// Changes the state of a task and updates the counts.
    pub fn set(&mut self, task: u16, state: TaskState) {
        let task = &mut self.tasks[usize::from(task)];
        match task.state {
            TaskState::Waiting => self.waiting -= 1,
            TaskState::Done => self.done -= 1,
            TaskState::Active { .. } => {}
        }
        match state {
            TaskState::Waiting => self.waiting += 1,
            TaskState::Done => self.done += 1,
            TaskState::Active { .. } => {}
        }
        task.state = state;
    }

    /// Returns the indices of the tasks that wait to be started.
    pub fn waiting_tasks(&self) -> Vec<u16> {
        let tasks = self.tasks.iter().enumerate();
        tasks
            .filter(|(_, task)| task.state == TaskState::Waiting)
            .map(|(index, _)| index as u16)
            .collect()
    }
}

impl Job {
    /// Whether a caller of a client account may see and cancel the job.
    pub fn is_visible_to(&self, account: Option<&account::Name>) -> bool {
        match (&self.account, account) {
            (Some(own), Some(caller)) => own == caller,
            _ => true,
        }
    }

    /// Returns which queue the job belongs to.
    pub fn locator(&self) -> Locator<'_> {
        Locator::new(self.endpoint.as_ref(), &self.queue.name)
    }

    /// Whether the job has ended without a run left.
    pub fn is_over(&self) -> bool {
        self.phase.is_final() && self.remainder.is_none_or(|remainder| remainder.runs == 0)
    }

    /// Returns a step of an occurrence that has begun and is not complete.
    pub fn step(&self, id: super::id::Step) -> Option<&Step> {
        self.occurrences
            .get(&id.occurrence)?
            .steps
            .get(usize::from(id.index))
    }

    /// Returns a step of an occurrence that has begun and is not complete.
    pub fn step_mut(&mut self, id: super::id::Step) -> Option<&mut Step> {
        let steps = &mut self.occurrences.get_mut(&id.occurrence)?.steps;
        steps.get_mut(usize::from(id.index))
    }

    /// Returns a task of an occurrence that has begun and is not complete.
    pub fn task(&self, id: super::id::Task) -> Option<&Task> {
        self.step(id.step)?.tasks.get(usize::from(id.index))
    }

    /// Whether the tasks of a step work only together.
    pub fn is_gang(&self, id: super::id::Step) -> bool {
        let spec = self.spec.steps.get(usize::from(id.index));
        spec.is_some_and(|spec| spec.gang)
    }

    /// Returns the index of the task that holds what a task shares with its gang: the first one. A task
    /// that is not of a gang holds its own.
    pub fn holder(&self, id: super::id::Task) -> usize {
        if self.is_gang(id.step) {
            0
        } else {
            usize::from(id.index)
        }
    }

    /// Returns the crashes of workers under the runs of a task or of its gang.
    pub fn crashes(&self, id: super::id::Task) -> Option<&CrashHistory> {
        let task = self.step(id.step)?.tasks.get(self.holder(id))?;
        Some(&task.crashes)
    }

    /// Returns the crashes of workers under the runs of a task or of its gang.
    pub fn crashes_mut(&mut self, id: super::id::Task) -> Option<&mut CrashHistory> {
        let holder = self.holder(id);
        let task = self.step_mut(id.step)?.tasks.get_mut(holder)?;
        Some(&mut task.crashes)
    }

    /// Allocates the next run number.
    pub fn next_run(&mut self) -> Run {
        self.last_run = Run(self.last_run.0 + 1);
        self.last_run
    }

    /// Begins the next occurrence.
    pub fn begin_next_occurrence(&mut self) {
        let occurrence = Occurrence::new(&self.spec);
        self.occurrences.insert(self.next_occurrence, occurrence);
        self.next_occurrence += 1;
    }

    /// Returns the contents of the job's progress record.
    pub fn progress(&self) -> Progress {
        let occurrences = self.occurrences.iter();
        let recorded = occurrences.filter_map(|(&index, occurrence)| {
            let steps: Vec<record::Step> = occurrence.steps.iter().map(step_record).collect();
            let is_empty = steps.iter().all(|step| *step == record::Step::default());
            (!is_empty).then_some(record::Occurrence { index, steps })
        });
        let first = self.occurrences.keys().next().copied();
        Progress {
            occurrences: recorded.collect(),
            complete_before: first.unwrap_or(self.next_occurrence),
            complete: self.complete_spans(),
        }
    }

    /// Returns the complete occurrences after the first incomplete one. Their number is not bounded,
    /// but there are no more spans than incomplete occurrences.
    fn complete_spans(&self) -> Vec<Span> {
        let incomplete = self.occurrences.keys().copied();
        let ends = incomplete.clone().skip(1).chain([self.next_occurrence]);
        let spans = incomplete.zip(ends).map(|(before, end)| Span {
            first: before + 1,
            end,
        });
        spans.filter(|span| span.first < span.end).collect()
    }

    /// Restores the state of the occurrences from a progress record.
    pub fn restore(&mut self, progress: &Progress) {
        self.next_occurrence = self.next_occurrence.max(progress.complete_before);
        for recorded in &progress.occurrences {
            let occurrence = Occurrence::new(&self.spec);
            let occurrence = self.occurrences.entry(recorded.index).or_insert(occurrence);
            for (step, recorded) in occurrence.steps.iter_mut().zip(&recorded.steps) {
                restore(step, recorded);
            }
            self.next_occurrence = self.next_occurrence.max(recorded.index + 1);
            self.phase = Phase::Running;
        }
        if let Some(last) = progress.complete.last() {
            self.next_occurrence = self.next_occurrence.max(last.end);
            self.phase = Phase::Running;
        }
        // An occurrence that is missing between two recorded ones had neither a done task nor a
        // failed run.
        for index in progress.complete_before..self.next_occurrence {
            if progress.is_complete(index) {
                continue;
            }
            let occurrence = Occurrence::new(&self.spec);
            self.occurrences.entry(index).or_insert(occurrence);
        }
    }
}

fn step_record(step: &Step) -> record::Step {
    let mut recorded = record::Step::default();
    for (index, task) in step.tasks.iter().enumerate() {
        if task.state == TaskState::Done {
            recorded.set_done(index as u16);
        }
        if !task.failed.is_empty() {
            recorded.failures.push(record::Failures {
                task: index as u16,
                runs: task.failed.clone(),
            });
        }
        if !task.crashes.is_empty() && task.state != TaskState::Done {
            recorded.crashes.push(record::Crashes {
                task: index as u16,
                history: task.crashes.record().clone(),
            });
        }
    }
    recorded
}

fn restore(step: &mut Step, recorded: &record::Step) {
    for index in 0..step.tasks.len() as u16 {
        if recorded.is_done(index) {
            step.set(index, TaskState::Done);
        }
    }
    for failures in &recorded.failures {
        if let Some(task) = step.tasks.get_mut(usize::from(failures.task)) {
            task.failed.clone_from(&failures.runs);
        }
    }
    for crashes in &recorded.crashes {
        if let Some(task) = step.tasks.get_mut(usize::from(crashes.task)) {
            task.crashes = CrashHistory::restore(crashes.history.clone());
        }
    }
}
