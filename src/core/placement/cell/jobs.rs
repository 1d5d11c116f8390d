//! Accepting, cancelling and ending jobs, and the way of a task from one attempt to the next.

use std::collections::HashMap;

use super::{Cell, ledger};
use crate::core::error::{Error, Kind, Result};
use crate::core::id;
use crate::core::placement::job::{End, Job};
use crate::core::placement::message::{Outcome, Output, Record};
use crate::core::placement::policy::Policy;
use crate::core::placement::queue::{Lane, Place, Shape};
use crate::core::placement::table::{
    AttemptKey, Control, Intent, JobEntry, JobKey, Phase, TaskPhase, Tried, WorkerKey,
};
use crate::core::resource::Amount;
use crate::core::time::Instant;
use crate::core::workload::Class;
use crate::platform::worker::Action;

/// A job that ended, as it is kept for queries.
#[derive(Clone, Debug)]
pub(super) struct Summary {
    pub(super) team: id::Team,
    pub(super) class: Class,
    pub(super) tasks: u32,
    pub(super) succeeded: u32,
    pub(super) end: End,
}

/// When a job ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ended {
    pub(super) job: id::Job,
    pub(super) at: Instant,
}

/// A job whose tasks are being stopped, and the first task not yet looked at.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stopping {
    job: JobKey,
    next: u32,
}

/// A task that was lost with its worker, in the order of replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Lost {
    class: Class,
    sequence: u64,
    job: JobKey,
    task: u32,
}

impl Stopping {
    /// Begins with the first task.
    pub(super) fn new(job: JobKey) -> Stopping {
        Stopping { job, next: 0 }
    }
}

impl<P: Policy> Cell<P> {
    /// Returns whether the job could ever run here.
    ///
    /// # Errors
    ///
    /// [`Kind::Impossible`] with the resource and the largest worker, when no worker could hold a
    /// task, all workers together could not hold a gang, or the team's ceiling forbids it.
    /// [`Kind::Malformed`] when the job has no task or no attempt.
    pub fn admit(&self, job: &Job) -> Result<()> {
        if job.tasks == 0 || job.max_attempts == 0 {
            return Err(Error::new(
                Kind::Malformed,
                "a job needs at least one task and one attempt",
            ));
        }
        let at_once = match job.class {
            Class::Gang => u64::from(job.tasks),
            _ => 1,
        };
        self.admit_quota(job, at_once)?;
        self.admit_size(job, at_once)
    }

    /// Refuses what the team's ceiling never allows.
    fn admit_quota(&self, job: &Job, at_once: u64) -> Result<()> {
        let Some(quota) = self.settings.quotas.get(&job.team) else {
            return Ok(());
        };
        if job.size.times(at_once).fits(quota.ceiling) {
            return Ok(());
        }
        let message = format!(
            "the job needs more at once than the ceiling of team {}",
            job.team.0
        );
        Err(Error::new(Kind::Impossible, message))
    }

    /// Refuses what no worker, or not all workers together, could hold.
    fn admit_size(&self, job: &Job, at_once: u64) -> Result<()> {
        if self.sizes.is_empty() {
            return Ok(());
        }
        let holds =
            |(size, count): (&Amount, &u32)| times_within(job.size, *size) * u64::from(*count);
        let held: u64 = self.sizes.iter().map(holds).sum();
        if held >= at_once {
            return Ok(());
        }
        let largest = self
            .sizes
            .keys()
            .fold(Amount::default(), |all, size| all.max(*size));
        let message = match short_of(job.size, largest) {
            Some(resource) => format!(
                "a task needs more {resource} than the largest worker has \
                 ({} thousandths of a core, {} MiB, {} accelerators)",
                largest.cpu_millis, largest.memory_mib, largest.accelerators
            ),
            None if held == 0 => "no worker has all that a task needs at once".to_owned(),
            None => format!("the workers together hold {held} of {at_once} tasks at once"),
        };
        Err(Error::new(Kind::Impossible, message))
    }

    /// Takes in a job whose record is durable; a repeat changes nothing.
    pub(super) fn accept(&mut self, job: Job) {
        if let Some(key) = self.insert_job(job) {
            self.enqueue(key);
        }
    }

    /// Makes the entry of a job unless it is known.
    pub(super) fn insert_job(&mut self, job: Job) -> Option<JobKey> {
        if self.job_ids.contains_key(&job.id) || self.ended_ids.contains_key(&job.id) {
            return None;
        }
        self.sequence += 1;
        let team = self.team(&job.team);
        self.teams[team].jobs += 1;
        let id = job.id;
        let entry = JobEntry::new(job, team, self.now, self.sequence);
        let key = self.jobs.insert(entry);
        self.job_ids.insert(id, key);
        Some(key)
    }

    /// Puts a job into its lane when it has tasks that may be placed.
    pub(super) fn enqueue(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        if job.lane.is_some() || !job.is_placeable() {
            return;
        }
        let lane = Lane {
            class: job.spec.class,
            team: job.team,
            shape: Shape::of(job.claim),
        };
        job.lane = Some(lane);
        let place = place(job);
        let borrows = self.teams[lane.team].borrows;
        let rank = ledger::rank::<P>(&self.settings.knobs, borrows, lane);
        self.queue.add(lane, place, key, rank);
    }

    /// Takes a job out of its lane.
    pub(super) fn dequeue(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let Some(lane) = job.lane.take() else {
            return;
        };
        let place = place(job);
        let borrows = self.teams[lane.team].borrows;
        let rank = ledger::rank::<P>(&self.settings.knobs, borrows, lane);
        self.queue.remove(lane, place, rank);
    }

    /// Cancels a job. The cost does not depend on the number of tasks: they are stopped a few per
    /// step.
    pub(super) fn cancel(&mut self, id: id::Job) {
        let Some(&key) = self.job_ids.get(&id) else {
            return;
        };
        match self.jobs[key].ending {
            None => {
                self.write(Record::Canceled(id));
                self.answer_canceled(id);
                self.end(key, End::Canceled);
            }
            Some(End::Canceled) => self.answer_canceled(id),
            Some(_) => {}
        }
    }

    /// Begins to end a job.
    pub(super) fn end(&mut self, key: JobKey, end: End) {
        if self.jobs[key].ending.is_some() {
            return;
        }
        self.jobs[key].ending = Some(end);
        self.dequeue(key);
        self.release_hold(key);
        if self.jobs[key].live > 0 {
            self.stopping.push_back(Stopping::new(key));
        }
        self.end_if_idle(key);
    }

    /// Writes the end of a job when nothing of it runs any more. A held job may still run where the
    /// cell does not know.
    pub(super) fn end_if_idle(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        if job.is_held {
            return;
        }
        let Some(end) = job.ending.filter(|_| job.live == 0 && !job.ended) else {
            return;
        };
        job.ended = true;
        self.write_end(key, end);
    }

    /// Keeps only the summary of a job whose end is durable.
    pub(super) fn forget_job(&mut self, key: JobKey, end: End, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        let id = job.spec.id;
        self.job_ids.remove(&id);
        self.teams[job.team].jobs -= 1;
        self.forget_team(job.team);
        let summary = Summary {
            team: job.spec.team,
            class: job.spec.class,
            tasks: job.spec.tasks,
            succeeded: job.succeeded,
            end,
        };
        self.keep_ended(id, summary);
        out.push(Output::Ended { job: id, end });
    }

    /// Keeps an ended job for queries, within the limits.
    pub(super) fn keep_ended(&mut self, job: id::Job, summary: Summary) {
        let knobs = &self.settings.knobs;
        self.ended.push_back(Ended { job, at: self.now });
        self.ended_ids.insert(job, summary);
        while let Some(oldest) = self.ended.front().copied() {
            let is_old = self.now.since(oldest.at) > knobs.ended_for;
            if self.ended.len() <= knobs.ended_jobs && !is_old {
                break;
            }
            self.ended.pop_front();
            self.ended_ids.remove(&oldest.job);
        }
    }

    /// Stops some tasks of jobs that are to end.
    pub(super) fn stop_some(&mut self, out: &mut Vec<Output>) {
        let mut budget = self.settings.knobs.stops_per_step;
        while budget > 0 {
            let Some(mut stopping) = self.stopping.pop_front() else {
                return;
            };
            let Some(job) = self.jobs.get(stopping.job) else {
                continue;
            };
            let Some(task) = job.tasks.get(stopping.next as usize) else {
                continue;
            };
            budget -= 1;
            stopping.next += 1;
            let phase = task.phase;
            self.stopping.push_front(stopping);
            if let TaskPhase::Live(attempt) = phase {
                self.stop(attempt, Intent::Drop, Action::Stop, out);
            }
        }
    }

    /// Tells the worker to end an attempt; one that was never sent is dropped at once.
    pub(super) fn stop(
        &mut self,
        key: AttemptKey,
        intent: Intent,
        action: Action,
        out: &mut Vec<Output>,
    ) {
        if self.attempts[key].phase == Phase::Recording {
            self.leave(key, Outcome::NotStarted, out);
            return;
        }
        let now = self.now;
        let attempt = &mut self.attempts[key];
        attempt.intent = intent;
        attempt.control = Some(Control { action, at: now });
        let (worker, id) = (attempt.worker, attempt.id);
        out.push(Output::Control {
            worker: self.workers[worker].id,
            attempt: id,
            action,
        });
        self.hurry(worker);
    }

    /// Takes note that an attempt surely runs nowhere any more.
    pub(super) fn leave(&mut self, key: AttemptKey, outcome: Outcome, out: &mut Vec<Output>) {
        self.uncount(key);
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        self.attempt_ids.remove(&attempt.id);
        let worker = &mut self.workers[attempt.worker];
        worker.attempts.retain(|&other| other != key);
        let worker_id = worker.id;
        let Some(job) = attempt.job else {
            return;
        };
        let id = attempt.id;
        self.write(Record::Left {
            attempt: id,
            outcome,
        });
        let index = id.task.index;
        let tried = Tried {
            task: index,
            worker: worker_id,
        };
        let entry = &mut self.jobs[job];
        entry.live -= 1;
        entry.tasks[index as usize].phase = TaskPhase::Pending;
        match outcome {
            Outcome::Succeeded => {
                entry.tasks[index as usize].phase = TaskPhase::Succeeded;
                entry.succeeded += 1;
                let span = self.now.since(attempt.started_at);
                self.history.note(&entry.spec.family, span);
                self.workers[attempt.worker].health.succeed();
            }
            Outcome::Failed => {
                entry.tried.push(tried);
                entry.give_back(index);
                self.blame(attempt.worker, job);
                self.judge(job, index);
            }
            Outcome::Lost => {
                self.counters.lost += 1;
                self.delay(job, index);
            }
            Outcome::Stopped | Outcome::NotStarted => {
                entry.give_back(index);
                if attempt.intent == Intent::Overrun {
                    self.outgrow(job, tried, attempt.accounted);
                }
            }
        }
        self.settle(job, outcome, out);
    }

    /// Brings a job into line after one of its attempts has left.
    fn settle(&mut self, key: JobKey, outcome: Outcome, out: &mut Vec<Output>) {
        let job = &self.jobs[key];
        if job.succeeded == job.spec.tasks {
            self.end(key, End::Succeeded);
        }
        if self.jobs[key].ending.is_some() {
            self.end_if_idle(key);
            return;
        }
        if self.jobs[key].spec.class == Class::Gang && outcome != Outcome::Succeeded {
            self.break_gang(key, out);
        }
        self.enqueue(key);
    }

    /// Notes a failure against a worker, unless the job is suspect itself.
    pub(super) fn blame(&mut self, worker: WorkerKey, job: JobKey) {
        let base = self.settings.knobs.quarantine;
        let id = self.jobs[job].spec.id;
        let is_suspect = |job: id::Job| match self.job_ids.get(&job) {
            Some(&key) => is_suspect(&self.jobs[key]),
            None => self
                .ended_ids
                .get(&job)
                .is_none_or(|ended| ended.end != End::Succeeded),
        };
        let health = &mut self.workers[worker].health;
        if health.fail(self.now, id, base, is_suspect) {
            self.counters.quarantined += 1;
            self.refresh_index(worker);
        }
    }

    /// Fails a job when one of its tasks has failed often enough on workers that are not themselves
    /// at fault.
    fn judge(&mut self, key: JobKey, task: u32) {
        let is_at_fault = |tried: &Tried| {
            let worker = self.worker_ids.get(&tried.worker);
            worker.is_some_and(|&worker| self.workers[worker].health.is_on_probation())
        };
        let job = &self.jobs[key];
        let failures = job
            .tried
            .iter()
            .filter(|tried| tried.task == task && !is_at_fault(tried))
            .count();
        if failures >= job.spec.max_attempts as usize {
            self.end(key, End::Failed);
        }
    }

    /// Takes note that an attempt was ended because it used `used`: the job is granted that much
    /// from now on, or the attempt counts as a failure when that could never be placed.
    fn outgrow(&mut self, key: JobKey, tried: Tried, used: Amount) {
        let mut wish = self.jobs[key].spec.clone();
        wish.size = self.jobs[key].claim.max(used);
        if self.admit(&wish).is_ok() {
            self.dequeue(key);
            self.jobs[key].claim = wish.size;
            return;
        }
        self.jobs[key].tried.push(tried);
        self.judge(key, tried.task);
    }

    /// Queues a lost task again when its turn comes.
    fn delay(&mut self, key: JobKey, task: u32) {
        let job = &mut self.jobs[key];
        job.tasks[task as usize].phase = TaskPhase::Delayed;
        self.lost.insert(Lost {
            class: job.spec.class,
            sequence: job.sequence,
            job: key,
            task,
        });
    }

    /// Queues lost tasks again, the most pressing class first, at a limited pace.
    pub(super) fn release_lost(&mut self) {
        const MICROS_PER_SECOND: u64 = 1_000_000;
        let rate = u64::from(self.settings.knobs.replace_per_second);
        let span = self.now.since(self.released_at).as_micros() as u64;
        let allowed = (span.min(MICROS_PER_SECOND) * rate) / MICROS_PER_SECOND;
        if allowed == 0 && !self.lost.is_empty() {
            return;
        }
        self.released_at = self.now;
        for _ in 0..allowed {
            let Some(lost) = self.lost.pop_first() else {
                return;
            };
            let Some(job) = self.jobs.get_mut(lost.job) else {
                continue;
            };
            if job.tasks[lost.task as usize].phase == TaskPhase::Delayed {
                job.give_back(lost.task);
                self.enqueue(lost.job);
            }
        }
    }

    /// Ends all attempts of a gang that has lost a member, so that it can start whole again.
    pub(super) fn break_gang(&mut self, key: JobKey, out: &mut Vec<Output>) {
        self.jobs[key].gang_deadline = None;
        let live: Vec<AttemptKey> = self.live(key);
        for attempt in live {
            let Some(entry) = self.attempts.get(attempt) else {
                continue;
            };
            if entry.intent == Intent::Run {
                self.stop(attempt, Intent::Requeue, Action::Checkpoint, out);
            }
        }
    }

    /// Returns the attempts of a job that may run.
    pub(super) fn live(&self, key: JobKey) -> Vec<AttemptKey> {
        let attempt = |phase: TaskPhase| match phase {
            TaskPhase::Live(attempt) => Some(attempt),
            _ => None,
        };
        let tasks = self.jobs[key].tasks.iter();
        tasks.filter_map(|task| attempt(task.phase)).collect()
    }

    /// Breaks up gangs whose members did not all start in time.
    pub(super) fn tend_gangs(&mut self, out: &mut Vec<Output>) {
        while let Some(&(due, key)) = self.gangs.first() {
            if due > self.now {
                return;
            }
            self.gangs.pop_first();
            let is_current = |job: &&JobEntry| job.gang_deadline == Some(due);
            if self.jobs.get(key).filter(is_current).is_none() {
                continue;
            }
            let is_running = |key: &AttemptKey| self.attempts[*key].phase == Phase::Running;
            if self.live(key).iter().all(is_running) {
                self.jobs[key].gang_deadline = None;
            } else {
                self.break_gang(key, out);
            }
        }
    }

    /// Returns the summaries of ended jobs.
    pub(super) fn summaries(&self) -> &HashMap<id::Job, Summary> {
        &self.ended_ids
    }
}

/// Returns the place of a job in its lane.
pub(super) fn place(job: &JobEntry) -> Place {
    Place {
        queued_at: job.queued_at,
        sequence: job.sequence,
    }
}

/// Returns whether a job failed on several workers and never succeeded.
fn is_suspect(job: &JobEntry) -> bool {
    let elsewhere = job
        .tried
        .first()
        .is_some_and(|first| job.tried.iter().any(|tried| tried.worker != first.worker));
    job.succeeded == 0 && elsewhere
}

/// Returns how many times `part` fits into `whole`.
pub(super) fn times_within(part: Amount, whole: Amount) -> u64 {
    let times = |part: u64, whole: u64| whole.checked_div(part).unwrap_or(u64::MAX);
    times(part.cpu_millis, whole.cpu_millis)
        .min(times(part.memory_mib, whole.memory_mib))
        .min(times(part.accelerators, whole.accelerators))
        .min(u64::from(u32::MAX))
}

/// Returns the first resource of which `part` needs more than `whole` has.
fn short_of(part: Amount, whole: Amount) -> Option<&'static str> {
    if part.cpu_millis > whole.cpu_millis {
        return Some("processors");
    }
    if part.memory_mib > whole.memory_mib {
        return Some("memory");
    }
    (part.accelerators > whole.accelerators).then_some("accelerators")
}
