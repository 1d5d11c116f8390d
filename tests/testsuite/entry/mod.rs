//! Tests of an entry's election and ownership, on an in-memory platform.

mod control;
mod fake;
mod owner;
mod settling;
mod tenure;
mod writer;
