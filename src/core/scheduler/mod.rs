//! Runs jobs of steps on the workers of one cell.
//!
//! A [`Scheduler`] belongs to one ownership of the cell. It is made from the log's records, then
//! takes in what clients, workers, the directory and the advisor say, and puts out what is to be
//! done. Nothing that is said to a client or acknowledged to a worker goes ahead of the log:
//! [`Output::Append`] carries a [`Mark`], and what depends on it waits for [`Input::Durable`].
//!
//! Starts have no records. A new owner reads the inventory of every worker, and a task of an
//! inherited job is started only when every worker has answered or can hold no lease any more. A
//! higher fencing token voids all late orders of the owners before.

pub mod advice;
mod advise;
pub mod id;
pub mod job;
mod jobs;
pub mod message;
mod order;
mod place;
mod plan;
pub mod record;
mod runs;
pub mod spec;
pub mod suspicion;
pub mod worker;
mod workers;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use laburnum_derive::{message, state, value};
use slotmap::SlotMap;

pub use message::{Answer, Input, Output};

use super::time::{Instant, Stamp};
use id::{Mark, Request, Run, Token};
use record::Phase;
use spec::Queue;

/// How many runs of a job one owner may start before its numbers reach those of the next.
const RUN_BITS: u32 = 20;

/// Placement is tried so often even when nothing happens: pauses end and surveys complete.
const PLACE_INTERVAL: Duration = Duration::from_millis(100);

/// How often time-driven decisions are looked at when nothing happens.
const TICK: Duration = Duration::from_millis(50);
/// The pause between two placements, so that what comes in between is placed together: a placement
/// looks at every waiting step, and a start is on its way for longer.
const PLACE_PAUSE: Duration = Duration::from_millis(5);

/// The bounds that the scheduler keeps to.
#[message]
#[derive(Copy)]
pub struct Rules {
    /// How long a worker goes on without hearing from the owner.
    pub lease: Duration,
    /// The longest lease that a worker grants.
    pub max_lease: Duration,
    /// How long the members of a gang wait for each other.
    pub gang_timeout: Duration,
    /// How many times as long a task takes away from its data.
    pub remote_factor: f64,
    /// How long an ended job can be asked for.
    pub status_kept: Duration,
}

/// The time of one step.
#[value]
pub struct Time {
    /// The monotonic clock.
    pub now: Instant,
    /// The time of day.
    pub stamp: Stamp,
}

/// What happens once a mark is in the log.
#[state]
enum Effect {
    Accepted(id::Job),
    Ended(id::Job),
    Acknowledge { worker: id::Worker, number: u64 },
    Recorded(Vec<id::Worker>),
}

impl Effect {
    /// Whether it is about a job.
    fn is_of(&self, id: id::Job) -> bool {
        matches!(self, Effect::Accepted(job) | Effect::Ended(job) if *job == id)
    }
}

/// What a look at a worker carries.
#[value]
pub struct Look {
    /// The ends up to this one are in the log.
    pub acknowledged: u64,
    /// The end of the lease on the worker's clock; `None` when it is not extended.
    pub deadline_ms: Option<u64>,
}

/// Schedules the jobs of a cell; see the [module](self).
pub struct Scheduler {
    rules: Rules,
    token: Token,
    began: Instant,
    jobs: HashMap<id::Job, job::Job>,
    /// Steps with waiting tasks whose dependencies are done.
    ready: BTreeSet<id::Step>,
    /// Jobs with occurrences that have not begun, by when the next is due.
    scheduled: BTreeSet<(Stamp, id::Job)>,
    /// Ended jobs, oldest first.
    ended: VecDeque<(Instant, id::Job)>,
    workers: SlotMap<id::Worker, worker::Worker>,
    by_name: HashMap<String, id::Worker>,
    /// The workers that owners before may have started something on, by name and incarnation.
    inherited_workers: Vec<(String, u64)>,
    /// Whether the log says which workers may run something.
    are_workers_noted: bool,
    queues: HashMap<String, Queue>,
    askers: advice::Askers,
    /// The share of named workers that the advisor permitted lately, by queue.
    permitted: HashMap<String, f64>,
    last_mark: Mark,
    durable: Mark,
    effects: VecDeque<(Mark, Effect)>,
    is_log_reachable: bool,
    /// Progress records read before their jobs.
    recovered_progress: HashMap<id::Job, record::Progress>,
    /// Whether anything changed that placement depends on.
    is_dirty: bool,
    /// When tasks were placed last.
    placed_at: Instant,
    /// Free processors that gangs kept then, in thousandths of a core.
    held_cpu_millis: u64,
}

impl Scheduler {
    /// Makes the scheduler of the ownership that `token` names.
    pub fn new(rules: Rules, token: Token, now: Instant) -> Scheduler {
        Scheduler {
            rules,
            token,
            began: now,
            jobs: HashMap::new(),
            ready: BTreeSet::new(),
            scheduled: BTreeSet::new(),
            ended: VecDeque::new(),
            workers: SlotMap::with_key(),
            by_name: HashMap::new(),
            inherited_workers: Vec::new(),
            are_workers_noted: true,
            queues: HashMap::new(),
            askers: advice::Askers::default(),
            permitted: HashMap::new(),
            last_mark: Mark(0),
            durable: Mark(0),
            effects: VecDeque::new(),
            is_log_reachable: true,
            recovered_progress: HashMap::new(),
            is_dirty: true,
            placed_at: now,
            held_cpu_millis: 0,
        }
    }

    /// Returns the fencing token of this ownership.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Takes one input in.
    pub fn step(&mut self, time: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Submit {
                request,
                job,
                queue,
                spec,
                at,
            } => self.submit(time, request, job, queue, spec, at, out),
            Input::Cancel {
                request,
                job,
                queue,
                at,
            } => self.cancel(time, request, job, &queue, at, out),
            Input::Listed(entry) => self.listed(time.now, entry, out),
            Input::Unlisted(name) => self.unlisted(&name, out),
            Input::Queues(queues) => self.set_queues(queues),
            Input::Looked {
                worker,
                sent,
                inventory,
            } => self.looked(time, worker, sent, inventory, out),
            Input::LookFailed { worker, outcome } => self.look_failed(time, worker, &outcome, out),
            Input::Started {
                worker,
                task,
                run,
                outcome,
            } => self.started(time, worker, task, run, &outcome, out),
            Input::Stopped {
                worker,
                task,
                run,
                outcome,
            } => self.stopped(time.now, worker, task, run, &outcome, out),
            Input::Advised {
                asker,
                step,
                named,
                allowed,
                validity,
            } => self.advised(time.now, asker, step, &named, allowed, validity),
            Input::Askers(askers) => self.askers.set(&askers),
            Input::Durable(mark) => self.durable(mark, out),
            Input::LogAway { sent } => {
                self.is_log_reachable = false;
                self.withdraw(sent, out);
            }
            Input::LogBack => {
                self.is_log_reachable = true;
                // A further record passes the marks that were taken back.
                self.are_workers_noted = false;
            }
        }
        self.is_dirty = true;
    }

    /// Does what is due at `time` and places what can be placed.
    pub fn tick(&mut self, time: Time, out: &mut Vec<Output>) {
        self.begin_occurrences(time);
        self.release_lapsed(time, out);
        self.expire_calls(time.now);
        self.forget_ended(time.now, out);
        self.note_workers(out);
        let since = time.now.since(self.placed_at);
        let is_stale = since >= PLACE_INTERVAL && !self.ready.is_empty();
        let is_due = self.is_dirty && (since >= PLACE_PAUSE || self.placed_at == self.began);
        if is_due || is_stale {
            self.is_dirty = false;
            self.placed_at = time.now;
            self.place(time, out);
        }
    }

    /// Returns how long the next [`tick`](Scheduler::tick) can wait when nothing comes in.
    pub fn rest(&self, now: Instant) -> Duration {
        if self.is_dirty {
            PLACE_PAUSE.saturating_sub(now.since(self.placed_at))
        } else {
            TICK
        }
    }

    /// Returns how a job of `queue` stands, as far as the log knows; `None` for an unknown one.
    pub fn phase(&self, job: id::Job, queue: &str) -> Option<Phase> {
        let job = self.jobs.get(&job).filter(|job| job.queue.name == queue)?;
        if !job.is_durable {
            return None;
        }
        if job.phase.is_final() && !job.is_end_durable {
            return Some(Phase::Running);
        }
        Some(job.phase)
    }

    /// Returns how many accepted jobs of a queue have started nothing.
    pub fn pending(&self, queue: &str) -> usize {
        let jobs = self.jobs.values().filter(|job| job.queue.name == queue);
        jobs.filter(|job| job.is_durable && job.phase == Phase::Queued)
            .count()
    }

    /// Returns the worker of a name.
    pub fn worker_named(&self, name: &str) -> Option<id::Worker> {
        self.by_name.get(name).copied()
    }

    /// Returns a worker.
    pub fn worker(&self, worker: id::Worker) -> Option<&worker::Worker> {
        self.workers.get(worker)
    }

    /// Returns counts for metrics and logs.
    pub fn load(&self) -> Load {
        let usable = self.workers.values().filter(|worker| worker.is_usable());
        Load {
            jobs: self.jobs.len(),
            ready_steps: self.ready.len(),
            waiting_cpu_millis: self.ready.iter().map(|&step| self.waiting_cpu(step)).sum(),
            workers: self.workers.len(),
            usable_workers: usable.clone().count(),
            held_cpu_millis: self.held_cpu_millis,
            free_cpu_millis: usable.clone().map(|worker| worker.free().cpu_millis).sum(),
            used_cpu_millis: usable.map(|worker| worker.used.cpu_millis).sum(),
        }
    }

    /// Returns the processors that the waiting tasks of a step need, in thousandths of a core.
    fn waiting_cpu(&self, id: id::Step) -> u64 {
        let job = self.jobs.get(&id.job);
        let found =
            job.and_then(|job| Some((job.step(id)?, &job.spec.steps[usize::from(id.index)])));
        found.map_or(0, |(step, spec)| step.waiting as u64 * spec.need.cpu_millis)
    }

    /// Appends a record and returns its mark.
    fn append(&mut self, key: record::Key, value: Option<Vec<u8>>, out: &mut Vec<Output>) -> Mark {
        self.last_mark = Mark(self.last_mark.0 + 1);
        out.push(Output::Append {
            mark: self.last_mark,
            key: key.encode(),
            value,
        });
        self.last_mark
    }

    /// Lets `effect` happen once `mark` is in the log.
    fn after(&mut self, mark: Mark, effect: Effect) {
        self.effects.push_back((mark, effect));
    }

    fn durable(&mut self, mark: Mark, out: &mut Vec<Output>) {
        self.durable = self.durable.max(mark);
        while let Some(&(at, _)) = self.effects.front() {
            if at > self.durable {
                break;
            }
            if let Some((_, effect)) = self.effects.pop_front() {
                self.apply(&effect, out);
            }
        }
    }

    fn apply(&mut self, effect: &Effect, out: &mut Vec<Output>) {
        match effect {
            Effect::Accepted(job) => {
                let Some(job) = self.jobs.get_mut(job) else {
                    return;
                };
                job.is_durable = true;
                for request in job.submitters.drain(..) {
                    out.push(answer(request, Answer::Accepted));
                }
            }
            Effect::Ended(job) => {
                let Some(job) = self.jobs.get_mut(job) else {
                    return;
                };
                job.is_end_durable = true;
                for request in job.cancellers.drain(..) {
                    out.push(answer(request, Answer::Cancelled));
                }
            }
            Effect::Recorded(workers) => {
                for worker in workers {
                    if let Some(worker) = self.workers.get_mut(*worker) {
                        worker.is_recorded = true;
                    }
                }
            }
            Effect::Acknowledge { worker, number } => {
                if let Some(worker) = self.workers.get_mut(*worker) {
                    worker.acknowledged = worker.acknowledged.max(*number);
                }
            }
        }
    }

    /// Returns the number below all runs of this ownership.
    fn first_run(&self) -> Run {
        Run(self.token.0 << RUN_BITS)
    }
}

fn answer(request: Request, answer: Answer) -> Output {
    Output::Answer {
        request,
        answer: Ok(answer),
    }
}

/// Counts of a scheduler.
#[value]
pub struct Load {
    /// Jobs that can be asked for.
    pub jobs: usize,
    /// Steps with tasks to start.
    pub ready_steps: usize,
    /// Processors that the tasks to start need, in thousandths of a core.
    pub waiting_cpu_millis: u64,
    /// Workers known.
    pub workers: usize,
    /// Workers that may get new work.
    pub usable_workers: usize,
    /// Free processors that gangs keep, in thousandths of a core.
    pub held_cpu_millis: u64,
    /// Free processors of these, in thousandths of a core.
    pub free_cpu_millis: u64,
    /// Taken processors of these, in thousandths of a core.
    pub used_cpu_millis: u64,
}
