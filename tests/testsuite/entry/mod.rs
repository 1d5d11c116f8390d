//! An entry that owns a cell on a platform in memory.

mod fake;
mod owner;
mod tenure;
