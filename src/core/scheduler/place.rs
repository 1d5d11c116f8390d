//! Places waiting tasks on workers.
//!
//! Steps are placed in the order of their [rank](super::order). A gang needs much capacity at the
//! same time, and many small tasks would take all capacity as it becomes free. Therefore the capacity
//! that a gang waits for is reserved: steps that come later in the order cannot use it, unless they
//! are urgent. Tasks are placed by best fit. A gang whose permits are requested keeps the capacity of
//! its plan reserved: otherwise many gangs would request permits that they cannot use when these
//! arrive.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use super::advice::cost;
use super::id::{Run, Step, Task, Worker};
use super::job::{Job, Step as StepState, TaskState};
use super::message::{Output, Start};
use super::order::{self, Rank};
use super::plan::{self, Candidate, Reservation, Reserved, Slot};
use super::worker::{Attempt, State};
use super::{Scheduler, Time, spec};
use crate::core::resource::Amount;
use crate::core::time::Instant;

/// How many gangs may have capacity reserved that is not yet free; more would leave too much of the
/// cell idle.
const MAX_WAITING_GANGS: usize = 3;
/// How many long-running steps may have capacity reserved that is not yet free. A worker that is
/// taken away leaves a few of them without a run.
const MAX_WAITING_LONG_RUNNING: usize = 8;
/// A step that waits longer than this for the capacity of the permitted workers requests permits for
/// further workers.
const LONG_WAIT: Duration = Duration::from_millis(1_500);
/// Permits are requested this long before they are needed, in addition to the time that the call
/// takes. It covers the round trip to the advisor and the time until the next placement.
const RENEWAL_MARGIN: Duration = Duration::from_millis(150);

/// How many steps wait for capacity that was reserved for them at this placement.
#[derive(Default)]
struct Waiting {
    gangs: usize,
    long_running: usize,
}

impl Waiting {
    fn may_reserve(&self, is_long_running: bool) -> bool {
        if is_long_running {
            self.long_running < MAX_WAITING_LONG_RUNNING
        } else {
            self.gangs < MAX_WAITING_GANGS
        }
    }

    fn add(&mut self, is_long_running: bool) {
        if is_long_running {
            self.long_running += 1;
        } else {
            self.gangs += 1;
        }
    }
}

/// The waiting tasks of a step and what they need.
struct Demand {
    step: Step,
    waiting: Vec<u16>,
    /// The capacity that one task needs.
    need: Amount,
    needs_permit: bool,
    /// Whether the job's acceptance is in the log.
    is_durable: bool,
}

impl Scheduler {
    /// Starts the tasks that can be started, in the order of rank.
    pub(super) fn place(&mut self, time: Time, out: &mut Vec<Output>) {
        let are_inherited_runs_known = self.are_inherited_runs_known(time.now);
        let mut ranks: Vec<Rank> = self
            .ready
            .iter()
            .filter_map(|&step| self.rank(step, time))
            .collect();
        ranks.sort_unstable();
        let pools = self.pools(time.now);
        let mut reserved = Reserved::new();
        let mut waiting = Waiting::default();
        for rank in ranks {
            let Some(job) = self.jobs.get(&rank.step.job) else {
                continue;
            };
            if job.is_inherited && !are_inherited_runs_known {
                continue;
            }
            if self.is_blocked(rank.step, time.now) {
                continue;
            }
            let Some(pool) = pools.get(&job.queue.service) else {
                continue;
            };
            let may_reserve = waiting.may_reserve(is_long_running(job, rank.step));
            let mut reservation =
                self.place_step(rank.step, pool, &reserved, may_reserve, time, out);
            if !rank.is_non_urgent && !reserved.is_empty() && self.ready.contains(&rank.step) {
                // An urgent step may use reserved capacity when there is no other.
                let none = Reserved::new();
                reservation = self.place_step(rank.step, pool, &none, may_reserve, time, out);
            }
            let amounts = match reservation {
                Some(Reservation::Planned(amounts)) => amounts,
                Some(Reservation::Wanted(amounts)) => {
                    let job = self.jobs.get(&rank.step.job);
                    waiting.add(job.is_some_and(|job| is_long_running(job, rank.step)));
                    amounts
                }
                None => continue,
            };
            for (worker, amount) in amounts {
                *reserved.entry(worker).or_default() += amount;
            }
        }
        self.held_cpu_millis = reserved
            .iter()
            .filter_map(|(&worker, amount)| Some((self.workers.get(worker)?.free(), amount)))
            .map(|(free, amount)| free.cpu_millis.min(amount.cpu_millis))
            .sum();
    }

    /// Returns the workers on which new tasks may be placed, by service.
    fn pools(&self, now: Instant) -> HashMap<String, Vec<Worker>> {
        let mut pools: HashMap<String, Vec<Worker>> = HashMap::new();
        for (key, worker) in &self.workers {
            if !worker.is_usable() || !worker.history.allows_run(now, worker.attempts.len()) {
                continue;
            }
            match pools.get_mut(&worker.entry.service) {
                Some(pool) => pool.push(key),
                None => {
                    pools.insert(worker.entry.service.clone(), vec![key]);
                }
            }
        }
        pools
    }

    /// Whether a step has to wait for something other than capacity: for an answer of the advisor,
    /// for an entry that can call the advisor, or for the job's acceptance to be in the log.
    fn is_blocked(&self, id: Step, now: Instant) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return true;
        };
        let Some(step) = job.step(id) else {
            return true;
        };
        let has_answer = job.queue.advice.is_none() || !step.permits.workers.is_empty();
        if has_answer {
            return !job.is_durable;
        }
        step.permits.call.is_some() || !self.advisor_proxies.has_idle(now)
    }

    fn rank(&self, step: Step, time: Time) -> Option<Rank> {
        let job = self.jobs.get(&step.job)?;
        let began = match job.spec.due(step.occurrence) {
            Some(due) => time.now - time.stamp.since(due),
            None => job.accepted_at,
        };
        Some(order::rank(job, step, began, time.now))
    }

    /// Starts the tasks of a step that can be started and returns the capacity to reserve for the
    /// step. With `may_reserve`, a gang that does not fit gets a reservation of capacity that is not
    /// yet free.
    fn place_step(
        &mut self,
        id: Step,
        pool: &[Worker],
        reserved: &Reserved,
        may_reserve: bool,
        time: Time,
        out: &mut Vec<Output>,
    ) -> Option<Reservation> {
        let job = self.jobs.get(&id.job)?;
        let spec = Arc::clone(&job.spec);
        let spec = spec.steps.get(usize::from(id.index))?;
        let step = job.step(id)?;
        let waiting = step.waiting_tasks();
        let is_partial_gang = spec.gang && waiting.len() < step.tasks.len();
        if waiting.is_empty() || is_partial_gang {
            return None;
        }
        let demand = Demand {
            step: id,
            waiting,
            need: spec.capacity_need(),
            needs_permit: job.queue.advice.is_some(),
            is_durable: job.is_durable,
        };
        let candidates = self.candidates(&demand, spec, pool, reserved, true, time.now);
        if !spec.gang {
            self.place_singles(&demand, &candidates, time, out);
            if !spec.long_running || !may_reserve {
                return None;
            }
            let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
            let waiting = step.map(StepState::waiting_tasks).unwrap_or_default();
            if waiting.is_empty() {
                return None;
            }
            let demand = Demand { waiting, ..demand };
            let candidates = self.candidates(&demand, spec, pool, reserved, false, time.now);
            return Some(self.reserve_awaited_capacity(&demand, spec, &candidates, time, out));
        }
        let planned = self.place_gang(&demand, spec, &candidates, may_reserve, time, out);
        if planned.is_some() || !may_reserve || !self.ready.contains(&id) {
            return planned;
        }
        let candidates = self.candidates(&demand, spec, pool, reserved, false, time.now);
        Some(self.reserve_awaited_capacity(&demand, spec, &candidates, time, out))
    }

    fn place_singles(
        &mut self,
        demand: &Demand,
        candidates: &[Candidate],
        time: Time,
        out: &mut Vec<Output>,
    ) {
        let plan = plan::single(
            candidates,
            &demand.waiting,
            demand.need,
            demand.needs_permit,
        );
        if demand.is_durable {
            self.start_planned(demand, candidates, &plan, time, out);
        }
        if demand.needs_permit {
            let without_permit = workers_without_permit(candidates, &plan);
            let missing = demand.waiting.len() - plan.len();
            self.request_permits(demand, candidates, &without_permit, missing, time, out);
        }
    }

    fn place_gang(
        &mut self,
        demand: &Demand,
        spec: &spec::Step,
        candidates: &[Candidate],
        may_reserve: bool,
        time: Time,
        out: &mut Vec<Output>,
    ) -> Option<Reservation> {
        let Demand {
            need, needs_permit, ..
        } = *demand;
        let plan = plan::gang(candidates, &demand.waiting, need, spec, needs_permit);
        if !plan.is_empty() {
            let without_permit = if needs_permit {
                workers_without_permit(candidates, &plan)
            } else {
                Vec::new()
            };
            if demand.is_durable && without_permit.is_empty() {
                self.start_planned(demand, candidates, &plan, time, out);
                return None;
            }
            self.request_permits(demand, candidates, &without_permit, 0, time, out);
            return Some(Reservation::Planned(plan::planned_capacity(
                candidates, &plan, need,
            )));
        }
        // The advisor is called only if the gang could start after the answer.
        if !may_reserve && self.could_fit(demand, candidates) {
            let tasks = demand.waiting.len();
            self.request_permits(demand, candidates, &[], tasks, time, out);
        }
        None
    }

    /// Reserves the capacity that will be free first for a gang, and requests permits so that they
    /// arrive by then.
    fn reserve_awaited_capacity(
        &mut self,
        demand: &Demand,
        spec: &spec::Step,
        candidates: &[Candidate],
        time: Time,
        out: &mut Vec<Output>,
    ) -> Reservation {
        let Demand {
            need, needs_permit, ..
        } = *demand;
        let tasks = demand.waiting.len();
        let slots = self.slots(candidates, demand, time.now);
        let awaited = plan::capacity_to_await(slots, tasks, need, spec, candidates);
        if needs_permit {
            let wait = awaited.ready_at.since(time.now);
            let without_permit: Vec<Worker> = awaited
                .amounts
                .keys()
                .filter(|&&worker| !self.has_permit(demand.step, worker, awaited.ready_at))
                .copied()
                .collect();
            let is_soon = awaited.is_sufficient
                && wait <= self.permit_lead_time(demand.step, without_permit.len());
            let without_permit = if is_soon { without_permit } else { Vec::new() };
            // Runs may last longer than they are expected to, so that the capacity always seems to be
            // about to become free.
            let is_wait_short = wait.max(self.waited(demand.step, time.now)) <= LONG_WAIT;
            let missing = if awaited.is_sufficient && is_wait_short {
                0
            } else {
                tasks
            };
            self.request_permits(demand, candidates, &without_permit, missing, time, out);
        }
        Reservation::Wanted(awaited.amounts)
    }

    /// Starts the planned tasks whose workers have a usable permit or need none.
    fn start_planned(
        &mut self,
        demand: &Demand,
        candidates: &[Candidate],
        plan: &[(u16, usize)],
        time: Time,
        out: &mut Vec<Output>,
    ) {
        let ready: Vec<(u16, Worker)> = plan
            .iter()
            .filter(|(_, index)| !demand.needs_permit || candidates[*index].has_permit)
            .map(|&(task, index)| (task, candidates[index].worker))
            .collect();
        self.start_all(demand.step, &ready, demand.need, time, out);
    }

    /// Whether all waiting tasks would fit on the permitted workers and on the share of the other
    /// workers that the advisor is expected to permit.
    fn could_fit(&self, demand: &Demand, candidates: &[Candidate]) -> bool {
        let fitting = |is_permitted: bool| -> usize {
            let of_kind = candidates.iter();
            let of_kind = of_kind.filter(|candidate| candidate.is_permitted == is_permitted);
            of_kind.map(|candidate| candidate.fits(demand.need)).sum()
        };
        let likely = fitting(false) as f64 * self.permitted_share(demand.step);
        fitting(true) + likely as usize >= demand.waiting.len()
    }

    /// Returns how long a step has had waiting tasks that could run.
    fn waited(&self, id: Step, now: Instant) -> Duration {
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        let since = step.and_then(|step| step.waiting_since);
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Whether a permit for a worker can be used at `at`.
    fn has_permit(&self, id: Step, worker: Worker, at: Instant) -> bool {
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        step.is_some_and(|step| step.permits.usable(worker, at).is_some())
    }

    /// Returns how long before its capacity is free a gang should request permits for `workers`
    /// workers.
    fn permit_lead_time(&self, id: Step, workers: usize) -> Duration {
        let job = self.jobs.get(&id.job);
        let advice = job.and_then(|job| job.queue.advice);
        advice.map_or(Duration::ZERO, |advice| cost(&advice, workers)) + RENEWAL_MARGIN
    }

    /// Returns the capacity for tasks on the permitted workers with the times at which it becomes
    /// free, according to the expected ends of the runs there.
    fn slots(&self, candidates: &[Candidate], demand: &Demand, now: Instant) -> Vec<Slot> {
        let mut slots = Vec::new();
        for (index, candidate) in candidates.iter().enumerate() {
            if demand.needs_permit && !candidate.is_permitted {
                continue;
            }
            let Some(worker) = self.workers.get(candidate.worker) else {
                continue;
            };
            let max_tasks = candidate.max_tasks.min(demand.waiting.len());
            let times = worker.availability_times(candidate.free, demand.need, max_tasks, now);
            slots.extend(times.into_iter().map(|at| Slot {
                at,
                candidate: index,
            }));
        }
        slots
    }

    /// Calls the advisor for the workers of a plan without a usable permit and, to place `missing`
    /// further tasks, for workers without an answer.
    fn request_permits(
        &mut self,
        demand: &Demand,
        candidates: &[Candidate],
        without_permit: &[Worker],
        missing: usize,
        time: Time,
        out: &mut Vec<Output>,
    ) {
        if without_permit.is_empty() && missing == 0 {
            return;
        }
        let mut unknown: Vec<&Candidate> = candidates
            .iter()
            .filter(|candidate| !candidate.is_permitted)
            .collect();
        // Workers with capacity for more tasks come first. Among equals, the order differs by step,
        // so that the calls of a burst of steps don't all name the same few workers.
        unknown.sort_by_cached_key(|candidate| {
            (
                candidate.is_remote,
                std::cmp::Reverse(candidate.fits(demand.need).min(missing)),
                step_worker_hash(demand.step, candidate.worker),
            )
        });
        let fitting: usize = unknown
            .iter()
            .map(|candidate| candidate.fits(demand.need))
            .sum();
        let per_worker = (fitting / unknown.len().max(1)).max(1);
        let wanted = missing.div_ceil(per_worker);
        let unknown: Vec<Worker> = unknown.iter().map(|candidate| candidate.worker).collect();
        self.call_advisor(demand.step, without_permit, &unknown, wanted, time, out);
    }

    /// Returns the workers of a pool that may run a step, with their free capacity. With
    /// `only_with_capacity`, workers on which no task fits now are left out.
    fn candidates(
        &self,
        demand: &Demand,
        spec: &spec::Step,
        pool: &[Worker],
        reserved: &Reserved,
        only_with_capacity: bool,
        now: Instant,
    ) -> Vec<Candidate> {
        let id = demand.step;
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        let Some(step) = step else {
            return Vec::new();
        };
        let max_per_worker = spec.max_per_worker.map_or(usize::MAX, usize::from);
        let failed_on: Vec<Worker> = step
            .tasks
            .iter()
            .filter_map(|task| task.failed_on)
            .collect();
        let mut candidates = Vec::new();
        for &key in pool {
            let Some(worker) = self.workers.get(key) else {
                continue;
            };
            let reserved = reserved.get(&key).copied().unwrap_or_default();
            let free = worker.free() - reserved;
            if only_with_capacity && !demand.need.fits(free) {
                continue;
            }
            let verdict = step.permits.verdict(key);
            let lacks_label = spec
                .label
                .as_ref()
                .is_some_and(|label| !worker.entry.labels.contains(label));
            if lacks_label || verdict == Some(false) {
                continue;
            }
            // A suspect worker gets one run at a time, and an earlier step of this placement may have
            // taken it.
            if worker.history.is_suspect(now) && !worker.attempts.is_empty() {
                continue;
            }
            let max_tasks = if worker.history.is_suspect(now) {
                1
            } else if max_per_worker == usize::MAX {
                max_per_worker
            } else {
                max_per_worker.saturating_sub(worker.tasks_of(id))
            };
            candidates.push(Candidate {
                worker: key,
                free,
                capacity: worker.entry.capacity,
                max_tasks,
                has_permit: !demand.needs_permit || step.permits.usable(key, now).is_some(),
                is_permitted: verdict.is_some(),
                is_remote: spec.data_rack.is_some() && spec.data_rack != worker.entry.rack,
                has_failed: failed_on.contains(&key),
                rack: worker.rack.clone(),
            });
        }
        candidates
    }

    fn start_all(
        &mut self,
        id: Step,
        placements: &[(u16, Worker)],
        need: Amount,
        time: Time,
        out: &mut Vec<Output>,
    ) {
        if placements.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let run = job.next_run();
        for &(index, worker) in placements {
            self.start(Task { step: id, index }, run, worker, need, time.now, out);
        }
        self.refresh_ready(id.job, time.now);
    }

    fn start(
        &mut self,
        task: Task,
        run: Run,
        key: Worker,
        need: Amount,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let lease = self.rules.lease;
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let Some(deadline_ms) = worker.extend(now, lease) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let payload = Arc::clone(&job.payload);
        let spec = Arc::clone(&job.spec);
        let spec = &spec.steps[usize::from(task.step.index)];
        let Some(step) = job.step_mut(task.step) else {
            return;
        };
        let permit = step.permits.usable(key, now).cloned();
        let checkpoint_task = if spec.gang {
            0
        } else {
            usize::from(task.index)
        };
        let checkpoint = step.tasks[checkpoint_task].checkpoint.as_ref();
        let checkpoint = checkpoint.map(|checkpoint| Arc::clone(&checkpoint.value));
        step.set(task.index, TaskState::Active { worker: key, run });
        let attempt = Attempt {
            need: Some(need),
            state: State::Starting,
            since: now,
            started: now,
            estimate: spec.estimate,
            stop_sent: None,
            stop_answered: None,
            is_confirmed: false,
            percent: 0,
            reported_at: now,
        };
        worker.insert(task, run, attempt);
        let account = worker.account(now);
        out.push(Output::Start {
            worker: key,
            account,
            start: Start {
                task,
                run,
                payload,
                checkpoint,
                permit,
                deadline_ms,
            },
        });
    }
}

fn is_long_running(job: &Job, id: Step) -> bool {
    let spec = job.spec.steps.get(usize::from(id.index));
    spec.is_some_and(|spec| spec.long_running)
}

/// Returns the planned workers without a permit that can be used now.
fn workers_without_permit(candidates: &[Candidate], plan: &[(u16, usize)]) -> Vec<Worker> {
    let mut without_permit: Vec<Worker> = plan
        .iter()
        .filter(|(_, index)| !candidates[*index].has_permit)
        .map(|(_, index)| candidates[*index].worker)
        .collect();
    without_permit.sort_unstable();
    without_permit.dedup();
    without_permit
}

/// Returns a hash by which workers are ordered differently for each step.
fn step_worker_hash(step: Step, worker: Worker) -> u64 {
    let mut hasher = DefaultHasher::new();
    (step.job.0, step.index, worker).hash(&mut hasher);
    hasher.finish()
}
