//! Processing of inventories and task reports from workers.
//!
//! The absence of an attempt from an inventory is conclusive only when the inventory answers the
//! latest request and that request was sent after the attempt could last have started. An attempt
//! that an inventory shows running and the cell does not know was started by an earlier owner. The
//! cell adopts it when its task waits and its job is neither ending nor a gang, and stops it
//! otherwise. Either way it counts against the
//! worker from then on.

use std::collections::HashSet;

use super::Cell;
use crate::core::id::{self, Attempt};
use crate::core::placement::message::{Outcome, Output, Record};
use crate::core::placement::policy::Policy;
use crate::core::placement::table::{
    AttemptEntry, AttemptKey, Intent, JobKey, Phase, TaskPhase, WorkerKey, WorkerState,
};
use crate::core::time::Instant;
use crate::core::workload::Class;
use crate::platform::worker::{Action, Inventory, Report, State};

impl<P: Policy> Cell<P> {
    /// Processes an inventory.
    pub(super) fn read_inventory(
        &mut self,
        id: id::Worker,
        request: u64,
        inventory: &Inventory,
        out: &mut Vec<Output>,
    ) {
        let Some(&key) = self.worker_ids.get(&id) else {
            return;
        };
        let polling = &self.workers[key].polling;
        let requested_at = (request == polling.number).then_some(polling.requested_at);
        for report in &inventory.tasks {
            self.read_attempt(key, report, requested_at.is_some(), out);
        }
        let Some(requested_at) = requested_at else {
            return;
        };
        let reported: HashSet<Attempt> = inventory.tasks.iter().map(|task| task.attempt).collect();
        self.end_missing(key, &reported, requested_at, out);
        let entry = &mut self.workers[key];
        entry.polling.last_answered = entry.polling.last_answered.max(requested_at);
        if entry.state == WorkerState::Unknown {
            entry.state = WorkerState::Ready;
            self.freed.add(key);
        }
        self.refresh_index(key);
    }

    /// Processes one report that was sent without a request.
    pub(super) fn read_report(&mut self, id: id::Worker, report: &Report, out: &mut Vec<Output>) {
        if let Some(&key) = self.worker_ids.get(&id) {
            self.read_attempt(key, report, false, out);
        }
    }

    /// Processes one report. `is_latest` is set when the report is part of the answer to the latest
    /// inventory request.
    fn read_attempt(
        &mut self,
        worker: WorkerKey,
        report: &Report,
        is_latest: bool,
        out: &mut Vec<Output>,
    ) {
        let known = self.attempt_ids.get(&report.attempt).copied();
        match known.filter(|&key| self.attempts[key].worker == worker) {
            Some(key) => self.read_known(key, report, out),
            None if is_latest => self.read_unknown(worker, report, out),
            None => {}
        }
    }

    /// Processes a report of a known attempt.
    fn read_known(&mut self, key: AttemptKey, report: &Report, out: &mut Vec<Output>) {
        if self.attempts[key].phase == Phase::Recording {
            return;
        }
        match outcome(report.state) {
            Some(outcome) => self.end_attempt(key, outcome, out),
            None => {
                self.mark_running(key);
                self.watch_usage(key, report.usage, out);
            }
        }
    }

    /// Ends attempts that are absent from an inventory requested at `requested_at` and so are
    /// certain not to run.
    fn end_missing(
        &mut self,
        worker: WorkerKey,
        reported: &HashSet<Attempt>,
        requested_at: Instant,
        out: &mut Vec<Output>,
    ) {
        for key in self.workers[worker].attempts.clone() {
            let is_missing = |attempt: &AttemptEntry| {
                requested_at > attempt.conclusive_after && !reported.contains(&attempt.id)
            };
            if self.attempts.get(key).is_some_and(is_missing) {
                self.end_attempt(key, Outcome::Lost, out);
            }
        }
    }

    /// Processes a report of an attempt that is not known on this worker.
    fn read_unknown(&mut self, worker: WorkerKey, report: &Report, out: &mut Vec<Output>) {
        let id = report.attempt;
        let job = self.job_ids.get(&id.task.job).copied();
        let job = job.filter(|&job| (id.task.index as usize) < self.jobs[job].tasks.len());
        let is_new = job.is_some_and(|job| self.is_newer(job, id));
        if let Some(job) = job.filter(|_| is_new) {
            self.jobs[job].tasks[id.task.index as usize].number = id.number;
        }
        let adopting = job.filter(|&job| is_new && self.may_adopt(job, id));
        match (outcome(report.state), adopting) {
            (None, Some(job)) => {
                self.adopt(worker, report, Some(job));
            }
            (None, None) if !self.attempt_ids.contains_key(&id) => {
                let key = self.adopt(worker, report, None);
                self.stop(key, Intent::Drop, Action::Stop, out);
            }
            (Some(outcome), Some(job)) if outcome != Outcome::Lost => {
                let key = self.adopt(worker, report, Some(job));
                self.end_attempt(key, outcome, out);
            }
            _ => {}
        }
    }

    /// Returns whether an attempt is later than every known attempt of its task.
    fn is_newer(&self, job: JobKey, id: Attempt) -> bool {
        id.number > self.jobs[job].tasks[id.task.index as usize].number
    }

    /// Returns whether an unknown attempt may be adopted: its task waits, and its job is neither
    /// ending nor a gang.
    fn may_adopt(&self, job: JobKey, id: Attempt) -> bool {
        let entry = &self.jobs[job];
        let phase = entry.tasks[id.task.index as usize].phase;
        let is_waiting = matches!(phase, TaskPhase::Pending | TaskPhase::Delayed);
        is_waiting && entry.ending.is_none() && entry.spec.class != Class::Gang
    }

    /// Creates the entry of an attempt that an earlier owner started.
    fn adopt(&mut self, worker: WorkerKey, report: &Report, job: Option<JobKey>) -> AttemptKey {
        let entry = AttemptEntry {
            id: report.attempt,
            job,
            worker,
            size: report.size,
            accounted: report.size,
            phase: Phase::Running,
            intent: Intent::Run,
            counted: false,
            conclusive_after: self.now,
            held_until: self.now + self.settings.tuning.lease_bound(),
            started_at: self.now,
            ends_at: job.map_or(self.now, |job| self.predict_end(job)),
            control: None,
        };
        let key = self.attempts.insert(entry);
        self.attempt_ids.insert(report.attempt, key);
        self.workers[worker].attempts.push(key);
        if let Some(job) = job {
            self.attach(job, report.attempt.task.index, key);
            let worker = self.workers[worker].id;
            self.write(Record::Placed {
                attempt: report.attempt,
                worker,
                size: report.size,
            });
        }
        self.count(key);
        key
    }

    /// Makes an adopted attempt the current attempt of a waiting task.
    fn attach(&mut self, key: JobKey, index: u32, attempt: AttemptKey) {
        let job = &mut self.jobs[key];
        let task = &mut job.tasks[index as usize];
        if task.phase == TaskPhase::Pending {
            job.queued -= 1;
        }
        task.phase = TaskPhase::Live(attempt);
        job.live += 1;
        if job.queued == 0 {
            self.dequeue(key);
            self.release_reservation(key);
        }
    }
}

/// Returns the outcome of an attempt in this state, or `None` while it runs.
fn outcome(state: State) -> Option<Outcome> {
    match state {
        State::Running => None,
        State::Succeeded => Some(Outcome::Succeeded),
        State::Failed => Some(Outcome::Failed),
        State::Stopped | State::Checkpointed => Some(Outcome::Stopped),
        State::Lapsed => Some(Outcome::Lost),
    }
}
