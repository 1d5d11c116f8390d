//! Packing: how much of the capacity is used before the first refusal.

use std::time::Duration;

use laburnumplank::core::placement::policy::{FirstFitFifo, RandomSkipping, Standard};
use laburnumplank::core::placement::{Knobs, Settings};
use laburnumplank::core::resource::Amount;

use super::Named;
use super::drive::Driver;
use super::trace::{ASRC, Generator, KERDREAN, Planned, Site, share};
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
        ],
    );
    for site in [KERDREAN, ASRC, KERDREAN.with(1_000), ASRC.with(1_000)] {
        one::<Standard>(site, &mut table);
        one::<FirstFitFifo>(site, &mut table);
        one::<RandomSkipping>(site, &mut table);
    }
    report.tables.push(table);
    Ok(())
}

/// Fills a site under one policy for each seed.
fn one<P: Named>(site: Site, table: &mut Table) {
    let runs: Vec<(f64, f64)> = SEEDS
        .iter()
        .map(|&seed| {
            let plans = singles(site, seed);
            (fill::<P>(site, &plans), bound(site, &plans))
        })
        .collect();
    let count = runs.len() as f64;
    let mean = runs.iter().map(|(used, _)| used).sum::<f64>() / count;
    let bound = runs.iter().map(|(_, bound)| bound).sum::<f64>() / count;
    let least = runs.iter().map(|(used, _)| *used).fold(1.0, f64::min);
    table.row([
        site.name.to_owned(),
        site.workers.to_string(),
        P::NAME.to_owned(),
        format!("{mean:.3}"),
        format!("{least:.3}"),
        format!("{bound:.3}"),
        format!("{:.3}", mean / bound),
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

/// Places one task after another until one is refused; returns the share in use.
fn fill<P: Named>(site: Site, plans: &[Planned]) -> f64 {
    let knobs = Knobs {
        inventory_every: FOREVER,
        silence: FOREVER,
        renew_every: FOREVER,
        commit_every: Duration::ZERO,
        max_batches: usize::MAX,
        reserve_after: FOREVER,
        ..Knobs::default()
    };
    let settings = Settings {
        knobs,
        ..Settings::default()
    };
    let mut driver: Driver<P> = Driver::new(site, settings);
    let mut used = Amount::default();
    for plan in plans {
        let before = driver.cell.counters().placed;
        driver.submit(&plan.job, FOREVER);
        driver.advance(Duration::from_millis(1));
        if driver.cell.counters().placed == before {
            break;
        }
        used += plan.job.size;
    }
    share(used, site.total())
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
