//! Counts crashes of workers and gives trials to the tasks that they make [suspect](super::poison).
//!
//! What is seen of a crash is kept until the next tick and judged there before anything is placed, so
//! that a task is never started between a crash and its verdict. A trial uses a whole worker. While none
//! is empty, a suspect holds the one that will be empty first.

use std::collections::BTreeSet;

use super::candidates::{Demand, Isolation, Room, Scope};
use super::id::{self, Mark, Run, Task, Worker};
use super::job::TaskState;
use super::message::{Output, RunEnd};
use super::place::is_long_running;
use super::poison::{self, Crash, CrashHistory, SURVIVAL, Verdict};
use super::record::Phase;
use super::worker::{Attempt, Worker as WorkerState};
use super::{Scheduler, Time, owner_of, spec};
use crate::core::time::Instant;

/// Trials have at most one in this many workers for themselves: after crashes of many workers, many
/// innocent tasks are suspect at the same time.
const WORKERS_PER_LONE_TRIAL: usize = 4;
/// The same for all trials. No other task is placed beside a trial, and those must not wait for all
/// suspects.
const WORKERS_PER_TRIAL: usize = 2;

/// A crash of a worker under a run, as it was seen.
#[derive(Clone)]
pub(super) struct SeenCrash {
    task: Task,
    run: Run,
    worker: String,
    incarnation: u64,
    is_certain: bool,
    is_alone: bool,
}

impl Scheduler {
    /// Stores that a worker's incarnation has ended under its runs. Must be called before the runs leave the worker.
    pub(super) fn note_crash(&mut self, key: Worker) {
        if let Some(worker) = self.workers.get(key) {
            let runs: Vec<(Task, Run)> = worker.attempts.keys().copied().collect();
            self.note_crash_under(key, &runs, true);
        }
    }

    /// Stores that a worker's incarnation has ended, or may have ended, under some of its runs. Must be called before
    /// these leave the worker.
    pub(super) fn note_crash_under(
        &mut self,
        key: Worker,
        runs: &[(Task, Run)],
        is_end_certain: bool,
    ) {
        // A worker that drains leaves as planned.
        let worker = self.workers.get(key);
        let Some(worker) = worker.filter(|worker| !worker.entry.draining) else {
            return;
        };
        for &(task, run) in runs {
            let Some(attempt) = worker.attempts.get(&(task, run)) else {
                continue;
            };
            if self.has_survived(task, attempt, attempt.reported_at) {
                continue;
            }
            let mut others = worker.attempts.keys();
            self.seen_crashes.push(SeenCrash {
                task,
                run,
                worker: worker.entry.name.clone(),
                incarnation: worker.entry.incarnation,
                is_certain: is_end_certain && attempt.is_confirmed,
                is_alone: others.all(|(other, other_run)| {
                    *other == task
                        || (self.is_gang(task) && other.step == task.step && *other_run == run)
                }),
            });
        }
    }

    /// Judges the tasks of the crashes that were seen since the last call.
    pub(super) fn judge_crashes(&mut self, time: Time, out: &mut Vec<Output>) {
        let mut changed = BTreeSet::new();
        for seen in std::mem::take(&mut self.seen_crashes) {
            let id = seen.task.step.job;
            let unseen = self.unseen_starts(id, time.stamp);
            let job = self.jobs.get_mut(&id);
            let job = job.filter(|job| !job.phase.is_final());
            let Some(history) = job.and_then(|job| job.crashes_mut(seen.task)) else {
                continue;
            };
            let crash = Crash {
                run: seen.run,
                worker: seen.worker.clone(),
                incarnation: seen.incarnation,
                at: time.stamp,
                is_certain: seen.is_certain,
            };
            if !history.add(crash, owner_of(seen.run), unseen) {
                continue;
            }
            let verdict = history.verdict();
            out.push(Output::Crashed {
                worker: seen.worker,
                task: seen.task,
                run: seen.run,
                is_certain: seen.is_certain,
                is_alone: seen.is_alone,
                crashes: history.record().crashes.len(),
                verdict,
            });
            if verdict == Verdict::Convicted {
                self.give_up(seen.task, time, out);
            }
            changed.insert(id);
        }
        for id in changed {
            self.record_progress(id, out);
        }
    }

    /// Ends the job of a convicted task.
    pub(super) fn give_up(&mut self, task: Task, time: Time, out: &mut Vec<Output>) {
        let id = task.step.job;
        let Some(history) = self.jobs.get(&id).and_then(|job| job.crashes(task)) else {
            return;
        };
        out.push(Output::GivenUp {
            task,
            history: history.record().clone(),
        });
        self.end(id, Phase::Failed, "a task crashes its workers", time, out);
    }

    /// Processes that a worker has reported the end of a run, which therefore has not crashed it.
    pub(super) fn note_end(
        &mut self,
        key: Worker,
        task: Task,
        run: Run,
        end: RunEnd,
        out: &mut Vec<Output>,
    ) {
        if matches!(end, RunEnd::Done | RunEnd::Failed) {
            self.clear_crashes(task, out);
            return;
        }
        let job = self.jobs.get_mut(&task.step.job);
        let history = job.and_then(|job| job.crashes_mut(task));
        let (Some(history), Some(worker)) = (history, self.workers.get(key)) else {
            return;
        };
        if history.withdraw(run, &worker.entry.name, worker.entry.incarnation) {
            self.record_progress(task.step.job, out);
        }
    }

    /// Clears a task after a run that did not crash its worker.
    fn clear_crashes(&mut self, task: Task, out: &mut Vec<Output>) {
        let is_gang = self.is_gang(task);
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let Some(history) = job.crashes_mut(task).filter(|history| !history.is_empty()) else {
            return;
        };
        *history = poison::CrashHistory::default();
        let Some(step) = job.step(task.step) else {
            return;
        };
        for (index, member) in (0..).zip(&step.tasks) {
            let TaskState::Active { worker, run } = member.state else {
                continue;
            };
            let other = Task { index, ..task };
            if (is_gang || other == task)
                && let Some(worker) = self.workers.get_mut(worker)
            {
                worker.end_trial(other, run);
            }
        }
        self.record_progress(task.step.job, out);
    }

    /// Clears a task whose run has just been reported, if the run has survived.
    pub(super) fn note_survival(
        &mut self,
        key: Worker,
        task: Task,
        run: Run,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let job = self.jobs.get(&task.step.job);
        let history = job.and_then(|job| job.crashes(task));
        if history.is_none_or(poison::CrashHistory::is_empty) {
            return;
        }
        let worker = self.workers.get(key);
        let attempt = worker.and_then(|worker| worker.attempts.get(&(task, run)));
        if attempt.is_some_and(|attempt| self.has_survived(task, attempt, now)) {
            self.clear_crashes(task, out);
        }
    }

    /// Whether a run that was there at `at` has outlived what its start may cause. The tasks of a gang do
    /// not work before all are there.
    fn has_survived(&self, task: Task, attempt: &Attempt, at: Instant) -> bool {
        let survival = if self.is_gang(task) {
            SURVIVAL + self.rules.gang_timeout
        } else {
            SURVIVAL
        };
        let present = attempt.present_since.map(|since| at.since(since));
        present >= Some(survival)
    }

    fn is_gang(&self, task: Task) -> bool {
        let job = self.jobs.get(&task.step.job);
        job.is_some_and(|job| job.is_gang(task.step))
    }

    /// Whether a task is suspect, so that its next start is a trial.
    pub(super) fn is_suspect(&self, task: Task) -> bool {
        let job = self.jobs.get(&task.step.job);
        let history = job.and_then(|job| job.crashes(task));
        history.is_some_and(poison::CrashHistory::is_suspect)
    }

    /// Returns those of the tasks of a job that may be started as far as their crashes go. The first call
    /// for tasks with a crash records their starts.
    pub(super) fn granted_starts(
        &mut self,
        tasks: &[Task],
        time: Time,
        out: &mut Vec<Output>,
    ) -> Vec<Task> {
        let mut counted = tasks.to_vec();
        counted.retain(|&task| self.count_start(task, time, out));
        if let Some(task) = counted.first() {
            let mark = self.record_progress(task.step.job, out);
            for task in counted {
                let job = self.jobs.get_mut(&task.step.job);
                if let Some(history) = job.and_then(|job| job.crashes_mut(task)) {
                    history.grant(mark);
                }
            }
        }
        let mut granted = tasks.to_vec();
        granted.retain(|&task| {
            let job = self.jobs.get(&task.step.job);
            let history = job.and_then(|job| job.crashes(task));
            history.is_some_and(|history| self.awaited_record(history).is_none())
        });
        granted
    }

    /// Counts a start of a task with a crash, or ends its job if the task is not started again. Returns
    /// whether the start has to be recorded.
    fn count_start(&mut self, task: Task, time: Time, out: &mut Vec<Output>) -> bool {
        let owner = self.token;
        let losses = &self.losses;
        let job = self.jobs.get_mut(&task.step.job);
        let history = job.and_then(|job| job.crashes_mut(task));
        let history = history.filter(|history| !history.is_empty());
        let Some(history) = history.filter(|history| history.granted().is_none()) else {
            return false;
        };
        history.forget_starts(|granter| granter < owner && !losses.is_after(granter));
        if history.verdict() == Verdict::Convicted {
            self.give_up(task, time, out);
            return false;
        }
        history.count_start(owner);
        true
    }

    /// Returns the mark of the record for which the next start of a task with crashes has to wait.
    pub(super) fn awaited_record(&self, history: &CrashHistory) -> Option<Mark> {
        let mark = history.granted().filter(|&mark| mark > self.durable)?;
        history.is_suspect().then_some(mark)
    }

    /// Returns on which workers a suspect may begin its trial at `now`.
    pub(super) fn isolation(&mut self, task: Task, may_start: bool, now: Instant) -> Isolation {
        let job = self.jobs.get_mut(&task.step.job);
        let history = job.and_then(|job| job.crashes_mut(task));
        let Some(history) = history.filter(|history| history.is_suspect()) else {
            return Isolation::None;
        };
        if may_start && history.waited(now) >= poison::PATIENCE {
            Isolation::Shared
        } else {
            Isolation::Empty
        }
    }

    /// Places the suspect tasks of a step, each alone if a worker is or becomes empty in time.
    pub(super) fn place_suspects(
        &mut self,
        demand: &Demand,
        suspects: &[u16],
        spec: &spec::Step,
        scope: Scope<'_>,
        time: Time,
        out: &mut Vec<Output>,
    ) {
        for &index in suspects {
            let task = Task {
                step: demand.step,
                index,
            };
            let last = self.isolation(task, demand.may_start, time.now);
            for isolation in [Isolation::Empty, Isolation::Shared] {
                let is_due = match isolation {
                    Isolation::Shared => {
                        self.trials() < self.workers.len().div_ceil(WORKERS_PER_TRIAL)
                    }
                    _ => self.may_isolate(task),
                };
                if isolation > last || !is_due || !self.is_waiting(task) {
                    continue;
                }
                let demand = Demand {
                    waiting: vec![index],
                    isolation,
                    ..demand.clone()
                };
                self.place_singles(&demand, spec, scope, time, out);
            }
            if self.is_waiting(task) && self.may_isolate(task) {
                self.hold_worker(task, demand, spec, scope, time.now);
            }
        }
    }

    fn is_waiting(&self, task: Task) -> bool {
        let job = self.jobs.get(&task.step.job);
        let state = job.and_then(|job| job.task(task)).map(|task| task.state);
        state == Some(TaskState::Waiting)
    }

    /// Returns the number of workers with a trial.
    fn trials(&self) -> usize {
        let workers = self.workers.values();
        workers.filter(|worker| worker.has_trial()).count()
    }

    /// Whether a suspect may have a worker for itself now.
    fn may_isolate(&self, task: Task) -> bool {
        let holds = &self.trial_holds;
        let used = self.trials() + holds.len();
        let max = self.workers.len() / WORKERS_PER_LONE_TRIAL;
        used < max.max(1) || holds.iter().any(|(holder, _)| *holder == task)
    }

    /// Keeps other tasks off the worker that will be empty first.
    fn hold_worker(
        &mut self,
        task: Task,
        demand: &Demand,
        spec: &spec::Step,
        scope: Scope<'_>,
        now: Instant,
    ) {
        if self.trial_holds.iter().any(|(holder, _)| *holder == task) {
            return;
        }
        let demand = Demand {
            isolation: Isolation::Shared,
            ..demand.clone()
        };
        let candidates = self.candidates(&demand, spec, scope, Room::Any, now);
        let empty_at = |worker: &WorkerState| {
            let ends = worker.attempts.values();
            ends.map(|attempt| attempt.expected_end(now)).max()
        };
        let workers = candidates.iter().filter_map(|candidate| {
            let key = candidate.worker;
            let worker = self.workers.get(key)?;
            let is_held = self.trial_holds.iter().any(|(_, held)| *held == key);
            let is_fitting = demand.need.fits(worker.entry.capacity);
            let is_usable = is_fitting && !is_held && !self.has_long_running(worker);
            is_usable.then(|| (empty_at(worker), key))
        });
        if let Some((_, worker)) = workers.min() {
            self.trial_holds.push((task, worker));
        }
    }

    fn has_long_running(&self, worker: &WorkerState) -> bool {
        worker.attempts.keys().any(|(task, _)| {
            let job = self.jobs.get(&task.step.job);
            job.is_some_and(|job| is_long_running(job, task.step))
        })
    }

    /// Releases the workers that are held for tasks which do not wait for a trial any more.
    pub(super) fn release_holds(&mut self) {
        let mut holds = std::mem::take(&mut self.trial_holds);
        holds.retain(|&(task, worker)| {
            let worker = self.workers.get(worker);
            let is_usable = worker.is_some_and(|worker| worker.is_usable() && !worker.has_trial());
            is_usable && self.is_waiting(task) && self.is_suspect(task)
        });
        self.trial_holds = holds;
    }

    /// Returns the workers on which a task with this isolation may not be placed.
    pub(super) fn excluded_workers(&self, isolation: Isolation) -> Vec<Worker> {
        match isolation {
            Isolation::None => self.trial_holds.iter().map(|&(_, worker)| worker).collect(),
            Isolation::Empty => {
                let workers = self.workers.iter();
                let busy = workers.filter(|(_, worker)| !worker.attempts.is_empty());
                busy.map(|(key, _)| key).collect()
            }
            Isolation::Shared => Vec::new(),
        }
    }

    /// Returns the workers that a trial beside other runs avoids: a crash there would end a whole gang.
    pub(super) fn gang_workers(&self, isolation: Isolation) -> Vec<Worker> {
        if isolation != Isolation::Shared {
            return Vec::new();
        }
        let has_gang = |worker: &WorkerState| {
            let mut tasks = worker.attempts.keys();
            tasks.any(|(task, _)| self.is_gang(*task))
        };
        let workers = self.workers.iter();
        let workers = workers.filter(|(_, worker)| has_gang(worker));
        workers.map(|(key, _)| key).collect()
    }

    /// Ends a job of which a task was convicted: the earlier owner recorded the last crash, but not the
    /// end of the job. Trials without a known end may still go on.
    pub(super) fn fail_convicted(&mut self, id: id::Job, time: Time, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let tasks = job.occurrences.iter().flat_map(|(&occurrence, state)| {
            let steps = (0..).zip(&state.steps);
            steps.flat_map(move |(index, step)| {
                let step_id = id::Step {
                    job: id,
                    occurrence,
                    index,
                };
                let tasks = (0..).zip(&step.tasks);
                tasks.map(move |(index, task)| {
                    (
                        Task {
                            step: step_id,
                            index,
                        },
                        task,
                    )
                })
            })
        });
        let mut convicted = tasks.filter(|(_, task)| task.crashes.is_proven());
        if let Some((task, _)) = convicted.next() {
            self.give_up(task, time, out);
        }
    }
}
