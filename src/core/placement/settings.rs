//! Settings that operators change: time spans, limits and team quotas.

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
    /// Time spans and limits.
    pub tuning: Tuning,
    /// The quotas of teams; a team without one has no limit.
    pub quotas: BTreeMap<Team, Quota>,
}

/// The limits on the resources of a team's running tasks.
#[value]
pub struct Quota {
    /// The amount the team is entitled to; usage above it is borrowed.
    pub share: Amount,
    /// The amount the team never exceeds, borrowed amounts included.
    pub ceiling: Amount,
}

/// Time spans and limits of a cell.
#[message]
pub struct Tuning {
    /// How long a task may run without a renewal of its lease.
    pub task_lease: Duration,
    /// The interval between lease renewals.
    pub renew_every: Duration,
    /// The longest time from when a start or renewal is emitted until a worker may act on it.
    pub flight: Duration,
    /// The bound on clock skew and drift, added to every wait for a lease to end or for a start to
    /// expire.
    pub margin: Duration,
    /// The interval between inventory requests to one worker.
    pub inventory_every: Duration,
    /// When a worker has not answered an inventory request for this long, leases on it are no
    /// longer renewed.
    pub silence: Duration,
    /// The interval between group commits of records.
    pub commit_every: Duration,
    /// The maximum number of batches that may wait to become durable.
    pub max_batches: usize,
    /// The maximum number of placement decisions per step.
    pub decisions_per_step: usize,
    /// The maximum number of lost tasks queued again per second, the most urgent class first.
    pub replace_per_second: u32,
    /// The maximum number of tasks of ending jobs that are checked per step, and stopped if they
    /// run.
    pub stops_per_step: usize,
    /// How long a batch job waits before a worker is reserved for it. After the same time a job may
    /// also use processors and memory that are kept for free accelerators.
    pub reserve_after: Duration,
    /// The maximum duration of a reservation.
    pub reserve_timeout: Duration,
    /// The maximum number of concurrent reservations.
    pub max_reservations: usize,
    /// How long a job of a team within its share waits before borrowed resources are reclaimed for
    /// it, and how long a service waits before a worker is reserved for it.
    pub return_after: Duration,
    /// The delay of borrowing jobs in the queue, compared with jobs of teams within their share.
    pub borrow_delay: Duration,
    /// How long a checkpoint may take before the task is stopped.
    pub checkpoint_grace: Duration,
    /// How long a throttled task may stay above its size before it is checkpointed.
    pub overrun_grace: Duration,
    /// The length of a worker's first quarantine; it doubles with each further quarantine.
    pub quarantine: Duration,
    /// The maximum number of tasks per job.
    pub max_tasks_per_job: u32,
    /// The maximum number of tasks of all jobs that have not ended.
    pub max_tasks: u64,
    /// The maximum number of ended jobs kept for queries.
    pub ended_jobs: usize,
    /// How long an ended job is kept for queries.
    pub ended_for: Duration,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
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

impl Tuning {
    /// Returns how long after the cell emits a start or renewal a worker may still hold the lease
    /// that it grants.
    pub fn lease_bound(&self) -> Duration {
        self.flight + self.task_lease + self.margin
    }

    /// Returns how long after the cell emits a start that start may still take effect.
    pub fn start_bound(&self) -> Duration {
        self.flight + self.margin
    }

    /// Returns the queue delay of a class, compared with an urgent job submitted at the same time.
    pub fn class_delay(&self, class: Class) -> Duration {
        match class {
            Class::Urgent => Duration::ZERO,
            Class::Service => Duration::from_secs(30),
            Class::Gang => Duration::from_secs(300),
            Class::Batch => Duration::from_secs(1_800),
        }
    }
}

/// Safety mechanisms of placement. Tests disable one at a time to show that it is necessary.
#[doc(hidden)]
#[value]
pub struct Rules {
    /// A task of a worker that does not answer is placed again only after its lease has ended
    /// everywhere.
    pub wait_for_lease: bool,
    /// A worker gets its first start only after its inventory has been read.
    pub inventory_first: bool,
    /// An attempt counts against its worker from the placement decision on, not only from its
    /// start.
    pub count_in_flight: bool,
    /// A start is sent only after its placement record is durable.
    pub durable_first: bool,
    /// After a takeover, jobs that may have tasks without placement records are held until all
    /// leases have ended.
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
