//! Placement of tasks on the workers of a cell.
//!
//! One [`Cell`] is the only authority over the workers of one partition. It takes events as
//! [`Input`] and emits messages to workers and records for the log as [`Output`]. Its accounting
//! counts every attempt against its worker from the placement decision until the attempt is certain
//! not to run anywhere, so a worker is never given more than its size. The cell sends a start only
//! after the placement record is durable, unless [`Input::Unrecorded`] allows it to send starts
//! earlier. It places a task again only when no worker can hold a lease on it. A new owner rebuilds the cell from the records and reads each worker's inventory
//! before it starts anything there. A [`policy`] decides which worker and which job come first.

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
pub use settings::{Quota, Settings, Tuning};
