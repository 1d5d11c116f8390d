//! A real cell of processes: what its entries cost, idle and under calls, and how fast it reacts.
//!
//! Each part starts a cell of release programs with stand-ins, lets it settle and reads the CPU
//! time and memory of the entries from `/proc`, the bytes between entries from their counters and
//! the bytes of the log from its stand-in.

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
/// Fails when a cell does not start or work.
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

/// Waits.
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
