//! Where tasks run.
//!
//! One [`Cell`] is the only authority over the workers of one partition. Events go in as [`Input`],
//! messages to workers and records for the log come out as [`Output`]. Its ledger counts every
//! attempt against its worker from the decision until the attempt surely runs nowhere any more, so
//! a worker never holds more than its size. A start leaves the cell only when its placement record
//! is durable; a task is placed again only when no worker can hold a lease on it. A new owner
//! rebuilds the cell from the records and reads each worker's inventory before it starts anything
//! there. [`policy`] decides which worker and which job come first.

mod cell;
mod history;
pub mod index;
pub mod job;
mod message;
pub mod policy;
pub mod quarantine;
mod queue;
pub mod settings;
pub mod table;

pub use cell::{
    Cell, Counters, Dump, Explanation, JobStatus, QuotaStatus, Recovery, Stage, TaskState,
    TaskStatus, Waiting, WorkerStatus,
};
pub use history::History;
pub use job::{Job, Spread};
pub use message::{Batch, Input, Outcome, Output, Record, Start, Worker};
pub use queue::{Lane, Rank, Shape};
pub use settings::{Knobs, Quota, Settings};
