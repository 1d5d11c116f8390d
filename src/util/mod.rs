//! Clocks, timers, logging and metrics.

pub mod clock;
pub mod logger;
pub mod metric;
pub mod timer;
