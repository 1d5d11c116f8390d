//! Processes the events of single runs: starts, reports by workers, ends, stops and losses.

use std::sync::Arc;
use std::time::Duration;

use super::id::{self, Run, Task, Worker};
use super::job::{Checkpoint, TaskState};
use super::message::{ActiveRun, EndedRun, Outcome, Output, Refusal, RunEnd};
use super::record::Phase;
use super::worker::{Attempt, State};
use super::{Scheduler, Time, owner_of};
use crate::core::resource::Amount;
use crate::core::time::Instant;

/// The progress of a run that has ended, in percent.
const ALL_PERCENT: u8 = 100;
/// How long some members of a gang may wait while others have runs, before these are stopped. Workers
/// end the runs by themselves, and report that within a second.
const PARTIAL_GANG_PATIENCE: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Processes a run that a worker reports as running.
    pub(super) fn observe_running(
        &mut self,
        key: Worker,
        running: ActiveRun,
        time: Time,
        out: &mut Vec<Output>,
    ) {
        let ActiveRun {
            task,
            run,
            checkpoint,
            percent,
        } = running;
        self.begin_reported_occurrence(task.step, time.now);
        self.store_checkpoint(task, run, checkpoint, percent);
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if let Some(attempt) = worker.attempts.get_mut(&(task, run)) {
            attempt.percent = percent;
            attempt.reported_at = time.now;
            attempt.is_confirmed = true;
            attempt.present_since.get_or_insert(time.now);
            attempt.is_reported = true;
            attempt.absent_since = None;
            if matches!(attempt.state, State::Starting | State::Doubtful) {
                attempt.state = State::Running;
                attempt.since = time.now;
                worker.history.record_start();
            }
            self.begun(task.step.job, out);
            self.note_survival(key, task, run, time.now, out);
            return;
        }
        self.adopt(key, task, run, time, out);
    }

    /// Adopts a run that this owner did not start, or stops it when its task does not wait for a
    /// run.
    fn adopt(&mut self, key: Worker, task: Task, run: Run, time: Time, out: &mut Vec<Output>) {
        let (need, estimate, is_wanted) = self.inherited_need(task);
        out.push(Output::Adopted {
            worker: key,
            task,
            run,
            need,
            is_wanted,
        });
        let state = if is_wanted {
            State::Running
        } else {
            State::Stopping
        };
        let is_trial = is_wanted && self.is_suspect(task);
        let attempt = Attempt {
            need,
            charge: None,
            state,
            since: time.now,
            started: time.now,
            estimate,
            stop_sent: None,
            stop_answered: None,
            deadline_ms: None,
            absent_since: None,
            is_confirmed: true,
            present_since: Some(time.now),
            is_reported: true,
            is_trial,
            percent: 0,
            reported_at: time.now,
        };
        self.insert_run(key, task, run, attempt);
        if !is_wanted {
            self.send_stop(key, task, run, time.now, out);
            return;
        }
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            job.last_run = job.last_run.max(run);
            if let Some(step) = job.step_mut(task.step) {
                step.set(task.index, TaskState::Active { worker: key, run });
            }
            let history = job.crashes_mut(task);
            if let Some(history) = history.filter(|history| !history.is_empty()) {
                history.begin(run);
            }
        }
        self.begun(task.step.job, out);
        self.refresh_ready(task.step.job, time.now);
    }

    /// Returns the capacity that a run of an earlier owner uses, if it is known, the estimate of its
    /// run time, and whether its task waits for a run.
    fn inherited_need(&self, task: Task) -> (Option<Amount>, Duration, bool) {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return (None, Duration::ZERO, false);
        };
        let step = job.spec.steps.get(usize::from(task.step.index));
        let need = step.map(super::spec::Step::capacity_need);
        let estimate = step.map(|step| step.estimate).unwrap_or_default();
        let is_waiting = job
            .task(task)
            .is_some_and(|task| task.state == TaskState::Waiting);
        (need, estimate, is_waiting && !job.phase.is_final())
    }

    /// Stores a checkpoint, unless a newer one is known: continuing from an older one would repeat
    /// work. All tasks of a gang continue from the same checkpoint.
    fn store_checkpoint(&mut self, task: Task, run: Run, value: Option<Arc<str>>, percent: u8) {
        let (Some(value), Some(job)) = (value, self.jobs.get_mut(&task.step.job)) else {
            return;
        };
        let index = job.holder(task);
        let holder = job
            .step_mut(task.step)
            .and_then(|step| step.tasks.get_mut(index));
        let Some(holder) = holder else {
            return;
        };
        let known = holder
            .checkpoint
            .as_ref()
            .map(|known| (known.run, known.percent));
        if known <= Some((run, percent)) {
            holder.checkpoint = Some(Checkpoint {
                value,
                run,
                percent,
            });
        }
    }

    /// Processes a run that a worker reports as ended.
    pub(super) fn ended(
        &mut self,
        key: Worker,
        ended: EndedRun,
        time: Time,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if ended.number <= worker.last_end {
            return;
        }
        worker.last_end = ended.number;
        let EndedRun {
            number,
            task,
            run,
            end,
            checkpoint,
        } = ended;
        match end {
            RunEnd::Done => worker.history.record_success(),
            RunEnd::Failed => worker.history.record_failure(time.now, task.step.job),
            _ => {}
        }
        self.remove_run(key, task, run);
        out.push(Output::Ended {
            worker: key,
            task,
            run,
            end,
        });
        self.begin_reported_occurrence(task.step, time.now);
        self.begun(task.step.job, out);
        // A checkpoint that is reported with the end of a run is the newest of that run.
        self.store_checkpoint(task, run, checkpoint, ALL_PERCENT);
        self.note_end(key, task, run, end, out);
        match end {
            RunEnd::Done => self.task_done(key, task, run, time, out),
            RunEnd::Failed => self.task_failed(key, task, run, time, out),
            _ => self.requeue(key, task, run, time.now),
        }
        self.acknowledge(key, number);
    }

    fn task_done(&mut self, key: Worker, task: Task, run: Run, time: Time, out: &mut Vec<Output>) {
        let id = task.step.job;
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.phase.is_final()) else {
            return;
        };
        let Some(spec) = job.spec.steps.get(usize::from(task.step.index)) else {
            return;
        };
        if spec.long_running {
            self.requeue(key, task, run, time.now);
            return;
        }
        let is_gang = spec.gang;
        let Some(step) = job.step_mut(task.step) else {
            return;
        };
        let indices = if is_gang {
            (0..step.tasks.len() as u16).collect()
        } else {
            vec![task.index]
        };
        let mut others = Vec::new();
        let mut is_changed = false;
        for index in indices {
            let Some(member) = step.tasks.get(usize::from(index)) else {
                return;
            };
            match member.state {
                TaskState::Done => continue,
                // The tasks of the same gang run end as done by themselves. A different run of the
                // task is not needed any more.
                TaskState::Active { worker, run: other } if other != run => {
                    others.push((worker, other));
                }
                _ => {}
            }
            step.set(index, TaskState::Done);
            is_changed = true;
        }
        if !is_changed {
            return;
        }
        for (worker, other) in others {
            self.stop_run_of(worker, other, id, time.now, out);
        }
        self.refresh_ready(id, time.now);
        self.complete_if_done(id, time, out);
        self.record_progress(id, out);
    }

    fn task_failed(
        &mut self,
        key: Worker,
        task: Task,
        run: Run,
        time: Time,
        out: &mut Vec<Output>,
    ) {
        let id = task.step.job;
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.phase.is_final()) else {
            return;
        };
        let attempts = usize::from(job.queue.attempts);
        let Some(spec) = job.spec.steps.get(usize::from(task.step.index)) else {
            return;
        };
        let is_long_running = spec.long_running;
        // A gang fails as a whole.
        let index = job.holder(task);
        let Some(step) = job.step_mut(task.step) else {
            return;
        };
        let Some(holder) = step.tasks.get_mut(index) else {
            return;
        };
        if holder.state == TaskState::Done || is_long_running || holder.failed.contains(&run) {
            self.requeue(key, task, run, time.now);
            return;
        }
        holder.failed.push(run);
        holder.failed_on = Some(key);
        let is_exhausted = holder.failed.len() >= attempts;
        self.requeue(key, task, run, time.now);
        if is_exhausted {
            self.end(id, Phase::Failed, "too many failed runs", time, out);
        } else {
            self.record_progress(id, out);
        }
    }

    /// Returns a task to the waiting state if `run` on `worker` is its active run.
    pub(super) fn requeue(&mut self, worker: Worker, task: Task, run: Run, now: Instant) {
        let owner = self.token;
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let Some(step) = job.step_mut(task.step) else {
            return;
        };
        let state = step
            .tasks
            .get(usize::from(task.index))
            .map(|task| task.state);
        if state == Some(TaskState::Active { worker, run }) {
            step.set(task.index, TaskState::Waiting);
            if let Some(history) = job.crashes_mut(task) {
                history.return_start(run, owner_of(run), owner);
            }
            self.refresh_ready(task.step.job, now);
        }
    }

    /// Frees the capacity of a run that cannot be on its worker for `reason`, and returns its task to
    /// the waiting state. Its start command may still be under way.
    pub(super) fn release(
        &mut self,
        key: Worker,
        task: Task,
        run: Run,
        reason: &'static str,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        self.keep_delayed_start(key, task, run);
        self.release_settled(key, task, run, reason, now, out);
    }

    /// The same for a run whose start command has been rejected or has arrived.
    fn release_settled(
        &mut self,
        key: Worker,
        task: Task,
        run: Run,
        reason: &'static str,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        if let Some(attempt) = self.remove_run(key, task, run)
            && let Some(worker) = self.workers.get(key)
        {
            out.push(Output::Released {
                worker: worker.entry.name.clone(),
                task,
                run,
                reason,
                evidence: worker.evidence(&attempt, self.rules.max_lease, now),
            });
        }
        self.requeue(key, task, run, now);
        self.is_dirty = true;
    }

    pub(super) fn started(
        &mut self,
        time: Time,
        key: Worker,
        task: Task,
        run: Run,
        outcome: &Outcome,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let Some(attempt) = worker.attempts.get_mut(&(task, run)) else {
            return;
        };
        match outcome {
            Outcome::Done(_) => {
                attempt.is_confirmed = true;
                attempt.present_since.get_or_insert(time.now);
                if attempt.state == State::Starting {
                    attempt.state = State::Running;
                    attempt.since = time.now;
                }
                worker.history.record_start();
                self.begun(task.step.job, out);
            }
            Outcome::Unknown => {
                if attempt.state == State::Starting {
                    attempt.state = State::Doubtful;
                    attempt.since = time.now;
                    let sent = attempt.started;
                    worker.history.record_unanswered_start(time.now, sent);
                }
            }
            // The successor decides on the task.
            Outcome::Refused(Refusal::Fenced) => out.push(Output::Superseded),
            // The worker has the run: an earlier copy of the command was carried out.
            Outcome::Refused(_) if attempt.is_confirmed => {}
            Outcome::Refused(refusal) => {
                self.refused(time, key, task, run, *refusal, out);
            }
        }
    }

    /// Processes a start command that the worker rejected.
    fn refused(
        &mut self,
        time: Time,
        key: Worker,
        task: Task,
        run: Run,
        refusal: Refusal,
        out: &mut Vec<Output>,
    ) {
        let sent = self.workers.get(key).and_then(|worker| {
            let attempt = worker.attempts.get(&(task, run))?;
            Some(attempt.started)
        });
        self.release_settled(key, task, run, refusal.name(), time.now, out);
        // The other refusals concern the command rather than the worker.
        let is_of_worker = matches!(refusal, Refusal::Unhealthy | Refusal::Room | Refusal::Late);
        if let (Some(sent), Some(worker)) = (sent, self.workers.get_mut(key))
            && is_of_worker
        {
            worker.history.record_refused_start(time.now, sent);
        }
        match refusal {
            Refusal::OtherWorker => self.lost_address(key, time.now, out),
            Refusal::Permit => {
                let job = self.jobs.get_mut(&task.step.job);
                let step = job.and_then(|job| job.step_mut(task.step));
                if let (Some(step), Some(worker)) = (step, self.workers.get(key)) {
                    step.permits.forget(key, worker.seat);
                }
            }
            Refusal::Unhealthy | Refusal::Malformed => {
                if let Some(worker) = self.workers.get_mut(key) {
                    worker.history.record_failure(time.now, task.step.job);
                }
            }
            _ => {}
        }
        self.stop_partial_gang(task, run, time.now, out);
    }

    /// Stops the other tasks of a gang run of which one was not started.
    fn stop_partial_gang(&mut self, task: Task, run: Run, now: Instant, out: &mut Vec<Output>) {
        let id = task.step.job;
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if !job.is_gang(task.step) {
            return;
        }
        let Some(step) = job.step(task.step) else {
            return;
        };
        let members: Vec<Worker> = step
            .tasks
            .iter()
            .filter_map(|task| match task.state {
                TaskState::Active { worker, run: other } if other == run => Some(worker),
                _ => None,
            })
            .collect();
        for worker in members {
            self.stop_run_of(worker, run, id, now, out);
        }
    }

    /// Stops the runs of gangs of which some members have long been waiting: the run of a gang cannot
    /// go on without them, and a new one needs all members.
    pub(super) fn stop_partial_gangs(&mut self, now: Instant, out: &mut Vec<Output>) {
        let mut members: Vec<(Worker, Run, id::Job)> = Vec::new();
        for id in &self.ready {
            let Some(job) = self.jobs.get(&id.job) else {
                continue;
            };
            let spec = job.spec.steps.get(usize::from(id.index));
            let Some(step) = job.step(*id).filter(|_| spec.is_some_and(|spec| spec.gang)) else {
                continue;
            };
            let waited = step.waiting_since.map(|since| now.since(since));
            let is_overdue = waited >= Some(PARTIAL_GANG_PATIENCE);
            if !is_overdue || (job.is_inherited && now < self.inherited_known_at) {
                continue;
            }
            let tasks = (0..).zip(&step.tasks);
            members.extend(tasks.filter_map(|(index, task)| {
                let TaskState::Active { worker, run } = task.state else {
                    return None;
                };
                let task = Task { step: *id, index };
                let attempt = self.workers.get(worker)?.attempts.get(&(task, run))?;
                (attempt.state != State::Stopping).then_some((worker, run, id.job))
            }));
        }
        members.dedup();
        for (worker, run, job) in members {
            self.stop_run_of(worker, run, job, now, out);
        }
    }

    /// Stops the runs numbered `run` that a job has on a worker.
    pub(super) fn stop_run_of(
        &mut self,
        key: Worker,
        run: Run,
        job: id::Job,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let tasks: Vec<Task> = worker
            .attempts
            .iter()
            .filter(|((task, other), attempt)| {
                task.step.job == job && *other == run && attempt.state != State::Stopping
            })
            .map(|((task, _), _)| *task)
            .collect();
        for task in tasks {
            if let Some(attempt) = worker.attempts.get_mut(&(task, run)) {
                attempt.state = State::Stopping;
                attempt.since = now;
            }
        }
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let stopping: Vec<Task> = worker
            .attempts
            .iter()
            .filter(|((task, other), attempt)| {
                task.step.job == job
                    && *other == run
                    && attempt.stop_sent.is_none()
                    && attempt.state == State::Stopping
            })
            .map(|((task, _), _)| *task)
            .collect();
        for task in stopping {
            self.send_stop(key, task, run, now, out);
        }
    }

    fn send_stop(
        &mut self,
        key: Worker,
        task: Task,
        run: Run,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if let Some(attempt) = worker.attempts.get_mut(&(task, run)) {
            attempt.stop_sent = Some(now);
        }
        out.push(Output::Stop {
            worker: key,
            task,
            run,
        });
    }

    pub(super) fn stopped(
        &mut self,
        now: Instant,
        key: Worker,
        task: Task,
        run: Run,
        outcome: &Outcome,
        out: &mut Vec<Output>,
    ) {
        self.delayed_start_stopped(now, key, task, run, outcome);
        match outcome {
            Outcome::Refused(Refusal::Fenced) => out.push(Output::Superseded),
            Outcome::Done(_) | Outcome::Refused(Refusal::OldRun) => {
                let worker = self.workers.get_mut(key);
                let attempt = worker.and_then(|worker| worker.attempts.get_mut(&(task, run)));
                if let Some(attempt) = attempt {
                    attempt.stop_answered = Some(now);
                }
            }
            // The stop command is sent again after the next poll.
            Outcome::Refused(_) | Outcome::Unknown => {
                let worker = self.workers.get_mut(key);
                let attempt = worker.and_then(|worker| worker.attempts.get_mut(&(task, run)));
                if let Some(attempt) = attempt {
                    attempt.stop_sent = None;
                }
            }
        }
    }
}
