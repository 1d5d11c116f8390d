//! Gangs on a cell whose tasks last longer than estimated, and whose advisor permits part of the
//! workers, in virtual time.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use laburnumplank::core::scheduler::Input;
use laburnumplank::core::scheduler::advice::{AdvisorCall, AdvisorProxy};
use laburnumplank::core::scheduler::id::Worker;
use laburnumplank::core::scheduler::message::{ActiveRun, EndedRun, Inventory, RunEnd, Start};
use laburnumplank::core::scheduler::spec::{self, Advice, Queue};
use laburnumplank::core::time::Instant;

use super::cell::{Cell, ended, queue, running, spec, step};

const WORKERS: usize = 96;
/// How many tasks a worker holds.
const SLOTS: usize = 4;
const STEP: Duration = Duration::from_millis(20);
const POLL_INTERVAL: Duration = Duration::from_secs(1);
const DAY: Duration = Duration::from_secs(60);
/// A gang that could run does not wait longer than this.
const MAX_WAIT: Duration = Duration::from_secs(3);
const CELL_CPU_MILLIS: u64 = (WORKERS * SLOTS) as u64 * 4_000;
const VALIDITY: Duration = Duration::from_millis(2_000);
const ADVICE: Advice = Advice {
    base: Duration::from_millis(400),
    per_worker: Duration::from_millis(6),
    validity: VALIDITY,
};
const PERMITTED_PERCENT: u64 = 45;

fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// A sequence of numbers that depends on its seed only.
struct Random {
    seed: u64,
    drawn: u64,
}

impl Random {
    fn below(&mut self, end: u64) -> u64 {
        self.drawn += 1;
        hash((self.seed, self.drawn)) % end
    }
}

/// A run on a worker.
struct Run {
    start: Start,
    began: Instant,
    end: Instant,
}

/// A gang that has been handed in and has not started.
struct WaitingGang {
    tasks: usize,
    /// Since when it could have run.
    could_run_since: Option<Instant>,
}

struct World {
    seed: u64,
    random: Random,
    cell: Cell,
    workers: Vec<(Worker, String)>,
    runs: HashMap<Worker, Vec<Run>>,
    ends: HashMap<Worker, u64>,
    polled_at: HashMap<Worker, Instant>,
    calls: Vec<(Instant, AdvisorCall)>,
    gangs: BTreeMap<u64, WaitingGang>,
    /// How long the tasks of each job last.
    durations: HashMap<u64, Duration>,
    /// When each gang started.
    started: HashMap<u64, Instant>,
    next_job: u64,
}

impl World {
    fn new(seed: u64) -> World {
        let mut cell = Cell::new(1);
        let names = (0..WORKERS).map(|index| format!("w{index}"));
        let workers: Vec<(Worker, String)> =
            names.map(|name| (cell.add_worker(&name), name)).collect();
        cell.input(Input::AdvisorProxies((0..9).map(AdvisorProxy).collect()));
        World {
            seed,
            random: Random { seed, drawn: 0 },
            cell,
            workers,
            runs: HashMap::new(),
            ends: HashMap::new(),
            polled_at: HashMap::new(),
            calls: Vec::new(),
            gangs: BTreeMap::new(),
            durations: HashMap::new(),
            started: HashMap::new(),
            next_job: 1,
        }
    }

    fn permits(&self, job: u64, name: &str) -> bool {
        hash((self.seed, job, name)) % 100 < PERMITTED_PERCENT
    }

    fn submit(&mut self, queue: Queue, step: spec::Step, duration: Duration) {
        let job = self.next_job;
        self.next_job += 1;
        if step.gang {
            let gang = WaitingGang {
                tasks: usize::from(step.tasks),
                could_run_since: None,
            };
            self.gangs.insert(job, gang);
        }
        self.durations.insert(job, duration);
        self.cell.submit(job, queue, spec(vec![step]));
        self.cell.confirm();
    }

    /// Hands in jobs whose tasks last up to sixteen times as long as estimated; how many depends on
    /// the seed.
    fn arrive(&mut self) {
        let stretch = 1 + self.random.below(8);
        if self.random.below(40 + 30 * (self.seed % 4)) == 0 {
            let gang = spec::Step {
                gang: true,
                ..step(30 + self.random.below(31) as u16)
            };
            let mut advised = queue();
            advised.advice = Some(ADVICE);
            self.submit(advised, gang, Duration::from_secs(stretch));
        }
        if self.random.below(20 + 10 * (self.seed % 3)) == 0 {
            let single = step(1 + self.random.below(12) as u16);
            self.submit(queue(), single, Duration::from_secs(2 * stretch));
        }
    }

    fn answer_calls(&mut self) {
        let now = self.cell.now;
        for call in std::mem::take(&mut self.cell.calls) {
            self.calls.push((now + call.cost, call));
        }
        let calls = std::mem::take(&mut self.calls);
        let (due, later): (Vec<_>, Vec<_>) = calls.into_iter().partition(|(at, _)| *at <= now);
        self.calls = later;
        for (_, call) in due {
            let named = self.workers.iter();
            let named = named.filter(|(worker, _)| call.workers.contains(worker));
            let allowed = named.filter(|(_, name)| self.permits(call.step.job.0, name));
            let allowed = allowed.map(|(_, name)| (name.clone(), "ticket".into()));
            let allowed = Some(allowed.collect());
            self.cell.input(Input::Advised {
                call,
                allowed,
                validity: VALIDITY,
            });
        }
    }

    fn start_runs(&mut self) {
        for (worker, start) in self.cell.accept_starts() {
            let job = start.task.step.job.0;
            let began = self.cell.now;
            if self.gangs.remove(&job).is_some() {
                self.started.insert(job, began);
            }
            let end = began + self.durations[&job];
            let runs = self.runs.entry(worker).or_default();
            runs.push(Run { start, began, end });
            assert!(runs.len() <= SLOTS);
        }
    }

    /// Delivers the reports of workers with an end and of those that were not polled for a while.
    fn poll(&mut self) {
        let now = self.cell.now;
        for (worker, _) in &self.workers {
            let runs = self.runs.entry(*worker).or_default();
            let has_end = runs.iter().any(|run| run.end <= now);
            let polled_at = self.polled_at.entry(*worker).or_insert(now);
            if !has_end && now.since(*polled_at) < POLL_INTERVAL {
                continue;
            }
            *polled_at = now;
            let number = self.ends.entry(*worker).or_default();
            let (over, active) = std::mem::take(runs)
                .into_iter()
                .partition(|run: &Run| run.end <= now);
            *runs = active;
            let ended: Vec<EndedRun> = over
                .iter()
                .map(|run: &Run| {
                    *number += 1;
                    ended(*number, &run.start, RunEnd::Done)
                })
                .collect();
            let running = runs.iter().map(|run| {
                let spent = now.since(run.began).as_millis() * 100;
                let percent = spent / run.end.since(run.began).as_millis();
                // Early progress is several times as fast as that at the end.
                let percent = if self.seed.is_multiple_of(2) {
                    percent
                } else {
                    (percent * 8).min(90 + percent / 12)
                };
                ActiveRun {
                    percent: percent as u8,
                    ..running(&run.start)
                }
            });
            let inventory = Inventory {
                clock_ms: 1_000_000 + now.0 / 1_000,
                running: running.collect(),
                ended,
                is_complete: true,
            };
            self.cell.scheduler.poll(now, *worker);
            self.cell.input(Input::Polled {
                worker: *worker,
                sent: now,
                inventory,
            });
        }
        self.cell.confirm();
    }

    /// Checks that no gang waits although half of the cell is free and its permitted workers have
    /// capacity for it twice over.
    fn check(&mut self) {
        let now = self.cell.now;
        let used: usize = self.runs.values().map(Vec::len).sum();
        let is_half_free = used * 2 < WORKERS * SLOTS;
        let jobs: Vec<u64> = self.gangs.keys().copied().collect();
        for job in jobs {
            let permitted = self
                .workers
                .iter()
                .filter(|(_, name)| self.permits(job, name));
            let free =
                permitted.map(|(worker, _)| SLOTS - self.runs.get(worker).map_or(0, Vec::len));
            let free: usize = free.sum();
            let Some(gang) = self.gangs.get_mut(&job) else {
                continue;
            };
            if !is_half_free || free < 2 * gang.tasks {
                gang.could_run_since = None;
                continue;
            }
            let since = *gang.could_run_since.get_or_insert(now);
            assert!(
                now.since(since) < MAX_WAIT,
                "seed {}: at {now:?} gang {job} of {} waits since {since:?} with {free} free slots, {used} used: {:?}",
                self.seed,
                gang.tasks,
                self.cell.scheduler.waits(now),
            );
        }
    }

    fn play(&mut self) {
        while self.cell.now < Instant(0) + DAY {
            self.arrive();
            self.advance();
            self.check();
        }
    }

    fn advance(&mut self) {
        self.answer_calls();
        self.cell.wait(STEP);
        self.start_runs();
        self.poll();
        self.start_runs();
    }

    /// Keeps the cell full of batch jobs with much slack for `span`, with a queue of as many again.
    fn advance_under_batch(&mut self, span: Duration) {
        let end = self.cell.now + span;
        while self.cell.now < end {
            while self.cell.scheduler.load().waiting_cpu_millis < CELL_CPU_MILLIS {
                let batch = Queue {
                    name: "batch".to_owned(),
                    slack_factor: 20.0,
                    ..queue()
                };
                let duration = Duration::from_millis(1_000 + self.random.below(2_000));
                self.submit(batch, step(8), duration);
            }
            self.advance();
        }
    }
}

#[test]
fn gang_beside_overdue_runs_starts_on_an_idle_half_of_the_cell() {
    for seed in 0..24 {
        World::new(seed).play();
    }
}

#[test]
fn burst_of_gangs_beside_batch_jobs_with_slack_starts_in_time() {
    for seed in 0..4 {
        let mut world = World::new(seed);
        world.advance_under_batch(Duration::from_secs(5));
        let advised = Queue {
            advice: Some(ADVICE),
            slack_factor: 2.2,
            target: Duration::from_millis(1_200),
            ..queue()
        };
        let gang = spec::Step {
            gang: true,
            estimate: Duration::from_secs(3),
            ..step(12)
        };
        let accepted = world.cell.now;
        let first = world.next_job;
        for _ in 0..24 {
            world.submit(advised.clone(), gang.clone(), gang.estimate);
        }
        let gangs = first..world.next_job;
        let objective = gang.estimate.mul_f64(advised.slack_factor) + advised.target;
        world.advance_under_batch(objective);
        for job in gangs {
            let started = world.started.get(&job);
            let ended = started.map(|&started| started + gang.estimate);
            assert!(
                ended.is_some_and(|ended| ended <= accepted + objective),
                "seed {seed}: gang {job} started at {started:?}, accepted at {accepted:?}",
            );
        }
    }
}
