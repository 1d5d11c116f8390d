//! The processor time and the counted work of the scheduler on a busy cell in virtual time: lookups, sweeps and
//! gangs, all of which need the advisor, on a fleet that they fill by three quarters, and with a backlog.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::{Duration, Instant as WallClock};

use laburnumplank::core::resource::Amount;
use laburnumplank::core::scheduler::advice::{AdvisorCall, AdvisorProxy};
use laburnumplank::core::scheduler::id::{Job, Mark, Request, Run, Task, Token, Worker};
use laburnumplank::core::scheduler::message::{
    ActiveRun, EndedRun, Inventory, Outcome, RunEnd, Start,
};
use laburnumplank::core::scheduler::spec::{Advice, Queue, Spec, Step};
use laburnumplank::core::scheduler::work::Work;
use laburnumplank::core::scheduler::worker::Entry;
use laburnumplank::core::scheduler::{Input, Output, Rules, Scheduler, Time};
use laburnumplank::core::time::{Instant, Stamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::report::{Report, Table};
use crate::scheduler;

/// How long the virtual cell is under load.
const LOAD_S: u64 = 20;
/// The fleet for which the rates of [`CLASSES`] are given.
const REFERENCE_WORKERS: u64 = 1_100;
/// The measured numbers of workers, and rates of jobs in hundredths of those of [`CLASSES`].
const LOADS: [(u64, u64); 5] = [
    (350, 100),
    (1_100, 100),
    (1_100, 150),
    (2_200, 100),
    (2_200, 150),
];
/// How many entries can call the advisor, for that fleet.
const REFERENCE_PROXIES: u64 = 147;
/// The time from a command to its outcome.
const COMMAND_US: u64 = 4_000;
/// The time from an append to its confirmation.
const APPEND_US: u64 = 10_000;
/// The longest time between two polls of a worker.
const POLL_US: u64 = 2_000_000;

/// A kind of job.
struct Class {
    per_s: f64,
    tasks: u16,
    need: Amount,
    work: Duration,
    is_gang: bool,
    queue: (&'static str, u8, f64),
    advice: (Duration, Duration),
    /// The share of workers that the advisor permits.
    permitted: f64,
}

const fn amount(cpu_millis: u64, memory_mib: u64) -> Amount {
    Amount {
        cpu_millis,
        memory_mib,
        accelerators: 0,
    }
}

const CLASSES: [Class; 3] = [
    Class {
        per_s: 117.0,
        tasks: 4,
        need: amount(3_900, 5_600),
        work: Duration::from_millis(1_000),
        is_gang: false,
        queue: ("lookups", 0, 1.5),
        advice: (Duration::from_millis(14), Duration::from_micros(200)),
        permitted: 0.7,
    },
    Class {
        per_s: 15.0,
        tasks: 32,
        need: amount(2_700, 2_800),
        work: Duration::from_millis(3_400),
        is_gang: false,
        queue: ("sweeps", 2, 4.0),
        advice: (Duration::from_millis(140), Duration::from_millis(2)),
        permitted: 0.45,
    },
    Class {
        per_s: 10.0,
        tasks: 32,
        need: amount(4_500, 8_600),
        work: Duration::from_millis(5_000),
        is_gang: true,
        queue: ("dossiers", 1, 2.2),
        advice: (Duration::from_millis(390), Duration::from_micros(5_600)),
        permitted: 0.35,
    },
];

enum Event {
    Arrive(usize),
    Started(Worker, Start),
    Ended(Worker, Task, Run),
    Advised(AdvisorCall),
    Durable(Mark),
    Poll(Worker),
}

/// The processor time that each part of the work took.
#[derive(Default)]
struct Usage {
    ticks: Duration,
    inputs: Duration,
    reports: Duration,
    starts: u64,
    /// The work that the scheduler has counted.
    work: Work,
    /// The ready steps at each report, added up.
    ready_steps: u64,
}

/// Runs the measurement.
///
/// # Errors
///
/// Never fails; the signature is that of all measurements.
pub fn run() -> eyre::Result<Report> {
    let columns = [
        "workers",
        "load, %",
        "ready steps",
        "starts/s",
        "inputs/s",
        "steps visited/s",
        "workers looked at/s",
        "placement, ms/s",
        "inputs, ms/s",
        "waits and load, ms/s",
    ];
    let mut table = Table::new("The scheduler under load", &columns);
    for (workers, percent) in LOADS {
        let usage = Cell::new(workers, percent).play();
        let per_s = |time: Duration| format!("{:.1}", time.as_secs_f64() * 1e3 / LOAD_S as f64);
        table.row([
            workers.to_string(),
            percent.to_string(),
            (usage.ready_steps / LOAD_S).to_string(),
            (usage.starts / LOAD_S).to_string(),
            (usage.work.inputs / LOAD_S).to_string(),
            (usage.work.steps / LOAD_S).to_string(),
            (usage.work.workers / LOAD_S).to_string(),
            per_s(usage.ticks),
            per_s(usage.inputs),
            per_s(usage.reports),
        ]);
    }
    let mut report = Report::new("scheduler_load");
    report.tables.push(table);
    Ok(report)
}

struct Host {
    running: Vec<(Task, Run)>,
    ended: Vec<EndedRun>,
    last_number: u64,
    is_polled: bool,
}

struct Cell {
    scheduler: Scheduler,
    now: u64,
    workers: u64,
    /// The rates of jobs, in hundredths of those of [`CLASSES`].
    percent: u64,
    events: BinaryHeap<(Reverse<u64>, u64)>,
    pending: Vec<Option<Event>>,
    hosts: std::collections::HashMap<Worker, Host>,
    random: Pcg64,
    next_job: u64,
    usage: Usage,
}

impl Cell {
    fn new(workers: u64, percent: u64) -> Cell {
        let rules = Rules {
            lease: Duration::from_millis(4_500),
            max_lease: Duration::from_millis(6_000),
            stop_time: Duration::from_millis(400),
            gang_timeout: Duration::from_secs(4),
            remote_factor: 2.0,
            status_kept: Duration::from_secs(120),
        };
        let mut cell = Cell {
            scheduler: Scheduler::new(rules, Token(1), Instant(0)),
            now: 0,
            workers,
            percent,
            events: BinaryHeap::new(),
            pending: Vec::new(),
            hosts: std::collections::HashMap::new(),
            random: Pcg64::seed_from_u64(1),
            next_job: 0,
            usage: Usage::default(),
        };
        for index in 0..workers {
            cell.input(Input::Listed(entry(index)));
            let worker = cell
                .scheduler
                .worker_named(&scheduler::name(index as usize));
            let worker = worker.expect("the worker has just been listed");
            let host = Host {
                running: Vec::new(),
                ended: Vec::new(),
                last_number: 0,
                is_polled: false,
            };
            cell.hosts.insert(worker, host);
            cell.schedule(1_000, Event::Poll(worker));
        }
        let proxies = REFERENCE_PROXIES * workers / REFERENCE_WORKERS;
        let proxies = (0..proxies as u32).map(AdvisorProxy).collect();
        cell.input(Input::AdvisorProxies(proxies));
        cell
    }

    fn play(mut self) -> Usage {
        for class in 0..CLASSES.len() {
            self.schedule(8_000_000, Event::Arrive(class));
        }
        let start = 8_000_000;
        let end = start + LOAD_S * 1_000_000;
        let mut next_report = start;
        let mut idle_work = Work::default();
        while self.now < end {
            let due = self.events.peek().map_or(end, |(Reverse(at), _)| *at);
            let now = Instant(self.now);
            let tick = self.now + self.scheduler.time_to_tick(now).as_micros() as u64;
            self.now = due.min(tick).max(self.now + 50);
            while let Some((Reverse(at), index)) = self.events.peek().copied() {
                if at > self.now {
                    break;
                }
                self.events.pop();
                if let Some(event) = self.pending[index as usize].take() {
                    self.handle(event);
                }
            }
            self.tick();
            if self.now < start {
                self.usage = Usage::default();
                idle_work = self.scheduler.work();
            } else if self.now >= next_report {
                next_report += 1_000_000;
                let began = WallClock::now();
                let load = self.scheduler.load();
                let _ = self.scheduler.waits(Instant(self.now));
                self.usage.reports += began.elapsed();
                self.usage.ready_steps += load.ready_steps as u64;
            }
        }
        self.usage.work = self.scheduler.work() - idle_work;
        self.usage
    }

    fn time(&self) -> Time {
        Time {
            now: Instant(self.now),
            stamp: Stamp(1_700_000_000_000 + self.now / 1_000),
        }
    }

    fn schedule(&mut self, after_us: u64, event: Event) {
        self.events
            .push((Reverse(self.now + after_us), self.pending.len() as u64));
        self.pending.push(Some(event));
    }

    fn input(&mut self, input: Input) {
        let mut out = Vec::new();
        let began = WallClock::now();
        self.scheduler.step(self.time(), input, &mut out);
        self.usage.inputs += began.elapsed();
        self.carry_out(out);
    }

    fn tick(&mut self) {
        let mut out = Vec::new();
        let began = WallClock::now();
        self.scheduler.tick(self.time(), &mut out);
        self.usage.ticks += began.elapsed();
        self.carry_out(out);
    }

    fn carry_out(&mut self, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Append { mark, .. } => self.schedule(APPEND_US, Event::Durable(mark)),
                Output::Start { worker, start, .. } => {
                    self.usage.starts += 1;
                    self.schedule(COMMAND_US, Event::Started(worker, start));
                }
                Output::CallAdvisor(call) => {
                    let cost = call.cost.as_micros() as u64 + COMMAND_US;
                    self.schedule(cost, Event::Advised(call));
                }
                _ => {}
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(class) => self.arrive(class),
            Event::Started(worker, start) => self.start(worker, &start),
            Event::Ended(worker, task, run) => self.end(worker, task, run),
            Event::Advised(call) => self.advise(call),
            Event::Durable(mark) => {
                self.input(Input::ClaimConfirmed(Instant(self.now - APPEND_US)));
                self.input(Input::Durable(mark));
            }
            Event::Poll(worker) => self.poll(worker),
        }
    }

    fn arrive(&mut self, index: usize) {
        let class = &CLASSES[index];
        let rate = class.per_s * self.workers as f64 / REFERENCE_WORKERS as f64;
        let rate = rate * self.percent as f64 / 100.0;
        let gap = -self.random.random::<f64>().max(1e-9).ln() / rate;
        self.schedule((gap * 1e6) as u64, Event::Arrive(index));
        self.next_job += 1;
        let step = Step {
            tasks: class.tasks,
            need: class.need,
            estimate: class.work,
            gang: class.is_gang,
            ..Step::default()
        };
        let (name, priority, slack_factor) = class.queue;
        let (base, per_worker) = class.advice;
        let queue = Queue {
            service: "desk".to_owned(),
            priority,
            attempts: 3,
            slack_factor,
            target: Duration::from_secs(1),
            advice: Some(Advice {
                base,
                per_worker,
                validity: Duration::from_millis(2_500),
            }),
            ..Queue::named(name.to_owned())
        };
        let spec = Arc::new(Spec {
            payload: "filing".to_owned(),
            steps: vec![step],
            schedule: None,
        });
        self.input(Input::Submit {
            request: Request(self.next_job),
            job: Job(self.next_job),
            queue,
            endpoint: None,
            spec,
            account: None,
            at: self.time().stamp,
        });
    }

    fn class_of(&self, job: Job) -> &'static Class {
        let job = self.scheduler.job(job);
        let name = job.map(|job| job.queue.name.as_str());
        let found = CLASSES.iter().find(|class| Some(class.queue.0) == name);
        found.unwrap_or(&CLASSES[0])
    }

    fn start(&mut self, worker: Worker, start: &Start) {
        let work = self.class_of(start.task.step.job).work;
        let spread = self.random.random_range(0.5..1.5);
        let (task, run) = (start.task, start.run);
        if let Some(host) = self.hosts.get_mut(&worker) {
            host.running.push((task, run));
        }
        let outcome = Outcome::Done(Some(self.now / 1_000));
        self.input(Input::Started {
            worker,
            task,
            run,
            outcome,
        });
        let work = work.mul_f64(spread).as_micros() as u64;
        self.schedule(work, Event::Ended(worker, task, run));
    }

    fn end(&mut self, worker: Worker, task: Task, run: Run) {
        if let Some(host) = self.hosts.get_mut(&worker) {
            host.running.retain(|&(running, _)| running != task);
            host.last_number += 1;
            host.ended.push(EndedRun {
                number: host.last_number,
                task,
                run,
                end: RunEnd::Done,
                checkpoint: None,
            });
        }
        self.report(worker);
    }

    fn poll(&mut self, worker: Worker) {
        let is_polled = self.hosts.get(&worker).is_some_and(|host| host.is_polled);
        if !is_polled {
            self.scheduler.poll(Instant(self.now), worker);
            if let Some(host) = self.hosts.get_mut(&worker) {
                host.is_polled = true;
            }
        }
        self.report(worker);
        self.schedule(POLL_US, Event::Poll(worker));
    }

    /// Answers the poll that waits at a worker, and lets the next one arrive there.
    fn report(&mut self, worker: Worker) {
        let Some(host) = self.hosts.get_mut(&worker) else {
            return;
        };
        let running = host.running.iter().map(|&(task, run)| ActiveRun {
            task,
            run,
            checkpoint: None,
            percent: 50,
        });
        let inventory = Inventory {
            clock_ms: self.now / 1_000,
            running: running.collect(),
            ended: host.ended.clone(),
            is_complete: true,
        };
        self.input(Input::Polled {
            worker,
            sent: Instant(self.now.saturating_sub(COMMAND_US)),
            inventory,
        });
        let poll = self.scheduler.poll(Instant(self.now), worker);
        if let (Some(poll), Some(host)) = (poll, self.hosts.get_mut(&worker)) {
            host.ended.retain(|ended| ended.number > poll.acknowledged);
        }
    }

    fn advise(&mut self, call: AdvisorCall) {
        let class = self.class_of(call.step.job);
        let mut allowed = Vec::new();
        for &worker in &call.workers {
            if self.random.random_bool(class.permitted)
                && let Some(state) = self.scheduler.worker(worker)
            {
                allowed.push((state.entry.name.clone(), Arc::from("ticket")));
            }
        }
        self.input(Input::Advised {
            call,
            allowed: Some(allowed),
            validity: Duration::from_millis(2_500),
        });
    }
}

fn entry(index: u64) -> Entry {
    Entry {
        capacity: amount(16_000, 32_768),
        ..scheduler::entry(index as usize)
    }
}
