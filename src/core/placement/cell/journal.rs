//! Group commit of records, and release of the starts and notices that depend on them.
//!
//! Records are collected until the next commit is due, then emitted as one batch. The starts and
//! notices that depend on them wait until the batch is durable, except for starts that
//! [`Input::Unrecorded`](super::super::Input::Unrecorded) allows to be sent earlier. A start that is
//! no longer valid by then is dropped, and its task is queued again.

use std::collections::BTreeMap;

use super::Cell;
use crate::core::id;
use crate::core::placement::job::End;
use crate::core::placement::message::{Batch, Outcome, Output, Record, Start};
use crate::core::placement::policy::Policy;
use crate::core::placement::table::{AttemptKey, JobKey, Phase, WorkerState};
use crate::core::time::Instant;
use crate::core::workload::Class;

/// The starts and notices that wait for a batch to become durable.
#[derive(Debug, Default)]
struct Pending {
    starts: Vec<AttemptKey>,
    notices: Vec<Notice>,
}

/// A notice that is emitted when a record is durable.
#[derive(Clone, Copy, Debug)]
enum Notice {
    Canceled(id::Job),
    Ended(JobKey, End),
}

/// Records that are not yet durable.
#[derive(Debug, Default)]
pub(super) struct Journal {
    records: Vec<Record>,
    open: Pending,
    sent: BTreeMap<u64, Pending>,
    number: u64,
    flushed_at: Instant,
}

impl Journal {
    /// Returns the number of emitted batches that are not durable yet.
    pub(super) fn outstanding(&self) -> usize {
        self.sent.len()
    }

    /// Returns whether all records are durable.
    pub(super) fn is_durable(&self) -> bool {
        self.sent.is_empty() && self.is_empty()
    }

    /// Returns whether the open batch is empty.
    fn is_empty(&self) -> bool {
        self.records.is_empty() && self.open.starts.is_empty() && self.open.notices.is_empty()
    }
}

impl<P: Policy> Cell<P> {
    /// Adds a record to the open batch.
    pub(super) fn write(&mut self, record: Record) {
        self.journal.records.push(record);
    }

    /// Schedules a start to be sent when the open batch is durable.
    pub(super) fn start_when_durable(&mut self, key: AttemptKey) {
        self.journal.open.starts.push(key);
    }

    /// Schedules the notice of a cancellation for when the open batch is durable.
    pub(super) fn notify_canceled(&mut self, job: id::Job) {
        self.journal.open.notices.push(Notice::Canceled(job));
    }

    /// Writes the end of a job and schedules its notice for when the record is durable.
    pub(super) fn write_end(&mut self, key: JobKey, end: End) {
        let job = self.jobs[key].spec.id;
        self.write(Record::Ended { job, end });
        self.journal.open.notices.push(Notice::Ended(key, end));
    }

    /// Emits the open batch when a commit is due.
    pub(super) fn flush(&mut self, out: &mut Vec<Output>) {
        let tuning = &self.settings.tuning;
        let is_due = self.now >= self.journal.flushed_at + tuning.commit_every;
        let is_full = self.journal.outstanding() >= tuning.max_batches && !self.is_unrecorded;
        if self.journal.is_empty() || !is_due || is_full {
            return;
        }
        let journal = &mut self.journal;
        journal.number += 1;
        journal.flushed_at = self.now;
        let records = std::mem::take(&mut journal.records);
        let mut pending = std::mem::take(&mut journal.open);
        let number = journal.number;
        let early = self.take_early(&mut pending);
        self.journal.sent.insert(number, pending);
        self.counters.batches += 1;
        out.push(Output::Commit(Batch { number, records }));
        self.send_starts(&early, out);
    }

    /// Removes and returns the starts that may be sent before the batch is durable. Starts of gangs
    /// always wait for the batch.
    fn take_early(&self, pending: &mut Pending) -> Vec<AttemptKey> {
        if !self.rules.durable_first {
            return std::mem::take(&mut pending.starts);
        }
        if !self.is_unrecorded {
            return Vec::new();
        }
        let is_gang = |key: &AttemptKey| {
            let job = self.attempts.get(*key).and_then(|attempt| attempt.job);
            job.is_some_and(|job| self.jobs[job].spec.class == Class::Gang)
        };
        let (gangs, early) = pending.starts.iter().partition(|&key| is_gang(key));
        pending.starts = gangs;
        early
    }

    /// Handles that a batch has become durable: sends its starts and emits its notices.
    pub(super) fn batch_durable(&mut self, number: u64, out: &mut Vec<Output>) {
        let Some(pending) = self.journal.sent.remove(&number) else {
            return;
        };
        self.send_starts(&pending.starts, out);
        for notice in pending.notices {
            match notice {
                Notice::Canceled(job) => out.push(Output::Canceled(job)),
                Notice::Ended(key, end) => self.forget_job(key, end, out),
            }
        }
    }

    /// Sends starts, except those whose attempts have ended in the meantime.
    fn send_starts(&mut self, keys: &[AttemptKey], out: &mut Vec<Output>) {
        for &key in keys {
            if self.attempts.contains_key(key) {
                self.send_start(key, out);
            }
        }
    }

    /// Sends one start, or ends the attempt when the start is no longer valid.
    fn send_start(&mut self, key: AttemptKey, out: &mut Vec<Output>) {
        let attempt = &self.attempts[key];
        let worker = &self.workers[attempt.worker];
        let is_usable =
            worker.state == WorkerState::Ready && !worker.health.is_quarantined(self.now);
        let job = attempt.job.map(|job| &self.jobs[job]);
        let Some(job) = job.filter(|job| job.ending.is_none() && is_usable) else {
            self.end_attempt(key, Outcome::NotStarted, out);
            return;
        };
        let tuning = &self.settings.tuning;
        let not_after = self.now + tuning.flight;
        out.push(Output::Start(Start {
            worker: worker.id,
            attempt: attempt.id,
            size: attempt.size,
            command: job.spec.command.clone(),
            lease: tuning.task_lease,
            not_after,
        }));
        self.counters.started += 1;
        let (fence, hold) = (tuning.start_bound(), tuning.lease_bound());
        let attempt = &mut self.attempts[key];
        attempt.phase = Phase::Starting;
        attempt.started_at = self.now;
        attempt.conclusive_after = self.now + fence;
        attempt.held_until = self.now + hold;
    }
}
