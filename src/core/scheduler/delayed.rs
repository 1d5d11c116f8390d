//! Start commands that may still be under way although their runs were given up.
//!
//! Load: starts without a response at workers that restart. A run is released once its start can no longer begin on the
//! incarnation that it was sent to: a stop has made it void there, or its lease has ended. A command names its worker
//! and not the incarnation, so that the next one, which has seen no stop and has a clock of its own, would carry it out
//! beside a later run. Such starts are kept for as long as commands may be under way, and are stopped on each further
//! incarnation of their worker as soon as that is known.
//!
//! Starts of earlier owners are not kept: they have a lower token than the first command of this owner.

use std::collections::HashMap;
use std::time::Duration;

use super::Scheduler;
use super::id::{Run, Task, Worker};
use super::message::{Outcome, Output, Refusal};
use crate::core::time::Instant;

/// How long after the decision on it a start command may arrive.
const MAX_DELAY: Duration = Duration::from_secs(20);
/// The pause before a stop without a confirmation is sent again.
const STOP_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// The shortest time between two searches for starts that have expired.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// A start command that may still arrive.
#[derive(Clone, Copy)]
struct Start {
    task: Task,
    run: Run,
    decided_at: Instant,
}

impl Start {
    fn expires_at(&self) -> Instant {
        self.decided_at + MAX_DELAY
    }
}

/// A stop command that makes such a start void on a later incarnation of its worker.
#[derive(Clone, Copy)]
struct Stop {
    worker: Worker,
    start: Start,
    /// When to send it again; `None` while it is under way.
    due_at: Option<Instant>,
}

/// The start commands that may still arrive, and the stop commands against them that are not confirmed.
#[derive(Clone, Default)]
pub(super) struct Starts {
    by_worker: HashMap<String, Vec<Start>>,
    stops: Vec<Stop>,
    expired_at: Instant,
}

impl Starts {
    /// Drops the starts that can no longer arrive.
    fn expire(&mut self, now: Instant) {
        if now.since(self.expired_at) < EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
        self.by_worker.retain(|_, starts| {
            starts.retain(|start| now < start.expires_at());
            !starts.is_empty()
        });
    }
}

impl Scheduler {
    /// Keeps the start of a run that is released, unless a response or a report has shown that it has arrived.
    pub(super) fn keep_delayed_start(&mut self, key: Worker, task: Task, run: Run) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let attempt = worker.attempts.get(&(task, run));
        let Some(attempt) = attempt.filter(|attempt| !attempt.is_confirmed) else {
            return;
        };
        let start = Start {
            task,
            run,
            decided_at: attempt.started,
        };
        let name = worker.entry.name.clone();
        self.delayed.by_worker.entry(name).or_default().push(start);
    }

    /// Stops the starts that may still arrive at an incarnation of their worker which has just become known.
    pub(super) fn stop_delayed_starts(&mut self, key: Worker, now: Instant, out: &mut Vec<Output>) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let starts = self.delayed.by_worker.get(&worker.entry.name);
        let starts = starts.into_iter().flatten();
        for &start in starts.filter(|start| now < start.expires_at()) {
            out.push(Output::Voided {
                worker: worker.entry.name.clone(),
                task: start.task,
                run: start.run,
                age: now.since(start.decided_at),
            });
            out.push(Output::Stop {
                worker: key,
                task: start.task,
                run: start.run,
            });
            self.delayed.stops.push(Stop {
                worker: key,
                start,
                due_at: None,
            });
        }
    }

    /// Processes the outcome of a stop command, which may be one against a start that is kept.
    pub(super) fn delayed_start_stopped(
        &mut self,
        now: Instant,
        key: Worker,
        task: Task,
        run: Run,
        outcome: &Outcome,
    ) {
        let is_void = matches!(
            outcome,
            Outcome::Done(_) | Outcome::Refused(Refusal::OldRun)
        );
        let is_of_start = |stop: &Stop| {
            let Stop { worker, start, .. } = stop;
            (*worker, start.task, start.run) == (key, task, run)
        };
        let stops = &mut self.delayed.stops;
        if is_void {
            stops.retain(|stop| !is_of_start(stop));
        } else if let Some(stop) = stops.iter_mut().find(|stop| is_of_start(stop)) {
            stop.due_at = Some(now + STOP_RETRY_PAUSE);
        }
    }

    /// Repeats the stops that were not confirmed, and drops the starts that can no longer arrive.
    pub(super) fn repeat_stops_of_delayed_starts(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.delayed.expire(now);
        let workers = &self.workers;
        self.delayed
            .stops
            .retain(|stop| workers.get(stop.worker).is_some() && now < stop.start.expires_at());
        for stop in &mut self.delayed.stops {
            if stop.due_at.is_some_and(|due_at| due_at <= now) {
                stop.due_at = None;
                out.push(Output::Stop {
                    worker: stop.worker,
                    task: stop.start.task,
                    run: stop.start.run,
                });
            }
        }
    }
}
