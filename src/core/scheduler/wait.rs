//! Explains why steps wait although workers have free capacity for them.
//!
//! A step may wait for its turn on a busy cell. Any other wait should be short: for the record of the
//! job, for the advisor, for workers of an earlier owner, or for the outcome of a command. The
//! explanations show operators what a step that gets no run waits for.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::fmt;
use std::time::Duration;

use laburnum_derive::state;

use super::advice::AdvisorProxy;
use super::id::{Mark, Step, Task, Worker};
use super::job::{Job, Step as StepState, TaskState};
use super::ledger::AccountUse;
use super::plan::Reserved;
use super::worker::{State, Worker as WorkerState};
use super::{Scheduler, spec};
use crate::core::resource::Amount;
use crate::core::time::Instant;

/// A step that has waited for less than this is not reported: a call to the advisor and an append to
/// a slow log take this long.
const MIN_WAIT: Duration = Duration::from_secs(1);
/// The most steps whose waits are explained at a time, so that a long queue costs little.
const MAX_EXPLAINED: usize = 50;

/// What a step waits for.
#[state]
pub enum Reason {
    /// The record of the job's acceptance is not known to be in the log.
    RecordNotInLog {
        /// The mark of the record.
        mark: Mark,
        /// The last mark that is in the log.
        durable: Mark,
    },
    /// The log has long not confirmed this owner's claim.
    ClaimUnconfirmed {
        /// The time since it did.
        age: Duration,
    },
    /// Workers that an earlier owner used have not reported their runs.
    InheritedRunsUnknown {
        /// The number of these workers.
        workers: usize,
        /// The name of the one that is awaited longest.
        last: String,
        /// For how long it is awaited.
        left: Duration,
    },
    /// The client account of the job has as much running as its cap allows, or the cap is not known yet.
    AccountCap(AccountUse),
    /// Some members of a gang wait and others don't.
    PartialGang {
        /// The number of members that don't wait.
        members: usize,
        /// One of them.
        first: Member,
    },
    /// A run was started, or is being stopped, without an outcome so far.
    CommandUnconfirmed {
        /// The number of such tasks.
        tasks: usize,
        /// One of them.
        first: Member,
    },
    /// No worker of the service is usable.
    NoUsableWorker(Unusable),
    /// Workers have crashed under all of the waiting tasks, and each of them waits for an empty worker or
    /// for the record of its trial.
    Trial {
        /// The number of these tasks.
        tasks: usize,
        /// The number of workers that are held for trials.
        held: usize,
    },
    /// A call to the advisor is in progress.
    AdvisorCall {
        /// The entry that makes the call.
        proxy: AdvisorProxy,
        /// The time since the call was made.
        age: Duration,
        /// The number of workers that it names.
        named: usize,
    },
    /// The last call to the advisor has failed.
    AdvisorPause {
        /// The time until the next call.
        left: Duration,
    },
    /// No entry is free to call the advisor.
    NoIdleEntry,
    /// The advisor permits too few workers.
    NoPermittedWorker(Verdicts),
    /// The permits of workers with free capacity have ended.
    PermitsEnded(Verdicts),
    /// The permitted workers have no room.
    NoRoom(Verdicts),
    /// The capacity is reserved for other steps.
    Reserved {
        /// How many tasks would fit into reserved capacity.
        fits: usize,
    },
    /// None of the other reasons applies.
    Unexplained,
}

/// A task that does not wait for a run.
#[state]
pub struct Member {
    /// The task.
    pub task: Task,
    /// The state of its run, or `done`.
    pub state: &'static str,
    /// The name of the worker of its run.
    pub worker: String,
    /// Whether that worker responds.
    pub is_responding: bool,
}

/// Why the workers that a step could use get no tasks: the numbers of workers by the first cause that
/// applies.
#[state]
#[derive(Default)]
pub struct Unusable {
    /// The directory does not list it, or it drains.
    pub leaving: usize,
    /// It does not respond.
    pub silent: usize,
    /// Its last report could not be decoded.
    pub incomplete: usize,
    /// The record of workers in the log does not contain it.
    pub unrecorded: usize,
    /// Its last runs failed, or it refused the last start.
    pub suspect: usize,
}

/// The advisor's answers on the usable workers, as numbers of waiting tasks that fit there now.
#[state]
#[derive(Default)]
pub struct Verdicts {
    /// On workers with a permit.
    pub permitted: usize,
    /// On workers whose permit has ended.
    pub ended: usize,
    /// On workers that the advisor does not permit.
    pub denied: usize,
    /// On workers without an answer.
    pub unknown: usize,
}

/// A step that waits although it could run.
#[state]
pub struct Wait {
    /// The step.
    pub step: Step,
    /// For how long it has waited.
    pub waited: Duration,
    /// The number of its waiting tasks.
    pub tasks: usize,
    /// How many of these fit on the usable workers, whoever may use them.
    pub fits: usize,
    /// What it waits for.
    pub reason: Reason,
}

/// Capacity that is used by runs without an outcome.
#[state]
#[derive(Default)]
pub struct Unsettled {
    /// The number of runs whose start or stop has long had no outcome.
    pub runs: usize,
    /// The processors that they use, in thousandths of a core.
    pub cpu_millis: u64,
    /// The number of runs whose need is not known: each keeps a whole worker from new tasks.
    pub unknown_needs: usize,
}

impl Reason {
    /// Returns the name that log lines and metrics use.
    pub fn name(&self) -> &'static str {
        match self {
            Reason::RecordNotInLog { .. } => "record_not_in_log",
            Reason::ClaimUnconfirmed { .. } => "claim_unconfirmed",
            Reason::InheritedRunsUnknown { .. } => "inherited_runs_unknown",
            Reason::AccountCap(_) => "account_cap",
            Reason::PartialGang { .. } => "partial_gang",
            Reason::CommandUnconfirmed { .. } => "command_unconfirmed",
            Reason::NoUsableWorker(_) => "no_usable_worker",
            Reason::Trial { .. } => "trial",
            Reason::AdvisorCall { .. } => "advisor_call",
            Reason::AdvisorPause { .. } => "advisor_pause",
            Reason::NoIdleEntry => "no_idle_entry",
            Reason::NoPermittedWorker(_) => "no_permitted_worker",
            Reason::PermitsEnded(_) => "permits_ended",
            Reason::NoRoom(_) => "no_room",
            Reason::Reserved { .. } => "reserved",
            Reason::Unexplained => "unexplained",
        }
    }
}

/// Writes what the reason is based on.
impl fmt::Display for Reason {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::RecordNotInLog { mark, durable } => {
                write!(out, "mark={} durable={}", mark.0, durable.0)
            }
            Reason::ClaimUnconfirmed { age } => write!(out, "age_ms={}", age.as_millis()),
            Reason::InheritedRunsUnknown {
                workers,
                last,
                left,
            } => write!(
                out,
                "workers={workers} last={last} left_ms={}",
                left.as_millis()
            ),
            Reason::AccountCap(account) => write!(out, "{account}"),
            Reason::PartialGang { members, first } => write!(out, "members={members} {first}"),
            Reason::CommandUnconfirmed { tasks, first } => write!(out, "tasks={tasks} {first}"),
            Reason::NoUsableWorker(unusable) => write!(
                out,
                "leaving={} silent={} incomplete={} unrecorded={} suspect={}",
                unusable.leaving,
                unusable.silent,
                unusable.incomplete,
                unusable.unrecorded,
                unusable.suspect
            ),
            Reason::Trial { tasks, held } => write!(out, "tasks={tasks} held={held}"),
            Reason::AdvisorCall { proxy, age, named } => write!(
                out,
                "asker={} age_ms={} named={named}",
                proxy.0,
                age.as_millis()
            ),
            Reason::AdvisorPause { left } => write!(out, "left_ms={}", left.as_millis()),
            Reason::NoPermittedWorker(verdicts)
            | Reason::PermitsEnded(verdicts)
            | Reason::NoRoom(verdicts) => write!(
                out,
                "permitted={} ended={} denied={} unknown={}",
                verdicts.permitted, verdicts.ended, verdicts.denied, verdicts.unknown
            ),
            Reason::Reserved { fits } => write!(out, "fits={fits}"),
            Reason::NoIdleEntry | Reason::Unexplained => Ok(()),
        }
    }
}

impl fmt::Display for Member {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Member {
            task,
            state,
            worker,
            is_responding,
        } = self;
        write!(
            out,
            "task={task} state={state} worker={worker} responding={is_responding}"
        )
    }
}

/// A worker that may run a step as far as its service and labels go.
struct UsableWorker {
    key: Worker,
    free: Amount,
    /// How many more tasks of the step may be placed there.
    max_tasks: usize,
}

/// The usable workers that may run a step.
struct Usable {
    workers: Vec<UsableWorker>,
    need: Amount,
    /// More tasks than this need not be counted.
    waiting: usize,
}

impl Usable {
    /// Returns how many tasks fit on the workers for which `is_counted` holds.
    fn fits(&self, is_counted: impl Fn(Worker) -> bool) -> usize {
        self.fits_beside(&Reserved::default(), is_counted)
    }

    /// Returns the same without the capacity in `reserved`.
    fn fits_beside(&self, reserved: &Reserved, is_counted: impl Fn(Worker) -> bool) -> usize {
        let mut fits = 0;
        for worker in &self.workers {
            if !is_counted(worker.key) {
                continue;
            }
            let mut free = worker.free - reserved.get(&worker.key).copied().unwrap_or_default();
            let mut max_tasks = worker.max_tasks.min(self.waiting - fits);
            while max_tasks > 0 && self.need.fits(free) {
                free -= self.need;
                max_tasks -= 1;
                fits += 1;
            }
        }
        fits
    }
}

impl Scheduler {
    /// Returns the steps that have waited for long although the usable workers have room for them, or
    /// without any usable worker; the longest waits come first.
    pub fn waits(&self, now: Instant) -> Vec<Wait> {
        let mut waiting: Vec<(Instant, Step)> = self
            .ready
            .iter()
            .filter_map(|&id| {
                let since = self.jobs.get(&id.job)?.step(id)?.waiting_since?;
                (now.since(since) >= MIN_WAIT).then_some((since, id))
            })
            .collect();
        waiting.sort_unstable();
        let mut waits: Vec<Wait> = waiting
            .into_iter()
            .take(MAX_EXPLAINED)
            .filter_map(|(since, id)| self.explain(id, since, now))
            .collect();
        waits.extend(self.unconfirmed(now));
        waits.sort_by_key(|wait| (Reverse(wait.waited), wait.step));
        waits
    }

    /// Explains the wait of a ready step; `None` when it waits for capacity only.
    pub(super) fn explain(&self, id: Step, since: Instant, now: Instant) -> Option<Wait> {
        let job = self.jobs.get(&id.job)?;
        let spec = job.spec.steps.get(usize::from(id.index))?;
        let step = job.step(id)?;
        let usable = self.usable(id, job, spec, step.waiting, now);
        let needed = if spec.gang { step.waiting } else { 1 };
        let fits = usable.fits(|_| true);
        if fits < needed && !usable.workers.is_empty() {
            return None;
        }
        Some(Wait {
            step: id,
            waited: now.since(since),
            tasks: step.waiting,
            fits,
            reason: self.reason(id, job, spec, step, &usable, now),
        })
    }

    fn usable(
        &self,
        id: Step,
        job: &Job,
        spec: &spec::Step,
        waiting: usize,
        now: Instant,
    ) -> Usable {
        let workers = self.workers.iter().filter(|(_, worker)| {
            may_run(worker, job, spec)
                && worker.is_usable()
                && worker.history.allows_run(now, worker.attempts.len())
        });
        let workers = workers.map(|(key, worker)| UsableWorker {
            key,
            free: worker.free(),
            max_tasks: match spec.max_per_worker {
                _ if worker.history.is_suspect(now) => 1,
                Some(max) => usize::from(max).saturating_sub(worker.tasks_of(id)),
                None => usize::MAX,
            },
        });
        Usable {
            workers: workers.collect(),
            need: spec.capacity_need(),
            waiting,
        }
    }

    fn reason(
        &self,
        id: Step,
        job: &Job,
        spec: &spec::Step,
        step: &StepState,
        usable: &Usable,
        now: Instant,
    ) -> Reason {
        if !job.is_durable {
            return Reason::RecordNotInLog {
                mark: job.accepted_mark,
                durable: self.durable,
            };
        }
        if !self.is_claim_confirmed(now) || !self.is_pause_confirmed() {
            return Reason::ClaimUnconfirmed {
                age: now.since(self.claim_confirmed_at),
            };
        }
        if job.is_inherited {
            let unknown = self.unknown_inherited_workers();
            if let Some((last, until)) = unknown.max_by_key(|&(_, until)| until) {
                return Reason::InheritedRunsUnknown {
                    workers: self.unknown_inherited_workers().count(),
                    last: last.to_owned(),
                    left: until.since(now),
                };
            }
        }
        if let Some(reason) = self.partial_gang(id, spec, step) {
            return reason;
        }
        if let Some(account) = self.account_at_cap(job, spec, now) {
            return Reason::AccountCap(account);
        }
        if usable.workers.is_empty() {
            return Reason::NoUsableWorker(self.count_unusable(job, spec));
        }
        let waiting = step.waiting_tasks().into_iter();
        let mut waiting = waiting.map(|index| Task { step: id, index });
        if waiting.all(|task| self.is_suspect(task)) {
            return Reason::Trial {
                tasks: step.waiting,
                held: self.trial_holds.len(),
            };
        }
        let needed = if spec.gang { step.waiting } else { 1 };
        if job.queue.advice.is_none() {
            return if usable.fits_beside(&self.reserved, |_| true) >= needed {
                Reason::Unexplained
            } else {
                Reason::Reserved {
                    fits: usable.fits(|_| true),
                }
            };
        }
        let permits = &step.permits;
        let has_permit = |worker| permits.usable(worker, now).is_some();
        let verdicts = Verdicts {
            permitted: usable.fits(has_permit),
            ended: usable
                .fits(|worker| permits.verdict(worker) == Some(true) && !has_permit(worker)),
            denied: usable.fits(|worker| permits.verdict(worker) == Some(false)),
            unknown: usable.fits(|worker| permits.verdict(worker).is_none()),
        };
        if verdicts.permitted >= needed {
            return if usable.fits_beside(&self.reserved, has_permit) >= needed {
                Reason::Unexplained
            } else {
                Reason::Reserved {
                    fits: verdicts.permitted,
                }
            };
        }
        let call = permits
            .call
            .and_then(|number| self.pending_calls.get(number));
        if let Some(call) = call {
            return Reason::AdvisorCall {
                proxy: call.proxy,
                age: now.since(call.since),
                named: call.named,
            };
        }
        if permits.not_before > now {
            return Reason::AdvisorPause {
                left: permits.not_before.since(now),
            };
        }
        if !self.may_call_advisor(id, now) {
            return Reason::NoIdleEntry;
        }
        if verdicts.permitted + verdicts.ended >= needed {
            Reason::PermitsEnded(verdicts)
        } else if permits.has_permitted() {
            Reason::NoRoom(verdicts)
        } else {
            Reason::NoPermittedWorker(verdicts)
        }
    }

    fn partial_gang(&self, id: Step, spec: &spec::Step, step: &StepState) -> Option<Reason> {
        if !spec.gang || step.waiting == step.tasks.len() {
            return None;
        }
        let mut members = (0..).zip(&step.tasks).filter_map(|(index, task)| {
            let task_id = Task { step: id, index };
            match task.state {
                TaskState::Waiting => None,
                TaskState::Active { worker, run } => Some(self.member(task_id, worker, run)),
                TaskState::Done => Some(Member {
                    task: task_id,
                    state: "done",
                    worker: String::new(),
                    is_responding: false,
                }),
            }
        });
        let first = members.next()?;
        Some(Reason::PartialGang {
            members: members.count() + 1,
            first,
        })
    }

    fn member(&self, task: Task, key: Worker, run: super::id::Run) -> Member {
        let worker = self.workers.get(key);
        let attempt = worker.and_then(|worker| worker.attempts.get(&(task, run)));
        Member {
            task,
            state: attempt.map_or("lost", |attempt| attempt.state.name()),
            worker: worker.map_or_else(String::new, |worker| worker.entry.name.clone()),
            is_responding: worker.is_some_and(|worker| worker.is_responding),
        }
    }

    /// Returns steps without waiting tasks, some of whose runs have long been without an outcome of
    /// their start or stop.
    fn unconfirmed(&self, now: Instant) -> Vec<Wait> {
        let mut found: Vec<(Step, Instant, Member)> = Vec::new();
        for (key, worker) in &self.workers {
            for (&(task, run), attempt) in &worker.attempts {
                let is_unconfirmed = attempt.state != State::Running;
                let is_active = self.jobs.get(&task.step.job).is_some_and(|job| {
                    job.task(task)
                        .is_some_and(|task| task.state == TaskState::Active { worker: key, run })
                });
                if is_unconfirmed
                    && is_active
                    && !self.ready.contains(&task.step)
                    && now.since(attempt.since) >= MIN_WAIT
                {
                    found.push((task.step, attempt.since, self.member(task, key, run)));
                }
            }
        }
        found.sort_unstable_by_key(|(step, since, member)| (*since, *step, member.task));
        let mut seen = HashSet::new();
        let firsts: Vec<&(Step, Instant, Member)> = found
            .iter()
            .filter(|(step, ..)| seen.insert(*step))
            .collect();
        let waits = firsts.into_iter().map(|(step, since, first)| {
            let tasks = found.iter().filter(|(other, ..)| other == step).count();
            Wait {
                step: *step,
                waited: now.since(*since),
                tasks,
                fits: 0,
                reason: Reason::CommandUnconfirmed {
                    tasks,
                    first: first.clone(),
                },
            }
        });
        waits.collect()
    }

    /// Returns the capacity that is used by runs that may not be there.
    pub fn unsettled(&self, now: Instant) -> Unsettled {
        let mut unsettled = Unsettled::default();
        let attempts = self
            .workers
            .values()
            .flat_map(|worker| worker.attempts.values());
        for attempt in attempts {
            unsettled.unknown_needs += usize::from(attempt.need.is_none());
            if attempt.state != State::Running && now.since(attempt.since) >= MIN_WAIT {
                unsettled.runs += 1;
                unsettled.cpu_millis += attempt.need.unwrap_or_default().cpu_millis;
            }
        }
        unsettled
    }

    fn count_unusable(&self, job: &Job, spec: &spec::Step) -> Unusable {
        let mut unusable = Unusable::default();
        let workers = self.workers.values();
        for worker in workers.filter(|worker| may_run(worker, job, spec)) {
            let count = if worker.is_leaving() {
                &mut unusable.leaving
            } else if !worker.is_responding {
                &mut unusable.silent
            } else if !worker.is_report_complete {
                &mut unusable.incomplete
            } else if !worker.is_recorded {
                &mut unusable.unrecorded
            } else {
                &mut unusable.suspect
            };
            *count += 1;
        }
        unusable
    }
}

/// Whether a worker runs steps of this service and has the required label.
fn may_run(worker: &WorkerState, job: &Job, spec: &spec::Step) -> bool {
    let label = spec.label.as_ref();
    worker.entry.service == job.queue.service
        && label.is_none_or(|label| worker.entry.labels.contains(label))
}
