//! The processor time of the scheduler's decisions on a full cell: a placement of all ready steps, and the
//! explanation of one job.

use std::sync::Arc;
use std::time::{Duration, Instant as WallClock};

use laburnumplank::core::resource::Amount;
use laburnumplank::core::scheduler::explain::Submission;
use laburnumplank::core::scheduler::id::{Job, Mark, Request, Token};
use laburnumplank::core::scheduler::message::Inventory;
use laburnumplank::core::scheduler::spec::{Queue, Spec, Step};
use laburnumplank::core::scheduler::worker::Entry;
use laburnumplank::core::scheduler::{Input, Output, Rules, Scheduler, Time};
use laburnumplank::core::time::{Instant, Stamp};

use crate::report::{Report, Table};

/// How often each decision is measured.
const REPEATS: usize = 50;
/// The tasks of one job; four of them fill a worker.
const TASKS: u16 = 16;
/// The time between two measured placements, longer than any pause between placements.
const PASS_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the measurement.
///
/// # Errors
///
/// Fails when a time cannot be recorded.
pub fn run() -> eyre::Result<Report> {
    let columns = [
        "workers",
        "ready steps",
        "placement p50, µs",
        "placement p99, µs",
        "explanation p50, µs",
        "explanation p99, µs",
    ];
    let mut table = Table::new("Decisions on a full cell", &columns);
    for workers in [48, 350, 1_100] {
        for steps in [10, 100, 1_000] {
            let mut cell = Cell::full(workers, steps);
            let mut placements = histogram()?;
            let mut explanations = histogram()?;
            for _ in 0..REPEATS {
                placements.record(cell.place().as_micros() as u64)?;
                explanations.record(cell.explain().as_micros() as u64)?;
            }
            table.row([
                workers.to_string(),
                steps.to_string(),
                placements.value_at_quantile(0.5).to_string(),
                placements.value_at_quantile(0.99).to_string(),
                explanations.value_at_quantile(0.5).to_string(),
                explanations.value_at_quantile(0.99).to_string(),
            ]);
        }
    }
    let mut report = Report::new("scheduler");
    report.tables.push(table);
    Ok(report)
}

fn histogram() -> eyre::Result<hdrhistogram::Histogram<u64>> {
    Ok(hdrhistogram::Histogram::new(3)?)
}

/// A cell without I/O: each append is durable at once, and each worker reports no end.
struct Cell {
    scheduler: Scheduler,
    now: Instant,
}

impl Cell {
    /// Creates a cell whose workers are full while `steps` steps wait.
    fn full(workers: usize, steps: usize) -> Cell {
        let rules = Rules {
            lease: Duration::from_millis(4_500),
            max_lease: Duration::from_secs(3_600),
            stop_time: Duration::from_millis(400),
            gang_timeout: Duration::from_secs(3),
            remote_factor: 2.0,
            status_kept: Duration::from_secs(120),
        };
        let mut cell = Cell {
            scheduler: Scheduler::new(rules, Token(1), Instant(0)),
            now: Instant(0),
        };
        for index in 0..workers {
            cell.input(Input::Listed(entry(index)));
        }
        cell.tick();
        for index in 0..workers {
            cell.report(index);
        }
        let filling = workers * 4 / usize::from(TASKS);
        for job in 0..filling + steps {
            cell.submit(job as u64);
            if job < filling {
                cell.tick();
            }
        }
        cell.tick();
        cell
    }

    fn time(&self) -> Time {
        Time {
            now: self.now,
            stamp: Stamp(1_700_000_000_000 + self.now.0 / 1_000),
        }
    }

    fn input(&mut self, input: Input) {
        let mut out = Vec::new();
        self.scheduler.step(self.time(), input, &mut out);
        self.confirm(&out);
    }

    fn tick(&mut self) {
        self.now = self.now + PASS_INTERVAL;
        self.input(Input::ClaimConfirmed(self.now));
        let mut out = Vec::new();
        self.scheduler.tick(self.time(), &mut out);
        self.confirm(&out);
    }

    fn confirm(&mut self, out: &[Output]) {
        let marks = out.iter().filter_map(|output| match output {
            Output::Append { mark, .. } => Some(*mark),
            _ => None,
        });
        if let Some(mark) = marks.max() {
            self.durable(mark);
        }
    }

    fn durable(&mut self, mark: Mark) {
        let mut out = Vec::new();
        self.scheduler
            .step(self.time(), Input::Durable(mark), &mut out);
    }

    fn report(&mut self, index: usize) {
        let Some(worker) = self.scheduler.worker_named(&name(index)) else {
            return;
        };
        self.scheduler.poll(self.now, worker);
        self.input(Input::Polled {
            worker,
            sent: self.now,
            inventory: Inventory {
                clock_ms: self.now.0 / 1_000,
                running: Vec::new(),
                ended: Vec::new(),
                is_complete: true,
            },
        });
    }

    fn submit(&mut self, job: u64) {
        let at = self.time().stamp;
        self.input(Input::Submit {
            request: Request(job),
            job: Job(job),
            queue: queue(),
            endpoint: None,
            spec: spec(),
            account: None,
            at,
        });
    }

    /// Places all ready steps and returns the time that it took.
    fn place(&mut self) -> Duration {
        self.now = self.now + PASS_INTERVAL;
        self.input(Input::ClaimConfirmed(self.now));
        let mut out = Vec::new();
        let began = WallClock::now();
        self.scheduler.tick(self.time(), &mut out);
        began.elapsed()
    }

    /// Explains a job and returns the time that it took.
    fn explain(&self) -> Duration {
        let submission = Submission {
            queue: queue(),
            spec: spec(),
            account: None,
        };
        let began = WallClock::now();
        let explanation = self.scheduler.explain_submission(self.time(), &submission);
        let took = began.elapsed();
        drop(explanation);
        took
    }
}

pub(crate) fn name(index: usize) -> String {
    format!("worker-{index}")
}

pub(crate) fn entry(index: usize) -> Entry {
    let rack = format!("r{}", index / 20);
    Entry {
        name: name(index),
        incarnation: 1,
        address: ([127, 0, 0, 1], 9).into(),
        service: "desk".to_owned(),
        data_centre: "quimper".to_owned(),
        capacity: Amount {
            cpu_millis: 16_000,
            memory_mib: 64_000,
            accelerators: 0,
        },
        labels: vec![rack.clone()],
        rack: Some(rack),
        draining: false,
    }
}

fn queue() -> Queue {
    Queue {
        service: "desk".to_owned(),
        priority: 1,
        attempts: 2,
        slack_factor: 2.0,
        target: Duration::from_secs(1),
        ..Queue::named("filings".to_owned())
    }
}

fn spec() -> Arc<Spec> {
    let step = Step {
        tasks: TASKS,
        need: Amount {
            cpu_millis: 4_000,
            memory_mib: 1_000,
            accelerators: 0,
        },
        estimate: Duration::from_secs(5),
        ..Step::default()
    };
    Arc::new(Spec {
        payload: "filing".to_owned(),
        steps: vec![step],
        schedule: None,
    })
}
