//! The records of partitions in the work stream.
//!
//! Every entry keeps the records of all partitions that it has read, so that it can take over a
//! partition without reading the log again. Compaction drops records that no later owner needs:
//! those of ended jobs and those of keys older than the retention of keys. The kept records are
//! also the state in snapshots of the stream.
//!
//! A new owner first writes [`Body::Open`] and starts from the records before it. Every reader
//! ignores cell records of an earlier owner that the log accepted after it; the lease of that owner
//! had ended, so it did not act on them. Records of keys carry their own term and are kept.

use std::collections::HashMap;
use std::time::Duration;

use laburnum_derive::message;

use crate::core::id::{Job, Partition};
use crate::core::lease::Epoch;
use crate::core::placement;
use crate::core::request::dedup;
use crate::core::time::Stamp;

/// How many records a partition must hold at least before it is compacted.
const COMPACT_AFTER: usize = 8_192;

/// The content of a record.
#[message]
pub enum Body {
    /// The first record of a new owner.
    Open,
    /// A change to the history of an idempotency key.
    Key(dedup::Record),
    /// A batch of records that a cell commits as a whole.
    Cell(Vec<placement::Record>),
}

/// A record of one partition.
#[message]
pub struct Record {
    /// The partition.
    pub partition: Partition,
    /// The epoch of the ownership under which the record was written.
    pub epoch: Epoch,
    /// The content.
    pub body: Body,
}

/// The records of one partition that a later owner needs.
#[message]
#[derive(Default)]
struct PartitionRecords {
    epoch: Option<Epoch>,
    keys: Vec<dedup::Record>,
    cell: Vec<placement::Record>,
    jobs: HashMap<Job, Box<placement::Job>>,
    compact_at: usize,
}

/// The records of all partitions that a later owner needs, as a snapshot holds them.
#[message]
#[derive(Default)]
pub struct State {
    #[serde(rename = "shelves")]
    partitions: HashMap<Partition, PartitionRecords>,
}

/// The records of all partitions that a later owner needs.
#[derive(Debug, Default)]
pub(super) struct Archive {
    partitions: HashMap<Partition, PartitionRecords>,
}

impl Archive {
    /// Adds a record, and compacts the partition when it holds too many.
    pub(super) fn add(&mut self, now: Stamp, retention: Duration, record: &Record) {
        let partition = self.partitions.entry(record.partition).or_default();
        let is_outdated = partition.epoch.is_some_and(|newest| record.epoch < newest);
        partition.epoch = partition.epoch.max(Some(record.epoch));
        match &record.body {
            Body::Key(record) => partition.keys.push(record.clone()),
            Body::Cell(records) if !is_outdated => partition.add_cell_records(records),
            Body::Cell(_) | Body::Open => {}
        }
        if partition.len() >= partition.compact_at.max(COMPACT_AFTER) {
            partition.compact(now, retention);
        }
    }

    /// Compacts all partitions and returns the state for a snapshot.
    pub(super) fn state(&mut self, now: Stamp, retention: Duration) -> State {
        for records in self.partitions.values_mut() {
            records.compact(now, retention);
        }
        State {
            partitions: self.partitions.clone(),
        }
    }

    /// Replaces all records with those of a newer state.
    pub(super) fn restore(&mut self, state: State) {
        self.partitions = state.partitions;
    }

    /// Returns the key records of a partition.
    pub(super) fn keys(&self, partition: Partition) -> &[dedup::Record] {
        self.partitions
            .get(&partition)
            .map_or(&[], |records| &records.keys)
    }

    /// Returns the cell records of a partition.
    pub(super) fn cell(&self, partition: Partition) -> &[placement::Record] {
        self.partitions
            .get(&partition)
            .map_or(&[], |records| &records.cell)
    }

    /// Returns a job of a partition as it was submitted.
    pub(super) fn job(&self, partition: Partition, id: Job) -> Option<&placement::Job> {
        self.partitions
            .get(&partition)?
            .jobs
            .get(&id)
            .map(AsRef::as_ref)
    }

    /// Returns how many records are kept.
    pub(super) fn len(&self) -> usize {
        self.partitions.values().map(PartitionRecords::len).sum()
    }
}

impl PartitionRecords {
    fn len(&self) -> usize {
        self.keys.len() + self.cell.len()
    }

    fn add_cell_records(&mut self, records: &[placement::Record]) {
        for record in records {
            if let placement::Record::Accepted(job) = record {
                self.jobs.insert(job.id, job.clone());
            }
            self.cell.push(record.clone());
        }
    }

    /// Drops the records that no later owner needs; the next compaction happens once the number of
    /// records has doubled.
    fn compact(&mut self, now: Stamp, retention: Duration) {
        let oldest = now - retention;
        self.keys
            .retain(|record| created(record).is_none_or(|created| created >= oldest));
        let ended = ended_jobs(&self.cell);
        self.cell.retain(|record| is_needed(record, &ended));
        self.compact_at = self.len() * 2;
    }
}

/// Returns the creation time of the key that a record is about.
fn created(record: &dedup::Record) -> Option<Stamp> {
    match record {
        dedup::Record::Intent { key, .. }
        | dedup::Record::Void { key, .. }
        | dedup::Record::Ended { key, .. } => key.created(),
        dedup::Record::Opened { .. } | dedup::Record::Watermark { .. } => None,
    }
}

/// Returns the jobs that ended.
fn ended_jobs(records: &[placement::Record]) -> std::collections::HashSet<Job> {
    let ended = records.iter().filter_map(|record| match record {
        placement::Record::Ended { job, .. } => Some(*job),
        _ => None,
    });
    ended.collect()
}

/// Returns whether a later owner needs a record; of an ended job it needs only the records of its
/// acceptance and its end.
fn is_needed(record: &placement::Record, ended: &std::collections::HashSet<Job>) -> bool {
    match record {
        placement::Record::Accepted(_) | placement::Record::Ended { .. } => true,
        placement::Record::Placed { attempt, .. }
        | placement::Record::AttemptEnded { attempt, .. } => !ended.contains(&attempt.task.job),
        placement::Record::Canceled(job) => !ended.contains(job),
    }
}
