//! Stand-ins for the platform and targets, process control and a model explorer for tests.

pub mod explore;
