//! What the platform and the targets offer, as messages.
//!
//! The log service, the VM list, workers and targets are met over HTTP. The log carries opaque
//! bytes: one append is one entry with one offset. Everything else is JSON. The stand-ins of the
//! test kit serve these messages; the daemon's clients send them.

pub mod client;
pub mod log;
pub mod target;
pub mod vms;
pub mod worker;
