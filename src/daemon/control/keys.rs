//! The at-most-once tables of the request partitions that this entry owns.

use std::collections::BTreeMap;
use std::time::Duration;

use super::tenure::Tenure;
use crate::core::id::{Partition, Service};
use crate::core::lease::{Acquired, Origin};
use crate::core::request::call::Id;
use crate::core::request::dedup::{
    self, Acquisition, Input, Now, Output, OwnerStatus, Record, Rules, Table, Term,
};
use crate::daemon::Context;
use crate::util::clock::Clock;

/// One table and what it was last told.
struct Entry {
    table: Table,
    standing: OwnerStatus,
    /// The services of the requests that wait, to answer their dispatchers.
    services: BTreeMap<Id, Service>,
}

/// The tables of this entry.
pub(super) struct Keys {
    rules: Rules,
    entries: BTreeMap<Partition, Entry>,
}

impl Keys {
    /// Makes no tables.
    pub(super) fn new(context: &Context) -> Keys {
        let skew = Duration::from_millis(context.settings.lease.clock_skew_ms);
        Keys {
            rules: Rules {
                skew,
                ..Rules::default()
            },
            entries: BTreeMap::new(),
        }
    }

    /// Returns how long keys are remembered.
    pub(super) fn retention(&self) -> Duration {
        self.rules.retention
    }

    /// Opens the table of a partition from its records.
    pub(super) fn open(
        &mut self,
        clock: Clock,
        acquired: &Acquired,
        records: &[Record],
    ) -> Vec<Output> {
        let before = records.iter().filter_map(opened_term).max();
        let how = how(acquired, before.is_some());
        let claim = dedup::Acquired {
            term: Term(acquired.epoch.0),
            before,
            how,
        };
        let mut out = Vec::new();
        let table = dedup::recover(self.rules, now(clock), records, claim, &mut out);
        let entry = Entry {
            table,
            standing: OwnerStatus::default(),
            services: BTreeMap::new(),
        };
        self.entries.insert(acquired.partition, entry);
        out
    }

    /// Drops the table of a partition that is not owned any more.
    pub(super) fn close(&mut self, partition: Partition) {
        self.entries.remove(&partition);
    }

    /// Takes a request; without a table nothing is put out and `None` is returned.
    pub(super) fn submit(
        &mut self,
        clock: Clock,
        service: Service,
        partition: Partition,
        submission: dedup::Submission,
    ) -> Option<Vec<Output>> {
        let entry = self.entries.get_mut(&partition)?;
        entry.services.insert(submission.id, service);
        Some(self.step(clock, partition, Input::Submit(submission)))
    }

    /// Gives an event to the table of a partition, if it is owned.
    pub(super) fn step(&mut self, clock: Clock, partition: Partition, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        if let Some(entry) = self.entries.get_mut(&partition) {
            entry.table.step(now(clock), input, &mut out);
        }
        out
    }

    /// Takes a record of the log; a table needs only those of earlier owners.
    pub(super) fn read(
        &mut self,
        clock: Clock,
        partition: Partition,
        record: &Record,
    ) -> Vec<Output> {
        self.step(clock, partition, Input::Read(record.clone()))
    }

    /// Lets time pass and tells the tables what the owner may do.
    pub(super) fn tick(
        &mut self,
        clock: Clock,
        tenure: &Tenure,
        is_log_up: bool,
    ) -> Vec<(Partition, Vec<Output>)> {
        let now = now(clock);
        let mut all = Vec::new();
        for (&partition, entry) in &mut self.entries {
            let mut out = Vec::new();
            let standing = OwnerStatus {
                until: tenure.deadline(partition, now.instant).unwrap_or_default(),
                log_up: is_log_up,
                promised: tenure.holds_promises(partition, now.instant),
            };
            if standing != entry.standing {
                entry.standing = standing;
                entry
                    .table
                    .step(now, Input::OwnerStatus(standing), &mut out);
            }
            entry.table.step(now, Input::Tick, &mut out);
            all.push((partition, out));
        }
        all
    }

    /// Returns and forgets the service of a request that is answered.
    pub(super) fn take_service(&mut self, partition: Partition, id: Id) -> Option<Service> {
        self.entries.get_mut(&partition)?.services.remove(&id)
    }

    /// Returns the service of a request that is to run.
    pub(super) fn service(&self, partition: Partition, id: Id) -> Option<&Service> {
        self.entries.get(&partition)?.services.get(&id)
    }

    /// Returns how many keys of a partition are being logged or run.
    pub(super) fn unfinished(&self, partition: Partition) -> usize {
        self.entries
            .get(&partition)
            .map_or(0, |entry| entry.table.unfinished_keys())
    }

    /// Returns the partitions whose runs are all described by the log.
    pub(super) fn described(&self) -> Vec<Partition> {
        let described = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.table.undurable_runs() == 0);
        described.map(|(&partition, _)| partition).collect()
    }

    /// Returns how many keys each table remembers.
    pub(super) fn sizes(&self) -> BTreeMap<u16, usize> {
        self.entries
            .iter()
            .map(|(partition, entry)| (partition.0, entry.table.len()))
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

/// Returns the term that a record opened.
fn opened_term(record: &Record) -> Option<Term> {
    match record {
        Record::Opened { term, .. } => Some(*term),
        _ => None,
    }
}

/// Returns what the way of the acquisition says of the former owner's runs.
fn how(acquired: &Acquired, had_owner: bool) -> Acquisition {
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
