//! Stand-ins for the platform and targets, and process control for tests.

pub mod fake;
