//! Which of the workers that may take a task is best.

use laburnum_derive::value;

use super::Ask;
use crate::core::placement::table::{WorkerEntry, counted};

/// The cost of a choice, lowest first.
#[value]
pub struct Cost {
    /// How many attempts of a spread job the data centre holds.
    pub data_centre: u32,
    /// How many attempts of a spread job the rack holds.
    pub rack: u32,
    /// Whether accelerators are blocked by work that needs none.
    pub wasted_accelerators: u64,
    /// The shares of processors and memory that stay free together, in millionths of the worker.
    pub leftover: u64,
}

/// A measure of how well a worker suits a task.
pub trait Score {
    /// Returns the cost of giving the task to `worker`.
    fn cost(ask: &Ask<'_>, worker: &WorkerEntry) -> Cost;
}

/// Prefers even spread where asked for, then the least room left. The workers compared are those
/// with the least room on the dominant resource, the one that the task takes the largest share of
/// (after Ghodsi et al., "Dominant Resource Fairness"); among them, processors and memory count.
#[derive(Debug)]
pub struct Leftover;

impl Score for Leftover {
    fn cost(ask: &Ask<'_>, worker: &WorkerEntry) -> Cost {
        let (data_centre, rack) = match ask.is_spread {
            true => (
                counted(ask.data_centres, &worker.data_centre),
                counted(ask.racks, &worker.rack),
            ),
            false => (0, 0),
        };
        let wasted_accelerators = match ask.size.accelerators {
            0 => worker.room().accelerators,
            _ => 0,
        };
        Cost {
            data_centre,
            rack,
            wasted_accelerators,
            leftover: leftover(ask, worker),
        }
    }
}

/// Returns what stays free of processors and memory together, in millionths of the worker.
fn leftover(ask: &Ask<'_>, worker: &WorkerEntry) -> u64 {
    const MILLION: u64 = 1_000_000;
    let share = |part: u64, whole: u64| part * MILLION / whole.max(1);
    let left = worker.room() - ask.size;
    let processors = share(left.cpu_millis, worker.size.cpu_millis);
    let memory = share(left.memory_mib, worker.size.memory_mib);
    processors + memory
}
