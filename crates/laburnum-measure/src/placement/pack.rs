//! Packing: how much of the capacity is used before the first refusal.

use std::time::Duration;

use laburnumplank::core::id::Team;
use laburnumplank::core::placement::policy::{FirstFitSkipping, RandomSkipping, Standard};
use laburnumplank::core::placement::{Job, Settings, Tuning};
use laburnumplank::core::resource::Amount;
use laburnumplank::core::workload::Class;

use super::Named;
use super::drive::Driver;
use super::trace::{ASRC, Generator, KERDREAN, Planned, Site, amount, job_id, share};
use crate::report::{Report, Table};

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
const FOREVER: Duration = Duration::from_secs(1_000_000);

/// Measures all policies on both sites, today and at the target size.
pub(super) fn run(report: &mut Report) -> eyre::Result<()> {
    let mut table = Table::new(
        "Share of the bottleneck resource in use at the first refusal, one task after another \
         (mean and least of five seeds; bound: the longest prefix that fits were workers one)",
        &[
            "site",
            "workers",
            "policy",
            "mean",
            "least",
            "bound",
            "mean of bound",
            "accelerators usable after",
        ],
    );
    for site in [KERDREAN, ASRC, KERDREAN.with(1_000), ASRC.with(1_000)] {
        one::<Standard>(site, &mut table);
        one::<FirstFitSkipping>(site, &mut table);
        one::<RandomSkipping>(site, &mut table);
    }
    report.tables.push(table);
    Ok(())
}

/// What one seed gave, as shares.
struct Run {
    used: f64,
    bound: f64,
    usable: f64,
}

/// Fills a site under one policy for each seed.
fn one<P: Named>(site: Site, table: &mut Table) {
    let runs: Vec<Run> = SEEDS.iter().map(|&seed| fill::<P>(site, seed)).collect();
    let average = |of: fn(&Run) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
    let mean = average(|run| run.used);
    let bound = average(|run| run.bound);
    let usable = match site.accelerators {
        0 => "none there".to_owned(),
        _ => format!("{:.3}", average(|run| run.usable)),
    };
    let least = runs.iter().map(|run| run.used).fold(1.0, f64::min);
    table.row([
        site.name.to_owned(),
        site.workers.to_string(),
        P::NAME.to_owned(),
        format!("{mean:.3}"),
        format!("{least:.3}"),
        format!("{bound:.3}"),
        format!("{:.3}", mean / bound),
        usable,
    ]);
}

/// Draws batch jobs of one task each that together need twice what the site holds.
fn singles(site: Site, seed: u64) -> Vec<Planned> {
    let mut generator = Generator::new(site, seed);
    let total = site.total();
    let mut sum = Amount::default();
    let mut plans = Vec::new();
    while share(sum, total) < 2.0 {
        let mut plan = generator.batch(Duration::ZERO);
        plan.job.tasks = 1;
        sum += plan.job.size;
        plans.push(plan);
    }
    plans
}

/// Places one task after another until one is refused, then tasks of one accelerator each.
fn fill<P: Named>(site: Site, seed: u64) -> Run {
    let plans = singles(site, seed);
    let tuning = Tuning {
        inventory_every: FOREVER,
        silence: FOREVER,
        renew_every: FOREVER,
        commit_every: Duration::ZERO,
        max_batches: usize::MAX,
        reserve_after: FOREVER,
        ..Tuning::default()
    };
    let settings = Settings {
        tuning,
        ..Settings::default()
    };
    let mut driver: Driver<P> = Driver::new(site, settings);
    let mut used = Amount::default();
    for plan in &plans {
        let before = driver.cell.counters().placed;
        driver.submit(&plan.job, FOREVER);
        driver.advance(Duration::from_millis(1));
        if driver.cell.counters().placed == before {
            break;
        }
        used += plan.job.size;
    }
    Run {
        used: share(used, site.total()),
        bound: bound(site, &plans),
        usable: usable(&mut driver, site, plans.len() as u64),
    }
}

/// Returns the share of the accelerators that tasks of two cores and 4 GiB can still use.
fn usable<P: Named>(driver: &mut Driver<P>, site: Site, number: u64) -> f64 {
    let team = Team("accelerated".to_owned());
    let size = amount(2_000, 4_096, 1);
    let total = site.total().accelerators;
    let before = driver.cell.counters().placed;
    let job = Job::builder(job_id(number), team, Class::Batch, size)
        .tasks(total as u32)
        .build();
    driver.submit(&job, FOREVER);
    for _ in 0..total {
        driver.advance(Duration::from_millis(1));
    }
    let placed = driver.cell.counters().placed - before;
    placed as f64 / total.max(1) as f64
}

/// Returns the share in use by the longest prefix that fits into all workers' capacity as one.
fn bound(site: Site, plans: &[Planned]) -> f64 {
    let total = site.total();
    let mut used = Amount::default();
    for plan in plans {
        let more = used + plan.job.size;
        if share(more, total) > 1.0 {
            break;
        }
        used = more;
    }
    share(used, total)
}
