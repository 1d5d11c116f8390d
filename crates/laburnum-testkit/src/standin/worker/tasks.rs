//! The tasks of a worker, as plain state.
//!
//! A task ends as its command determines, on request, or when its lease ends, whichever comes
//! first. Each access to the state first records the ends that are due, with the time at which
//! they were due.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnum_derive::state;
use laburnumplank::core::id::Attempt;
use laburnumplank::core::resource::Amount;
use laburnumplank::core::time::{Instant, Stamp};
use laburnumplank::platform::worker::{Action, Control, Inventory, Renew, Report, Start, State};

use super::{Counts, Options, Span, Violation};
use crate::standin::command::{Command, End};

/// How long an ended attempt stays in the inventory.
pub const ENDED_RETENTION: Duration = Duration::from_secs(600);

/// A running or ended attempt.
#[state]
struct Run {
    size: Amount,
    command: Command,
    started: Instant,
    lease_ends: Instant,
    throttled: bool,
    ended: Option<Ended>,
}

/// How an attempt ended.
#[state]
#[derive(Copy)]
struct Ended {
    at: Instant,
    state: State,
}

impl Run {
    /// Returns the earlier of the command's end and the lease's end, if it was due by `now`.
    fn end_due_by(&self, now: Instant) -> Option<Ended> {
        let lease_end = Ended {
            at: self.lease_ends,
            state: State::Lapsed,
        };
        let end = match self.command.end {
            End::After(duration, state) if self.started + duration <= lease_end.at => Ended {
                at: self.started + duration,
                state,
            },
            _ => lease_end,
        };
        (end.at <= now).then_some(end)
    }

    /// Returns the usage that the worker reports at `now`.
    fn usage(&self, now: Instant, lag: Duration) -> Amount {
        let is_measured = now.since(self.started) >= lag;
        if self.ended.is_some() || !is_measured {
            return Amount::default();
        }
        let used = self.command.usage.unwrap_or(self.size);
        if !self.throttled {
            return used;
        }
        Amount {
            cpu_millis: used.cpu_millis.min(self.size.cpu_millis),
            memory_mib: used.memory_mib.min(self.size.memory_mib),
            accelerators: used.accelerators,
        }
    }
}

/// The tasks and records of a worker.
#[derive(Debug)]
pub struct Tasks {
    options: Options,
    incarnation: u64,
    runs: BTreeMap<Attempt, Run>,
    violations: Vec<Violation>,
    counts: Counts,
}

impl Tasks {
    /// Creates a worker without tasks; `incarnation` identifies this run of the worker.
    pub fn new(options: Options, incarnation: u64) -> Tasks {
        Tasks {
            options,
            incarnation,
            runs: BTreeMap::new(),
            violations: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// Starts an attempt; returns whether the request arrived by its `not_after_ms`.
    ///
    /// A repeated start has no effect and returns true. With `broken`, the attempt fails at once.
    pub fn start(&mut self, now: Instant, stamp: Stamp, start: &Start, broken: bool) -> bool {
        self.record_ends(now);
        if self.runs.contains_key(&start.attempt) {
            return true;
        }
        if stamp.0 > start.not_after_ms {
            self.counts.late += 1;
            return false;
        }
        self.record_violations(start);
        let mut command = Command::parse(&start.command);
        if broken {
            command.end = End::IMMEDIATE_FAILURE;
        }
        let run = Run {
            size: start.size,
            command,
            started: now,
            lease_ends: now + Duration::from_millis(start.lease_ms),
            throttled: false,
            ended: None,
        };
        self.runs.insert(start.attempt, run);
        self.counts.started += 1;
        true
    }

    /// Renews the leases of the attempts that still run; returns whether the request arrived by its
    /// `not_after_ms`.
    pub fn renew(&mut self, now: Instant, stamp: Stamp, renew: &Renew) -> bool {
        self.record_ends(now);
        if stamp.0 > renew.not_after_ms {
            return false;
        }
        let lease_ends = now + Duration::from_millis(renew.lease_ms);
        for attempt in &renew.attempts {
            if let Some(run) = self.runs.get_mut(attempt) {
                run.lease_ends = lease_ends;
            }
        }
        true
    }

    /// Stops, checkpoints or throttles an attempt; returns whether the attempt is known.
    pub fn control(&mut self, now: Instant, control: &Control) -> bool {
        self.record_ends(now);
        let Some(run) = self.runs.get_mut(&control.attempt) else {
            return false;
        };
        let state = match control.action {
            Action::Stop => State::Stopped,
            Action::Checkpoint => State::Checkpointed,
            Action::Throttle => {
                run.throttled = true;
                return true;
            }
        };
        run.ended.get_or_insert(Ended { at: now, state });
        true
    }

    /// Returns the running attempts and those that ended within [`ENDED_RETENTION`].
    pub fn inventory(&mut self, now: Instant) -> Inventory {
        self.record_ends(now);
        let lag = self.options.usage_lag;
        let report = |(attempt, run): (&Attempt, &Run)| Report {
            attempt: *attempt,
            state: run.ended.map_or(State::Running, |ended| ended.state),
            size: run.size,
            usage: run.usage(now, lag),
        };
        Inventory {
            incarnation: self.incarnation,
            tasks: self.runs.iter().map(report).collect(),
        }
    }

    /// Returns the recorded violations, oldest first.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns the time span of each attempt of the inventory.
    pub fn spans(&mut self, now: Instant) -> Vec<Span> {
        self.record_ends(now);
        let span = |(attempt, run): (&Attempt, &Run)| Span {
            attempt: *attempt,
            started: run.started,
            ended: run.ended.map(|ended| ended.at),
        };
        self.runs.iter().map(span).collect()
    }

    /// Returns the counts up to `now`.
    pub fn counts(&mut self, now: Instant) -> Counts {
        self.record_ends(now);
        self.counts
    }

    /// Records the violations that starting `start` causes.
    fn record_violations(&mut self, start: &Start) {
        let running = self.runs.iter().filter(|(_, run)| run.ended.is_none());
        let mut committed = start.size;
        for (attempt, run) in running {
            committed += run.size;
            if attempt.task == start.attempt.task {
                self.violations.push(Violation::TaskTwice {
                    running: *attempt,
                    started: start.attempt,
                });
            }
        }
        if !committed.fits(self.options.size) {
            self.violations.push(Violation::SizeExceeded {
                attempt: start.attempt,
                committed,
            });
        }
    }

    /// Records the ends that are due by `now` and drops attempts whose retention has passed.
    fn record_ends(&mut self, now: Instant) {
        for run in self.runs.values_mut().filter(|run| run.ended.is_none()) {
            run.ended = run.end_due_by(now);
            let is_lapsed = run.ended.is_some_and(|ended| ended.state == State::Lapsed);
            self.counts.lapsed += u64::from(is_lapsed);
        }
        self.runs.retain(|_, run| {
            run.ended
                .is_none_or(|ended| now.since(ended.at) < ENDED_RETENTION)
        });
    }
}
