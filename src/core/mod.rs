//! Domain types and decisions.
//!
//! Nothing in here does I/O. Each decision is a state machine that takes the time and its input and
//! returns what is to be done, so the daemon, the property tests and the benchmarks drive the same
//! code. [`lease`] decides who owns a partition, [`stream`] what a log record means, [`config`]
//! which configuration is in force, [`membership`] which nodes are alive, [`request`] how calls
//! reach targets and [`placement`] where tasks run.

pub mod config;
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
