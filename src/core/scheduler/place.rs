//! Places waiting tasks on workers.
//!
//! Steps are placed in the order of their [rank](super::order). A gang needs much capacity at the
//! same time, and many small tasks would take all capacity as it becomes free. Therefore the capacity
//! that a gang waits for is reserved: steps that come later in the order cannot use it, unless they
//! are urgent or end before the gang can start. Tasks are placed by best fit. A gang whose permits are
//! requested keeps the capacity of its plan reserved: otherwise many gangs would request permits that
//! they cannot use when these arrive.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use super::advice::{MAX_NAMED, cost};
use super::candidates::{Demand, Isolation, Room, Scope};
use super::id::{Run, Step, Task, Worker};
use super::job::{Job, Step as StepState, TaskState};
use super::message::{Output, Start};
use super::order::{self, Rank};
use super::plan::{self, Awaited, Candidate, Reservation, Reserved, Slot};
use super::pool::Pools;
use super::share::{self, Standing};
use super::worker::{Attempt, State};
use super::{Scheduler, Time, spec};
use crate::core::resource::Amount;
use crate::core::time::Instant;

/// This many gangs may have capacity reserved that is not yet free, however large they are.
const MIN_WAITING_GANGS: usize = 3;
/// Further gangs may reserve capacity until those that do need this share of the cell's processors. A
/// fixed number of gangs would let a large cell start hardly any of them after a burst, and a larger
/// share would leave too much of the cell idle.
const MAX_AWAITED_PERCENT: u64 = 15;
/// How many long-running steps may have capacity reserved that is not yet free. A worker that is
/// taken away leaves a few of them without a run.
const MAX_WAITING_LONG_RUNNING: usize = 8;
/// Steps that end in time may use the capacity reserved for a gang until the gang has waited this long:
/// runs may last longer than estimated, and each of these would delay it.
const MAX_PASSED: Duration = Duration::from_secs(10);
/// A step that waits longer than this for the capacity of the permitted workers requests permits for
/// further workers.
const LONG_WAIT: Duration = Duration::from_millis(1_500);
/// A gang that waits for capacity requests permits for this many times the workers that it needs. With
/// no choice it would wait for the slowest of as many runs as it has tasks.
const GANG_CHOICE: usize = 2;
/// Permits are requested this long before they are needed, in addition to the time that the call
/// takes. It covers the round trip to the advisor and the time until the next placement.
const RENEWAL_MARGIN: Duration = Duration::from_millis(150);
/// Permits for tasks of inherited jobs are requested this long before the leases of an earlier owner
/// have ended: a long call is answered by then, and its permits are still valid.
const INHERITED_LEAD: Duration = Duration::from_millis(1_000);

/// A spare permit that ends within this span is renewed with the others.
const SPARE_SPAN: Duration = Duration::from_millis(1_000);
/// A renewal for a gang or a long-running step names at least this many spare workers, if there are
/// that many.
const MIN_SPARES: usize = 10;

/// The steps that wait for capacity that was reserved for them at this placement.
#[derive(Default)]
struct Waiting {
    gangs: usize,
    /// The processors that the gangs need, in thousandths of a core.
    gang_cpu_millis: u64,
    long_running: usize,
}

impl Waiting {
    fn may_reserve(&self, is_long_running: bool, cell_cpu_millis: u64) -> bool {
        if is_long_running {
            return self.long_running < MAX_WAITING_LONG_RUNNING;
        }
        self.gangs < MIN_WAITING_GANGS
            || self.gang_cpu_millis.saturating_mul(100) < cell_cpu_millis * MAX_AWAITED_PERCENT
    }

    fn add(&mut self, is_long_running: bool, cpu_millis: u64) {
        if is_long_running {
            self.long_running += 1;
        } else {
            self.gangs += 1;
            self.gang_cpu_millis = self.gang_cpu_millis.saturating_add(cpu_millis);
        }
    }
}

/// Which ready steps a placement visits.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Steps {
    /// All steps.
    All,
    /// The urgent ones, which cannot wait for the next placement of all steps.
    Urgent,
}

impl Scheduler {
    /// Starts the tasks of `steps` that can be started, in the order of rank.
    pub(super) fn place(&mut self, time: Time, steps: Steps, out: &mut Vec<Output>) {
        self.inherited_known_at = self.inherited_runs_known_at(time.now);
        let beyond = self.accounts_beyond_share();
        let mut ranks: Vec<(Standing, Rank)> = self
            .ready
            .iter()
            .filter_map(|&step| Some((self.standing(step, &beyond), self.rank(step, time)?)))
            .filter(|(standing, rank)| steps == Steps::All || is_urgent(*standing, rank))
            .collect();
        if ranks.is_empty() && steps == Steps::Urgent {
            return;
        }
        ranks.sort_unstable();
        self.work.count_placement(steps == Steps::Urgent);
        self.release_holds();
        self.count_accounts(time, steps);
        self.refresh_pools(time.now);
        // The pools don't change during a placement.
        let pools = std::mem::take(&mut self.pools);
        self.place_ranked(ranks, &pools, time, steps, out);
        self.pools = pools;
    }

    /// Brings the pools up to date.
    fn refresh_pools(&mut self, now: Instant) {
        let changed = self.workers.take_changed();
        let looked_at = self.pools.refresh(&self.workers, &changed, now);
        self.work.count_workers(looked_at);
        debug_assert!(
            self.pools.is_same(&Pools::of(&self.workers, now)),
            "a worker has changed without a refresh of its pool"
        );
    }

    /// Starts the tasks that can be started of the steps with these ranks.
    fn place_ranked(
        &mut self,
        ranks: Vec<(Standing, Rank)>,
        pools: &Pools,
        time: Time,
        steps: Steps,
        out: &mut Vec<Output>,
    ) {
        let cell_cpu_millis = pools.cpu_millis();
        let mut reserved = match steps {
            Steps::All => Reserved::default(),
            Steps::Urgent => self.reserved.clone(),
        };
        let mut waiting = Waiting::default();
        let mut awaited: Vec<Awaited> = Vec::new();
        let mut unplaced = share::Waiting::default();
        for (standing, rank) in ranks {
            self.work.count_step();
            let Some(job) = self.jobs.get(&rank.step.job) else {
                continue;
            };
            if job.is_inherited && time.now + INHERITED_LEAD < self.inherited_known_at {
                continue;
            }
            let due = job.spec.due(rank.step.occurrence);
            if due.is_some_and(|due| due > time.stamp) {
                continue;
            }
            if self.is_blocked(rank.step, time.now) {
                self.reserve_held(rank.step, &mut reserved);
                continue;
            }
            let Some(pool) = pools.get(&job.queue.service) else {
                continue;
            };
            let is_urgent = is_urgent(standing, &rank);
            let max_starts = self.startable_tasks(rank.step, is_urgent);
            if max_starts == 0 {
                if steps == Steps::All {
                    self.count_capped(rank.step);
                }
                continue;
            }
            let Some(job) = self.jobs.get(&rank.step.job) else {
                continue;
            };
            let is_long_running = is_long_running(job, rank.step);
            let spare = if is_long_running {
                None
            } else {
                without_later(&reserved, &awaited, expected_end(job, rank.step, time.now))
            };
            let scope = Scope {
                pool,
                reserved: spare.as_ref().unwrap_or(&reserved),
                max_starts,
            };
            let may_reserve = waiting.may_reserve(is_long_running, cell_cpu_millis);
            let mut reservation = self.place_step(rank.step, scope, may_reserve, time, out);
            if is_urgent && !reserved.is_empty() && self.ready.contains(&rank.step) {
                // An urgent step may use reserved capacity when there is no other.
                let scope = Scope {
                    pool,
                    reserved: &Reserved::default(),
                    max_starts: self.startable_tasks(rank.step, true),
                };
                reservation = self.place_step(rank.step, scope, may_reserve, time, out);
            }
            self.count_waiting(rank.step, max_starts, &mut unplaced);
            self.reserve_held(rank.step, &mut reserved);
            let amounts = match reservation {
                Some(Reservation::Planned(amounts)) => amounts,
                Some(Reservation::Wanted(wanted)) => {
                    waiting.add(is_long_running, self.waiting_cpu(rank.step));
                    let amounts = wanted.amounts.clone();
                    if !is_long_running && self.waited(rank.step, time.now) < MAX_PASSED {
                        awaited.push(wanted);
                    }
                    amounts
                }
                None => continue,
            };
            self.hold_account(rank.step);
            add_reserved(&mut reserved, &amounts);
        }
        if steps == Steps::Urgent {
            return;
        }
        self.note_fullness(&unplaced);
        self.held_cpu_millis = reserved
            .iter()
            .filter_map(|(&worker, amount)| Some((self.workers.get(worker)?.free(), amount)))
            .map(|(free, amount)| free.cpu_millis.min(amount.cpu_millis))
            .sum();
        self.reserved = reserved;
    }

    /// Adds what is kept for a step until the advisor answers.
    fn reserve_held(&self, step: Step, reserved: &mut Reserved) {
        if let Some(held) = self.held_for_call(step) {
            add_reserved(reserved, held);
        }
    }

    /// Whether a step has to wait for something other than capacity: for an answer of the advisor,
    /// for an entry that can call the advisor, or until a start is safe.
    fn is_blocked(&self, id: Step, now: Instant) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return true;
        };
        let Some(step) = job.step(id) else {
            return true;
        };
        let has_answer = job.queue.advice.is_none() || !step.permits.workers.is_empty();
        if has_answer {
            return !self.may_start(job, now);
        }
        !self.may_call_advisor(id, now)
    }

    /// Whether tasks of a job may be started: its acceptance is in the log, no later owner may have
    /// started them, and every run that an earlier owner may have started is known or has ended.
    pub(super) fn may_start(&self, job: &Job, now: Instant) -> bool {
        job.is_durable
            && self.is_claim_confirmed(now)
            && self.is_pause_confirmed()
            && (!job.is_inherited || now >= self.inherited_known_at)
    }

    pub(super) fn rank(&self, step: Step, time: Time) -> Option<Rank> {
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
        scope: Scope<'_>,
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
        let is_suspect =
            |index: &u16| !spec.gang && step.tasks[usize::from(*index)].crashes.is_suspect();
        let (mut suspects, mut waiting): (Vec<u16>, Vec<u16>) =
            waiting.into_iter().partition(is_suspect);
        waiting.truncate(scope.max_starts);
        suspects.truncate(scope.max_starts - waiting.len());
        let demand = Demand {
            step: id,
            waiting,
            need: spec.capacity_need(),
            needs_permit: job.queue.advice.is_some(),
            may_start: self.may_start(job, time.now),
            isolation: Isolation::None,
        };
        if spec.gang {
            let task = Task { step: id, index: 0 };
            let demand = Demand {
                isolation: self.isolation(task, demand.may_start, time.now),
                ..demand
            };
            let planned = self.place_gang(&demand, spec, scope, may_reserve, time, out);
            let is_isolated = demand.isolation == Isolation::Empty;
            if planned.is_some() || is_isolated || !may_reserve || !self.ready.contains(&id) {
                return planned;
            }
            return self.reserve_awaited_capacity(&demand, spec, scope, time, out);
        }
        self.place_singles(&demand, spec, scope, time, out);
        self.place_suspects(&demand, &suspects, spec, scope, time, out);
        if !spec.long_running || !may_reserve {
            return None;
        }
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        let mut waiting = step.map(StepState::waiting_tasks).unwrap_or_default();
        waiting.retain(|index| demand.waiting.contains(index));
        if waiting.is_empty() {
            return None;
        }
        let demand = Demand { waiting, ..demand };
        self.reserve_awaited_capacity(&demand, spec, scope, time, out)
    }

    pub(super) fn place_singles(
        &mut self,
        demand: &Demand,
        spec: &spec::Step,
        scope: Scope<'_>,
        time: Time,
        out: &mut Vec<Output>,
    ) {
        let candidates = self.candidates(demand, spec, scope, Room::Free, time.now);
        let plan = plan::single(&candidates, &demand.waiting, demand.need);
        if demand.may_start {
            let granted = self.granted_plan(demand, &plan, time, out);
            self.start_planned(demand, &candidates, &granted, time, out);
        }
        if demand.needs_permit {
            let without_permit = workers_without_permit(&candidates, &plan);
            let missing = demand.waiting.len() - plan.len();
            let unknown = if missing > 0 {
                self.unknown_candidates(demand, spec, scope, Room::Free, time.now)
            } else {
                Vec::new()
            };
            let has_unknown = !unknown.is_empty();
            let renewed = if spec.long_running && !without_permit.is_empty() {
                // By the time of the answer, shorter tasks may have taken the capacity of the plan.
                let any = self.candidates(demand, spec, scope, Room::Any, time.now);
                self.with_spares(demand, without_permit, &any, time.now)
            } else {
                without_permit
            };
            self.request_permits(demand, &renewed, &unknown, missing, time, out);
            // Without a call, the denials stay as they are, and a long queue need not visit the workers.
            if missing > 0
                && !has_unknown
                && self.may_call_advisor(demand.step, time.now)
                && !self.has_permitted_candidate(demand, spec, scope, time.now)
            {
                self.recheck_denials(demand.step, time.now);
            }
        }
    }

    fn place_gang(
        &mut self,
        demand: &Demand,
        spec: &spec::Step,
        scope: Scope<'_>,
        may_reserve: bool,
        time: Time,
        out: &mut Vec<Output>,
    ) -> Option<Reservation> {
        let need = demand.need;
        let candidates = self.candidates(demand, spec, scope, Room::Free, time.now);
        let plan = plan::gang(&candidates, &demand.waiting, need, spec);
        if !plan.is_empty() {
            let without_permit = workers_without_permit(&candidates, &plan);
            let may_start = demand.may_start && without_permit.is_empty();
            // The first task has the crashes of the whole gang.
            let first = Task {
                step: demand.step,
                index: plan[0].0,
            };
            if may_start && !self.granted_starts(&[first], time, out).is_empty() {
                self.start_planned(demand, &candidates, &plan, time, out);
                return None;
            }
            let renewed = self.with_spares(demand, without_permit, &candidates, time.now);
            self.request_permits(demand, &renewed, &[], 0, time, out);
            return Some(Reservation::Planned(plan::planned_capacity(
                &candidates,
                &plan,
                need,
            )));
        }
        if !may_reserve {
            // The advisor is called only if the gang could start after the answer.
            let unknown = self.unknown_candidates(demand, spec, scope, Room::Free, time.now);
            if self.could_fit(demand, &candidates, &unknown) {
                self.request_permits(demand, &[], &unknown, demand.waiting.len(), time, out);
            }
        }
        None
    }

    /// Reserves the capacity that will be free first for a gang, and requests permits so that they
    /// arrive by then. A gang that its permitted workers cannot hold as a whole reserves nothing, and
    /// takes one of the few reservations only while the advisor can still permit others.
    fn reserve_awaited_capacity(
        &mut self,
        demand: &Demand,
        spec: &spec::Step,
        scope: Scope<'_>,
        time: Time,
        out: &mut Vec<Output>,
    ) -> Option<Reservation> {
        let Demand {
            need, needs_permit, ..
        } = *demand;
        let tasks = demand.waiting.len();
        let candidates = self.candidates(demand, spec, scope, Room::Any, time.now);
        let slots = self.slots(&candidates, demand, time.now);
        let awaited = plan::capacity_to_await(slots, tasks, need, spec, &candidates);
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
            let without_permit = if is_soon {
                self.with_spares(demand, without_permit, &candidates, time.now)
            } else {
                Vec::new()
            };
            // Runs may last longer than they are expected to, so that the capacity always seems to be
            // about to become free.
            let is_wait_short = wait.max(self.waited(demand.step, time.now)) <= LONG_WAIT;
            let missing = if awaited.is_sufficient && is_wait_short {
                0
            } else if spec.gang {
                tasks * GANG_CHOICE
            } else {
                tasks
            };
            let unknown = if missing > 0 {
                self.unknown_candidates(demand, spec, scope, Room::Any, time.now)
            } else {
                Vec::new()
            };
            self.request_permits(demand, &without_permit, &unknown, missing, time, out);
        }
        if awaited.is_sufficient || !spec.gang {
            return Some(Reservation::Wanted(Awaited {
                amounts: awaited.amounts,
                ready_at: awaited.ready_at,
            }));
        }
        let may_grow = needs_permit && self.may_get_more_permits(demand, spec, scope, time.now);
        if needs_permit && !may_grow {
            self.recheck_denials(demand.step, time.now);
        }
        may_grow.then(|| Reservation::Wanted(Awaited::default()))
    }

    /// Whether an answer of the advisor may permit further workers for a step.
    fn may_get_more_permits(
        &self,
        demand: &Demand,
        spec: &spec::Step,
        scope: Scope<'_>,
        now: Instant,
    ) -> bool {
        let job = self.jobs.get(&demand.step.job);
        let step = job.and_then(|job| job.step(demand.step));
        let is_called = step.is_some_and(|step| step.permits.call.is_some());
        is_called || self.has_unasked_candidate(demand, spec, scope, now)
    }

    /// Adds to the workers for which a step renews its permits others whose permits end soon too.
    /// While a step waits, the workers on which it fits change; without spare permits each change
    /// would cost a further call.
    fn with_spares(
        &self,
        demand: &Demand,
        mut renewed: Vec<Worker>,
        candidates: &[Candidate],
        now: Instant,
    ) -> Vec<Worker> {
        if renewed.is_empty() {
            return renewed;
        }
        let mut spares: Vec<&Candidate> = candidates
            .iter()
            .filter(|candidate| !renewed.contains(&candidate.worker))
            .filter(|candidate| !self.has_permit(demand.step, candidate.worker, now + SPARE_SPAN))
            .collect();
        spares.sort_by_cached_key(|candidate| Reverse(candidate.fits(demand.need)));
        let max_spares = renewed.len().max(MIN_SPARES);
        let spares = spares.into_iter().take(max_spares);
        renewed.extend(spares.map(|candidate| candidate.worker));
        renewed
    }

    /// Returns the part of a plan for single tasks that may be started as far as crashes of workers go.
    fn granted_plan(
        &mut self,
        demand: &Demand,
        plan: &[(u16, usize)],
        time: Time,
        out: &mut Vec<Output>,
    ) -> Vec<(u16, usize)> {
        let step = demand.step;
        let tasks = plan.iter().map(|&(index, _)| Task { step, index });
        let granted = self.granted_starts(&tasks.collect::<Vec<_>>(), time, out);
        let mut granted = granted.iter().peekable();
        let mut plan = plan.to_vec();
        // Both are in the same order.
        plan.retain(|&(index, _)| granted.next_if_eq(&&Task { step, index }).is_some());
        plan
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
            .filter(|(_, index)| candidates[*index].has_permit)
            .map(|&(task, index)| (task, candidates[index].worker))
            .collect();
        self.start_all(demand.step, &ready, demand.need, time, out);
    }

    /// Whether all waiting tasks would fit on the permitted workers and on the share of the other
    /// workers that the advisor is expected to permit.
    fn could_fit(&self, demand: &Demand, permitted: &[Candidate], unknown: &[Candidate]) -> bool {
        let fitting = |candidates: &[Candidate]| -> usize {
            let fitting = candidates
                .iter()
                .map(|candidate| candidate.fits(demand.need));
            fitting.sum()
        };
        let likely = fitting(unknown) as f64 * self.permitted_share(demand.step);
        fitting(permitted) + likely as usize >= demand.waiting.len()
    }

    /// Returns how long a step has had waiting tasks that could run.
    pub fn waited(&self, id: Step, now: Instant) -> Duration {
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
    pub(super) fn slots(
        &self,
        candidates: &[Candidate],
        demand: &Demand,
        now: Instant,
    ) -> Vec<Slot> {
        let mut slots = Vec::new();
        for (index, candidate) in candidates.iter().enumerate() {
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
        without_permit: &[Worker],
        unknown: &[Candidate],
        missing: usize,
        time: Time,
        out: &mut Vec<Output>,
    ) {
        if without_permit.is_empty() && (missing == 0 || unknown.is_empty()) {
            return;
        }
        let fitting: usize = unknown
            .iter()
            .map(|candidate| candidate.fits(demand.need))
            .sum();
        let per_worker = (fitting / unknown.len().max(1)).max(1);
        let wanted = missing.div_ceil(per_worker);
        let unknown = preferred_unknown(demand, unknown, missing);
        self.call_advisor(demand.step, without_permit, &unknown, wanted, time, out);
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
        let is_trial = self.is_suspect(task);
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
        let history = job.crashes_mut(task);
        if let Some(history) = history.filter(|history| !history.is_empty()) {
            history.begin(run);
        }
        let attempt = Attempt {
            need: Some(need),
            charge: None,
            state: State::Starting,
            since: now,
            started: now,
            estimate: spec.estimate,
            stop_sent: None,
            stop_answered: None,
            deadline_ms: Some(deadline_ms),
            absent_since: None,
            is_confirmed: false,
            present_since: None,
            is_reported: false,
            is_trial,
            percent: 0,
            reported_at: now,
        };
        self.insert_run(key, task, run, attempt);
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let account = worker.account(now, self.claim_confirmed_at);
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

/// Whether a step may go before all bulk work, also in capacity that is reserved for that.
fn is_urgent(standing: Standing, rank: &Rank) -> bool {
    !rank.is_non_urgent && standing < Standing::Surplus
}

/// Returns when the tasks of a step would end by their estimate if they started now.
fn expected_end(job: &Job, id: Step, now: Instant) -> Instant {
    let spec = job.spec.steps.get(usize::from(id.index));
    now + spec.map(|spec| spec.estimate).unwrap_or_default()
}

fn add_reserved(reserved: &mut Reserved, amounts: &Reserved) {
    for (&worker, &amount) in amounts {
        *reserved.entry(worker).or_default() += amount;
    }
}

/// Returns `reserved` without the capacity that is reserved for gangs which cannot start before `end`;
/// `None` if there is none.
fn without_later(reserved: &Reserved, awaited: &[Awaited], end: Instant) -> Option<Reserved> {
    let mut later = awaited
        .iter()
        .filter(|awaited| awaited.ready_at >= end)
        .peekable();
    later.peek()?;
    let mut left = reserved.clone();
    for (worker, amount) in later.flat_map(|awaited| &awaited.amounts) {
        if let Some(held) = left.get_mut(worker) {
            *held -= *amount;
        }
    }
    Some(left)
}

pub(super) fn is_long_running(job: &Job, id: Step) -> bool {
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

/// Returns the workers that a call should name first, no more than it can name. Workers with capacity for
/// more tasks come first. Among equals, the order differs by step, so that the calls of a burst of steps
/// don't all name the same few workers.
fn preferred_unknown(demand: &Demand, unknown: &[Candidate], missing: usize) -> Vec<Worker> {
    let ranked = unknown.iter().map(|candidate| {
        let rank = (
            candidate.is_remote,
            Reverse(candidate.fits(demand.need).min(missing)),
            step_worker_hash(demand.step, candidate.worker),
        );
        (rank, candidate.worker)
    });
    let mut ranked: Vec<_> = ranked.collect();
    if ranked.len() > MAX_NAMED {
        ranked.select_nth_unstable(MAX_NAMED);
        ranked.truncate(MAX_NAMED);
    }
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, worker)| worker).collect()
}

/// Returns a hash by which workers are ordered differently for each step.
fn step_worker_hash(step: Step, worker: Worker) -> u64 {
    let mut hasher = DefaultHasher::new();
    (step.job.0, step.index, worker).hash(&mut hasher);
    hasher.finish()
}
