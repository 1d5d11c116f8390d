//! Recovery of a cell from its records.
//!
//! A placement without a recorded end counts against its worker. After a takeover no inventory is
//! requested until the previous owner's last start can no longer take effect, and nothing is
//! started on a worker before its inventory has been read.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use slotmap::SlotMap;

use super::jobs::Stopping;
use super::{Cell, Counters, journal, reservations, unblock};
use crate::core::placement::history::History;
use crate::core::placement::index::Index;
use crate::core::placement::job::End;
use crate::core::placement::message::Record;
use crate::core::placement::policy::Policy;
use crate::core::placement::queue::Queue;
use crate::core::placement::settings::{Rules, Settings};
use crate::core::placement::table::JobKey;
use crate::core::resource::Amount;
use crate::core::time::Instant;
use crate::core::workload::Class;

/// The inputs of a recovery besides the records.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// The time of the takeover, after which the previous owner cannot act.
    pub now: Instant,
    /// The end of the new owner's lease on the partition.
    pub lease: Instant,
    /// The settings in force.
    pub settings: Settings,
    /// Whether a previous owner may have started tasks without durable records. This is so when a
    /// previous owner was allowed to by [`Input::Unrecorded`](super::super::Input::Unrecorded) and
    /// no owner since was [fully recorded](Cell::is_fully_recorded). Such tasks may put a team
    /// above its ceiling until the inventories of their workers have been read.
    pub unrecorded: bool,
    /// The safety mechanisms in force.
    #[doc(hidden)]
    pub rules: Rules,
}

impl Recovery {
    /// Returns a recovery at `now` by an owner that may act until `lease`.
    pub fn new(now: Instant, lease: Instant, settings: Settings) -> Recovery {
        Recovery {
            now,
            lease,
            settings,
            unrecorded: false,
            rules: Rules::default(),
        }
    }
}

impl<P: Policy> Cell<P> {
    /// Builds the cell of a new owner from all records of the previous ones.
    pub fn recover(recovery: Recovery, records: impl IntoIterator<Item = Record>) -> Cell<P> {
        let is_unrecorded = recovery.unrecorded && recovery.rules.fence_unrecorded;
        let mut cell = Cell::empty(recovery);
        for record in records {
            cell.apply(record);
        }
        cell.resume(is_unrecorded);
        cell
    }

    /// Returns a cell without workers, jobs or attempts.
    fn empty(recovery: Recovery) -> Cell<P> {
        let tuning = &recovery.settings.tuning;
        let inventories_from = match recovery.rules.inventory_first {
            true => recovery.now + tuning.start_bound(),
            false => recovery.now,
        };
        let held_until = match recovery.unrecorded && recovery.rules.fence_unrecorded {
            true => recovery.now + tuning.lease_bound(),
            false => recovery.now,
        };
        Cell {
            now: recovery.now,
            lease: recovery.lease,
            is_fenced: false,
            is_unrecorded: false,
            inventories_from,
            held_until,
            held: Vec::new(),
            rules: recovery.rules,
            settings: recovery.settings,
            workers: SlotMap::with_key(),
            worker_ids: HashMap::new(),
            roster: Vec::new(),
            index: Index::default(),
            plain_index: Index::default(),
            total: Amount::default(),
            sizes: BTreeMap::new(),
            due: BTreeSet::new(),
            attempts: SlotMap::with_key(),
            attempt_ids: HashMap::new(),
            jobs: SlotMap::with_key(),
            job_ids: HashMap::new(),
            tasks: 0,
            ended: VecDeque::new(),
            ended_ids: HashMap::new(),
            stopping: VecDeque::new(),
            gangs: BTreeSet::new(),
            lost: BTreeSet::new(),
            requeued_at: recovery.now,
            teams: SlotMap::with_key(),
            team_names: HashMap::new(),
            queue: Queue::default(),
            history: History::default(),
            chooser: P::Choose::default(),
            sequence: 0,
            freed: unblock::Freed::default(),
            swept_at: recovery.now,
            reservations: reservations::Reservations::default(),
            journal: journal::Journal::default(),
            counters: Counters::default(),
        }
    }

    /// Resumes each job after all records are applied.
    fn resume(&mut self, is_held: bool) {
        let keys: Vec<JobKey> = self.jobs.keys().collect();
        for key in keys {
            let job = &mut self.jobs[key];
            job.is_held = is_held;
            if job.succeeded == job.spec.tasks && job.ending.is_none() {
                job.ending = Some(End::Succeeded);
            }
            if is_held {
                self.held.push(key);
            }
            if self.jobs[key].ending.is_some() {
                self.stopping.push_back(Stopping::new(key));
                self.end_if_idle(key);
            } else {
                self.resume_job(key);
            }
        }
    }

    /// Queues a job that is not ending.
    fn resume_job(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        if job.spec.class == Class::Gang && job.live > 0 {
            let deadline = self.now + job.spec.gang_timeout;
            job.gang_deadline = Some(deadline);
            self.gangs.insert((deadline, key));
        }
        self.enqueue(key);
    }

    /// Queues the held jobs once no unknown attempt can hold a lease any more.
    pub(super) fn release_held(&mut self) {
        if self.held.is_empty() || self.now < self.held_until {
            return;
        }
        for key in std::mem::take(&mut self.held) {
            if let Some(job) = self.jobs.get_mut(key) {
                job.is_held = false;
                self.end_if_idle(key);
                self.enqueue(key);
            }
        }
    }
}
