//! Places waiting tasks on workers.
//!
//! Steps are taken in the order of their [rank](super::order). The load that this answers: gangs
//! that need several large places at once, among many small tasks that would take every place as it
//! comes free. Room that a gang of better rank waits for is held against steps of lesser rank, and
//! a task goes where it leaves the least room over.

use std::collections::HashMap;
use std::sync::Arc;

use super::id::{Run, Step, Task, Worker};
use super::job::Place;
use super::message::{Output, Start};
use super::order::{self, Rank};
use super::record::Phase;
use super::worker::{Attempt, State};
use super::{Scheduler, Time, spec};
use crate::core::resource::Amount;
use crate::core::time::Instant;

/// How many gangs may hold room at once; more would idle too much of the cell.
const MAX_HOLDERS: usize = 3;

/// Room that steps of better rank hold, by worker.
type Held = HashMap<Worker, Amount>;

/// A worker that may run a step, room aside.
struct Candidate {
    worker: Worker,
    /// What is free and not held.
    free: Amount,
    capacity: Amount,
    /// How many more tasks of the step may go there.
    most: usize,
    /// Whether a start needs no call to the advisor first.
    has_ticket: bool,
    /// Whether the advisor was asked about it for this step.
    is_known: bool,
    /// Whether it is away from the step's data.
    is_remote: bool,
    /// Whether a task of the step failed there: the next try tells whose fault it was.
    has_failed: bool,
    rack: Option<String>,
}

impl Candidate {
    /// Returns how many tasks that need `need` fit.
    fn fits(&self, need: Amount) -> usize {
        fits(self.free, need).min(self.most)
    }
}

fn fits(free: Amount, need: Amount) -> usize {
    let ratio = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
    ratio(free.cpu_millis, need.cpu_millis)
        .min(ratio(free.memory_mib, need.memory_mib))
        .min(ratio(free.accelerators, need.accelerators))
        .min(u64::from(u16::MAX)) as usize
}

/// Returns which part of a worker stays free; the least is the best fit.
fn leftover(free: Amount, need: Amount, capacity: Amount) -> u64 {
    let part = |free: u64, need: u64, capacity: u64| {
        (free.saturating_sub(need) * 1_000)
            .checked_div(capacity)
            .unwrap_or(0)
    };
    part(free.cpu_millis, need.cpu_millis, capacity.cpu_millis)
        + part(free.memory_mib, need.memory_mib, capacity.memory_mib)
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
        let mut held = Held::new();
        let mut holders = 0;
        for rank in ranks {
            let Some(job) = self.jobs.get(&rank.step.job) else {
                continue;
            };
            if job.is_inherited && !is_surveyed {
                continue;
            }
            let is_urgent = !rank.is_patient;
            let ignored = Held::new();
            let visible = if is_urgent { &ignored } else { &held };
            let wish = self.place_step(rank.step, visible, time, out);
            if let Some(wish) = wish.filter(|_| holders < MAX_HOLDERS) {
                holders += 1;
                for (worker, amount) in wish {
                    *held.entry(worker).or_default() += amount;
                }
            }
        }
    }

    fn rank(&self, step: Step, time: Time) -> Option<Rank> {
        let job = self.jobs.get(&step.job)?;
        let began = match job.spec.due(step.occurrence) {
            Some(due) => time.now - time.stamp.since(due),
            None => job.accepted_at,
        };
        Some(order::rank(job, step, began, time.now))
    }

    /// Starts what can be started of a step and returns the room that it should wait for.
    fn place_step(
        &mut self,
        id: Step,
        held: &Held,
        time: Time,
        out: &mut Vec<Output>,
    ) -> Option<Held> {
        let job = self.jobs.get(&id.job)?;
        let spec = Arc::clone(&job.spec);
        let spec = spec.steps.get(usize::from(id.index))?;
        let step = job.step(id)?;
        let waiting = step.waiting_tasks();
        let is_partial_gang = spec.gang && waiting.len() < step.tasks.len();
        if waiting.is_empty() || is_partial_gang {
            return None;
        }
        let needs_permit = job.queue.advice.is_some();
        let is_durable = job.is_durable;
        let need = spec.room();
        let candidates = self.candidates(id, spec, held, time.now);
        let plan = if spec.gang {
            plan_gang(&candidates, &waiting, need, spec, needs_permit)
        } else {
            plan_single(&candidates, &waiting, need, needs_permit)
        };
        let planned = plan.len();
        let lacks_ticket: Vec<Worker> = {
            let mut lacking: Vec<Worker> = plan
                .iter()
                .filter(|(_, index)| needs_permit && !candidates[*index].has_ticket)
                .map(|(_, index)| candidates[*index].worker)
                .collect();
            lacking.sort_unstable();
            lacking.dedup();
            lacking
        };
        let is_startable = is_durable && (!spec.gang || lacks_ticket.is_empty());
        if is_startable {
            let ready: Vec<(u16, Worker)> = plan
                .iter()
                .filter(|(_, index)| !needs_permit || candidates[*index].has_ticket)
                .map(|&(task, index)| (task, candidates[index].worker))
                .collect();
            self.start_all(id, &ready, need, time, out);
        }
        if needs_permit {
            let missing = waiting.len() - planned;
            self.ask_for(id, &candidates, &lacks_ticket, missing, need, time, out);
        }
        if spec.gang && (planned == 0 || !lacks_ticket.is_empty()) {
            return Some(wish(&candidates, need, waiting.len(), needs_permit));
        }
        None
    }

    /// Calls the advisor about the tickets that a plan lacks and the workers it has not judged.
    #[allow(clippy::too_many_arguments, reason = "the parts of one plan")]
    fn ask_for(
        &mut self,
        id: Step,
        candidates: &[Candidate],
        lacks_ticket: &[Worker],
        missing: usize,
        need: Amount,
        time: Time,
        out: &mut Vec<Output>,
    ) {
        let mut unknown: Vec<&Candidate> = candidates
            .iter()
            .filter(|candidate| !candidate.is_known)
            .collect();
        unknown.sort_by_key(|candidate| {
            (
                candidate.is_remote,
                std::cmp::Reverse(candidate.free.cpu_millis),
            )
        });
        let places: usize = unknown.iter().map(|candidate| candidate.fits(need)).sum();
        let per_worker = (places / unknown.len().max(1)).max(1);
        let wanted = missing.div_ceil(per_worker);
        let unknown: Vec<Worker> = unknown.iter().map(|candidate| candidate.worker).collect();
        self.ask(id, lacks_ticket, &unknown, wanted, time, out);
    }

    /// Returns the workers that may run a step, with their free room.
    fn candidates(&self, id: Step, spec: &spec::Step, held: &Held, now: Instant) -> Vec<Candidate> {
        let Some(job) = self.jobs.get(&id.job) else {
            return Vec::new();
        };
        let Some(step) = job.step(id) else {
            return Vec::new();
        };
        let most = spec.max_per_worker.map_or(usize::MAX, usize::from);
        let needs_permit = job.queue.advice.is_some();
        let mut candidates = Vec::new();
        for (key, worker) in &self.workers {
            if !worker.is_usable()
                || worker.entry.service != job.queue.service
                || !worker.record.permits(now, worker.attempts.len())
                || spec
                    .label
                    .as_ref()
                    .is_some_and(|label| !worker.entry.labels.contains(label))
                || step.permits.verdict(key) == Some(false)
            {
                continue;
            }
            let there = if most == usize::MAX {
                0
            } else {
                worker.tasks_of(id)
            };
            let most = if worker.record.is_suspect() {
                1
            } else {
                most.saturating_sub(there)
            };
            let held = held.get(&key).copied().unwrap_or_default();
            candidates.push(Candidate {
                worker: key,
                free: worker.free() - held,
                capacity: worker.entry.capacity,
                most,
                has_ticket: !needs_permit || step.permits.ticket(key, now).is_some(),
                is_known: step.permits.verdict(key).is_some(),
                is_remote: spec.data_rack.is_some() && spec.data_rack != worker.entry.rack,
                has_failed: step.tasks.iter().any(|task| task.failed_on == Some(key)),
                rack: worker.entry.rack.clone(),
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
        let Some(step) = job.step_mut(task.step) else {
            return;
        };
        let ticket = step.permits.ticket(key, now).cloned();
        let checkpoint = step.tasks[usize::from(task.index)].checkpoint.clone();
        step.set(task.index, Place::Active { worker: key, run });
        let attempt = Attempt {
            need,
            state: State::Starting,
            since: now,
            started: now,
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

/// Places tasks one by one, each where it leaves the least over. Returns tasks with the indices of
/// their candidates.
fn plan_single(
    candidates: &[Candidate],
    waiting: &[u16],
    need: Amount,
    needs_permit: bool,
) -> Vec<(u16, usize)> {
    let mut room: Vec<(Amount, usize)> = candidates.iter().map(|c| (c.free, c.most)).collect();
    let mut plan = Vec::new();
    for &task in waiting {
        let best = candidates
            .iter()
            .enumerate()
            .filter(|(index, candidate)| {
                let (free, most) = room[*index];
                most > 0 && need.fits(free) && (!needs_permit || candidate.is_known)
            })
            .min_by_key(|(index, candidate)| {
                let left = leftover(room[*index].0, need, candidate.capacity);
                (
                    candidate.has_failed,
                    !candidate.has_ticket,
                    candidate.is_remote,
                    left,
                )
            });
        let Some((index, _)) = best else {
            break;
        };
        room[index].0 -= need;
        room[index].1 = room[index].1.saturating_sub(1);
        plan.push((task, index));
    }
    plan
}

/// Places all tasks of a gang or none.
fn plan_gang(
    candidates: &[Candidate],
    waiting: &[u16],
    need: Amount,
    spec: &spec::Step,
    needs_permit: bool,
) -> Vec<(u16, usize)> {
    let usable: Vec<usize> = (0..candidates.len())
        .filter(|&index| !needs_permit || candidates[index].is_known)
        .collect();
    if spec.same_rack {
        let mut racks: Vec<&String> = usable
            .iter()
            .filter_map(|&index| candidates[index].rack.as_ref())
            .collect();
        racks.sort_unstable();
        racks.dedup();
        for rack in racks {
            let there: Vec<usize> = usable
                .iter()
                .copied()
                .filter(|&index| candidates[index].rack.as_ref() == Some(rack))
                .collect();
            let plan = fill(candidates, &there, waiting, need);
            if !plan.is_empty() {
                return plan;
            }
        }
    }
    fill(candidates, &usable, waiting, need)
}

/// Fills candidates with a gang, those first that it leaves the least over on; empty when it does
/// not fit.
fn fill(
    candidates: &[Candidate],
    usable: &[usize],
    waiting: &[u16],
    need: Amount,
) -> Vec<(u16, usize)> {
    let mut order: Vec<usize> = usable
        .iter()
        .copied()
        .filter(|&index| candidates[index].fits(need) > 0)
        .collect();
    order.sort_by_key(|&index| {
        let candidate = &candidates[index];
        let taken = need.times(candidate.fits(need) as u64);
        (
            candidate.has_failed,
            !candidate.has_ticket,
            candidate.is_remote,
            leftover(candidate.free, taken, candidate.capacity),
        )
    });
    let mut left = waiting.iter().copied();
    let mut plan = Vec::with_capacity(waiting.len());
    for index in order {
        let count = candidates[index].fits(need);
        plan.extend(left.by_ref().take(count).map(|task| (task, index)));
        if plan.len() == waiting.len() {
            return plan;
        }
    }
    Vec::new()
}

/// Returns the room that a gang of `tasks` should wait for: on permitted workers, the emptiest first.
fn wish(candidates: &[Candidate], need: Amount, tasks: usize, needs_permit: bool) -> Held {
    let mut order: Vec<&Candidate> = candidates
        .iter()
        .filter(|candidate| !needs_permit || candidate.is_known)
        .collect();
    order.sort_by_key(|candidate| std::cmp::Reverse(candidate.free.cpu_millis));
    let mut held = Held::new();
    let mut left = tasks;
    for candidate in order {
        if left == 0 {
            break;
        }
        let count = fits(candidate.capacity, need).min(candidate.most).min(left);
        if count > 0 {
            left -= count;
            held.insert(candidate.worker, need.times(count as u64));
        }
    }
    held
}
