//! A fake worker that really holds tasks.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnumplank::core::id::{Attempt, Task};
use laburnumplank::core::placement::{Start, Worker};
use laburnumplank::core::resource::Amount;
use laburnumplank::core::time::Instant;
use laburnumplank::platform::worker::{Action, Inventory, Report, State};

/// How long a checkpoint or stop takes.
const CONTROL_TAKES: Duration = Duration::from_millis(80);

/// How the tasks of a job behave, which the scheduler does not know.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Nature {
    pub(crate) runs_for: Duration,
    pub(crate) fails: bool,
    /// Uses three times its declared size until throttled.
    pub(crate) overruns: bool,
    /// Heeds neither throttle nor checkpoint.
    pub(crate) is_stubborn: bool,
}

#[derive(Clone, Debug)]
struct Held {
    size: Amount,
    declared: Amount,
    state: State,
    nature: Nature,
    leased_until: Instant,
    ends: (Instant, State),
    is_throttled: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Fake {
    pub(crate) worker: Worker,
    pub(crate) is_up: bool,
    pub(crate) paused_until: Instant,
    pub(crate) cut_until: Instant,
    pub(crate) slow_until: Instant,
    /// Fails everything that it starts.
    pub(crate) is_bad: bool,
    incarnation: u64,
    tasks: BTreeMap<Attempt, Held>,
}

impl Fake {
    pub(crate) fn new(worker: Worker) -> Fake {
        Fake {
            worker,
            is_up: true,
            paused_until: Instant(0),
            cut_until: Instant(0),
            slow_until: Instant(0),
            is_bad: false,
            incarnation: 1,
            tasks: BTreeMap::new(),
        }
    }

    /// Starts a task whether it fits or not; returns false when it came too late.
    pub(crate) fn start(
        &mut self,
        now: Instant,
        start: &Start,
        nature: Nature,
        declared: Amount,
    ) -> bool {
        if now > start.not_after {
            return false;
        }
        let fails = nature.fails || self.is_bad;
        let runs_for = if self.is_bad {
            Duration::from_millis(50)
        } else {
            nature.runs_for
        };
        let end = if fails {
            State::Failed
        } else {
            State::Succeeded
        };
        self.tasks.entry(start.attempt).or_insert(Held {
            size: start.size,
            declared,
            state: State::Running,
            nature,
            leased_until: now + start.lease,
            ends: (now + runs_for, end),
            is_throttled: false,
        });
        true
    }

    pub(crate) fn renew(&mut self, now: Instant, attempts: &[Attempt], lease: Duration) {
        for attempt in attempts {
            if let Some(held) = self.tasks.get_mut(attempt).filter(|held| held.is_running()) {
                held.leased_until = held.leased_until.max(now + lease);
            }
        }
    }

    pub(crate) fn control(&mut self, now: Instant, attempt: Attempt, action: Action) {
        let Some(held) = self
            .tasks
            .get_mut(&attempt)
            .filter(|held| held.is_running())
        else {
            return;
        };
        let end = match action {
            Action::Throttle => {
                held.is_throttled = !held.nature.is_stubborn;
                return;
            }
            Action::Checkpoint if held.nature.is_stubborn => return,
            Action::Checkpoint => State::Checkpointed,
            Action::Stop => State::Stopped,
        };
        held.ends = held.ends.min((now + CONTROL_TAKES, end));
    }

    pub(crate) fn inventory(&self) -> Inventory {
        let report = |(attempt, held): (&Attempt, &Held)| held.report(*attempt);
        Inventory {
            incarnation: self.incarnation,
            tasks: self.tasks.iter().map(report).collect(),
        }
    }

    /// Ends what has ended; returns the reports of it.
    pub(crate) fn advance(&mut self, now: Instant) -> Vec<Report> {
        let mut reports = Vec::new();
        for (attempt, held) in &mut self.tasks {
            if held.is_running() && held.advance(now) {
                reports.push(held.report(*attempt));
            }
        }
        reports
    }

    pub(crate) fn restart(&mut self) {
        self.incarnation += 1;
        self.tasks.clear();
    }

    /// Returns what runs at `now`. A paused worker still runs what has a lease.
    pub(crate) fn running(&self, now: Instant) -> impl Iterator<Item = (Task, Amount)> {
        let runs = move |held: &Held| held.is_running() && held.leased_until > now;
        let tasks = self
            .tasks
            .iter()
            .filter(move |(_, held)| self.is_up && runs(held));
        tasks.map(|(attempt, held)| (attempt.task, held.size))
    }
}

impl Held {
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
        let factor = if self.nature.overruns && !self.is_throttled {
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
