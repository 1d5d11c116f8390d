//! Tests of requests to targets: each module alone, then all of them together under faults.

mod dedup;
mod dispatch;
mod oracle;
mod parts;
mod reserve;
mod slot;
mod state_machine;
mod switch;
mod world;
