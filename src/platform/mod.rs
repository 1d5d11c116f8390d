//! The HTTP interfaces of the platform's services and of targets.
//!
//! The log service, the VM list, workers and targets are HTTP servers. The log stores opaque bytes:
//! each append adds one entry with one offset. All other messages are JSON, except the body of a
//! call, which is the caller's. The daemon sends these messages with [`client`], and the simulated
//! services of the test kit serve them.

pub mod client;
pub mod log;
pub mod target;
pub mod vms;
pub mod worker;
