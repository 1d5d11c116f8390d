//! Stub.
mod job;
pub use job::{Builder, End, Job, Spread};
