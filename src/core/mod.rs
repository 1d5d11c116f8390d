//! Domain types and decisions.
//!
//! Nothing in this module does I/O. Each decision is a state machine that takes the time and an
//! input and returns the actions to carry out, so the daemon, the property tests and the benchmarks
//! run the same code. [`lease`] decides which node owns a partition, [`stream`] which log records
//! are accepted, [`config`] which configuration is in force, [`membership`] which nodes are alive,
//! [`request`] how calls reach targets and [`placement`] where tasks run.

pub mod account;
pub mod config;
pub mod connection;
pub mod error;
pub mod id;
pub mod lease;
pub mod membership;
pub mod placement;
pub mod queue;
pub mod request;
pub mod resource;
pub mod scheduler;
pub mod stream;
pub mod tenure;
pub mod time;
pub mod workload;
