//! Checks what owners make workers do. It sees only the workers.

use std::collections::{HashMap, VecDeque};

use laburnum_testkit::fake::worker::{Worker, checkpoint_owner};
use laburnumplank::core::scheduler::id::{Run, Task};
use laburnumplank::core::scheduler::message::{EndedRun, RunEnd, Start};
use laburnumplank::core::time::Instant;

/// How many events a report shows.
const HISTORY_LENGTH: usize = 120;

/// The index of a worker and its incarnation.
type Origin = (usize, u64);

/// An end of a run that is done.
struct DoneEnd {
    origin: Origin,
    number: u64,
    is_acknowledged: bool,
    /// Whether the task was started again after this end.
    is_followed: bool,
}

/// What has happened on the workers, and the promises that were broken.
#[derive(Default)]
pub(super) struct Oracle {
    done: HashMap<Task, Vec<DoneEnd>>,
    /// The latest events.
    history: VecDeque<String>,
    pub(super) violations: Vec<String>,
}

impl Oracle {
    pub(super) fn remember(&mut self, now: Instant, event: &str) {
        let millis = now.0 / 1_000;
        self.history.push_back(format!("{millis} ms: {event}"));
        if self.history.len() > HISTORY_LENGTH {
            self.history.pop_front();
        }
    }

    /// Returns the latest events, oldest first.
    pub(super) fn history(&self) -> String {
        let events = self.history.iter();
        events.flat_map(|event| [event.as_str(), "\n"]).collect()
    }

    /// Checks a run that has just begun on a worker.
    pub(super) fn start(
        &mut self,
        now: Instant,
        host: usize,
        token: u64,
        start: &Start,
        is_gang: bool,
        worker: &Worker,
    ) {
        let (task, run) = (start.task, start.run.0);
        let (used, capacity) = (worker.used(), worker.capacity());
        let text = format!("{task} run {run} on w{host} by token {token}");
        self.remember(now, &format!("start of {text}, {used} of {capacity}"));
        if !used.fits(capacity) {
            let text = format!("LIMIT {text}: {used} of {capacity}");
            self.violations.push(text);
        }
        let owner = checkpoint_owner(task, is_gang);
        let checkpoint = start.checkpoint.as_deref();
        if checkpoint.is_some_and(|checkpoint| !checkpoint.starts_with(&owner)) {
            let text = format!("UNASKED {text}: checkpoint {checkpoint:?}");
            self.violations.push(text);
        }
        for end in self.done.entry(task).or_default() {
            end.is_followed = true;
            if end.is_acknowledged {
                self.violations.push(format!("TWICE {text}: it is done"));
            }
        }
    }

    /// Records an end on a worker. One end of a gang of `gang` tasks stands for all of them.
    pub(super) fn end(&mut self, now: Instant, origin: Origin, end: &EndedRun, gang: Option<u16>) {
        let EndedRun {
            task, run, number, ..
        } = *end;
        let (host, how) = (origin.0, end.end.name());
        let text = format!("w{host} ends {task} run {}: {how}, number {number}", run.0);
        self.remember(now, &text);
        if end.end != RunEnd::Done {
            return;
        }
        let indices = gang.map_or(task.index..task.index + 1, |tasks| 0..tasks);
        for index in indices {
            let done = self.done.entry(Task { index, ..task }).or_default();
            done.push(DoneEnd {
                origin,
                number,
                is_acknowledged: false,
                is_followed: false,
            });
        }
    }

    /// Records that an owner acknowledged an end.
    pub(super) fn acknowledge(&mut self, origin: Origin, acknowledged: &EndedRun) {
        let of_step = self.done.iter_mut();
        for (task, ends) in of_step.filter(|(task, _)| task.step == acknowledged.task.step) {
            let mut ends = ends.iter_mut();
            let end = ends.find(|end| (end.origin, end.number) == (origin, acknowledged.number));
            let Some(end) = end else {
                continue;
            };
            end.is_acknowledged = true;
            if end.is_followed {
                let text = format!("TWICE {task}: started after it was done on w{}", origin.0);
                self.violations.push(text);
            }
        }
    }

    /// Checks that no task has two runs, given all runs with the index of their worker.
    pub(super) fn check_doubles(&mut self, runs: impl Iterator<Item = (usize, Task, Run)>) {
        let mut seen: HashMap<Task, usize> = HashMap::new();
        for (host, task, run) in runs {
            if let Some(other) = seen.insert(task, host) {
                let text = format!("TWICE {task}: on w{other} and, run {}, on w{host}", run.0);
                self.violations.push(text);
            }
        }
    }
}
