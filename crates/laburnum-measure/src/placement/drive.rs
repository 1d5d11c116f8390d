//! Drives a cell with a fake clock: workers that run what they get, and a log that takes 20 ms.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::time::Duration;

use laburnumplank::core::id::{self, Attempt};
use laburnumplank::core::placement::policy::Policy;
use laburnumplank::core::placement::{Cell, Input, Job, Output, Recovery, Settings, Start};
use laburnumplank::core::resource::Amount;
use laburnumplank::core::time::Instant;
use laburnumplank::platform::worker::{Action, Inventory, Report, State};

use rand::RngExt as _;
use rand_pcg::Pcg64Mcg;

use super::trace::Site;

/// How long the log takes to make a batch durable.
const LOG_TAKES: Duration = Duration::from_millis(20);

/// How long a checkpoint takes.
const CHECKPOINT_TAKES: Duration = Duration::from_millis(200);

/// How long the owner's lease lasts: the whole measurement.
const LEASE: Duration = Duration::from_secs(1_000_000);

/// What a worker runs of one attempt.
#[derive(Clone, Copy, Debug)]
struct Running {
    worker: id::Worker,
    size: Amount,
}

/// A start, as the driver saw it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Begun {
    pub(super) attempt: Attempt,
    pub(super) at: Instant,
}

/// A cell with the platform around it.
pub(super) struct Driver<P: Policy> {
    pub(super) cell: Cell<P>,
    pub(super) now: Instant,
    pub(super) begun: Vec<Begun>,
    pub(super) messages: u64,
    pub(super) records: u64,
    /// Attempts that were started, the ended ones among them.
    started: Vec<Attempt>,
    runs_for: HashMap<id::Job, Duration>,
    running: HashMap<Attempt, Running>,
    by_worker: BTreeMap<id::Worker, BTreeSet<Attempt>>,
    ends: BinaryHeap<Reverse<(Instant, Attempt, u8)>>,
    commits: BinaryHeap<Reverse<(Instant, u64)>>,
    out: Vec<Output>,
}

impl<P: Policy> Driver<P> {
    /// Makes a cell over the workers of a site and reads their empty inventories.
    pub(super) fn new(site: Site, settings: Settings) -> Driver<P> {
        let now = Instant(0);
        let fence = settings.tuning.start_bound();
        let recovery = Recovery::new(now, now + LEASE, settings);
        let mut driver = Driver {
            cell: Cell::recover(recovery, []),
            now,
            begun: Vec::new(),
            messages: 0,
            records: 0,
            started: Vec::new(),
            runs_for: HashMap::new(),
            running: HashMap::new(),
            by_worker: BTreeMap::new(),
            ends: BinaryHeap::new(),
            commits: BinaryHeap::new(),
            out: Vec::new(),
        };
        for worker in site.list() {
            driver.step(Input::Joined(worker));
        }
        driver.advance(fence);
        driver
    }

    /// Submits a job whose tasks run for `runs_for`.
    pub(super) fn submit(&mut self, job: &Job, runs_for: Duration) {
        self.note(job, runs_for);
        self.step(Input::Accept(Box::new(job.clone())));
    }

    /// Takes note of how long the tasks of a job run.
    pub(super) fn note(&mut self, job: &Job, runs_for: Duration) {
        self.runs_for.insert(job.id, runs_for);
    }

    /// Lets time pass and gives the cell a tick.
    pub(super) fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        self.now = until;
        while let Some(&Reverse((at, number))) = self.commits.peek() {
            if at > until {
                break;
            }
            self.commits.pop();
            self.step(Input::Durable(number));
        }
        while let Some(&Reverse((at, attempt, state))) = self.ends.peek() {
            if at > until {
                break;
            }
            self.ends.pop();
            self.end(attempt, STATES[usize::from(state)]);
        }
        self.step(Input::Tick);
    }

    /// Hands an input to the cell and does what it asks for.
    pub(super) fn step(&mut self, input: Input) {
        let mut out = std::mem::take(&mut self.out);
        self.cell.step(self.now, input, &mut out);
        for output in out.drain(..) {
            self.handle(output);
        }
        self.out = out;
    }

    fn handle(&mut self, output: Output) {
        match output {
            Output::Commit(batch) => {
                self.records += batch.records.len() as u64;
                self.commits
                    .push(Reverse((self.now + LOG_TAKES, batch.number)));
            }
            Output::Start(start) => self.start(&start),
            Output::Renew { .. } => self.messages += 1,
            Output::Control {
                attempt, action, ..
            } => self.control(attempt, action),
            Output::RequestInventory { worker, request } => self.answer(worker, request),
            Output::Canceled(_) | Output::Ended { .. } | Output::Fenced => {}
        }
    }

    fn start(&mut self, start: &Start) {
        self.messages += 1;
        let runs_for = self.runs_for[&start.attempt.task.job];
        let running = Running {
            worker: start.worker,
            size: start.size,
        };
        self.running.insert(start.attempt, running);
        self.by_worker
            .entry(start.worker)
            .or_default()
            .insert(start.attempt);
        self.ends
            .push(Reverse((self.now + runs_for, start.attempt, SUCCEEDED)));
        self.started.push(start.attempt);
        self.begun.push(Begun {
            attempt: start.attempt,
            at: self.now,
        });
        self.step(Input::Started(start.attempt));
    }

    fn control(&mut self, attempt: Attempt, action: Action) {
        self.messages += 1;
        let state = match action {
            Action::Throttle => return,
            Action::Checkpoint => CHECKPOINTED,
            Action::Stop => STOPPED,
        };
        self.ends
            .push(Reverse((self.now + CHECKPOINT_TAKES, attempt, state)));
    }

    fn answer(&mut self, worker: id::Worker, request: u64) {
        self.messages += 1;
        let attempts = self.by_worker.get(&worker);
        let tasks = attempts
            .into_iter()
            .flatten()
            .map(|&attempt| self.report(attempt, State::Running, self.running[&attempt].size))
            .collect();
        let inventory = Inventory {
            incarnation: 1,
            tasks,
        };
        self.step(Input::Inventory {
            worker,
            request,
            inventory,
        });
    }

    fn report(&self, attempt: Attempt, state: State, size: Amount) -> Report {
        Report {
            attempt,
            state,
            size,
            usage: size,
        }
    }

    /// Ends an attempt that still runs.
    fn end(&mut self, attempt: Attempt, state: State) {
        let Some(running) = self.running.remove(&attempt) else {
            return;
        };
        if let Some(attempts) = self.by_worker.get_mut(&running.worker) {
            attempts.remove(&attempt);
        }
        let report = self.report(attempt, state, running.size);
        let worker = running.worker;
        self.step(Input::Report { worker, report });
    }

    /// Ends a running attempt drawn at random, if any runs.
    pub(super) fn finish_one(&mut self, random: &mut Pcg64Mcg) {
        while !self.started.is_empty() {
            let number = random.random_range(0..self.started.len());
            let attempt = self.started.swap_remove(number);
            if self.running.contains_key(&attempt) {
                return self.end(attempt, State::Succeeded);
            }
        }
    }

    /// Returns how many attempts run.
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }
}

/// States by their number in the queue of ends.
const STATES: [State; 3] = [State::Succeeded, State::Checkpointed, State::Stopped];
const SUCCEEDED: u8 = 0;
const CHECKPOINTED: u8 = 1;
const STOPPED: u8 = 2;
