//! Tests of leases: at most one node may act as owner at any time, even if messages and records are
//! delayed, lost or repeated, and processes paused.

mod explore;
mod fuzz;
mod table;
mod world;
