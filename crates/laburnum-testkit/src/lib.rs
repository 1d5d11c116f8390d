//! Stand-ins for the platform and targets, and process control for tests.
//!
//! [`standin`] serves the messages of `laburnumplank::platform` from memory and brings about
//! failures on request.

pub mod clock;
pub mod standin;
