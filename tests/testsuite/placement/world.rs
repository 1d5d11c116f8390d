//! A fake platform around one cell, and the oracle over it.
//!
//! Messages between the cell and the workers are delayed, reordered, lost or repeated. The log
//! takes batches after a while or is down. The owner can be killed; a new cell takes over when the
//! old lease has ended, from what the log holds. The oracle looks at what workers really run.

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

use super::fake::{Fake, Nature};
use super::oracle::Violation;
use super::{amount, knobs, worker};

const TICK: Duration = Duration::from_millis(20);
const OWNER_LEASE: Duration = Duration::from_millis(2_000);
/// How far a worker's clock may be off; less than the margin of the settings.
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
    pub(crate) workers: BTreeMap<id::Worker, Fake>,
    pub(crate) notices: Vec<Output>,
    rules: Rules,
    pub(super) settings: Settings,
    random: Pcg64Mcg,
    epoch: u64,
    owner_until: Instant,
    log_down_until: Instant,
    was_unrecorded: bool,
    /// Ceilings are not checked before this time: unrecorded starts may not be known.
    pub(super) quota_from: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    pub(super) natures: BTreeMap<id::Job, Nature>,
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
            knobs: knobs(),
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
            natures: BTreeMap::new(),
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
        world.take_over();
        world
    }

    fn add_worker(&mut self, worker: Worker) {
        self.workers.insert(worker.id, Fake::new(worker));
        self.listed.insert(worker.id, worker);
        self.later(Duration::from_millis(50), Input::Joined(worker));
    }

    /// A new owner begins from what the log holds. The old one acts no more.
    fn take_over(&mut self) {
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
            let hold = self.settings.knobs.hold();
            self.quota_from = self.now + hold + hold;
        }
        self.cell = Some(Cell::recover(recovery, self.log.clone()));
        for worker in self.listed.clone().into_values() {
            self.input(Input::Joined(worker));
        }
    }

    /// The owner stops for good, or for so long that its lease ends.
    pub(crate) fn kill_owner(&mut self, is_pause: bool) -> Option<Violation> {
        let old = self.cell.take()?;
        let landing = match self.now < self.log_down_until {
            true => 0,
            false => self.random.random_range(0..=self.events.len()),
        };
        let mut batches: Vec<Record> = Vec::new();
        for event in self.events.values().take(landing) {
            if let Event::Commit(_, batch) = event {
                batches.extend(batch.records.clone());
            }
        }
        self.append(batches);
        let violation = self.run(self.owner_until.since(self.now));
        self.cell = is_pause.then_some(old);
        self.take_over();
        violation
    }

    /// The log takes nothing for a while; starts may go ahead of it when the standbys agree.
    pub(crate) fn log_down(&mut self, span: Duration, is_unrecorded: bool) {
        self.log_down_until = self.now + span;
        if is_unrecorded {
            self.was_unrecorded = true;
            self.input(Input::Unrecorded(true));
        }
    }

    pub(crate) fn submit(&mut self, job: Job, nature: Nature) {
        let Some(cell) = &self.cell else { return };
        if self.now < self.log_down_until || cell.admit(&job).is_err() {
            return;
        }
        self.note(&job, nature);
        self.input(Input::Accept(Box::new(job.clone())));
        if self.random.random_bool(0.2) {
            self.input(Input::Accept(Box::new(job)));
        }
    }

    /// Makes a job durable, as its acceptance does.
    pub(crate) fn note(&mut self, job: &Job, nature: Nature) {
        self.natures.insert(job.id, nature);
        self.sizes.insert(job.id, job.size);
        self.teams.insert(job.id, job.team.clone());
        self.append(vec![Record::Accepted(Box::new(job.clone()))]);
    }

    pub(crate) fn jobs(&self) -> Vec<id::Job> {
        self.natures.keys().copied().collect()
    }

    pub(crate) fn nth_worker(&mut self, number: usize) -> Option<&mut Fake> {
        let up: Vec<id::Worker> = self
            .workers
            .iter()
            .filter(|(_, fake)| fake.is_up)
            .map(|(id, _)| *id)
            .collect();
        let id = up.get(number % up.len().max(1))?;
        self.workers.get_mut(id)
    }

    /// A VM fails; the list shows it later, and a new VM takes its place.
    pub(crate) fn kill_worker(&mut self, number: usize) {
        let Some(fake) = self.nth_worker(number) else {
            return;
        };
        fake.is_up = false;
        let mut spec = fake.worker;
        self.listed.remove(&spec.id);
        self.later(Duration::from_millis(700), Input::Gone(spec.id));
        let next = self.workers.keys().next_back().map_or(0, |id| id.0 + 1);
        spec.id = id::Worker(next);
        self.add_worker(spec);
    }

    pub(crate) fn later(&mut self, span: Duration, input: Input) {
        let epoch = self.epoch;
        self.push(span, Event::ToCell(epoch, input));
    }

    fn push(&mut self, span: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + span, self.sequence), event);
    }

    /// Appends records unless they were appended before.
    fn append(&mut self, records: Vec<Record>) {
        for record in &records {
            if let Record::Ended { job, end } = record {
                self.ends.entry(*job).or_insert(*end);
            }
        }
        self.log.extend(records);
    }

    /// Hands an input to the cell and its outputs to the platform.
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
            | Output::Ask { worker, .. } => *worker,
            _ => return self.notices.push(output),
        };
        if let Some(span) = self.delay(worker) {
            self.push(span, Event::ToWorker(worker, output));
        }
    }

    /// Returns how long a message to or from a worker takes, or `None` when it is lost.
    fn delay(&mut self, worker: id::Worker) -> Option<Duration> {
        let fake = self.workers.get(&worker)?;
        if self.now < fake.cut_until || self.random.random_bool(0.02) {
            return None;
        }
        let longest = if self.now < fake.slow_until {
            1_200
        } else {
            30
        };
        Some(Duration::from_millis(self.random.random_range(1..longest)))
    }

    /// Sends an answer from a worker; some are lost, some repeated.
    fn answer(&mut self, worker: id::Worker, input: &Input) {
        let repeats = if self.random.random_bool(0.1) { 2 } else { 1 };
        for _ in 0..repeats {
            if let Some(span) = self.delay(worker) {
                self.later(span, input.clone());
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
                let nature = self.natures[&start.attempt.task.job];
                let declared = self.sizes[&start.attempt.task.job];
                let is_started = fake.start(skewed, &start, nature, declared);
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
            Output::Ask { request, .. } => {
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

    /// Lets time pass, event by event.
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
            self.was_unrecorded = !self.cell.as_ref().is_some_and(Cell::is_settled);
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

    /// Mends everything and lets all work come to its end; services keep running.
    pub(crate) fn converge(&mut self, span: Duration) -> Option<Violation> {
        for fake in self.workers.values_mut() {
            fake.is_bad = false;
            fake.paused_until = self.now;
            fake.cut_until = self.now;
            fake.slow_until = self.now;
        }
        self.log_down_until = self.now;
        let violation = self.run(span);
        violation.or_else(|| self.check_finished())
    }

    /// Returns how many attempts of a job run.
    pub(crate) fn running(&self, job: id::Job) -> Vec<(id::Worker, Task)> {
        let now = self.now;
        let of = |fake: &Fake| {
            let id = fake.worker.id;
            let tasks = fake.running(now).filter(|(task, _)| task.job == job);
            tasks.map(move |(task, _)| (id, task)).collect::<Vec<_>>()
        };
        self.workers.values().flat_map(of).collect()
    }
}
