//! A cell of real processes: the cost of its entries, idle and under calls, and its reaction times.
//!
//! Each part starts a cell of release builds with stand-ins for the platform, lets it settle and reads
//! the CPU time and memory of the entries from `/proc`, the bytes between entries from their counters
//! and the bytes of the log from its stand-in.

mod change;
mod failure;
mod fit;
mod idle;
mod load;
mod usage;

use std::time::Duration;

use crate::report::Report;

/// The service that the targets answer.
const SERVICE: &str = "licence";

/// How long a client waits for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(8);

/// Runs all parts.
///
/// # Errors
///
/// Fails when a cell does not start, a process ends or a change or job takes too long.
pub fn run() -> eyre::Result<Report> {
    let mut report = Report::new("cell");
    actix_rt::System::new().block_on(async {
        idle::run(&mut report).await?;
        load::run(&mut report).await?;
        change::run(&mut report).await?;
        failure::run(&mut report).await
    })?;
    Ok(report)
}

/// Waits for `span` of real time.
async fn pause(span: Duration) {
    actix_rt::time::sleep(span).await;
}

/// Returns the value below which `share` of the samples lie, in milliseconds.
fn quantile_ms(samples: &mut [Duration], share: f64) -> f64 {
    samples.sort_unstable();
    let last = samples.len().saturating_sub(1);
    let rank = (last as f64 * share).ceil() as usize;
    samples
        .get(rank)
        .map_or(f64::NAN, |sample| sample.as_secs_f64() * 1e3)
}
