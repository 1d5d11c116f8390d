//! Streams: fuzzing against simple oracles, and focused tests.

pub(crate) mod cell;
mod funnel;
mod fuzz;
mod pace;
mod recovery;
mod relay;
mod snapshot;

pub(crate) use laburnum_testkit::fake::{Log, node};
use proptest::test_runner::{Config, RngSeed};

/// Returns the settings of a run with a fixed seed; `PROPTEST_CASES` makes it longer.
pub(crate) fn config(cases: u32) -> Config {
    let longer = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|text| text.parse().ok());
    Config {
        cases: longer.unwrap_or(cases),
        rng_seed: RngSeed::Fixed(0x6c61_6275),
        failure_persistence: None,
        ..Config::default()
    }
}
