//! A cluster scheduler for unlike workloads: services, batch work and gangs.
//!
//! [`core`] holds the decisions, [`ops`] one module per operation that a user can ask for and
//! [`util`] helpers. Daemons and command lines are thin programs over this library.

pub mod api;
pub mod core;
pub mod daemon;
pub mod entry;
pub mod ops;
pub mod platform;
pub mod settings;
pub mod util;
pub mod wire;
