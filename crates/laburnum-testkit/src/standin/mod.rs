//! Stand-ins for the log service, the VM list, workers and targets.
//!
//! A [`Host`] runs any number of stand-ins on one thread. Each stand-in has its own port, which
//! serves exactly the messages of `laburnumplank::platform`. A separate control port of the host
//! serves the fault switches and the records that tests check, so it stays reachable while a
//! stand-in is down. A request first passes the fault switches (see [`fault`]) and is then handled
//! by the stand-in's state, which is plain data and takes the current time as an argument.

mod client;
pub mod command;
mod control;
pub mod fault;
mod host;
pub mod http;
pub mod log;
pub mod server;
pub mod target;
pub mod vms;
pub mod worker;

pub use self::client::Client;
pub use self::host::{Host, Role};
