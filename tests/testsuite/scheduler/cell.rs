//! A test cell: a scheduler with a simulated log and clock, which records the scheduler's outputs.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use laburnumplank::core::account;
use laburnumplank::core::error::Error;
use laburnumplank::core::resource::Amount;
use laburnumplank::core::scheduler::advice::AdvisorCall;
use laburnumplank::core::scheduler::id::{Job, Mark, Request, Run, Step, Task, Token, Worker};
use laburnumplank::core::scheduler::message::{
    ActiveRun, EndedRun, Inventory, Outcome, RunEnd, Start,
};
use laburnumplank::core::scheduler::spec::{self, Queue, Spec};
use laburnumplank::core::scheduler::worker::Entry;
use laburnumplank::core::scheduler::{Answer, Input, Output, Rules, Scheduler, Time};
use laburnumplank::core::time::{Instant, Stamp};

/// The time of day at `Instant(0)`, in milliseconds since the Unix epoch.
const START_STAMP_MS: u64 = 1_700_000_000_000;

/// What the clocks of workers show at `Instant(0)`, in milliseconds.
pub(super) const CLOCK_OFFSET_MS: u64 = 1_000_000;

/// The longest time that the scheduler waits between two placements while inputs arrive.
const PLACE_PAUSE: Duration = Duration::from_millis(5);

pub(crate) fn rules() -> Rules {
    Rules {
        lease: Duration::from_millis(4_500),
        max_lease: Duration::from_millis(6_000),
        stop_time: Duration::from_millis(400),
        gang_timeout: Duration::from_millis(3_000),
        remote_factor: 3.0,
        status_kept: Duration::from_secs(120),
    }
}

pub(super) fn queue() -> Queue {
    Queue {
        name: "filings".to_owned(),
        service: "desk".to_owned(),
        priority: 1,
        attempts: 2,
        slack_factor: 2.0,
        target: Duration::from_millis(1_000),
        advice: None,
    }
}

pub(super) fn step(tasks: u16) -> spec::Step {
    spec::Step {
        tasks,
        need: Amount {
            cpu_millis: 4_000,
            memory_mib: 1_000,
            accelerators: 0,
        },
        estimate: Duration::from_millis(1_000),
        ..spec::Step::default()
    }
}

pub(super) fn spec(steps: Vec<spec::Step>) -> Arc<Spec> {
    Arc::new(Spec {
        payload: "filing".to_owned(),
        steps,
        schedule: None,
    })
}

pub(super) fn task(job: u64, step: u16, index: u16) -> Task {
    let step = Step {
        job: Job(job),
        occurrence: 0,
        index: step,
    };
    Task { step, index }
}

pub(super) fn entry(name: &str) -> Entry {
    Entry {
        name: name.to_owned(),
        incarnation: 1,
        address: "127.0.0.1:9".parse().unwrap(),
        service: "desk".to_owned(),
        data_centre: "quimper".to_owned(),
        capacity: Amount {
            cpu_millis: 16_000,
            memory_mib: 64_000,
            accelerators: 0,
        },
        labels: vec!["a".to_owned(), "r1".to_owned()],
        rack: Some("r1".to_owned()),
        draining: false,
    }
}

/// One ownership of a cell, with the outputs of its scheduler so far.
pub(super) struct Cell {
    rules: Rules,
    pub(super) scheduler: Scheduler,
    pub(super) now: Instant,
    /// How far the time of day is behind.
    behind: Duration,
    /// Appends that the log has not confirmed, in order.
    pub(super) unconfirmed: VecDeque<(Mark, Vec<u8>, Option<Vec<u8>>)>,
    /// The records in the log, by key.
    pub(super) log: BTreeMap<Vec<u8>, Vec<u8>>,
    /// Start commands, in order.
    pub(super) starts: Vec<(Worker, Start)>,
    pub(super) stops: Vec<(Worker, Task, Run)>,
    /// Entries whose address is to be polled, in order.
    pub(super) verifications: Vec<Entry>,
    /// Calls to the advisor, in order.
    pub(super) calls: Vec<AdvisorCall>,
    pub(super) answers: Vec<(Request, Result<Answer, Error>)>,
    /// Changes of workers, in order.
    pub(super) events: Vec<(Worker, &'static str)>,
    /// Log lines on runs that left a worker without an end, and on runs of earlier owners.
    pub(super) beliefs: Vec<Output>,
    pub(super) is_superseded: bool,
    /// Whether reads of the log confirm the claim of this owner.
    pub(super) is_claim_confirmed: bool,
}

impl Cell {
    pub(super) fn new(token: u64) -> Cell {
        Cell::at(token, Instant(0))
    }

    pub(super) fn at(token: u64, now: Instant) -> Cell {
        Cell::with_rules(token, now, rules())
    }

    pub(super) fn with_rules(token: u64, now: Instant, rules: Rules) -> Cell {
        Cell {
            rules,
            scheduler: Scheduler::new(rules, Token(token), now),
            now,
            behind: Duration::ZERO,
            unconfirmed: VecDeque::new(),
            log: BTreeMap::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            verifications: Vec::new(),
            calls: Vec::new(),
            answers: Vec::new(),
            events: Vec::new(),
            beliefs: Vec::new(),
            is_superseded: false,
            is_claim_confirmed: true,
        }
    }

    /// Creates the next owner, which recovers from the records in the log.
    pub(super) fn successor(&self, token: u64) -> Cell {
        self.successor_after(token, Duration::ZERO)
    }

    /// Creates the next owner, whose recovery takes `span`.
    pub(super) fn successor_after(&self, token: u64, span: Duration) -> Cell {
        self.recover(Cell::with_rules(token, self.now, self.rules), span)
    }

    /// Creates the next owner, whose time of day is behind that of this one.
    pub(super) fn successor_behind(&self, token: u64, behind: Duration) -> Cell {
        let mut cell = Cell::with_rules(token, self.now, self.rules);
        cell.behind = behind;
        self.recover(cell, Duration::ZERO)
    }

    /// Creates the next owner, which finds only the first `count` of the unconfirmed records.
    pub(super) fn successor_with(&self, token: u64, count: usize) -> Cell {
        let mut log = Cell::with_rules(token, self.now, self.rules);
        log.log.clone_from(&self.log);
        log.store(self.unconfirmed.iter().take(count).cloned());
        log.successor(token)
    }

    fn recover(&self, mut cell: Cell, span: Duration) -> Cell {
        for (key, value) in &self.log {
            assert!(cell.scheduler.restore_record(cell.time(), key, value));
        }
        cell.log.clone_from(&self.log);
        cell.now = cell.now + span;
        let mut out = Vec::new();
        cell.scheduler.finish_recovery(cell.time(), &mut out);
        cell.take(out);
        cell
    }

    /// Passes the leases that are left after `former`, which has ended, to this owner.
    pub(super) fn inherit_leases(&mut self, former: &Cell) {
        let leases = former.scheduler.remaining_leases(self.now);
        self.input(Input::FormerLeases {
            answered: self.now,
            leases,
        });
        self.tick();
    }

    pub(super) fn time(&self) -> Time {
        Time {
            now: self.now,
            stamp: Stamp(START_STAMP_MS + self.now.0 / 1_000 - self.behind.as_millis() as u64),
        }
    }

    pub(super) fn input(&mut self, input: Input) {
        let mut out = Vec::new();
        self.scheduler.step(self.time(), input, &mut out);
        self.take(out);
    }

    pub(super) fn tick(&mut self) {
        // The scheduler pauses between two placements.
        self.now = self.now + self.scheduler.time_to_tick(self.now).min(PLACE_PAUSE);
        if self.is_claim_confirmed {
            self.input(Input::ClaimConfirmed(self.now));
        }
        let mut out = Vec::new();
        self.scheduler.tick(self.time(), &mut out);
        self.take(out);
    }

    pub(super) fn wait(&mut self, span: Duration) {
        self.now = self.now + span;
        self.tick();
    }

    /// Confirms all appends, which puts their records in the log.
    pub(super) fn confirm(&mut self) {
        let last = self.unconfirmed.back().map(|(mark, ..)| *mark);
        let records = std::mem::take(&mut self.unconfirmed);
        self.store(records);
        if let Some(mark) = last {
            self.input(Input::Durable(mark));
        }
        self.tick();
    }

    fn store(&mut self, records: impl IntoIterator<Item = (Mark, Vec<u8>, Option<Vec<u8>>)>) {
        for (_, key, value) in records {
            match value {
                Some(value) => self.log.insert(key, value),
                None => self.log.remove(&key),
            };
        }
    }

    fn take(&mut self, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Append { mark, key, value } => {
                    self.unconfirmed.push_back((mark, key, value));
                }
                Output::Start { worker, start, .. } => self.starts.push((worker, start)),
                Output::Stop { worker, task, run } => self.stops.push((worker, task, run)),
                Output::CallAdvisor(call) => self.calls.push(call),
                Output::Answer { request, answer } => self.answers.push((request, answer)),
                Output::Superseded => self.is_superseded = true,
                Output::Withdraw { key } => self.unconfirmed.retain(|(_, other, _)| *other != key),
                Output::Worker { worker, event, .. } => self.events.push((worker, event)),
                Output::Released { .. } | Output::PassedOn { .. } | Output::Inherited { .. } => {
                    self.beliefs.push(output);
                }
                Output::Verify { entry, .. } => self.verifications.push(entry),
                Output::Adopted { .. }
                | Output::Voided { .. }
                | Output::Contradiction { .. }
                | Output::UnnamedService { .. }
                | Output::Lost { .. }
                | Output::Crashed { .. }
                | Output::GivenUp { .. }
                | Output::Ended { .. }
                | Output::Phase { .. } => {}
            }
        }
    }

    /// Lists a worker, which responds to its first poll with an empty inventory.
    pub(super) fn add_worker(&mut self, name: &str) -> Worker {
        let worker = self.list_worker(name);
        self.poll(worker, Vec::new(), Vec::new());
        worker
    }

    /// Lists a worker, and confirms the record of workers.
    pub(super) fn list_worker(&mut self, name: &str) -> Worker {
        self.input(Input::Listed(entry(name)));
        self.tick();
        self.confirm();
        self.scheduler.worker_named(name).unwrap()
    }

    /// Lists the next incarnation of a worker, which confirms its entry, and confirms the record of workers.
    pub(super) fn restart_worker(&mut self, name: &str) -> Worker {
        let mut restarted = entry(name);
        restarted.incarnation += 1;
        self.input(Input::Listed(restarted));
        self.finish_verifications(&Outcome::Done(None));
        self.tick();
        self.confirm();
        self.scheduler.worker_named(name).unwrap()
    }

    /// Delivers the outcome of all polls that verify entries.
    pub(super) fn finish_verifications(&mut self, outcome: &Outcome) {
        for entry in std::mem::take(&mut self.verifications) {
            self.input(Input::Verified {
                entry,
                outcome: outcome.clone(),
            });
        }
    }

    /// Cancels a job; the record of its end is not confirmed.
    pub(super) fn cancel(&mut self, job: u64) {
        let at = self.time().stamp;
        self.input(Input::Cancel {
            request: Request(100 + job),
            job: Job(job),
            queue: queue().name,
            endpoint: None,
            account: None,
            at,
        });
        self.tick();
    }

    /// Polls a worker, which responds with this inventory.
    pub(super) fn poll(&mut self, worker: Worker, running: Vec<ActiveRun>, ended: Vec<EndedRun>) {
        self.poll_with(worker, running, ended, true);
    }

    /// Polls a worker, which responds with an inventory that may be incomplete.
    pub(super) fn poll_with(
        &mut self,
        worker: Worker,
        running: Vec<ActiveRun>,
        ended: Vec<EndedRun>,
        is_complete: bool,
    ) {
        let sent = self.now;
        self.scheduler.poll(sent, worker);
        let clock_ms = CLOCK_OFFSET_MS + self.now.0 / 1_000;
        self.input(Input::Polled {
            worker,
            sent,
            inventory: Inventory {
                clock_ms,
                running,
                ended,
                is_complete,
            },
        });
        self.tick();
    }

    /// Delivers the outcome of a poll without a response, or with a refusal.
    pub(super) fn fail_poll(&mut self, worker: Worker, outcome: Outcome) {
        self.input(Input::PollFailed { worker, outcome });
        self.tick();
    }

    pub(super) fn submit(&mut self, job: u64, queue: Queue, spec: Arc<Spec>) {
        let at = self.time().stamp;
        self.input(Input::Submit {
            request: Request(job),
            job: Job(job),
            queue,
            endpoint: None,
            spec,
            account: None,
            at,
        });
        self.tick();
    }

    /// Submits a job of a client account, without a placement.
    pub(super) fn submit_for(&mut self, job: u64, account: &str, spec: Arc<Spec>) {
        let at = self.time().stamp;
        self.input(Input::Submit {
            request: Request(job),
            job: Job(job),
            queue: queue(),
            endpoint: None,
            spec,
            account: Some(account::Name(account.to_owned())),
            at,
        });
    }

    /// Delivers the outcome of a start command.
    pub(super) fn finish_start(&mut self, worker: Worker, start: &Start, outcome: Outcome) {
        self.input(Input::Started {
            worker,
            task: start.task,
            run: start.run,
            outcome,
        });
    }

    /// Confirms all start commands so far and returns them.
    pub(super) fn accept_starts(&mut self) -> Vec<(Worker, Start)> {
        let starts = std::mem::take(&mut self.starts);
        for (worker, start) in &starts {
            self.finish_start(*worker, start, Outcome::Done(None));
        }
        self.now = self.now + Duration::from_millis(1);
        self.tick();
        starts
    }
}

/// Returns a cell with a task that the worker `w1` runs and has reported, its start, and a free worker `w2`.
pub(super) fn cell_with_a_run() -> (Cell, Worker, Start) {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    let (_, start) = cell.accept_starts().remove(0);
    cell.poll(worker, vec![running(&start)], Vec::new());
    cell.add_worker("w2");
    (cell, worker, start)
}

/// Returns an owner with a start on `w1` that has this outcome and is not reported, and an idle worker `w2`.
pub(super) fn owner_with_start(outcome: Outcome) -> (Cell, Worker, Start) {
    let mut cell = Cell::new(1);
    let worker = cell.add_worker("w1");
    cell.submit(7, queue(), spec(vec![step(1)]));
    cell.confirm();
    let (_, start) = cell.starts.remove(0);
    cell.finish_start(worker, &start, outcome);
    cell.add_worker("w2");
    (cell, worker, start)
}

pub(super) fn ended(number: u64, start: &Start, end: RunEnd) -> EndedRun {
    EndedRun {
        number,
        task: start.task,
        run: start.run,
        end,
        checkpoint: None,
    }
}

pub(super) fn running(start: &Start) -> ActiveRun {
    ActiveRun {
        task: start.task,
        run: start.run,
        checkpoint: None,
        percent: 10,
    }
}
