//! Stand-ins for the log service, the VM list, workers and targets.
//!
//! A [`Host`] runs any number of stand-ins on one thread. Each has a port of its own, which serves
//! exactly the messages of `laburnumplank::platform`. One control port for the whole host serves
//! fault switches and what the stand-ins recorded for oracles, so it can be reached while a
//! stand-in is down. A request passes the fault switches first (see [`fault`]), then the
//! stand-in's state, which is plain data that takes the time as a value.

mod client;
pub mod command;
mod control;
pub mod fault;
mod host;
mod http;
pub mod log;
mod server;
pub mod target;
pub mod vms;
pub mod worker;

pub use self::client::Client;
pub use self::host::{Host, Role};
