//! Explains where a job would go now, without accepting it.
//!
//! A copy of the scheduler decides, with the code that decides on real jobs, so that an explanation cannot
//! differ from the decision. The copy is dropped, and nothing that it puts out is carried out. A step that
//! needs permits is placed a second time as if the advisor permitted every worker that it would be asked
//! about.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use laburnum_derive::{message, state};

use super::advice::cost;
use super::candidates::{Demand, Isolation, Room, Scope};
use super::id::{Job, Request, Step, Worker};
use super::job::TaskState;
use super::message::{Input, Output};
use super::place::Steps;
use super::plan::{self, Reserved};
use super::pool::{Pool, Pools};
use super::spec::{Queue, Spec};
use super::{Scheduler, Time};
use crate::core::account;
use crate::core::error::Error;
use crate::core::time::Instant;

/// A job that a caller could submit.
#[state]
pub struct Submission {
    /// The queue.
    pub queue: Queue,
    /// The job.
    pub spec: Arc<Spec>,
    /// The client account, if the queue needs a key of one.
    pub account: Option<account::Name>,
}

/// What the owner of a cell would do now with the tasks of a step.
#[message]
pub enum Decision {
    /// Start tasks.
    Start,
    /// Ask the advisor about workers, and start tasks there if they are permitted.
    AskAdvisor {
        /// The number of workers that the call names.
        workers: usize,
    },
    /// Wait for the end of the steps before.
    WaitForSteps,
    /// Wait for capacity.
    WaitForCapacity,
    /// Wait although workers have room.
    Wait {
        /// The reason, as log lines name it.
        reason: String,
        /// What the reason is based on.
        inputs: String,
    },
    /// Nothing: no task waits.
    Nothing,
}

/// The workers of the step's service by the first cause that keeps a further task away, or none.
#[message]
#[derive(Default)]
pub struct WorkerCounts {
    /// A task could start there.
    pub fitting: usize,
    /// The directory does not list it, or it drains.
    pub leaving: usize,
    /// It does not respond, or has not reported all of its runs.
    pub silent: usize,
    /// Its last runs failed, or it refused the last start.
    pub suspect: usize,
    /// It lacks the label.
    pub other_label: usize,
    /// The advisor does not permit it.
    pub denied: usize,
    /// It has too little free capacity.
    pub full: usize,
    /// It has as many tasks of the step as it may have, or its capacity is kept for others.
    pub kept: usize,
}

/// What would happen to a step.
#[message]
pub struct StepOutlook {
    /// The index of the step.
    pub index: u16,
    /// The number of its tasks that wait.
    pub waiting: usize,
    /// The number of its tasks that run.
    pub running: usize,
    /// The number of its tasks that are done.
    pub done: usize,
    /// What the owner would do now.
    pub decision: Decision,
    /// How many tasks would start on each worker.
    pub placements: BTreeMap<String, usize>,
    /// The workers of the step's service.
    pub workers: WorkerCounts,
    /// The time until the tasks start, estimated from the runs that are under way; `None` if no estimate is
    /// possible.
    pub starts_in: Option<Duration>,
    /// The time until the step ends, if its tasks run as long as the client estimates.
    pub ends_in: Option<Duration>,
}

/// Where a job would go now, and why.
#[message]
pub struct Explanation {
    /// Why the job would be refused; `None` if it would be accepted.
    pub refusal: Option<Error>,
    /// The steps, by index.
    pub steps: Vec<StepOutlook>,
    /// The ready steps that precede the job's first one.
    pub steps_ahead: usize,
    /// The processors that the waiting tasks of these need, in thousandths of a core.
    pub cpu_millis_ahead: u64,
    /// The time since the log last confirmed that this owner has no successor.
    pub claim_age: Duration,
    /// The time since the usable worker that has been silent longest reported its runs.
    pub oldest_report: Duration,
    /// Whether the log takes records.
    pub is_log_available: bool,
}

impl Scheduler {
    /// Explains what would happen to a job if it were submitted now.
    pub fn explain_submission(&self, time: Time, submission: &Submission) -> Explanation {
        let mut cell = self.clone();
        let id = cell.unused_job();
        let mut out = Vec::new();
        let input = Input::Submit {
            request: Request(u64::MAX),
            job: id,
            queue: submission.queue.clone(),
            endpoint: None,
            spec: Arc::clone(&submission.spec),
            account: submission.account.clone(),
            at: time.stamp,
        };
        cell.step(time, input, &mut out);
        let refusal = out.into_iter().find_map(|output| match output {
            Output::Answer { answer, .. } => answer.err(),
            _ => None,
        });
        if refusal.is_some() {
            return Explanation {
                refusal,
                ..self.beliefs(time.now)
            };
        }
        if let Some(job) = cell.jobs.get_mut(&id) {
            job.is_durable = true;
        }
        cell.explain_placement(id, time)
    }

    /// Explains what would happen now to an accepted job; `None` for a job that is not known or has ended.
    pub fn explain_job(&self, time: Time, id: Job) -> Option<Explanation> {
        let job = self.jobs.get(&id)?;
        if job.phase.is_final() {
            return None;
        }
        Some(self.clone().explain_placement(id, time))
    }

    fn unused_job(&self) -> Job {
        let mut ids = (0..=u64::MAX).rev().map(Job);
        ids.find(|id| !self.jobs.contains_key(id))
            .unwrap_or(Job(u64::MAX))
    }

    /// Returns an explanation without steps.
    fn beliefs(&self, now: Instant) -> Explanation {
        let usable = self.workers.values().filter(|worker| worker.is_usable());
        let reports = usable.map(|worker| now.since(worker.answered));
        Explanation {
            refusal: None,
            steps: Vec::new(),
            steps_ahead: 0,
            cpu_millis_ahead: 0,
            claim_age: now.since(self.claim_confirmed_at),
            oldest_report: reports.max().unwrap_or_default(),
            is_log_available: self.is_log_reachable,
        }
    }

    /// Places all waiting tasks of this copy and explains the result for a job.
    fn explain_placement(mut self, id: Job, time: Time) -> Explanation {
        let mut explanation = self.beliefs(time.now);
        (explanation.steps_ahead, explanation.cpu_millis_ahead) = self.ahead_of(id, time);
        let mut out = Vec::new();
        self.place(time, Steps::All, &mut out);
        let calls = self.answer_calls(id, &out, time);
        if !calls.is_empty() {
            self.place(time, Steps::All, &mut out);
        }
        let steps = self.jobs.get(&id).map_or(0, |job| job.spec.steps.len());
        for index in 0..steps as u16 {
            let outlook = self.outlook(id, index, &out, &calls, &explanation.steps, time);
            explanation.steps.extend(outlook);
        }
        explanation
    }

    /// Answers the calls to the advisor for a job as if all workers were permitted, and returns the number of
    /// workers named for each step.
    fn answer_calls(&mut self, id: Job, out: &[Output], time: Time) -> BTreeMap<Step, usize> {
        let mut named = BTreeMap::new();
        for output in out {
            let Output::CallAdvisor(call) = output else {
                continue;
            };
            if call.step.job != id {
                continue;
            }
            let advice = self.jobs.get(&id).and_then(|job| job.queue.advice);
            let validity = advice.map_or(Duration::ZERO, |advice| {
                advice.validity + cost(&advice, call.workers.len())
            });
            named.insert(call.step, call.workers.len());
            let named_workers = call.workers.iter().filter_map(|&key| self.workers.get(key));
            let allowed = named_workers.map(|worker| (worker.entry.name.clone(), Arc::from("")));
            let allowed = Some(allowed.collect());
            self.advised(time.now, call, allowed, validity);
        }
        named
    }

    /// Returns how many ready steps precede those of a job, and the processors that they need.
    fn ahead_of(&self, id: Job, time: Time) -> (usize, u64) {
        let beyond = self.accounts_beyond_share();
        let ranks = self.ready.iter().filter_map(|&step| {
            let rank = self.rank(step, time)?;
            Some((self.standing(step, &beyond), rank))
        });
        let ranks: Vec<_> = ranks.collect();
        let own = ranks.iter().filter(|(_, rank)| rank.step.job == id).min();
        let ahead = ranks.iter().filter(|rank| Some(*rank) < own);
        let ahead: Vec<_> = ahead.map(|(_, rank)| self.waiting_cpu(rank.step)).collect();
        (ahead.len(), ahead.iter().sum())
    }

    fn outlook(
        &self,
        id: Job,
        index: u16,
        out: &[Output],
        calls: &BTreeMap<Step, usize>,
        earlier: &[StepOutlook],
        time: Time,
    ) -> Option<StepOutlook> {
        let job = self.jobs.get(&id)?;
        let occurrence = job.occurrences.keys().next().copied()?;
        let step_id = Step {
            job: id,
            occurrence,
            index,
        };
        let spec = job.spec.steps.get(usize::from(index))?;
        let step = job.step(step_id)?;
        let mut placements = BTreeMap::new();
        for output in out {
            if let Output::Start { worker, start, .. } = output
                && start.task.step == step_id
            {
                let worker = self.workers.get(*worker)?;
                *placements.entry(worker.entry.name.clone()).or_default() += 1;
            }
        }
        let started: usize = placements.values().sum();
        let decision = if let Some(&workers) = calls.get(&step_id) {
            Decision::AskAdvisor { workers }
        } else if started > 0 {
            Decision::Start
        } else if step.waiting == 0 {
            Decision::Nothing
        } else if !self.ready.contains(&step_id) {
            Decision::WaitForSteps
        } else {
            self.wait_decision(step_id, time.now)
        };
        let starts_in = match decision {
            Decision::Start | Decision::Nothing => Some(Duration::ZERO),
            Decision::AskAdvisor { workers } if started > 0 => {
                let advice = job.queue.advice.as_ref();
                advice.map(|advice| cost(advice, workers))
            }
            Decision::WaitForSteps => spec
                .after
                .iter()
                .map(|&before| earlier.get(usize::from(before))?.ends_in)
                .try_fold(Duration::ZERO, |latest, end| Some(latest.max(end?))),
            _ => self.free_in(step_id, time.now),
        };
        let is_active = |state| matches!(state, TaskState::Active { .. });
        let active = step.tasks.iter().filter(|task| is_active(task.state));
        Some(StepOutlook {
            index,
            waiting: step.waiting + started,
            running: active.count() - started,
            done: step.done,
            decision,
            placements,
            workers: self.count_workers(step_id, time.now),
            starts_in,
            ends_in: starts_in.map(|start| start + spec.estimate),
        })
    }

    fn wait_decision(&self, step: Step, now: Instant) -> Decision {
        let since = self.jobs.get(&step.job).and_then(|job| job.step(step));
        let since = since.and_then(|step| step.waiting_since).unwrap_or(now);
        match self.explain(step, since, now) {
            Some(wait) => Decision::Wait {
                reason: wait.reason.name().to_owned(),
                inputs: wait.reason.to_string(),
            },
            None => Decision::WaitForCapacity,
        }
    }

    fn demand(&self, id: Step, now: Instant) -> Option<Demand> {
        let job = self.jobs.get(&id.job)?;
        let spec = job.spec.steps.get(usize::from(id.index))?;
        Some(Demand {
            step: id,
            waiting: job.step(id)?.waiting_tasks(),
            need: spec.capacity_need(),
            needs_permit: job.queue.advice.is_some(),
            may_start: self.may_start(job, now),
            isolation: Isolation::None,
        })
    }

    /// Returns the time until the capacity for the waiting tasks of a step is expected to be free; `None` if
    /// the workers that may run it cannot hold them.
    fn free_in(&self, id: Step, now: Instant) -> Option<Duration> {
        let demand = self.demand(id, now)?;
        let job = self.jobs.get(&id.job)?;
        let spec = job.spec.steps.get(usize::from(id.index))?;
        let pools = Pools::of(&self.workers, now);
        let scope = Scope {
            pool: pools.get(&job.queue.service)?,
            reserved: &Reserved::default(),
            max_starts: usize::MAX,
        };
        let candidates = self.candidates(&demand, spec, scope, Room::Any, now);
        let slots = self.slots(&candidates, &demand, now);
        let tasks = demand.waiting.len();
        let awaited = plan::capacity_to_await(slots, tasks, demand.need, spec, &candidates);
        awaited.is_sufficient.then(|| awaited.ready_at.since(now))
    }

    fn count_workers(&self, id: Step, now: Instant) -> WorkerCounts {
        let mut counts = WorkerCounts::default();
        let (Some(demand), Some(job)) = (self.demand(id, now), self.jobs.get(&id.job)) else {
            return counts;
        };
        let (Some(spec), Some(step)) = (job.spec.steps.get(usize::from(id.index)), job.step(id))
        else {
            return counts;
        };
        let pools = Pools::of(&self.workers, now);
        let none = Pool::default();
        let scope = Scope {
            pool: pools.get(&job.queue.service).unwrap_or(&none),
            reserved: &self.reserved,
            max_starts: usize::MAX,
        };
        let mut fitting = self.candidates(&demand, spec, scope, Room::Free, now);
        fitting.extend(self.unasked_candidates(&demand, spec, scope, Room::Free, now));
        let fitting: HashSet<Worker> = fitting.iter().map(|fitting| fitting.worker).collect();
        for (key, worker) in &self.workers {
            if worker.entry.service != job.queue.service {
                continue;
            }
            let label = spec.label.as_ref();
            let count = if fitting.contains(&key) {
                &mut counts.fitting
            } else if worker.is_leaving() {
                &mut counts.leaving
            } else if !worker.is_usable() {
                &mut counts.silent
            } else if !worker.history.allows_run(now, worker.attempts.len()) {
                &mut counts.suspect
            } else if label.is_some_and(|label| !worker.entry.labels.contains(label)) {
                &mut counts.other_label
            } else if demand.needs_permit && step.permits.verdict(key) == Some(false) {
                &mut counts.denied
            } else if !demand.need.fits(worker.free()) {
                &mut counts.full
            } else {
                &mut counts.kept
            };
            *count += 1;
        }
        counts
    }
}
