//! Waiting time by class and scheduling cost for the mixed trace.

use std::collections::HashMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use laburnumplank::core::id;
use laburnumplank::core::placement::Settings;
use laburnumplank::core::placement::policy::{
    FirstFitFifo, FirstFitSkipping, RandomSkipping, Standard,
};
use laburnumplank::core::time::Instant;
use laburnumplank::core::workload::Class;

use super::Named;
use super::drive::Driver;
use super::trace::{ASRC, KERDREAN, Planned, Site, mixed};
use crate::report::{Report, Table};

const TICK: Duration = Duration::from_millis(50);
const SPAN: Duration = Duration::from_secs(3_600);
/// How long the queue may take to drain after the trace.
const DRAIN: Duration = Duration::from_secs(7_200);
const LOAD: f64 = 0.9;
const SEED: u64 = 42;

/// Measures all policies on both sites.
pub(super) fn run(report: &mut Report) -> eyre::Result<()> {
    let mut waits = Table::new(
        "Waiting time from acceptance to start, mixed trace of one hour at load 0.9, in seconds",
        &[
            "site", "policy", "class", "tasks", "p50", "p95", "p99", "max",
        ],
    );
    let mut costs = Table::new(
        "Cost of the mixed trace",
        &[
            "site",
            "policy",
            "starts",
            "tasks not started",
            "pre-empted",
            "log batches per second",
            "records per start",
            "messages to workers per start",
        ],
    );
    for site in [KERDREAN, ASRC] {
        let plans = mixed(site, LOAD, SPAN, SEED);
        measure_policy::<Standard>(site, &plans, &mut waits, &mut costs)?;
        measure_policy::<FirstFitSkipping>(site, &plans, &mut waits, &mut costs)?;
        measure_policy::<RandomSkipping>(site, &plans, &mut waits, &mut costs)?;
        measure_policy::<FirstFitFifo>(site, &plans, &mut waits, &mut costs)?;
    }
    report.tables.push(waits);
    report.tables.push(costs);
    Ok(())
}

/// Runs the trace under one policy and adds its rows to the tables.
fn measure_policy<P: Named>(
    site: Site,
    plans: &[Planned],
    waits: &mut Table,
    costs: &mut Table,
) -> eyre::Result<()> {
    let mut driver: Driver<P> = Driver::new(site, Settings::default());
    let begin = driver.now;
    let mut accepted: HashMap<id::Job, (Class, Instant)> = HashMap::new();
    let mut plans = plans.iter().peekable();
    let mut submitted_tasks = 0;
    while driver.now < begin + SPAN + DRAIN {
        while let Some(plan) = plans.next_if(|plan| begin + plan.at <= driver.now) {
            accepted.insert(plan.job.id, (plan.job.class, driver.now));
            submitted_tasks += plan.job.tasks as usize;
            driver.submit(&plan.job, plan.runs_for);
        }
        driver.advance(TICK);
        let is_drained = plans.peek().is_none() && driver.cell.jobs().all(|job| job.queued == 0);
        if is_drained && driver.now > begin + SPAN {
            break;
        }
    }
    let first: Vec<_> = driver
        .starts
        .iter()
        .filter(|start| start.attempt.number == 1)
        .collect();
    for class in Class::ALL {
        let mut histogram: Histogram<u64> = Histogram::new(3)?;
        for start in &first {
            let (job_class, accepted_at) = accepted[&start.attempt.task.job];
            if job_class == class {
                histogram.record(start.at.since(accepted_at).as_millis() as u64)?;
            }
        }
        let seconds = |millis: u64| format!("{:.2}", millis as f64 / 1_000.0);
        waits.row([
            site.name.to_owned(),
            P::NAME.to_owned(),
            format!("{class:?}").to_lowercase(),
            histogram.len().to_string(),
            seconds(histogram.value_at_quantile(0.5)),
            seconds(histogram.value_at_quantile(0.95)),
            seconds(histogram.value_at_quantile(0.99)),
            seconds(histogram.max()),
        ]);
    }
    let starts = driver.starts.len().max(1) as f64;
    let span = driver.now.since(begin).as_secs_f64();
    costs.row([
        site.name.to_owned(),
        P::NAME.to_owned(),
        driver.starts.len().to_string(),
        (submitted_tasks - first.len()).to_string(),
        driver.cell.counters().preempted.to_string(),
        format!("{:.1}", driver.cell.counters().batches as f64 / span),
        format!("{:.2}", driver.records as f64 / starts),
        format!("{:.2}", driver.messages as f64 / starts),
    ]);
    Ok(())
}
