//! Decision time by the number of workers.

use std::time::{Duration, Instant as Clock};

use hdrhistogram::Histogram;
use laburnumplank::core::placement::policy::{FirstFitSkipping, RandomSkipping, Standard};
use laburnumplank::core::placement::{Input, Settings, Tuning};
use laburnumplank::core::resource::Amount;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;

use super::Named;
use super::drive::Driver;
use super::trace::{ASRC, Generator, Planned, share};
use crate::report::{Plot, Report, Series, Table};

const WORKERS: [u32; 4] = [50, 1_000, 7_000, 28_000];
pub(super) const FILL: f64 = 0.7;
const DECISIONS: usize = 20_000;
/// Baselines that look at many workers get fewer rounds.
const BASELINE_DECISIONS: usize = 2_000;
pub(super) const TICK: Duration = Duration::from_micros(100);
pub(super) const FOREVER: Duration = Duration::from_secs(1_000_000);

/// Measures all policies at all sizes.
pub(super) fn run(report: &mut Report) -> eyre::Result<()> {
    let mut table = Table::new(
        "Decision time at 70 % load of the bottleneck: accepting one task and deciding, placed or not",
        &[
            "workers",
            "policy",
            "p50 µs",
            "p99 µs",
            "max µs",
            "decisions/s on one core",
        ],
    );
    let mut plot = Plot {
        title: "Decision time by workers".to_owned(),
        x_label: "workers".to_owned(),
        y_label: "p99 µs".to_owned(),
        series: Vec::new(),
    };
    size::<Standard>(DECISIONS, &mut table, &mut plot)?;
    size::<FirstFitSkipping>(BASELINE_DECISIONS, &mut table, &mut plot)?;
    size::<RandomSkipping>(BASELINE_DECISIONS, &mut table, &mut plot)?;
    report.tables.push(table);
    report.plots.push(plot);
    Ok(())
}

/// Returns settings under which no worker needs looking after.
fn quiet() -> Settings {
    let tuning = Tuning {
        inventory_every: FOREVER,
        silence: FOREVER,
        renew_every: FOREVER,
        commit_every: Duration::ZERO,
        max_batches: usize::MAX,
        ..Tuning::default()
    };
    Settings {
        tuning,
        ..Settings::default()
    }
}

/// Returns a driver whose workers are full to `fill` of mixed single tasks.
pub(super) fn filled<P: Named>(workers: u32, fill: f64, generator: &mut Generator) -> Driver<P> {
    let site = ASRC.with(workers);
    let mut driver: Driver<P> = Driver::new(site, quiet());
    let total = site.total();
    let mut used = Amount::default();
    let mut submitted = 0u32;
    while share(used, total) < fill {
        let plan = single(generator);
        used += plan.job.size;
        driver.submit(&plan.job, FOREVER);
        submitted += 1;
        if submitted.is_multiple_of(256) {
            driver.advance(Duration::from_millis(50));
        }
    }
    for _ in 0..100 {
        driver.advance(Duration::from_millis(50));
    }
    driver
}

/// Draws a batch or urgent job of one task.
pub(super) fn single(generator: &mut Generator) -> Planned {
    let mut plan = generator.batch(Duration::ZERO);
    plan.job.tasks = 1;
    plan
}

/// Measures one policy at all sizes.
fn size<P: Named>(decisions: usize, table: &mut Table, plot: &mut Plot) -> eyre::Result<()> {
    let mut points = Vec::new();
    for workers in WORKERS {
        let histogram = churn::<P>(workers, decisions)?;
        let micros = |nanos: u64| format!("{:.1}", nanos as f64 / 1_000.0);
        let p99 = histogram.value_at_quantile(0.99);
        points.push((f64::from(workers), p99 as f64 / 1_000.0));
        table.row([
            workers.to_string(),
            P::NAME.to_owned(),
            micros(histogram.value_at_quantile(0.5)),
            micros(p99),
            micros(histogram.max()),
            format!("{:.0}", 1e9 / histogram.mean()),
        ]);
    }
    plot.series.push(Series {
        label: P::NAME.to_owned(),
        points,
    });
    Ok(())
}

/// Replaces tasks one by one on full workers and times each placement.
fn churn<P: Named>(workers: u32, decisions: usize) -> eyre::Result<Histogram<u64>> {
    let mut generator = Generator::new(ASRC, 7);
    let mut random = Pcg64Mcg::seed_from_u64(8);
    let mut driver = filled::<P>(workers, FILL, &mut generator);
    let mut histogram = Histogram::new(3)?;
    let mut placed = 0;
    while (histogram.len() as usize) < decisions {
        driver.finish_one(&mut random);
        driver.advance(TICK);
        let plan = single(&mut generator);
        let before = driver.cell.counters().placed;
        let input = Input::Accept(Box::new(plan.job.clone()));
        driver.note(&plan.job, FOREVER);
        driver.now = driver.now + TICK;
        let clock = Clock::now();
        driver.step(input);
        driver.step(Input::Tick);
        let spent = clock.elapsed();
        histogram.record(spent.as_nanos() as u64)?;
        placed += driver.cell.counters().placed - before;
    }
    eyre::ensure!(
        placed * 10 >= decisions as u64 * 9,
        "placed only {placed} of {decisions}"
    );
    Ok(histogram)
}
