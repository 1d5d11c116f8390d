//! Leases: one owner at any time, whatever is delayed, lost, repeated or paused.

mod explore;
mod fuzz;
mod table;
mod world;
