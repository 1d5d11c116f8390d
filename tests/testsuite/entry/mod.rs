//! Tests of an entry's election and ownership, on an in-memory platform.

mod configuration;
mod control;
mod fake;
mod latency;
mod owner;
mod settling;
mod standby;
mod tenure;
mod writer;
