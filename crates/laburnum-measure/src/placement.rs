//! Placement: decision time, waiting time by class, packing, cancellation waves and memory.
//!
//! The daemon's cell and the baselines run the same code but for the policy. Times of decisions are
//! wall-clock; everything else runs on a fake clock.

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
    // Memory goes first: later parts would leave free pages behind.
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
