//! The key tables of the request partitions that this entry owns.
//!
//! A key table ensures that a request with an idempotency key runs at most once.

use std::collections::BTreeMap;
use std::time::Duration;

use super::lease_manager::LeaseManager;
use crate::core::id::{Partition, Service};
use crate::core::lease::{Acquired, Origin};
use crate::core::request::call::Id;
use crate::core::request::dedup::{
    self, Acquisition, Input, Now, Output, OwnerStatus, Record, Rules, Table, Term,
};
use crate::daemon::Context;
use crate::util::clock::Clock;

/// One table and the last owner status that it was given.
struct OpenTable {
    table: Table,
    status: OwnerStatus,
    /// The services of the unfinished requests, whose dispatchers get the verdicts.
    services: BTreeMap<Id, Service>,
}

/// The key tables of this entry.
pub(super) struct Keys {
    rules: Rules,
    tables: BTreeMap<Partition, OpenTable>,
}

impl Keys {
    /// Creates an empty set of tables.
    pub(super) fn new(context: &Context) -> Keys {
        let skew = Duration::from_millis(context.settings.lease.clock_skew_ms);
        Keys {
            rules: Rules {
                skew,
                ..Rules::default()
            },
            tables: BTreeMap::new(),
        }
    }

    /// Returns how long keys are remembered.
    pub(super) fn retention(&self) -> Duration {
        self.rules.retention
    }

    /// Creates the table of a partition that this entry acquired, from its records.
    pub(super) fn open(
        &mut self,
        clock: Clock,
        acquired: &Acquired,
        records: &[Record],
    ) -> Vec<Output> {
        let before = records.iter().filter_map(opened_term).max();
        let how = acquisition(acquired, before.is_some());
        let claim = dedup::Acquired {
            term: Term(acquired.epoch.0),
            before,
            how,
        };
        let mut out = Vec::new();
        let table = dedup::recover(self.rules, now(clock), records, claim, &mut out);
        let open = OpenTable {
            table,
            status: OwnerStatus::default(),
            services: BTreeMap::new(),
        };
        self.tables.insert(acquired.partition, open);
        out
    }

    /// Drops the table of a partition that this entry no longer owns.
    pub(super) fn close(&mut self, partition: Partition) {
        self.tables.remove(&partition);
    }

    /// Submits a request to a partition's table; returns `None` if this entry has no such table.
    pub(super) fn submit(
        &mut self,
        clock: Clock,
        service: Service,
        partition: Partition,
        submission: dedup::Submission,
    ) -> Option<Vec<Output>> {
        let open = self.tables.get_mut(&partition)?;
        open.services.insert(submission.id, service);
        Some(self.step(clock, partition, Input::Submit(submission)))
    }

    /// Passes an input to the table of a partition, if this entry has it.
    pub(super) fn step(&mut self, clock: Clock, partition: Partition, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        if let Some(open) = self.tables.get_mut(&partition) {
            open.table.step(now(clock), input, &mut out);
        }
        out
    }

    /// Passes a record of the log to a partition's table, which uses only records of earlier
    /// owners.
    pub(super) fn read(
        &mut self,
        clock: Clock,
        partition: Partition,
        record: &Record,
    ) -> Vec<Output> {
        self.step(clock, partition, Input::Read(record.clone()))
    }

    /// Advances all tables and updates their owner status: how long the owner may act, whether the
    /// log is up and whether the standbys hold promises.
    pub(super) fn tick(
        &mut self,
        clock: Clock,
        leases: &LeaseManager,
        is_log_up: bool,
    ) -> Vec<(Partition, Vec<Output>)> {
        let now = now(clock);
        let mut all = Vec::new();
        for (&partition, open) in &mut self.tables {
            let mut out = Vec::new();
            let status = OwnerStatus {
                until: leases.deadline(partition, now.instant).unwrap_or_default(),
                log_up: is_log_up,
                promised: leases.holds_promises(partition, now.instant),
            };
            if status != open.status {
                open.status = status;
                open.table.step(now, Input::OwnerStatus(status), &mut out);
            }
            open.table.step(now, Input::Tick, &mut out);
            all.push((partition, out));
        }
        all
    }

    /// Removes and returns the service of a request that got its response.
    pub(super) fn take_service(&mut self, partition: Partition, id: Id) -> Option<Service> {
        self.tables.get_mut(&partition)?.services.remove(&id)
    }

    /// Returns the service of a request.
    pub(super) fn service(&self, partition: Partition, id: Id) -> Option<&Service> {
        self.tables.get(&partition)?.services.get(&id)
    }

    /// Returns how many keys of a partition are being logged or running.
    pub(super) fn unfinished(&self, partition: Partition) -> usize {
        self.tables
            .get(&partition)
            .map_or(0, |open| open.table.unfinished_keys())
    }

    /// Returns the partitions of whose runs the log has complete records.
    pub(super) fn described(&self) -> Vec<Partition> {
        let described = self
            .tables
            .iter()
            .filter(|(_, open)| open.table.undurable_runs() == 0);
        described.map(|(&partition, _)| partition).collect()
    }

    /// Returns the number of keys in each table, by partition.
    pub(super) fn sizes(&self) -> BTreeMap<u16, usize> {
        self.tables
            .iter()
            .map(|(partition, open)| (partition.0, open.table.len()))
            .collect()
    }
}

/// Reads both clocks.
fn now(clock: Clock) -> Now {
    Now {
        instant: clock.now(),
        stamp: clock.stamp(),
    }
}

/// Returns the term that a record opens, if it is an opening record.
fn opened_term(record: &Record) -> Option<Term> {
    match record {
        Record::Opened { term, .. } => Some(*term),
        _ => None,
    }
}

/// Returns how a partition was acquired, which determines what the former owner may still run.
fn acquisition(acquired: &Acquired, had_owner: bool) -> Acquisition {
    if !had_owner && acquired.origin == Origin::First {
        return Acquisition::First;
    }
    match acquired.origin {
        _ if acquired.may_have_unlogged => Acquisition::Standby { promised: true },
        Origin::Offered | Origin::Released => Acquisition::Handover,
        Origin::Standby => Acquisition::Standby { promised: false },
        Origin::Reclaimed => Acquisition::Standby { promised: false },
        Origin::First | Origin::Orphaned => Acquisition::Outsider,
    }
}
