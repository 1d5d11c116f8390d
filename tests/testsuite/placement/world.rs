//! A simulated platform around one cell.
//!
//! Messages between the cell and the workers are delayed, reordered, lost or duplicated. The log
//! stores batches after a delay, or is unavailable. The owner can be killed; once its lease has
//! ended, a new cell takes over from the records in the log. The oracle checks the tasks that
//! workers actually run.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnumplank::core::id::{self, Task, Team};
use laburnumplank::core::placement::job::End;
use laburnumplank::core::placement::settings::Rules;
use laburnumplank::core::placement::{
    Batch, Cell, Input, Job, Output, Quota, Record, Recovery, Settings, Worker,
};
use laburnumplank::core::resource::Amount;
use laburnumplank::core::time::Instant;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use super::fake::{Behaviour, FakeWorker};
use super::oracle::Violation;
use super::{amount, tuning, worker};

const TICK: Duration = Duration::from_millis(20);
const OWNER_LEASE: Duration = Duration::from_millis(2_000);
/// The maximum range of clock skew of a worker, which is less than the margin in the settings.
const SKEW_MICROS: u64 = 100_000;
pub(crate) const WORKER: Amount = Amount {
    cpu_millis: 16_000,
    memory_mib: 64_000,
    accelerators: 2,
};

enum Event {
    ToWorker(id::Worker, Output),
    ToCell(u64, Input),
    Commit(u64, Batch),
}

pub(crate) struct World {
    pub(crate) now: Instant,
    pub(crate) cell: Option<Cell>,
    pub(crate) log: Vec<Record>,
    pub(crate) workers: BTreeMap<id::Worker, FakeWorker>,
    pub(crate) notices: Vec<Output>,
    rules: Rules,
    pub(super) settings: Settings,
    random: Pcg64Mcg,
    epoch: u64,
    owner_until: Instant,
    log_down_until: Instant,
    was_unrecorded: bool,
    /// Ceilings are not checked before this time, because unrecorded starts may still be unknown.
    pub(super) quota_from: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    pub(super) behaviours: BTreeMap<id::Job, Behaviour>,
    sizes: BTreeMap<id::Job, Amount>,
    pub(super) teams: BTreeMap<id::Job, Team>,
    pub(super) ends: BTreeMap<id::Job, End>,
    listed: BTreeMap<id::Worker, Worker>,
}

impl World {
    pub(crate) fn new(seed: u64, workers: u32, rules: Rules) -> World {
        let quota = Quota {
            share: amount(24_000, 96_000, 4),
            ceiling: amount(48_000, 192_000, 8),
        };
        let settings = Settings {
            tuning: tuning(),
            quotas: BTreeMap::from([(Team("a".to_owned()), quota)]),
        };
        let mut world = World {
            now: Instant(1_000_000),
            cell: None,
            log: Vec::new(),
            workers: BTreeMap::new(),
            notices: Vec::new(),
            rules,
            settings,
            random: Pcg64Mcg::seed_from_u64(seed),
            epoch: 0,
            owner_until: Instant(0),
            log_down_until: Instant(0),
            was_unrecorded: false,
            quota_from: Instant(0),
            events: BTreeMap::new(),
            sequence: 0,
            behaviours: BTreeMap::new(),
            sizes: BTreeMap::new(),
            teams: BTreeMap::new(),
            ends: BTreeMap::new(),
            listed: BTreeMap::new(),
        };
        for number in 0..workers {
            let accelerators = u64::from(number % 2) * 2;
            let size = Amount {
                accelerators,
                ..WORKER
            };
            world.add_worker(worker(number, size));
        }
        world.start_owner();
        world
    }

    fn add_worker(&mut self, worker: Worker) {
        self.workers.insert(worker.id, FakeWorker::new(worker));
        self.listed.insert(worker.id, worker);
        self.schedule(Duration::from_millis(50), Input::Joined(worker));
    }

    /// Fences the old owner and starts a new one from the records in the log.
    fn start_owner(&mut self) {
        if let Some(mut old) = self.cell.take() {
            let mut out = Vec::new();
            old.step(self.now, Input::Tick, &mut out);
            old.step(self.now, Input::Tick, &mut out);
            assert_eq!(out, [Output::Fenced], "a fenced owner does nothing");
        }
        self.epoch += 1;
        self.events
            .retain(|_, event| matches!(event, Event::ToWorker(..)));
        self.owner_until = self.now + OWNER_LEASE;
        let mut recovery = Recovery::new(self.now, self.owner_until, self.settings.clone());
        recovery.rules = self.rules;
        recovery.unrecorded = self.was_unrecorded;
        if recovery.unrecorded {
            let lease_bound = self.settings.tuning.lease_bound();
            self.quota_from = self.now + lease_bound + lease_bound;
        }
        self.cell = Some(Cell::recover(recovery, self.log.clone()));
        for worker in self.listed.clone().into_values() {
            self.input(Input::Joined(worker));
        }
    }

    /// Kills the owner, or pauses it until its lease has ended, and lets a new owner take over. The
    /// batches among a random number of the next events still reach the log, unless it is
    /// unavailable.
    pub(crate) fn kill_owner(&mut self, is_pause: bool) -> Option<Violation> {
        let old = self.cell.take()?;
        let event_count = match self.now < self.log_down_until {
            true => 0,
            false => self.random.random_range(0..=self.events.len()),
        };
        let mut batches: Vec<Record> = Vec::new();
        for event in self.events.values().take(event_count) {
            if let Event::Commit(_, batch) = event {
                batches.extend(batch.records.clone());
            }
        }
        self.append(batches);
        let violation = self.run(self.owner_until.since(self.now));
        self.cell = is_pause.then_some(old);
        self.start_owner();
        violation
    }

    /// Makes the log unavailable for `span`. When `is_unrecorded` is set, the standbys have agreed
    /// that starts may be sent before their records are durable.
    pub(crate) fn log_down(&mut self, span: Duration, is_unrecorded: bool) {
        self.log_down_until = self.now + span;
        if is_unrecorded {
            self.was_unrecorded = true;
            self.input(Input::Unrecorded(true));
        }
    }

    pub(crate) fn submit(&mut self, job: Job, behaviour: Behaviour) {
        let Some(cell) = &self.cell else { return };
        if self.now < self.log_down_until || cell.admit(&job).is_err() {
            return;
        }
        self.add_job(&job, behaviour);
        self.input(Input::Accept(Box::new(job.clone())));
        if self.random.random_bool(0.2) {
            self.input(Input::Accept(Box::new(job)));
        }
    }

    /// Appends the job's acceptance to the log and registers its behaviour.
    pub(crate) fn add_job(&mut self, job: &Job, behaviour: Behaviour) {
        self.behaviours.insert(job.id, behaviour);
        self.sizes.insert(job.id, job.size);
        self.teams.insert(job.id, job.team.clone());
        self.append(vec![Record::Accepted(Box::new(job.clone()))]);
    }

    pub(crate) fn jobs(&self) -> Vec<id::Job> {
        self.behaviours.keys().copied().collect()
    }

    pub(crate) fn nth_worker(&mut self, number: usize) -> Option<&mut FakeWorker> {
        let up: Vec<id::Worker> = self
            .workers
            .iter()
            .filter(|(_, fake)| fake.is_up)
            .map(|(id, _)| *id)
            .collect();
        let id = up.get(number % up.len().max(1))?;
        self.workers.get_mut(id)
    }

    /// Kills a worker. The VM list drops it later and shows a new worker in its place.
    pub(crate) fn kill_worker(&mut self, number: usize) {
        let Some(fake) = self.nth_worker(number) else {
            return;
        };
        fake.is_up = false;
        let mut spec = fake.worker;
        self.listed.remove(&spec.id);
        self.schedule(Duration::from_millis(700), Input::Gone(spec.id));
        let next = self.workers.keys().next_back().map_or(0, |id| id.0 + 1);
        spec.id = id::Worker(next);
        self.add_worker(spec);
    }

    pub(crate) fn schedule(&mut self, span: Duration, input: Input) {
        let epoch = self.epoch;
        self.push(span, Event::ToCell(epoch, input));
    }

    fn push(&mut self, span: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + span, self.sequence), event);
    }

    /// Appends records to the log and registers the ends of jobs.
    fn append(&mut self, records: Vec<Record>) {
        for record in &records {
            if let Record::Ended { job, end } = record {
                self.ends.entry(*job).or_insert(*end);
            }
        }
        self.log.extend(records);
    }

    /// Passes an input to the cell and processes its outputs.
    pub(crate) fn input(&mut self, input: Input) {
        let Some(cell) = &mut self.cell else { return };
        let mut out = Vec::new();
        cell.step(self.now, input, &mut out);
        for output in out {
            self.output(output);
        }
    }

    fn output(&mut self, output: Output) {
        let worker = match &output {
            Output::Commit(batch) => {
                let wait = self.log_down_until.since(self.now);
                let span = wait + Duration::from_millis(self.random.random_range(5..60));
                let (epoch, batch) = (self.epoch, batch.clone());
                return self.push(span, Event::Commit(epoch, batch));
            }
            Output::Start(start) => start.worker,
            Output::Renew { worker, .. }
            | Output::Control { worker, .. }
            | Output::RequestInventory { worker, .. } => *worker,
            _ => return self.notices.push(output),
        };
        if let Some(span) = self.delay(worker) {
            self.push(span, Event::ToWorker(worker, output));
        }
    }

    /// Returns how long a message to or from a worker takes, or `None` when it is lost.
    fn delay(&mut self, worker: id::Worker) -> Option<Duration> {
        let fake = self.workers.get(&worker)?;
        if self.now < fake.isolated_until || self.random.random_bool(0.02) {
            return None;
        }
        let longest = if self.now < fake.slow_until {
            1_200
        } else {
            30
        };
        Some(Duration::from_millis(self.random.random_range(1..longest)))
    }

    /// Sends an answer from a worker; some answers are lost, others are duplicated.
    fn answer(&mut self, worker: id::Worker, input: &Input) {
        let repeats = if self.random.random_bool(0.1) { 2 } else { 1 };
        for _ in 0..repeats {
            if let Some(span) = self.delay(worker) {
                self.schedule(span, input.clone());
            }
        }
    }

    fn deliver(&mut self, id: id::Worker, output: Output) {
        let now = self.now;
        let skewed = Instant(now.0 + self.random.random_range(0..SKEW_MICROS))
            - Duration::from_micros(SKEW_MICROS / 2);
        let Some(fake) = self.workers.get_mut(&id).filter(|fake| fake.is_up) else {
            return;
        };
        if now < fake.paused_until {
            let span = fake.paused_until.since(now);
            return self.push(span, Event::ToWorker(id, output));
        }
        let reports = fake.advance(now);
        match output {
            Output::Start(start) => {
                let behaviour = self.behaviours[&start.attempt.task.job];
                let declared = self.sizes[&start.attempt.task.job];
                let is_started = fake.start(skewed, &start, behaviour, declared);
                let answer = match is_started {
                    true => Input::Started(start.attempt),
                    false => Input::Refused(start.attempt),
                };
                self.answer(id, &answer);
            }
            Output::Renew {
                attempts,
                lease,
                not_after,
                ..
            } if skewed <= not_after => {
                fake.renew(now, &attempts, lease);
            }
            Output::Control {
                attempt, action, ..
            } => fake.control(now, attempt, action),
            Output::RequestInventory { request, .. } => {
                let inventory = fake.inventory();
                self.answer(
                    id,
                    &Input::Inventory {
                        worker: id,
                        request,
                        inventory,
                    },
                );
            }
            _ => {}
        }
        for report in reports {
            self.answer(id, &Input::Report { worker: id, report });
        }
    }

    /// Advances time by `span`, event by event, and returns the first violation.
    pub(crate) fn run(&mut self, span: Duration) -> Option<Violation> {
        let end = self.now + span;
        let mut violation = None;
        while self.now < end {
            let until = (self.now + TICK).min(end);
            while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= until) {
                let ((at, _), event) = entry.remove_entry();
                self.now = self.now.max(at);
                self.handle(event);
            }
            self.now = until;
            self.renew_owner();
            self.advance_workers();
            self.input(Input::Tick);
            violation = violation.or_else(|| self.check());
        }
        violation
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ToWorker(id, output) => self.deliver(id, output),
            Event::ToCell(epoch, input) if epoch == self.epoch => self.input(input),
            Event::Commit(epoch, batch) if epoch == self.epoch && self.cell.is_some() => {
                self.append(batch.records);
                self.input(Input::Durable(batch.number));
            }
            _ => {}
        }
    }

    fn renew_owner(&mut self) {
        if self.cell.is_none() {
            return;
        }
        if self.owner_until.since(self.now) < OWNER_LEASE / 2 {
            self.owner_until = self.now + OWNER_LEASE;
            self.input(Input::Lease(self.owner_until));
        }
        if self.was_unrecorded && self.now > self.log_down_until {
            self.input(Input::Unrecorded(false));
            self.was_unrecorded = !self.cell.as_ref().is_some_and(Cell::is_fully_recorded);
        }
    }

    fn advance_workers(&mut self) {
        let now = self.now;
        let mut reports = Vec::new();
        for (id, fake) in &mut self.workers {
            if fake.is_up && now >= fake.paused_until {
                reports.extend(fake.advance(now).into_iter().map(|report| (*id, report)));
            }
        }
        for (worker, report) in reports {
            self.answer(worker, &Input::Report { worker, report });
        }
    }

    /// Ends all faults and checks that after `span` every job has ended, except running services.
    pub(crate) fn converge(&mut self, span: Duration) -> Option<Violation> {
        for fake in self.workers.values_mut() {
            fake.fails_all = false;
            fake.paused_until = self.now;
            fake.isolated_until = self.now;
            fake.slow_until = self.now;
        }
        self.log_down_until = self.now;
        let violation = self.run(span);
        violation.or_else(|| self.check_finished())
    }

    /// Returns the workers and tasks of all running attempts of a job.
    pub(crate) fn running(&self, job: id::Job) -> Vec<(id::Worker, Task)> {
        let now = self.now;
        let of = |fake: &FakeWorker| {
            let id = fake.worker.id;
            let tasks = fake.running(now).filter(|(task, _)| task.job == job);
            tasks.map(move |(task, _)| (id, task)).collect::<Vec<_>>()
        };
        self.workers.values().flat_map(of).collect()
    }
}
