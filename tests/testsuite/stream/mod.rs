//! Streams: property tests against simple oracles, and unit tests.

pub(crate) mod cell;
mod funnel;
mod fuzz;
mod pace;
mod recovery;
mod relay;
mod snapshot;

pub(crate) use laburnum_testkit::fake::{Log, node};
use proptest::test_runner::{Config, RngSeed};

/// Returns the proptest settings with a fixed seed; `PROPTEST_CASES` overrides the number of cases.
pub(crate) fn config(cases: u32) -> Config {
    let overridden = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|text| text.parse().ok());
    Config {
        cases: overridden.unwrap_or(cases),
        rng_seed: RngSeed::Fixed(0x6c61_6275),
        failure_persistence: None,
        ..Config::default()
    }
}
