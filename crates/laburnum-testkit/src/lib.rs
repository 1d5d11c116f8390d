//! Stand-ins for the platform and targets, and process control for tests.
//!
//! [`standin`] serves the messages of `laburnumplank::platform` from memory and brings about
//! failures on request. [`process`] starts programs, and [`cell`] starts stand-ins and daemons
//! that form a whole cell. [`http`] is the client that tests speak to all of them with, [`load`]
//! sends calls at a steady rate, [`explore`] visits the states of a small model exhaustively and
//! [`schema`] finds changes of the published schema that break clients.

pub mod cell;
pub mod clock;
pub mod explore;
pub mod fake;
pub mod http;
pub mod load;
pub mod process;
pub mod schema;
pub mod standin;
