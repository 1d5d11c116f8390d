//! Placement: decision time, waiting time by class, packing, cancellation waves and memory.
//!
//! The scheduler's cell and the baselines run the same code except for the policy. Decision times are
//! wall-clock times; everything else runs on a fake clock.

mod decide;
mod drive;
mod load;
mod memory;
mod pack;
mod trace;
mod wait;

use laburnumplank::core::placement::policy::{
    FirstFitFifo, FirstFitSkipping, Policy, RandomSkipping, Standard,
};

use crate::report::Report;

/// Runs the measurement.
///
/// # Errors
///
/// Fails when the cell refuses or loses work that it should place.
pub fn run() -> eyre::Result<Report> {
    let mut report = Report::new("placement");
    // Memory is measured first: the other parts would leave free pages in the process, which would
    // hide its growth.
    memory::run(&mut report)?;
    decide::run(&mut report)?;
    load::run(&mut report)?;
    wait::run(&mut report)?;
    pack::run(&mut report)?;
    Ok(report)
}

/// The name of a policy in tables.
trait Named: Policy {
    const NAME: &'static str;
}

impl Named for Standard {
    const NAME: &'static str = "laburnumplank";
}

impl Named for FirstFitFifo {
    const NAME: &'static str = "first fit, strict FIFO";
}

impl Named for FirstFitSkipping {
    const NAME: &'static str = "first fit, FIFO with skipping";
}

impl Named for RandomSkipping {
    const NAME: &'static str = "random worker that fits, FIFO with skipping";
}
