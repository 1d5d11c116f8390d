//! A cluster scheduler for mixed workloads: services, batch jobs and gangs.
//!
//! [`core`] makes the scheduling decisions and does no I/O, [`ops`] has one module for each group of
//! remote procedure calls, and [`util`] has clocks, timers, logging and metrics. The daemons and
//! command-line tools are thin programs over this library.

pub mod api;
pub mod core;
pub mod daemon;
pub mod entry;
pub mod ops;
pub mod platform;
pub mod settings;
pub mod util;
pub mod wire;
