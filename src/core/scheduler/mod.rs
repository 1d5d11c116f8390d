//! Schedules the jobs of one cell on its workers. A job consists of steps, a step of tasks.
//!
//! A [`Scheduler`] is a state machine that lasts for one ownership of the cell. It is restored from
//! the records in the log, then takes an [`Input`] for each event from clients, workers, the
//! directory and the advisor, and returns [`Output`]s for the caller to carry out. No response to a
//! client and no acknowledgement to a worker precedes the log: [`Output::Append`] carries a
//! [`Mark`], and everything that depends on the record waits for [`Input::Durable`].
//!
//! Starts of tasks are not recorded, except those of tasks that may [crash](poison) their workers. A new
//! owner reads the inventory of every worker, and starts a task of an inherited job only when every worker
//! that an earlier owner used has answered, has restarted or can no longer hold a lease. Workers reject late
//! commands of earlier owners because these carry a lower fencing token.

pub mod advice;
mod advisor_calls;
mod candidates;
mod delayed;
pub mod explain;
mod fleet;
pub mod id;
mod inheritance;
pub mod job;
mod jobs;
pub mod ledger;
mod loss;
pub mod message;
mod order;
mod place;
mod plan;
pub mod poison;
mod pool;
pub mod record;
mod runs;
pub mod share;
pub mod spec;
pub mod suspicion;
mod trial;
mod verify;
pub mod wait;
pub mod work;
pub mod worker;
mod workers;

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use laburnum_derive::{message, state, value};

pub use inheritance::RemainingLease;
pub use message::{Answer, Input, Output};
pub use workers::OVERCOMMITTED;

use super::queue::{Locator, Registry};
use super::time::{Instant, Stamp};
use id::{Mark, Request, Run, Token};
use record::Phase;

/// The bits of a run number below the fencing token. One owner can start `2^RUN_BITS` runs of a job
/// before its run numbers reach those of the next owner.
const RUN_BITS: u32 = 20;

/// The longest time between two placements while steps are ready, even without an input: pauses of
/// suspect workers end and inherited workers lose their leases by the passing of time alone.
const PLACE_INTERVAL: Duration = Duration::from_millis(100);

/// The time between two checks of time-driven decisions when there is no input.
const TICK: Duration = Duration::from_millis(50);
/// A process that makes no decision for this long stood still, and another entry may have taken the
/// cell over meanwhile.
const MAX_PAUSE: Duration = Duration::from_millis(700);
/// The shortest time between two placements, so that inputs that arrive in between are placed
/// together: a placement visits every ready step, and a start takes longer than this to arrive.
const PLACE_PAUSE: Duration = Duration::from_millis(5);
/// The shortest time between two placements of all steps while more than [`FEW_STEPS`] are ready.
/// Urgent steps are placed in between, in the capacity that the others have not reserved.
const BULK_PAUSE: Duration = Duration::from_millis(25);
/// Up to this many ready steps are cheap to visit at each placement.
const FEW_STEPS: usize = 32;

/// Time limits and factors of the scheduler.
#[message]
#[derive(Copy)]
pub struct Rules {
    /// How long a worker keeps running tasks after the owner's last message.
    pub lease: Duration,
    /// The longest lease that a worker grants.
    pub max_lease: Duration,
    /// The longest time that a worker takes to stop a run.
    pub stop_time: Duration,
    /// How long the tasks of a gang wait for each other to start.
    pub gang_timeout: Duration,
    /// The run time of a task away from its data, as a multiple of its run time next to it.
    pub remote_factor: f64,
    /// How long the status of an ended job can be queried.
    pub status_kept: Duration,
}

/// The time at which an input or a tick is processed.
#[value]
pub struct Time {
    /// The monotonic clock.
    pub now: Instant,
    /// The time of day.
    pub stamp: Stamp,
}

/// An action that waits until a record is in the log.
#[state]
enum Effect {
    Accepted(id::Job),
    Ended(id::Job),
    Acknowledge {
        worker: id::Worker,
        number: u64,
    },
    /// The record of workers with this mark.
    Recorded(Mark),
}

impl Effect {
    /// Whether the effect concerns the job.
    fn is_of(&self, id: id::Job) -> bool {
        matches!(self, Effect::Accepted(job) | Effect::Ended(job) if *job == id)
    }
}

/// The contents of a poll of a worker.
#[value]
pub struct WorkerPoll {
    /// The number of the last ended run that is in the log, with all before it; 0 if the worker has
    /// forgotten these already.
    pub acknowledged: u64,
    /// The end of the lease on the worker's clock, in milliseconds; `None` when the lease is not
    /// extended.
    pub deadline_ms: Option<u64>,
}

/// Schedules the jobs of a cell; see the [module](self).
#[derive(Clone)]
pub struct Scheduler {
    rules: Rules,
    token: Token,
    began: Instant,
    jobs: HashMap<id::Job, job::Job, foldhash::fast::RandomState>,
    /// The jobs of which no task has been started, and maybe some of which one was before this ownership.
    unstarted: BTreeSet<id::Job>,
    /// Steps with waiting tasks whose dependencies are done.
    ready: BTreeSet<id::Step>,
    /// Jobs with occurrences that have not begun, ordered by the due time of the next one.
    scheduled: BTreeSet<(Stamp, id::Job)>,
    /// Ended jobs, oldest first.
    ended: VecDeque<(Instant, id::Job)>,
    workers: fleet::Fleet,
    /// The workers on which tasks may be placed, as of the last placement.
    pools: pool::Pools,
    by_name: HashMap<String, id::Worker>,
    /// When the last request to the log was sent whose response showed that no later owner had fenced
    /// the log.
    claim_confirmed_at: Instant,
    /// When the scheduler last processed an input or a tick.
    active_at: Instant,
    /// When the last pause of the process ended.
    resumed_at: Instant,
    /// The workers on which earlier owners may have started tasks.
    inherited_workers: Vec<inheritance::InheritedWorker>,
    /// When the recovery ended.
    recovered_at: Instant,
    /// When every lease that an earlier owner granted has ended, if none of them is known.
    inheritance_ends_at: Instant,
    /// When every run of an earlier owner is known or has ended, as of the last placement.
    inherited_known_at: Instant,
    /// The changes of the owner at which workers were gone.
    losses: loss::Losses,
    /// Whether the last change of the owner has been judged.
    has_noted_losses: bool,
    /// Whether a record of the present list of workers has been appended.
    is_worker_list_recorded: bool,
    /// Crashes of workers that were seen since the last tick.
    seen_crashes: Vec<trial::SeenCrash>,
    /// The workers that are kept for the trials of tasks.
    trial_holds: Vec<(id::Task, id::Worker)>,
    queues: Registry,
    /// The services that a queue has had in this ownership, or had when a job was accepted.
    services: HashSet<String>,
    /// The latest entries in the directory whose service no queue has, by the worker's name.
    unnamed: HashMap<String, worker::Entry>,
    /// The entries in the directory that contradict what is known of a worker, by its name.
    unverified: HashMap<String, verify::UnverifiedEntry>,
    /// Starts that may still arrive at a next incarnation of their worker.
    delayed: delayed::Starts,
    /// What client accounts use, and their caps.
    ledger: ledger::Ledger,
    /// What the order of client accounts is based on.
    share: share::Share,
    advisor_proxies: advice::AdvisorProxies,
    pending_calls: advice::PendingCalls,
    /// By queue, the moving average of the share of workers that the advisor permits.
    permitted_shares: HashMap<String, f64>,
    last_mark: Mark,
    durable: Mark,
    effects: VecDeque<(Mark, Effect)>,
    is_log_reachable: bool,
    /// When the addresses of workers were last recorded; `None` before that.
    addresses_recorded_at: Option<Instant>,
    /// Whether a worker has responded at an address that the record of addresses lacks.
    has_unrecorded_address: bool,
    /// The record of workers, until the end of the recovery.
    recovered_workers: Vec<(String, u64)>,
    /// The record of their addresses, until the end of the recovery.
    recovered_addresses: Vec<(String, u64, SocketAddr)>,
    /// Progress records read before their jobs.
    recovered_progress: HashMap<id::Job, record::Progress>,
    /// Whether anything that placement depends on has changed since the last placement.
    is_dirty: bool,
    /// The same since the last placement of all steps.
    is_bulk_dirty: bool,
    /// When tasks were placed last.
    placed_at: Instant,
    /// When all steps were placed last.
    bulk_placed_at: Instant,
    /// When leases and calls were last checked for their ends.
    checked_at: Instant,
    /// The capacity that was reserved at the last placement of all steps.
    reserved: plan::Reserved,
    /// Free processors that were reserved for gangs at the last placement, in thousandths of a
    /// core.
    held_cpu_millis: u64,
    /// What was done so far.
    work: work::Counter,
}

impl Scheduler {
    /// Creates the scheduler of the ownership with this fencing token.
    pub fn new(rules: Rules, token: Token, now: Instant) -> Scheduler {
        Scheduler {
            rules,
            token,
            began: now,
            jobs: HashMap::default(),
            unstarted: BTreeSet::new(),
            ready: BTreeSet::new(),
            scheduled: BTreeSet::new(),
            ended: VecDeque::new(),
            workers: fleet::Fleet::default(),
            pools: pool::Pools::default(),
            by_name: HashMap::new(),
            claim_confirmed_at: now,
            active_at: now,
            resumed_at: now,
            inherited_workers: Vec::new(),
            recovered_at: now,
            inheritance_ends_at: now,
            inherited_known_at: now,
            losses: loss::Losses::default(),
            has_noted_losses: false,
            is_worker_list_recorded: true,
            seen_crashes: Vec::new(),
            trial_holds: Vec::new(),
            queues: Registry::default(),
            services: HashSet::new(),
            unnamed: HashMap::new(),
            unverified: HashMap::new(),
            delayed: delayed::Starts::default(),
            ledger: ledger::Ledger::default(),
            share: share::Share::default(),
            advisor_proxies: advice::AdvisorProxies::default(),
            pending_calls: advice::PendingCalls::default(),
            permitted_shares: HashMap::new(),
            last_mark: Mark(0),
            durable: Mark(0),
            effects: VecDeque::new(),
            is_log_reachable: true,
            addresses_recorded_at: None,
            has_unrecorded_address: false,
            recovered_workers: Vec::new(),
            recovered_addresses: Vec::new(),
            recovered_progress: HashMap::new(),
            is_dirty: true,
            is_bulk_dirty: true,
            placed_at: now,
            bulk_placed_at: now,
            checked_at: now,
            reserved: plan::Reserved::default(),
            held_cpu_millis: 0,
            work: work::Counter::default(),
        }
    }

    /// Returns the fencing token of this ownership.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Processes one input.
    pub fn step(&mut self, time: Time, input: Input, out: &mut Vec<Output>) {
        self.note_pause(time.now);
        self.work.count_input();
        match input {
            Input::Submit {
                request,
                job,
                queue,
                endpoint,
                spec,
                account,
                at,
            } => self.submit(time, request, job, queue, endpoint, spec, account, at, out),
            Input::Cancel {
                request,
                job,
                queue,
                endpoint,
                account,
                at: _,
            } => {
                let queue = Locator::new(endpoint.as_ref(), &queue);
                self.cancel(time, request, job, queue, account.as_ref(), out);
            }
            Input::Listed(entry) => self.listed(time.now, entry, out),
            Input::Unlisted(name) => self.unlisted(&name, out),
            Input::Verified { entry, outcome } => self.verified(time, &entry, &outcome, out),
            Input::Queues(bindings) => self.set_queues(time.now, bindings, out),
            Input::Accounts(accounts) => self.ledger.configure(&accounts, time.now),
            Input::Polled {
                worker,
                sent,
                inventory,
            } => self.polled(time, worker, sent, inventory, out),
            Input::PollFailed { worker, outcome } => self.poll_failed(time, worker, &outcome, out),
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
                call,
                allowed,
                validity,
            } => self.advised(time.now, &call, allowed, validity),
            Input::AdvisorProxies(proxies) => self.advisor_proxies.set(&proxies),
            Input::ClaimConfirmed(at) => self.claim_confirmed_at = self.claim_confirmed_at.max(at),
            Input::FormerLeases { answered, leases } => {
                self.limit_inheritance(answered, &leases);
            }
            Input::Durable(mark) => self.durable(mark, out),
            Input::LogUnavailable { sent } => {
                self.is_log_reachable = false;
                self.withdraw(sent, out);
            }
            Input::LogAvailable => {
                self.is_log_reachable = true;
                // The marks of withdrawn records never become durable. A new record with a later
                // mark releases the effects that wait for them.
                self.is_worker_list_recorded = false;
            }
        }
        self.is_dirty = true;
    }

    /// Makes the decisions that are due at `time` and places waiting tasks.
    pub fn tick(&mut self, time: Time, out: &mut Vec<Output>) {
        self.note_pause(time.now);
        self.begin_occurrences(time);
        if time.now.since(self.checked_at) >= PLACE_PAUSE {
            self.checked_at = time.now;
            self.release_lapsed(time, out);
            self.repeat_stops_of_delayed_starts(time.now, out);
            self.expire_calls(time.now);
            self.drop_expired_jobs(time.now, out);
            self.report_inheritance(time.now, out);
            self.end_inheritance(time.now);
            self.stop_partial_gangs(time.now, out);
            self.note_vacated_workers();
        }
        self.note_losses(time, out);
        self.judge_crashes(time, out);
        self.record_workers(out);
        self.record_addresses(time.now, out);
        self.is_bulk_dirty |= self.is_dirty;
        let is_first = self.placed_at == self.began;
        let since = time.now.since(self.placed_at);
        let bulk_since = time.now.since(self.bulk_placed_at);
        let is_stale = bulk_since >= PLACE_INTERVAL && !self.ready.is_empty();
        let is_bulk_due = self.is_bulk_dirty && bulk_since >= self.bulk_pause();
        if is_stale || is_bulk_due || (self.is_dirty && is_first) {
            self.is_dirty = false;
            self.is_bulk_dirty = false;
            self.placed_at = time.now;
            self.bulk_placed_at = time.now;
            self.place(time, place::Steps::All, out);
        } else if self.is_dirty && since >= PLACE_PAUSE {
            self.is_dirty = false;
            self.placed_at = time.now;
            self.place(time, place::Steps::Urgent, out);
        }
    }

    /// Notices that the process stood still.
    fn note_pause(&mut self, now: Instant) {
        let pause = now.since(std::mem::replace(&mut self.active_at, now));
        if pause > MAX_PAUSE {
            self.resumed_at = now;
            // The append of a record confirms the claim sooner than the next read.
            self.is_worker_list_recorded = false;
        }
    }

    /// Returns the shortest time between two placements of all steps.
    fn bulk_pause(&self) -> Duration {
        if self.ready.len() > FEW_STEPS {
            BULK_PAUSE
        } else {
            PLACE_PAUSE
        }
    }

    /// Returns the time until the next [`tick`](Scheduler::tick) is due if there is no input.
    pub fn time_to_tick(&self, now: Instant) -> Duration {
        let until_bulk = self
            .bulk_pause()
            .saturating_sub(now.since(self.bulk_placed_at));
        if self.is_dirty {
            let until_urgent = PLACE_PAUSE.saturating_sub(now.since(self.placed_at));
            until_urgent.min(until_bulk)
        } else if self.is_bulk_dirty {
            until_bulk
        } else {
            TICK
        }
    }

    /// Returns the phase of a job of a queue according to the records that are in the log; `None`
    /// for an unknown job.
    pub fn phase<'a>(&self, job: id::Job, queue: impl Into<Locator<'a>>) -> Option<Phase> {
        let queue = queue.into();
        let job = self.jobs.get(&job);
        let job = job.filter(|job| self.queues.is_same(job.locator(), queue))?;
        if !job.is_durable {
            return None;
        }
        if job.phase.is_final() && !job.is_end_durable {
            return Some(Phase::Running);
        }
        Some(job.phase)
    }

    /// Returns the state of a job; `None` for an unknown job.
    pub fn job(&self, job: id::Job) -> Option<&job::Job> {
        self.jobs.get(&job)
    }

    /// Returns the number of accepted jobs of a queue of which no task has been started.
    pub fn pending<'a>(&self, queue: impl Into<Locator<'a>>) -> usize {
        let queue = queue.into();
        let jobs = self.unstarted.iter().filter_map(|id| self.jobs.get(id));
        let jobs = jobs.inspect(|_| self.work.count_job());
        let accepted = jobs.filter(|job| job.is_durable && job.phase == Phase::Queued);
        let of_queue = accepted.filter(|job| self.queues.is_same(job.locator(), queue));
        of_queue.count()
    }

    /// Returns the id of the worker with a name.
    pub fn worker_named(&self, name: &str) -> Option<id::Worker> {
        self.by_name.get(name).copied()
    }

    /// Returns the state of a worker; `None` for a worker that was removed.
    pub fn worker(&self, worker: id::Worker) -> Option<&worker::Worker> {
        self.workers.get(worker)
    }

    /// Returns what was done in this ownership so far.
    pub fn work(&self) -> work::Work {
        self.work.total()
    }

    /// Returns the current load, for metrics and logs.
    pub fn load(&self) -> Load {
        let usable = self.workers.values().filter(|worker| worker.is_usable());
        Load {
            jobs: self.jobs.len(),
            ready_steps: self.ready.len(),
            waiting_cpu_millis: self.ready.iter().fold(0, |sum: u64, &step| {
                sum.saturating_add(self.waiting_cpu(step))
            }),
            workers: self.workers.len(),
            usable_workers: usable.clone().count(),
            held_cpu_millis: self.held_cpu_millis,
            free_cpu_millis: usable.clone().map(|worker| worker.free().cpu_millis).sum(),
            used_cpu_millis: usable.map(|worker| worker.used.cpu_millis).sum(),
        }
    }

    /// Returns how long the urgent step has waited that waits longest; zero if none waits.
    pub fn longest_urgent_wait(&self, now: Instant) -> Duration {
        let urgent = self.ready.iter().filter(|step| {
            let job = self.jobs.get(&step.job);
            job.is_some_and(|job| job.queue.is_urgent())
        });
        let waits = urgent.map(|&step| self.waited(step, now));
        waits.max().unwrap_or_default()
    }

    /// Returns the processors that the waiting tasks of a step need, in thousandths of a core.
    fn waiting_cpu(&self, id: id::Step) -> u64 {
        let job = self.jobs.get(&id.job);
        let found =
            job.and_then(|job| Some((job.step(id)?, &job.spec.steps[usize::from(id.index)])));
        found.map_or(0, |(step, spec)| {
            spec.need.times(step.waiting as u64).cpu_millis
        })
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

    /// Applies `effect` once the record with `mark` is in the log.
    fn defer(&mut self, mark: Mark, effect: Effect) {
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
            Effect::Recorded(mark) => {
                for worker in self.workers.values_mut() {
                    worker.is_recorded = worker.recorded_since.is_some_and(|since| since <= *mark);
                }
            }
            Effect::Acknowledge { worker, number } => {
                if let Some(worker) = self.workers.get_mut(*worker) {
                    worker.acknowledged = worker.acknowledged.max(*number);
                }
            }
        }
    }

    /// Returns the number below those of all runs that this owner starts.
    fn first_run(&self) -> Run {
        Run(self.token.0 << RUN_BITS)
    }
}

/// Returns the owner that started a run.
fn owner_of(run: Run) -> Token {
    Token(run.0 >> RUN_BITS)
}

fn answer(request: Request, answer: Answer) -> Output {
    Output::Answer {
        request,
        answer: Ok(answer),
    }
}

/// The load of a scheduler's cell.
#[value]
pub struct Load {
    /// Jobs whose status can be queried, including ended ones.
    pub jobs: usize,
    /// Steps with waiting tasks whose dependencies are done.
    pub ready_steps: usize,
    /// Processors that the waiting tasks of these steps need, in thousandths of a core.
    pub waiting_cpu_millis: u64,
    /// Known workers.
    pub workers: usize,
    /// Workers on which new tasks may be placed.
    pub usable_workers: usize,
    /// Free processors that are reserved for gangs, in thousandths of a core.
    pub held_cpu_millis: u64,
    /// Free processors of the usable workers, in thousandths of a core.
    pub free_cpu_millis: u64,
    /// Used processors of the usable workers, in thousandths of a core.
    pub used_cpu_millis: u64,
}
