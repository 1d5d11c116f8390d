//! Applies what the journal read from the log to the state of the control thread.

use slog::{info, warn};

use crate::core::error::{Effect, Error, Kind};
use crate::core::id::{Job, Partition, Service};
use crate::core::placement::Input;
use crate::core::request::dispatcher::Verdict;
use crate::core::request::{Answer, dedup};
use crate::core::stream::PushId;
use crate::core::stream::snapshot::recovery::StateCopy;
use crate::core::time::Instant;
use crate::daemon::control::archive::Body;
use crate::daemon::control::journal::Update;
use crate::daemon::control::{Control, Pending, archive, journal};
use crate::daemon::dispatch;
use crate::wire::{Reply, Response, Stream};

impl Control {
    /// Applies updates of the journal, in order.
    pub(super) fn apply_updates(&mut self, now: Instant, updates: Vec<Update>) {
        for update in updates {
            match update {
                Update::Lease { offset, record } => {
                    let outputs = self.leases.read(now, offset, &record);
                    self.apply_lease_outputs(outputs);
                }
                Update::Config(record) => {
                    for response in self.configuration.apply(now, &record) {
                        response.send();
                    }
                    self.configure(now);
                }
                Update::Work(record) => self.apply_work_record(now, &record),
                Update::End(Stream::Lease) => self.leases.set_ready(now),
                Update::End(_) => {}
                Update::Durable { stream, push_ids } => self.durable(now, stream, &push_ids),
                Update::Unknown { stream, push_ids } => self.unknown(now, stream, &push_ids),
                Update::LeaseState(snapshot) => {
                    let outputs = self.leases.restore(now, &snapshot);
                    self.apply_lease_outputs(outputs);
                }
                Update::ConfigState(state) => {
                    if let Err(error) = self.configuration.restore(*state) {
                        warn!(self.context.log, "cannot restore the configuration from a snapshot"; "error" => %error);
                    }
                    self.configure(now);
                }
                Update::WorkState(state) => self.archive.restore(*state),
                Update::Capture(stream) => self.capture(now, stream),
            }
        }
    }

    /// Passes the state of a stream to the journal, for a snapshot.
    pub(super) fn capture(&mut self, now: Instant, stream: Stream) {
        let Some(copy) = self.stream_copy(stream) else {
            return;
        };
        let mut updates = Vec::new();
        self.journal.captured(now, stream, copy, &mut updates);
        self.apply_updates(now, updates);
    }

    /// Returns the encoded state of a stream, if this entry has one.
    pub(super) fn stream_copy(&mut self, stream: Stream) -> Option<StateCopy> {
        let state = match stream {
            Stream::Lease => journal::State::Lease(self.leases.snapshot()),
            Stream::Config => journal::State::Config(Box::new(self.configuration.state()?)),
            Stream::Work => {
                let (stamp, retention) = (self.context.clock.stamp(), self.keys.retention());
                journal::State::Work(Box::new(self.archive.state(stamp, retention)))
            }
        };
        self.journal.copy(state)
    }

    /// Applies the configuration in force to the cells and publishes it to the HTTP threads.
    pub(super) fn configure(&mut self, now: Instant) {
        self.jobs.configure(now, self.configuration.config());
        self.context.set_config(self.configuration.shared());
    }

    /// Archives a record of a partition, and passes a key record or an opening record to this
    /// entry's own state of that partition.
    pub(super) fn apply_work_record(&mut self, now: Instant, record: &archive::Record) {
        let retention = self.keys.retention();
        self.archive
            .add(self.context.clock.stamp(), retention, record);
        match &record.body {
            Body::Key(key_record) => {
                let outputs = self
                    .keys
                    .read(self.context.clock, record.partition, key_record);
                self.apply_key_outputs(record.partition, outputs);
            }
            Body::Open => self.open(now, record),
            Body::Cell(_) => {}
        }
    }

    /// Continues the operations that waited for records to become durable.
    pub(super) fn durable(&mut self, now: Instant, stream: Stream, push_ids: &[PushId]) {
        if stream != Stream::Work {
            return;
        }
        for push_id in push_ids {
            match self.pending.remove(push_id).map(|(pending, _)| pending) {
                Some(Pending::Key(partition, serial)) => {
                    let input = dedup::Input::Durable(serial);
                    let outputs = self.keys.step(self.context.clock, partition, input);
                    self.apply_key_outputs(partition, outputs);
                }
                Some(Pending::Batch(partition, number)) => {
                    let outputs = self.jobs.step(now, partition, Input::Durable(number));
                    self.apply_cell_outputs(partition, outputs);
                }
                Some(Pending::Accepted(job, reply)) => {
                    self.respond_accepted(now, job, reply);
                    if let Some((partition, outputs)) = self.jobs.accepted(now, job) {
                        self.apply_cell_outputs(partition, outputs);
                    }
                }
                Some(Pending::Nothing) | None => {}
            }
        }
    }

    /// Handles records that may or may not be in the log: fails the requests of operators and
    /// callers that waited for them, and writes all other records again.
    pub(super) fn unknown(&mut self, now: Instant, stream: Stream, push_ids: &[PushId]) {
        if stream == Stream::Config {
            for response in self.configuration.unknown(now, push_ids) {
                response.send();
            }
        }
        for push_id in push_ids {
            match self.pending.remove(push_id) {
                Some((Pending::Accepted(job, reply), _)) => {
                    self.jobs.forget_accept(job);
                    let _ = reply.send(Err(accept_unknown(job)));
                }
                None => {}
                // A record may be in the log twice without harm, so it is written again.
                Some((pending, record)) => self.push_again(record, pending),
            }
        }
    }

    /// Responds that a job is durable, unless this entry may no longer act on the partition:
    /// readers may ignore a record that the log accepted after the ownership ended.
    pub(super) fn respond_accepted(&self, now: Instant, job: Job, reply: Reply) {
        let partition = self.jobs.partition_of(job);
        let result = match self.leases.deadline(partition, now) {
            Some(_) => Ok(Response::Submitted(job)),
            None => Err(accept_unknown(job)),
        };
        let _ = reply.send(result);
    }

    /// Submits a request to the key table of a partition.
    pub(super) fn admit(
        &mut self,
        service: Service,
        partition: Partition,
        mut submission: dedup::Submission,
    ) {
        let id = submission.id;
        if self.leases.is_moving(partition) {
            let message = "the key's partition is moving to another entry; retry later";
            submission.refusal = Some(Error::new(Kind::NoOwner, message));
        }
        let clock = self.context.clock;
        match self
            .keys
            .submit(clock, service.clone(), partition, submission)
        {
            Some(outputs) => self.apply_key_outputs(partition, outputs),
            None => {
                let message = "this entry no longer owns the key's partition; retry later";
                let answer = Answer::refused(Kind::NoOwner, message).with_effect(Effect::Unknown);
                let verdict = Verdict::Answer(id, answer);
                self.context
                    .dispatch(dispatch::Event::Verdict { service, verdict });
            }
        }
    }

    /// Opens a partition whose earlier records have all been read: as a cell, or as a key table
    /// with slot grants.
    pub(super) fn open(&mut self, now: Instant, record: &archive::Record) {
        let partition = record.partition;
        let Some(acquired) = self.leases.opening(partition, record.epoch) else {
            return;
        };
        self.leases.set_open(partition);
        let Some(until) = self.leases.deadline(partition, now) else {
            return;
        };
        info!(self.context.log, "partition opened"; "partition" => partition.0, "epoch" => acquired.epoch.0, "origin" => ?acquired.origin);
        if self.jobs.is_worker_partition(partition) {
            let records = self.archive.cell(partition).to_vec();
            let outputs = self.jobs.open(now, &acquired, until, records);
            self.apply_cell_outputs(partition, outputs);
        } else {
            let records = self.archive.keys(partition);
            let outputs = self.keys.open(self.context.clock, &acquired, records);
            self.apply_key_outputs(partition, outputs);
            self.slots.open(now, &acquired);
        }
    }
}

/// Returns the error for a job that may or may not be durable.
fn accept_unknown(job: Job) -> Error {
    let message = format!("job {job} may or may not be accepted; request its status by its id");
    Error::new(Kind::AnswerLost, message)
}
