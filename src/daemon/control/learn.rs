//! What the control part learns from the log.

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
use crate::daemon::control::journal::Fact;
use crate::daemon::control::{Control, Pending, archive, journal};
use crate::daemon::dispatch;
use crate::wire::{Reply, Stream, Tell};

impl Control {
    /// Takes what was learnt from the log.
    pub(super) fn learn(&mut self, now: Instant, facts: Vec<Fact>) {
        for fact in facts {
            match fact {
                Fact::Lease { offset, record } => {
                    let outputs = self.tenure.read(now, offset, &record);
                    self.follow_leases(outputs);
                }
                Fact::Config(record) => {
                    for answer in self.configuration.apply(now, &record) {
                        answer.send();
                    }
                    self.configure(now);
                }
                Fact::Work(record) => self.learn_work(now, &record),
                Fact::End(Stream::Lease) => self.tenure.set_ready(now),
                Fact::End(_) => {}
                Fact::Durable { stream, push_ids } => self.durable(now, stream, &push_ids),
                Fact::Unknown { stream, push_ids } => self.unknown(now, stream, &push_ids),
                Fact::LeaseState(snapshot) => {
                    let outputs = self.tenure.restore(now, &snapshot);
                    self.follow_leases(outputs);
                }
                Fact::ConfigState(state) => {
                    if let Err(error) = self.configuration.restore(*state) {
                        warn!(self.context.log, "configuration cannot be restored"; "error" => %error);
                    }
                    self.configure(now);
                }
                Fact::WorkState(state) => self.archive.restore(*state),
                Fact::Capture(stream) => self.capture(now, stream),
            }
        }
    }

    /// Gives the state of a stream to the journal's snapshots.
    pub(super) fn capture(&mut self, now: Instant, stream: Stream) {
        let Some(copy) = self.stream_copy(stream) else {
            return;
        };
        let mut facts = Vec::new();
        self.journal.captured(now, stream, copy, &mut facts);
        self.learn(now, facts);
    }

    /// Returns the encoded state of a stream, if this entry has one.
    pub(super) fn stream_copy(&mut self, stream: Stream) -> Option<StateCopy> {
        let state = match stream {
            Stream::Lease => journal::State::Lease(self.tenure.snapshot()),
            Stream::Config => journal::State::Config(Box::new(self.configuration.state()?)),
            Stream::Work => {
                let (stamp, retention) = (self.context.clock.stamp(), self.keys.retention());
                journal::State::Work(Box::new(self.archive.state(stamp, retention)))
            }
        };
        self.journal.copy(state)
    }

    /// Puts the configuration in force in the other parts.
    pub(super) fn configure(&mut self, now: Instant) {
        self.jobs.configure(now, self.configuration.config());
        self.context.set_config(self.configuration.shared());
    }

    /// Keeps a record of a partition and gives one of an earlier owner to the present one.
    pub(super) fn learn_work(&mut self, now: Instant, record: &archive::Record) {
        let retention = self.keys.retention();
        self.archive
            .keep(self.context.clock.stamp(), retention, record);
        match &record.body {
            Body::Key(key_record) => {
                let outputs = self
                    .keys
                    .read(self.context.clock, record.partition, key_record);
                self.follow_keys(record.partition, outputs);
            }
            Body::Open => self.open(now, record),
            Body::Cell(_) => {}
        }
    }

    /// Goes on with what waited for records to be in the log.
    pub(super) fn durable(&mut self, now: Instant, stream: Stream, push_ids: &[PushId]) {
        if stream != Stream::Work {
            return;
        }
        for push_id in push_ids {
            match self.pending.remove(push_id).map(|(pending, _)| pending) {
                Some(Pending::Key(partition, serial)) => {
                    let input = dedup::Input::Durable(serial);
                    let outputs = self.keys.step(self.context.clock, partition, input);
                    self.follow_keys(partition, outputs);
                }
                Some(Pending::Batch(partition, number)) => {
                    let outputs = self.jobs.step(now, partition, Input::Durable(number));
                    self.follow_cell(partition, outputs);
                }
                Some(Pending::Accepted(job, reply)) => {
                    self.answer_accepted(now, job, reply);
                    if let Some((partition, outputs)) = self.jobs.accepted(now, job) {
                        self.follow_cell(partition, outputs);
                    }
                }
                Some(Pending::Nothing) | None => {}
            }
        }
    }

    /// Answers what waited for records that may or may not be in the log.
    pub(super) fn unknown(&mut self, now: Instant, stream: Stream, push_ids: &[PushId]) {
        if stream == Stream::Config {
            for answer in self.configuration.unknown(now, push_ids) {
                answer.send();
            }
        }
        for push_id in push_ids {
            match self.pending.remove(push_id) {
                Some((Pending::Accepted(job, reply), _)) => {
                    self.jobs.forget_accept(job);
                    let _ = reply.send(Err(accept_unknown(job)));
                }
                None => {}
                // A record may stand in the log twice, so what waits for it is written again.
                Some((pending, record)) => self.push_again(record, pending),
            }
        }
    }

    /// Says that a job is durable; a record that the log took after the ownership may be void.
    pub(super) fn answer_accepted(&self, now: Instant, job: Job, reply: Reply) {
        let partition = self.jobs.partition_of(job);
        let answer = match self.tenure.deadline(partition, now) {
            Some(_) => Ok(Tell::Submitted(job)),
            None => Err(accept_unknown(job)),
        };
        let _ = reply.send(answer);
    }

    /// Asks the table of a partition about a request.
    pub(super) fn admit(
        &mut self,
        service: Service,
        partition: Partition,
        mut submission: dedup::Submission,
    ) {
        let id = submission.id;
        if self.tenure.is_moving(partition) {
            let message = "the key's partition is moving to another entry; come back";
            submission.refusal = Some(Error::new(Kind::NoOwner, message));
        }
        let clock = self.context.clock;
        match self
            .keys
            .submit(clock, service.clone(), partition, submission)
        {
            Some(outputs) => self.follow_keys(partition, outputs),
            None => {
                let message = "the owner of the key has changed; come back";
                let answer = Answer::refused(Kind::NoOwner, message).with_effect(Effect::Unknown);
                let verdict = Verdict::Answer(id, answer);
                self.context
                    .dispatch(dispatch::Event::Verdict { service, verdict });
            }
        }
    }

    /// Hands a partition whose records are read to the part that acts on it.
    pub(super) fn open(&mut self, now: Instant, record: &archive::Record) {
        let partition = record.partition;
        let Some(acquired) = self.tenure.opening(partition, record.epoch) else {
            return;
        };
        self.tenure.set_open(partition);
        let Some(until) = self.tenure.deadline(partition, now) else {
            return;
        };
        info!(self.context.log, "partition opened"; "partition" => partition.0, "epoch" => acquired.epoch.0, "origin" => ?acquired.origin);
        if self.jobs.is_worker_partition(partition) {
            let records = self.archive.cell(partition).to_vec();
            let outputs = self.jobs.open(now, &acquired, until, records);
            self.follow_cell(partition, outputs);
        } else {
            let records = self.archive.keys(partition);
            let outputs = self.keys.open(self.context.clock, &acquired, records);
            self.follow_keys(partition, outputs);
            self.slots.open(now, &acquired);
        }
    }
}

/// Makes the error of a job of which it is not known whether it is durable.
fn accept_unknown(job: Job) -> Error {
    let message = format!("job {job} may or may not be accepted; read it by its id");
    Error::new(Kind::AnswerLost, message)
}
