//! Helpers with one job each.

pub mod clock;
pub mod logger;
pub mod metric;
pub mod timer;
