//! Places waiting tasks on workers.
//!
//! Steps are taken in the order of their [rank](super::order). The load that this answers: gangs
//! that need several large places at once, among many small tasks that would take every place as it
//! comes free. Room that a gang of better rank waits for is held against steps of lesser rank, and
//! a task goes where it leaves the least room over. A gang whose permits are on their way keeps the
//! room of its plan: else many gangs would call for permits that are of no use when they come.

use std::sync::Arc;

use super::id::{Run, Step, Task, Worker};
use super::job::Place;
use super::message::{Output, Start};
use super::order::{self, Rank};
use super::plan::{self, Candidate, Held, Reservation};
use super::record::Phase;
use super::worker::{Attempt, State};
use super::{Scheduler, Time, spec};
use crate::core::resource::Amount;
use crate::core::time::Instant;

/// How many gangs may hold room at once; more would idle too much of the cell.
const MAX_HOLDERS: usize = 3;

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
            if self.is_waiting_for_advice(rank.step, time.now) {
                continue;
            }
            let mut reservation = self.place_step(rank.step, &held, time, out);
            if !rank.is_patient && !held.is_empty() && self.ready.contains(&rank.step) {
                // What is urgent takes held room when there is no other.
                reservation = self.place_step(rank.step, &Held::new(), time, out);
            }
            let room = match reservation {
                Some(Reservation::Planned(room)) => room,
                Some(Reservation::Wanted(room)) if holders < MAX_HOLDERS => {
                    holders += 1;
                    room
                }
                _ => continue,
            };
            for (worker, amount) in room {
                *held.entry(worker).or_default() += amount;
            }
        }
    }

    /// Whether nothing can be done for a step before the advisor has answered or can be called.
    fn is_waiting_for_advice(&self, id: Step, now: Instant) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let Some(step) = job.step(id) else {
            return false;
        };
        let is_judged = job.queue.advice.is_none() || !step.permits.workers.is_empty();
        !is_judged && (step.permits.call.is_some() || !self.askers.has_idle(now))
    }

    fn rank(&self, step: Step, time: Time) -> Option<Rank> {
        let job = self.jobs.get(&step.job)?;
        let began = match job.spec.due(step.occurrence) {
            Some(due) => time.now - time.stamp.since(due),
            None => job.accepted_at,
        };
        Some(order::rank(job, step, began, time.now))
    }

    /// Starts what can be started of a step and returns the room that it should keep.
    fn place_step(
        &mut self,
        id: Step,
        held: &Held,
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
        let needs_permit = job.queue.advice.is_some();
        let is_durable = job.is_durable;
        let need = spec.room();
        let candidates = self.candidates(id, spec, held, time.now);
        let plan = if spec.gang {
            plan::gang(&candidates, &waiting, need, spec, needs_permit)
        } else {
            plan::single(&candidates, &waiting, need, needs_permit)
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
        if !spec.gang {
            None
        } else if planned == 0 {
            let room = plan::wish(&candidates, need, waiting.len(), needs_permit);
            Some(Reservation::Wanted(room))
        } else if is_startable {
            None
        } else {
            let room = plan::planned(&candidates, &plan, need);
            Some(Reservation::Planned(room))
        }
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
        let failed_on: Vec<Worker> = step.tasks.iter().filter_map(|task| task.failed_on).collect();
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
