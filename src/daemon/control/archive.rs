//! Records of partitions, as they stand in the work stream.
//!
//! Every entry keeps the records of all partitions that it has read, so that it can take a
//! partition over without reading the log again. Records that no later owner needs are left out:
//! those of ended jobs and of keys that are older than the retention of keys. What is kept is also
//! the state that snapshots of the stream hold.
//!
//! A new owner first writes [`Body::Open`] and starts from what stands before it. What an earlier
//! owner wrote of its cell and the log took after it is void for every reader; that owner's lease
//! had ended, so it did not act on it. Records of keys carry their own term and are kept.

use std::collections::HashMap;
use std::time::Duration;

use laburnum_derive::message;

use crate::core::id::{Job, Partition};
use crate::core::lease::Epoch;
use crate::core::placement;
use crate::core::request::dedup;
use crate::core::time::Stamp;

/// How many records a partition gathers before it is compacted.
const COMPACT_AFTER: usize = 8_192;

/// What an owner records.
#[message]
pub enum Body {
    /// A new ownership begins.
    Open,
    /// The history of a key.
    Key(dedup::Record),
    /// What a cell commits as a whole.
    Cell(Vec<placement::Record>),
}

/// A record of one partition.
#[message]
pub struct Record {
    /// The partition.
    pub partition: Partition,
    /// The ownership under which it is recorded.
    pub epoch: Epoch,
    /// What is recorded.
    pub body: Body,
}

/// The records of one partition that a later owner needs.
#[message]
#[derive(Default)]
struct Shelf {
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
    shelves: HashMap<Partition, Shelf>,
}

/// The records of all partitions that a later owner needs.
#[derive(Debug, Default)]
pub(super) struct Archive {
    shelves: HashMap<Partition, Shelf>,
}

impl Archive {
    /// Keeps a record.
    pub(super) fn keep(&mut self, now: Stamp, retention: Duration, record: &Record) {
        let shelf = self.shelves.entry(record.partition).or_default();
        let is_void = shelf.epoch.is_some_and(|newest| record.epoch < newest);
        shelf.epoch = shelf.epoch.max(Some(record.epoch));
        match &record.body {
            Body::Key(record) => shelf.keys.push(record.clone()),
            Body::Cell(records) if !is_void => shelf.keep_cell(records),
            Body::Cell(_) | Body::Open => {}
        }
        if shelf.len() >= shelf.compact_at.max(COMPACT_AFTER) {
            shelf.compact(now, retention);
        }
    }

    /// Returns the state for a snapshot.
    pub(super) fn state(&mut self, now: Stamp, retention: Duration) -> State {
        for shelf in self.shelves.values_mut() {
            shelf.compact(now, retention);
        }
        State {
            shelves: self.shelves.clone(),
        }
    }

    /// Replaces everything by a newer state.
    pub(super) fn restore(&mut self, state: State) {
        self.shelves = state.shelves;
    }

    /// Returns the records of the keys of a partition.
    pub(super) fn keys(&self, partition: Partition) -> &[dedup::Record] {
        self.shelves
            .get(&partition)
            .map_or(&[], |shelf| &shelf.keys)
    }

    /// Returns the records of the cell of a partition.
    pub(super) fn cell(&self, partition: Partition) -> &[placement::Record] {
        self.shelves
            .get(&partition)
            .map_or(&[], |shelf| &shelf.cell)
    }

    /// Returns a job of a partition as it was submitted.
    pub(super) fn job(&self, partition: Partition, id: Job) -> Option<&placement::Job> {
        self.shelves
            .get(&partition)?
            .jobs
            .get(&id)
            .map(AsRef::as_ref)
    }

    /// Returns how many records are kept.
    pub(super) fn len(&self) -> usize {
        self.shelves.values().map(Shelf::len).sum()
    }
}

impl Shelf {
    fn len(&self) -> usize {
        self.keys.len() + self.cell.len()
    }

    fn keep_cell(&mut self, records: &[placement::Record]) {
        for record in records {
            if let placement::Record::Accepted(job) = record {
                self.jobs.insert(job.id, job.clone());
            }
            self.cell.push(record.clone());
        }
    }

    /// Leaves out what no later owner needs; the next compaction waits until as much is new.
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

/// Returns whether a later owner needs a record; of an ended job it needs that it was accepted and
/// that it ended.
fn is_needed(record: &placement::Record, ended: &std::collections::HashSet<Job>) -> bool {
    match record {
        placement::Record::Accepted(_) | placement::Record::Ended { .. } => true,
        placement::Record::Placed { attempt, .. }
        | placement::Record::AttemptEnded { attempt, .. } => !ended.contains(&attempt.task.job),
        placement::Record::Canceled(job) => !ended.contains(job),
    }
}
