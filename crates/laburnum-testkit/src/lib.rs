//! Test support: stand-ins for the platform and targets, process control and a load tool.
//!
//! [`standin`] serves the messages of `laburnumplank::platform` from memory and injects faults on
//! request. [`process`] starts programs, and [`cell`] starts the stand-ins and daemons of a whole
//! cell. [`http`] is the HTTP client that tests use for all of them. [`fake`] holds in-process
//! fakes that run in virtual time. [`load`] sends calls at a constant average rate, [`explore`]
//! searches the states of a small model exhaustively, and [`schema`] finds schema changes that
//! break clients.

pub mod cell;
pub mod clock;
pub mod explore;
pub mod fake;
pub mod http;
pub mod load;
pub mod process;
pub mod schema;
pub mod standin;
