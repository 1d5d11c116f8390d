//! A simulated worker that runs tasks until they end or their leases expire.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnumplank::core::id::{Attempt, Task};
use laburnumplank::core::placement::{Start, Worker};
use laburnumplank::core::resource::Amount;
use laburnumplank::core::time::Instant;
use laburnumplank::platform::worker::{Action, Inventory, Report, State};

/// How long a checkpoint or stop takes.
const CONTROL_DELAY: Duration = Duration::from_millis(80);

/// How the tasks of a job behave. The scheduler has no access to this.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Behaviour {
    pub(crate) runs_for: Duration,
    pub(crate) fails: bool,
    /// Each task uses three times its declared size until it is throttled.
    pub(crate) overruns: bool,
    /// Each task ignores throttle and checkpoint commands.
    pub(crate) ignores_control: bool,
}

#[derive(Clone, Debug)]
struct FakeTask {
    size: Amount,
    declared: Amount,
    state: State,
    behaviour: Behaviour,
    leased_until: Instant,
    ends: (Instant, State),
    is_throttled: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct FakeWorker {
    pub(crate) worker: Worker,
    pub(crate) is_up: bool,
    pub(crate) paused_until: Instant,
    pub(crate) isolated_until: Instant,
    pub(crate) slow_until: Instant,
    /// Every task that the worker starts fails.
    pub(crate) fails_all: bool,
    incarnation: u64,
    tasks: BTreeMap<Attempt, FakeTask>,
}

impl FakeWorker {
    pub(crate) fn new(worker: Worker) -> FakeWorker {
        FakeWorker {
            worker,
            is_up: true,
            paused_until: Instant(0),
            isolated_until: Instant(0),
            slow_until: Instant(0),
            fails_all: false,
            incarnation: 1,
            tasks: BTreeMap::new(),
        }
    }

    /// Starts a task without checking that it fits; returns false when the start arrived too late.
    pub(crate) fn start(
        &mut self,
        now: Instant,
        start: &Start,
        behaviour: Behaviour,
        declared: Amount,
    ) -> bool {
        if now > start.not_after {
            return false;
        }
        let fails = behaviour.fails || self.fails_all;
        let runs_for = if self.fails_all {
            Duration::from_millis(50)
        } else {
            behaviour.runs_for
        };
        let end = if fails {
            State::Failed
        } else {
            State::Succeeded
        };
        self.tasks.entry(start.attempt).or_insert(FakeTask {
            size: start.size,
            declared,
            state: State::Running,
            behaviour,
            leased_until: now + start.lease,
            ends: (now + runs_for, end),
            is_throttled: false,
        });
        true
    }

    pub(crate) fn renew(&mut self, now: Instant, attempts: &[Attempt], lease: Duration) {
        for attempt in attempts {
            if let Some(task) = self.tasks.get_mut(attempt).filter(|task| task.is_running()) {
                task.leased_until = task.leased_until.max(now + lease);
            }
        }
    }

    pub(crate) fn control(&mut self, now: Instant, attempt: Attempt, action: Action) {
        let Some(task) = self
            .tasks
            .get_mut(&attempt)
            .filter(|task| task.is_running())
        else {
            return;
        };
        let end = match action {
            Action::Throttle => {
                task.is_throttled = !task.behaviour.ignores_control;
                return;
            }
            Action::Checkpoint if task.behaviour.ignores_control => return,
            Action::Checkpoint => State::Checkpointed,
            Action::Stop => State::Stopped,
        };
        task.ends = task.ends.min((now + CONTROL_DELAY, end));
    }

    pub(crate) fn inventory(&self) -> Inventory {
        let report = |(attempt, task): (&Attempt, &FakeTask)| task.report(*attempt);
        Inventory {
            incarnation: self.incarnation,
            tasks: self.tasks.iter().map(report).collect(),
        }
    }

    /// Ends the tasks that are due to end and those whose leases have expired, and returns their
    /// reports.
    pub(crate) fn advance(&mut self, now: Instant) -> Vec<Report> {
        let mut reports = Vec::new();
        for (attempt, task) in &mut self.tasks {
            if task.is_running() && task.advance(now) {
                reports.push(task.report(*attempt));
            }
        }
        reports
    }

    pub(crate) fn restart(&mut self) {
        self.incarnation += 1;
        self.tasks.clear();
    }

    /// Returns the tasks that run at `now`. A paused worker still runs tasks that have a lease.
    pub(crate) fn running(&self, now: Instant) -> impl Iterator<Item = (Task, Amount)> {
        let runs = move |task: &FakeTask| task.is_running() && task.leased_until > now;
        let tasks = self
            .tasks
            .iter()
            .filter(move |(_, task)| self.is_up && runs(task));
        tasks.map(|(attempt, task)| (attempt.task, task.size))
    }
}

impl FakeTask {
    fn is_running(&self) -> bool {
        self.state == State::Running
    }

    fn advance(&mut self, now: Instant) -> bool {
        if now >= self.leased_until {
            self.state = State::Lapsed;
        } else if now >= self.ends.0 {
            self.state = self.ends.1;
        }
        !self.is_running()
    }

    fn report(&self, attempt: Attempt) -> Report {
        let factor = if self.behaviour.overruns && !self.is_throttled {
            3
        } else {
            1
        };
        Report {
            attempt,
            state: self.state,
            size: self.size,
            usage: self.declared.times(factor),
        }
    }
}
