//! Scores that compare the workers that may take a task.

use laburnum_derive::value;

use super::TaskRequest;
use crate::core::placement::table::{WorkerEntry, count_of};

/// The cost of placing a task on a worker. Fields are compared in order; the lowest cost wins.
#[value]
pub struct Cost {
    /// The number of the job's attempts in the worker's data centre; 0 when the job is not spread.
    pub data_centre: u32,
    /// The number of the job's attempts in the worker's rack; 0 when the job is not spread.
    pub rack: u32,
    /// The number of free accelerators on the worker, if the task needs none; otherwise 0.
    pub wasted_accelerators: u64,
    /// The sum of the shares of processors and memory that stay free, in millionths of the worker.
    pub leftover: u64,
}

/// A measure of how well a worker suits a task.
pub trait Score {
    /// Returns the cost of placing the task on `worker`.
    fn cost(request: &TaskRequest<'_>, worker: &WorkerEntry) -> Cost;
}

/// Prefers even spread where the job requests it, then few wasted accelerators, then the
/// least capacity left. The compared
/// workers are those with the least free capacity of the dominant resource, the one that the task
/// takes the largest share of (after Ghodsi et al., "Dominant Resource Fairness"); among these
/// workers, both processors and memory count.
#[derive(Debug)]
pub struct Leftover;

impl Score for Leftover {
    fn cost(request: &TaskRequest<'_>, worker: &WorkerEntry) -> Cost {
        let (data_centre, rack) = match request.is_spread {
            true => (
                count_of(request.data_centres, &worker.data_centre),
                count_of(request.racks, &worker.rack),
            ),
            false => (0, 0),
        };
        let wasted_accelerators = match request.size.accelerators {
            0 => worker.free().accelerators,
            _ => 0,
        };
        Cost {
            data_centre,
            rack,
            wasted_accelerators,
            leftover: leftover(request, worker),
        }
    }
}

/// Returns the sum of the shares of processors and memory that stay free, in millionths.
fn leftover(request: &TaskRequest<'_>, worker: &WorkerEntry) -> u64 {
    const MILLION: u64 = 1_000_000;
    let share = |part: u64, whole: u64| part * MILLION / whole.max(1);
    let left = worker.free() - request.size;
    let processors = share(left.cpu_millis, worker.size.cpu_millis);
    let memory = share(left.memory_mib, worker.size.memory_mib);
    processors + memory
}
