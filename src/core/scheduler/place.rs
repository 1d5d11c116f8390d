//! Places waiting tasks on workers.
//!
//! Steps are taken in the order of their [rank](super::order). The load that this answers: gangs
//! that need several large places at once, among many small tasks that would take every place as it
//! comes free. Room that a gang of better rank waits for is held against steps of lesser rank, and
//! a task goes where it leaves the least room over. A gang whose permits are on their way keeps the
//! room of its plan: else many gangs would call for permits that are of no use when they come.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use super::advice::cost;
use super::id::{Run, Step, Task, Worker};
use super::job::Place;
use super::message::{Output, Start};
use super::order::{self, Rank};
use super::plan::{self, Candidate, Held, Reservation, Slot};
use super::record::Phase;
use super::worker::{Attempt, State};
use super::{Scheduler, Time, spec};
use crate::core::resource::Amount;
use crate::core::time::Instant;

/// How many gangs may wait for room at once; more would idle too much of the cell.
const MAX_HOLDERS: usize = 3;
/// A gang that would wait longer for room asks which further workers may run it.
const LONG_WAIT: Duration = Duration::from_millis(1_500);
/// Permits are called for so long before they are needed, beyond what the call takes: the way to the
/// advisor and back, and a turn of placement.
const RENEWAL_MARGIN: Duration = Duration::from_millis(150);

/// What of a step waits for room.
struct Demand {
    step: Step,
    waiting: Vec<u16>,
    /// What one task needs.
    need: Amount,
    needs_permit: bool,
    /// Whether the job's acceptance is in the log.
    is_durable: bool,
}

impl Scheduler {
    /// Starts what can be started, in order of rank.
    pub(super) fn place(&mut self, time: Time, out: &mut Vec<Output>) {
        let is_surveyed = self.is_survey_complete(time.now);
        let mut ranks: Vec<Rank> = self
            .ready
            .iter()
            .filter_map(|&step| self.rank(step, time))
            .collect();
        ranks.sort_unstable();
        let pools = self.pools(time.now);
        let mut held = Held::new();
        let mut holders = 0;
        for rank in ranks {
            let Some(job) = self.jobs.get(&rank.step.job) else {
                continue;
            };
            if job.is_inherited && !is_surveyed {
                continue;
            }
            if self.is_blocked(rank.step, time.now) {
                continue;
            }
            let Some(pool) = pools.get(&job.queue.service) else {
                continue;
            };
            let may_hold = holders < MAX_HOLDERS;
            let mut reservation = self.place_step(rank.step, pool, &held, may_hold, time, out);
            if !rank.is_patient && !held.is_empty() && self.ready.contains(&rank.step) {
                // What is urgent takes held room when there is no other.
                let none = Held::new();
                reservation = self.place_step(rank.step, pool, &none, may_hold, time, out);
            }
            let room = match reservation {
                Some(Reservation::Planned(room)) => room,
                Some(Reservation::Wanted(room)) => {
                    holders += 1;
                    room
                }
                None => continue,
            };
            for (worker, amount) in room {
                *held.entry(worker).or_default() += amount;
            }
        }
        self.held_cpu_millis = held
            .iter()
            .filter_map(|(&worker, room)| Some((self.workers.get(worker)?.free(), room)))
            .map(|(free, room)| free.cpu_millis.min(room.cpu_millis))
            .sum();
    }

    /// Returns the workers that may get new work, by service.
    fn pools(&self, now: Instant) -> HashMap<String, Vec<Worker>> {
        let mut pools: HashMap<String, Vec<Worker>> = HashMap::new();
        for (key, worker) in &self.workers {
            if !worker.is_usable() || !worker.record.permits(now, worker.attempts.len()) {
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

    /// Whether nothing can be done for a step now: the advisor has to answer or be free first, or
    /// the job's acceptance to be in the log.
    fn is_blocked(&self, id: Step, now: Instant) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return true;
        };
        let Some(step) = job.step(id) else {
            return true;
        };
        let is_judged = job.queue.advice.is_none() || !step.permits.workers.is_empty();
        if is_judged {
            return !job.is_durable;
        }
        step.permits.call.is_some() || !self.askers.has_idle(now)
    }

    fn rank(&self, step: Step, time: Time) -> Option<Rank> {
        let job = self.jobs.get(&step.job)?;
        let began = match job.spec.due(step.occurrence) {
            Some(due) => time.now - time.stamp.since(due),
            None => job.accepted_at,
        };
        Some(order::rank(job, step, began, time.now))
    }

    /// Starts what can be started of a step and returns the room that it should keep. A gang without
    /// room waits for some if it `may_hold`.
    fn place_step(
        &mut self,
        id: Step,
        pool: &[Worker],
        held: &Held,
        may_hold: bool,
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
            need: spec.room(),
            needs_permit: job.queue.advice.is_some(),
            is_durable: job.is_durable,
        };
        let candidates = self.candidates(&demand, spec, pool, held, true, time.now);
        if !spec.gang {
            self.place_singles(&demand, &candidates, time, out);
            return None;
        }
        let planned = self.place_gang(&demand, spec, &candidates, may_hold, time, out);
        if planned.is_some() || !may_hold || !self.ready.contains(&id) {
            return planned;
        }
        let candidates = self.candidates(&demand, spec, pool, held, false, time.now);
        Some(self.wait_for_room(&demand, spec, &candidates, time, out))
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
            let lacking = lacking_ticket(candidates, &plan);
            let missing = demand.waiting.len() - plan.len();
            self.ask_for(demand, candidates, &lacking, missing, time, out);
        }
    }

    fn place_gang(
        &mut self,
        demand: &Demand,
        spec: &spec::Step,
        candidates: &[Candidate],
        may_hold: bool,
        time: Time,
        out: &mut Vec<Output>,
    ) -> Option<Reservation> {
        let Demand {
            need, needs_permit, ..
        } = *demand;
        let plan = plan::gang(candidates, &demand.waiting, need, spec, needs_permit);
        if !plan.is_empty() {
            let lacking = if needs_permit {
                lacking_ticket(candidates, &plan)
            } else {
                Vec::new()
            };
            if demand.is_durable && lacking.is_empty() {
                self.start_planned(demand, candidates, &plan, time, out);
                return None;
            }
            self.ask_for(demand, candidates, &lacking, 0, time, out);
            return Some(Reservation::Planned(plan::planned(candidates, &plan, need)));
        }
        // A call is of use only if with its answer the gang could start.
        if !may_hold && self.could_fit(demand, candidates) {
            let tasks = demand.waiting.len();
            self.ask_for(demand, candidates, &[], tasks, time, out);
        }
        None
    }

    /// Keeps the room that will be free first for a gang, and sees to it that it has its permits
    /// by then.
    fn wait_for_room(
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
        let wish = plan::wish(slots, tasks, need, spec, candidates);
        if needs_permit {
            let wait = wish.ready_at.since(time.now);
            let lacking: Vec<Worker> = wish
                .room
                .keys()
                .filter(|&&worker| !self.has_ticket(demand.step, worker, wish.ready_at))
                .copied()
                .collect();
            let is_soon = wish.is_whole && wait <= self.call_cost(demand.step, lacking.len());
            let lacking = if is_soon { lacking } else { Vec::new() };
            let missing = if wish.is_whole && wait <= LONG_WAIT {
                0
            } else {
                tasks
            };
            self.ask_for(demand, candidates, &lacking, missing, time, out);
        }
        Reservation::Wanted(wish.room)
    }

    /// Starts the planned tasks whose workers need no further permit.
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
            .filter(|(_, index)| !demand.needs_permit || candidates[*index].has_ticket)
            .map(|&(task, index)| (task, candidates[index].worker))
            .collect();
        self.start_all(demand.step, &ready, demand.need, time, out);
    }

    /// Whether there is room for all waiting tasks on workers that are permitted or, by the usual
    /// share, may be.
    fn could_fit(&self, demand: &Demand, candidates: &[Candidate]) -> bool {
        let places = |is_known: bool| -> usize {
            let of_kind = candidates.iter();
            let of_kind = of_kind.filter(|candidate| candidate.is_known == is_known);
            of_kind.map(|candidate| candidate.fits(demand.need)).sum()
        };
        let likely = places(false) as f64 * self.permitted_share(demand.step);
        places(true) + likely as usize >= demand.waiting.len()
    }

    /// Whether a permit for a worker holds at `at`.
    fn has_ticket(&self, id: Step, worker: Worker, at: Instant) -> bool {
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        step.is_some_and(|step| step.permits.ticket(worker, at).is_some())
    }

    /// Returns how long before its room is there a gang should call for `workers` permits.
    fn call_cost(&self, id: Step, workers: usize) -> Duration {
        let job = self.jobs.get(&id.job);
        let advice = job.and_then(|job| job.queue.advice);
        advice.map_or(Duration::ZERO, |advice| cost(&advice, workers)) + RENEWAL_MARGIN
    }

    /// Returns when permitted workers will have room for tasks, by the estimates of what runs there.
    fn slots(&self, candidates: &[Candidate], demand: &Demand, now: Instant) -> Vec<Slot> {
        let mut slots = Vec::new();
        for (index, candidate) in candidates.iter().enumerate() {
            if demand.needs_permit && !candidate.is_known {
                continue;
            }
            let Some(worker) = self.workers.get(candidate.worker) else {
                continue;
            };
            let most = candidate.most.min(demand.waiting.len());
            let times = worker.room_times(candidate.free, demand.need, most, now);
            slots.extend(times.into_iter().map(|at| Slot {
                at,
                candidate: index,
            }));
        }
        slots
    }

    /// Calls the advisor about the tickets that a plan lacks and the workers it has not judged.
    fn ask_for(
        &mut self,
        demand: &Demand,
        candidates: &[Candidate],
        lacks_ticket: &[Worker],
        missing: usize,
        time: Time,
        out: &mut Vec<Output>,
    ) {
        if lacks_ticket.is_empty() && missing == 0 {
            return;
        }
        let mut unknown: Vec<&Candidate> = candidates
            .iter()
            .filter(|candidate| !candidate.is_known)
            .collect();
        // Workers with room for much come first; among equals, each step asks about others, so that
        // a burst of steps does not ask for the same few.
        unknown.sort_by_cached_key(|candidate| {
            (
                candidate.is_remote,
                std::cmp::Reverse(candidate.fits(demand.need).min(missing)),
                spread(demand.step, candidate.worker),
            )
        });
        let places: usize = unknown
            .iter()
            .map(|candidate| candidate.fits(demand.need))
            .sum();
        let per_worker = (places / unknown.len().max(1)).max(1);
        let wanted = missing.div_ceil(per_worker);
        let unknown: Vec<Worker> = unknown.iter().map(|candidate| candidate.worker).collect();
        self.ask(demand.step, lacks_ticket, &unknown, wanted, time, out);
    }

    /// Returns the workers of a pool that may run a step, with their free room; only those that have
    /// room for a task now, or all.
    fn candidates(
        &self,
        demand: &Demand,
        spec: &spec::Step,
        pool: &[Worker],
        held: &Held,
        only_with_room: bool,
        now: Instant,
    ) -> Vec<Candidate> {
        let id = demand.step;
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        let Some(step) = step else {
            return Vec::new();
        };
        let most = spec.max_per_worker.map_or(usize::MAX, usize::from);
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
            let held = held.get(&key).copied().unwrap_or_default();
            let free = worker.free() - held;
            if only_with_room && !demand.need.fits(free) {
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
            // An earlier step of this turn may have got the single run of a worker on probation.
            if worker.record.is_suspect() && !worker.attempts.is_empty() {
                continue;
            }
            let most = if worker.record.is_suspect() {
                1
            } else if most == usize::MAX {
                most
            } else {
                most.saturating_sub(worker.tasks_of(id))
            };
            candidates.push(Candidate {
                worker: key,
                free,
                capacity: worker.entry.capacity,
                most,
                has_ticket: !demand.needs_permit || step.permits.ticket(key, now).is_some(),
                is_known: verdict.is_some(),
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
        places: &[(u16, Worker)],
        need: Amount,
        time: Time,
        out: &mut Vec<Output>,
    ) {
        if places.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let run = job.take_run();
        job.has_started = true;
        if job.phase == Phase::Queued {
            job.phase = Phase::Running;
            out.push(Output::Phase {
                job: id.job,
                phase: Phase::Running,
                reason: "its first task starts",
            });
        }
        for &(index, worker) in places {
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
        let ticket = step.permits.ticket(key, now).cloned();
        let saver = if spec.gang {
            0
        } else {
            usize::from(task.index)
        };
        let checkpoint = step.tasks[saver].checkpoint.as_ref();
        let checkpoint = checkpoint.map(|checkpoint| Arc::clone(&checkpoint.value));
        step.set(task.index, Place::Active { worker: key, run });
        let attempt = Attempt {
            need,
            state: State::Starting,
            since: now,
            started: now,
            estimate: spec.estimate,
            stop_sent: None,
            stop_answered: None,
            percent: 0,
        };
        worker.insert(task, run, attempt);
        out.push(Output::Start {
            worker: key,
            start: Start {
                task,
                run,
                payload,
                checkpoint,
                ticket,
                deadline_ms,
            },
        });
    }
}

/// Returns the planned workers for which there is no permit that can be used now.
fn lacking_ticket(candidates: &[Candidate], plan: &[(u16, usize)]) -> Vec<Worker> {
    let mut lacking: Vec<Worker> = plan
        .iter()
        .filter(|(_, index)| !candidates[*index].has_ticket)
        .map(|(_, index)| candidates[*index].worker)
        .collect();
    lacking.sort_unstable();
    lacking.dedup();
    lacking
}

/// Returns a number that orders workers differently for each step.
fn spread(step: Step, worker: Worker) -> u64 {
    let mut hasher = DefaultHasher::new();
    (step.job.0, step.index, worker).hash(&mut hasher);
    hasher.finish()
}
