//! Requests to targets: the parts one by one, then all of them together under faults.

mod dedup;
mod dispatch;
mod machine;
mod oracle;
mod parts;
mod reserve;
mod slot;
mod switch;
mod world;
