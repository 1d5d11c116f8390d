//! What operators set: spans and limits, and the quotas of teams.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnum_derive::{message, value};

use crate::core::id::Team;
use crate::core::resource::Amount;
use crate::core::workload::Class;

/// The settings of a cell.
#[message]
#[derive(Default)]
pub struct Settings {
    /// Spans and limits.
    pub knobs: Knobs,
    /// The quotas of teams; a team without one has no limit.
    pub quotas: BTreeMap<Team, Quota>,
}

/// What a team may hold.
#[value]
pub struct Quota {
    /// What the team may always claim; above it, it borrows.
    pub share: Amount,
    /// What the team never exceeds, borrowed amounts included.
    pub ceiling: Amount,
}

/// Spans and limits of a cell.
#[message]
pub struct Knobs {
    /// How long a task may run without a renewal.
    pub task_lease: Duration,
    /// The span between renewals.
    pub renew_every: Duration,
    /// The longest time from emitting a start or renewal until a worker may act on it.
    pub flight: Duration,
    /// The bound on clock skew and drift, added to every wait for the end of a lease.
    pub margin: Duration,
    /// The span between inventories of one worker.
    pub inventory_every: Duration,
    /// After this span without an inventory, leases on a worker are renewed no more.
    pub silence: Duration,
    /// The span between group commits of records.
    pub commit_every: Duration,
    /// The most batches of records that may wait for durability.
    pub max_batches: usize,
    /// The most placement decisions in one step.
    pub decisions_per_step: usize,
    /// How many lost tasks are queued again per second, the most pressing class first.
    pub replace_per_second: u32,
    /// How many stops a step sends for cancelled jobs.
    pub stops_per_step: usize,
    /// How long a batch job waits before a worker is reserved for it and it may use room that goes
    /// with free accelerators.
    pub reserve_after: Duration,
    /// How long a reservation lasts at most.
    pub reserve_timeout: Duration,
    /// The most reservations at once.
    pub max_reservations: usize,
    /// How long a team within its share waits before borrowed amounts are claimed back, and a
    /// service before a worker is reserved for it.
    pub return_after: Duration,
    /// How much later borrowed work is served than work within the share.
    pub borrow_delay: Duration,
    /// How long a checkpoint may take before the task is stopped.
    pub checkpoint_grace: Duration,
    /// How long a throttled task may stay above its size before it is checkpointed.
    pub overrun_grace: Duration,
    /// The first span of a worker's quarantine; it doubles with each return.
    pub quarantine: Duration,
    /// The most tasks of one job.
    pub max_tasks_per_job: u32,
    /// The most tasks of all jobs that have not ended.
    pub max_tasks: u64,
    /// How many ended jobs are kept for queries.
    pub ended_jobs: usize,
    /// How long an ended job is kept for queries.
    pub ended_for: Duration,
}

impl Default for Knobs {
    fn default() -> Knobs {
        Knobs {
            task_lease: Duration::from_secs(20),
            renew_every: Duration::from_secs(5),
            flight: Duration::from_secs(2),
            margin: Duration::from_secs(1),
            inventory_every: Duration::from_secs(1),
            silence: Duration::from_secs(6),
            commit_every: Duration::from_millis(25),
            max_batches: 16,
            decisions_per_step: 512,
            replace_per_second: 1_000,
            stops_per_step: 256,
            reserve_after: Duration::from_secs(300),
            reserve_timeout: Duration::from_secs(600),
            max_reservations: 8,
            return_after: Duration::from_secs(10),
            borrow_delay: Duration::from_secs(600),
            checkpoint_grace: Duration::from_secs(2),
            overrun_grace: Duration::from_secs(10),
            quarantine: Duration::from_secs(60),
            max_tasks_per_job: 100_000,
            max_tasks: 1_000_000,
            ended_jobs: 10_000,
            ended_for: Duration::from_secs(3_600),
        }
    }
}

impl Knobs {
    /// Returns how long after its last start or renewal a lease may still be held by a worker.
    pub fn hold(&self) -> Duration {
        self.flight + self.task_lease + self.margin
    }

    /// Returns how long after its emission a start may still take effect.
    pub fn fence(&self) -> Duration {
        self.flight + self.margin
    }

    /// Returns how much later than an urgent job submitted at the same time a class is served.
    pub fn patience(&self, class: Class) -> Duration {
        match class {
            Class::Urgent => Duration::ZERO,
            Class::Service => Duration::from_secs(30),
            Class::Gang => Duration::from_secs(300),
            Class::Batch => Duration::from_secs(1_800),
        }
    }
}

/// The mechanisms that keep placement safe; tests switch one off to show that it is needed.
#[doc(hidden)]
#[value]
pub struct Rules {
    /// A task of a silent worker is placed again only after its lease has ended everywhere.
    pub wait_for_lease: bool,
    /// A worker gets its first start only after its inventory was read.
    pub inventory_first: bool,
    /// Placements count against a worker from the decision on, not from the start.
    pub count_in_flight: bool,
    /// A start is sent only when its placement record is durable.
    pub durable_first: bool,
    /// A job that was placed without records is held after a takeover until leases have ended.
    pub fence_unrecorded: bool,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            wait_for_lease: true,
            inventory_first: true,
            count_in_flight: true,
            durable_first: true,
            fence_unrecorded: true,
        }
    }
}
