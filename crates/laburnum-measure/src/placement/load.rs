//! The cell under load: a large job, a long queue, a wave of cancellations and periodic upkeep.

use std::time::{Duration, Instant as Clock};

use hdrhistogram::Histogram;
use laburnumplank::core::placement::policy::Standard;
use laburnumplank::core::placement::{Input, Settings};
use laburnumplank::core::workload::Class;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;

use super::decide::{FILL, FOREVER, TICK, filled, single_task_job};
use super::drive::Driver;
use super::trace::{ASRC, Generator};
use crate::report::{Report, Table};

/// How many jobs are cancelled at once.
const WAVE: usize = 10_000;

/// Measures each kind of load.
pub(super) fn run(report: &mut Report) -> eyre::Result<()> {
    report.tables.push(large_job()?);
    report.tables.push(full_workers()?);
    report.tables.push(cancellation_wave()?);
    report.tables.push(upkeep());
    Ok(())
}

/// Measures the time per decision of steps that take many decisions.
fn large_job() -> eyre::Result<Table> {
    let mut table = Table::new(
        "Placing a job of 10,000 tasks, 512 decisions per step, 28,000 workers at 70 % load",
        &[
            "workers",
            "decisions",
            "µs per decision",
            "decisions/s on one core",
            "longest step ms",
        ],
    );
    let mut generator = Generator::new(ASRC, 9);
    let mut driver = filled::<Standard>(28_000, FILL, &mut generator);
    let mut plan = generator.urgent(Duration::ZERO);
    plan.job.class = Class::Batch;
    plan.job.tasks = 10_000;
    driver.submit(&plan.job, FOREVER);
    let before = driver.cell.counters().placed;
    let mut longest = Duration::ZERO;
    let mut spent = Duration::ZERO;
    while driver
        .cell
        .job(plan.job.id)
        .is_some_and(|job| job.queued > 0)
    {
        driver.now = driver.now + TICK;
        let clock = Clock::now();
        driver.step(Input::Tick);
        let step = clock.elapsed();
        spent += step;
        longest = longest.max(step);
    }
    let decisions = driver.cell.counters().placed - before;
    table.row([
        "28000".to_owned(),
        decisions.to_string(),
        format!("{:.2}", spent.as_secs_f64() * 1e6 / decisions as f64),
        format!("{:.0}", decisions as f64 / spent.as_secs_f64()),
        format!("{:.2}", longest.as_secs_f64() * 1e3),
    ]);
    Ok(table)
}

/// Measures steps while workers are full, many jobs wait and tasks end one by one.
fn full_workers() -> eyre::Result<Table> {
    let mut table = Table::new(
        "Steps on full workers with 20,000 jobs of one task waiting: one task ends, one tick",
        &["workers", "steps", "placed", "p50 µs", "p99 µs", "max ms"],
    );
    for workers in [1_000, 28_000] {
        let mut generator = Generator::new(ASRC, 10);
        let mut random = Pcg64Mcg::seed_from_u64(11);
        let mut driver = filled::<Standard>(workers, FILL, &mut generator);
        while driver.cell.dump().jobs < driver.running() + 20_000 {
            for _ in 0..1_000 {
                let plan = single_task_job(&mut generator);
                driver.submit(&plan.job, FOREVER);
            }
            for _ in 0..20 {
                driver.advance(Duration::from_millis(50));
            }
        }
        let before = driver.cell.counters().placed;
        let mut histogram: Histogram<u64> = Histogram::new(3)?;
        for _ in 0..5_000 {
            driver.finish_one(&mut random);
            driver.now = driver.now + Duration::from_millis(1);
            let clock = Clock::now();
            driver.step(Input::Tick);
            histogram.record(clock.elapsed().as_nanos() as u64)?;
        }
        table.row([
            workers.to_string(),
            histogram.len().to_string(),
            (driver.cell.counters().placed - before).to_string(),
            format!("{:.1}", histogram.value_at_quantile(0.5) as f64 / 1e3),
            format!("{:.1}", histogram.value_at_quantile(0.99) as f64 / 1e3),
            format!("{:.2}", histogram.max() as f64 / 1e6),
        ]);
    }
    Ok(table)
}

/// Measures a wave of cancellations and the start of an urgent job submitted halfway through it.
fn cancellation_wave() -> eyre::Result<Table> {
    let mut table = Table::new(
        "10,000 running jobs cancelled at once, 7,000 workers",
        &[
            "cancel p50 µs",
            "cancel p99 µs",
            "urgent start after, ms of fake time",
            "all ended after, ms of fake time",
        ],
    );
    let mut generator = Generator::new(ASRC, 12);
    let mut driver = filled::<Standard>(7_000, FILL, &mut generator);
    let jobs: Vec<_> = driver.cell.jobs().map(|job| job.id).take(WAVE).collect();
    eyre::ensure!(jobs.len() == WAVE, "fewer than {WAVE} jobs are running");
    let mut histogram: Histogram<u64> = Histogram::new(3)?;
    let begin = driver.now;
    for (number, &job) in jobs.iter().enumerate() {
        if number == WAVE / 2 {
            let plan = generator.urgent(Duration::ZERO);
            driver.submit(&plan.job, FOREVER);
        }
        let clock = Clock::now();
        driver.step(Input::Cancel(job));
        histogram.record(clock.elapsed().as_nanos() as u64)?;
    }
    let starts_before = driver.starts.len();
    let mut urgent = None;
    let is_ended = |driver: &Driver<Standard>| {
        let listed = jobs.iter().filter_map(|&job| driver.cell.job(job));
        listed.clone().count() == 0 || listed.clone().all(|job| job.live == 0)
    };
    while !is_ended(&driver) {
        driver.advance(Duration::from_millis(10));
        if urgent.is_none() && driver.starts.len() > starts_before {
            urgent = Some(driver.now.since(begin).as_millis());
        }
    }
    let micros = |nanos: u64| format!("{:.1}", nanos as f64 / 1e3);
    table.row([
        micros(histogram.value_at_quantile(0.5)),
        micros(histogram.value_at_quantile(0.99)),
        urgent.map_or("not started".to_owned(), |millis| millis.to_string()),
        driver.now.since(begin).as_millis().to_string(),
    ]);
    Ok(table)
}

/// Measures the inventories and lease renewals of workers on which no task starts or ends.
fn upkeep() -> Table {
    let mut table = Table::new(
        "Upkeep of workers: one inventory each second and a renewal each five (driver included)",
        &[
            "workers",
            "tasks per worker",
            "µs per worker and second",
            "share of a core",
        ],
    );
    const ROUNDS: u32 = 20;
    for workers in [1_000, 7_000] {
        let mut generator = Generator::new(ASRC, 14);
        let mut driver: Driver<Standard> =
            Driver::new(ASRC.with_workers(workers), Settings::default());
        for _ in 0..workers {
            let mut plan = generator.urgent(Duration::ZERO);
            plan.job.tasks = 12;
            driver.submit(&plan.job, FOREVER);
        }
        for _ in 0..400 {
            driver.advance(Duration::from_millis(50));
        }
        let clock = Clock::now();
        for _ in 0..ROUNDS {
            driver.advance(Duration::from_secs(1));
        }
        let spent = clock.elapsed().as_secs_f64() / f64::from(ROUNDS);
        table.row([
            workers.to_string(),
            format!("{:.1}", driver.running() as f64 / f64::from(workers)),
            format!("{:.2}", spent * 1e6 / f64::from(workers)),
            format!("{spent:.4}"),
        ]);
    }
    table
}
