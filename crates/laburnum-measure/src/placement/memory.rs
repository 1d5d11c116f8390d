//! Memory per worker, running task and waiting job.

use std::fs;
use std::time::Duration;

use laburnumplank::core::placement::policy::Standard;
use laburnumplank::core::placement::{Settings, Tuning};

use super::drive::Driver;
use super::trace::{ASRC, Generator};
use crate::report::{Report, Table};

const WORKERS: u32 = 28_000;
const TASKS: u32 = 200_000;
const TASKS_PER_JOB: u32 = 20;
const JOBS: u32 = 20_000;
const FOREVER: Duration = Duration::from_secs(1_000_000);

/// Measures the growth of the process, the driver's own tables included.
pub(super) fn run(report: &mut Report) -> eyre::Result<()> {
    let mut table = Table::new(
        "Memory of a cell, by growth of the process (the driver's tables included)",
        &["of", "count", "bytes each"],
    );
    let tuning = Tuning {
        inventory_every: FOREVER,
        silence: FOREVER,
        renew_every: FOREVER,
        commit_every: Duration::ZERO,
        max_batches: usize::MAX,
        ..Tuning::default()
    };
    let settings = Settings {
        tuning,
        ..Settings::default()
    };
    let before = resident()?;
    let mut driver: Driver<Standard> = Driver::new(ASRC.with(WORKERS), settings);
    let workers = resident()?;
    row(
        &mut table,
        "worker",
        WORKERS,
        workers.saturating_sub(before),
    );
    let mut generator = Generator::new(ASRC, 13);
    for _ in 0..TASKS / TASKS_PER_JOB {
        let mut plan = generator.urgent(Duration::ZERO);
        plan.job.tasks = TASKS_PER_JOB;
        driver.submit(&plan.job, FOREVER);
    }
    while driver.running() < TASKS as usize {
        driver.advance(Duration::from_millis(50));
    }
    let tasks = resident()?;
    row(
        &mut table,
        "running task, 20 to a job",
        TASKS,
        tasks.saturating_sub(workers),
    );
    for _ in 0..JOBS {
        let mut plan = generator.batch(Duration::ZERO);
        plan.job.tasks = 1;
        plan.job.size.accelerators = 5;
        driver.submit(&plan.job, FOREVER);
    }
    let jobs = resident()?;
    row(
        &mut table,
        "waiting job of one task",
        JOBS,
        jobs.saturating_sub(tasks),
    );
    report.tables.push(table);
    Ok(())
}

/// Adds a row.
fn row(table: &mut Table, of: &str, count: u32, bytes: u64) {
    table.row([
        of.to_owned(),
        count.to_string(),
        (bytes / u64::from(count)).to_string(),
    ]);
}

/// Returns the resident size of this process, in bytes.
fn resident() -> eyre::Result<u64> {
    const PAGE: u64 = 4_096;
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1);
    let pages: u64 = pages
        .ok_or_else(|| eyre::eyre!("statm has no second field"))?
        .parse()?;
    Ok(pages * PAGE)
}
