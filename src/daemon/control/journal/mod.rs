//! Reads and writes the platform's log for the control thread.
//!
//! The journal follows three streams, each through a [`channel`], and appends to them in groups
//! through one writer. [`io`] sends the requests of channels and the writer to the log service and
//! to other entries; the responses arrive as [`Event`]s. The journal passes what it read to the
//! control thread as [`Update`]s, in order.

mod channel;
mod io;
mod message;

use std::collections::VecDeque;
use std::time::Duration;

use rand::random;
use slog::{debug, info, warn};

use self::channel::{Channel, Command, Input, Notice, Outcome};
use self::io::Io;
pub(in crate::daemon::control) use self::message::State;
pub use self::message::{Event, Update};
use super::archive;
use crate::core::config;
use crate::core::error::Result;
use crate::core::id::Node;
use crate::core::lease;
use crate::core::stream::snapshot::recovery::{self, StateCopy};
use crate::core::stream::snapshot::{Part, finder, publisher};
use crate::core::stream::{Name, PushId, Record, Sequence, Writer, relay, writer};
use crate::core::time::Instant;
use crate::daemon::Context;
use crate::platform::log::Page;
use crate::util::metric::label;
use crate::wire::Stream;

/// How often the end of each stream of snapshots is polled while this entry writes snapshots.
const SNAPSHOT_POLL: Duration = Duration::from_millis(500);

/// The channels of the three streams and the writer.
pub(super) struct Journal {
    context: Context,
    io: Io,
    writer: Writer,
    lease: Channel<lease::Record, lease::Snapshot>,
    config: Channel<config::Change, config::State>,
    work: Channel<archive::Record, archive::State>,
    /// Queued records of the lease stream, each with the time after which it must not be sent.
    lease_records: VecDeque<(PushId, Instant)>,
    is_up: bool,
    /// Whether this entry writes the snapshots.
    is_publisher: bool,
    polled_at: Instant,
}

impl Journal {
    /// Creates a journal that has read nothing.
    pub(super) fn new(context: &Context) -> Journal {
        let node = context.node();
        let retention = Duration::from_secs(context.settings.log.retention_s);
        Journal {
            context: context.clone(),
            io: Io::new(context),
            writer: writer::Builder::new(node, random()).build(),
            lease: Channel::new(node, Stream::Lease, retention),
            config: Channel::new(node, Stream::Config, retention),
            work: Channel::new(node, Stream::Work, retention),
            lease_records: VecDeque::new(),
            is_up: true,
            is_publisher: false,
            polled_at: Instant::default(),
        }
    }

    /// Returns whether the last append succeeded; true before the first append.
    pub(super) fn is_up(&self) -> bool {
        self.is_up
    }

    /// Returns the names of the streams that this entry reads from the log itself.
    pub(super) fn direct(&self) -> Vec<&'static str> {
        let direct = [
            self.lease.is_direct(),
            self.config.is_direct(),
            self.work.is_direct(),
        ];
        let streams = Stream::ALL.into_iter().zip(direct);
        streams
            .filter(|(_, is_direct)| *is_direct)
            .map(|(stream, _)| stream.name())
            .collect()
    }

    /// Sets the live entries: those of the region, including this one, and all others, nearest
    /// first.
    pub(super) fn set_members(
        &mut self,
        now: Instant,
        region: &[Node],
        peers: &[Node],
        updates: &mut Vec<Update>,
    ) {
        for stream in Stream::ALL {
            let input = Input::Members {
                region: region.to_vec(),
                peers: peers.to_vec(),
            };
            self.step(now, stream, input, updates);
        }
        let entries = peers.len() as u32 + 1;
        self.write(now, writer::Input::Entries(entries), updates);
    }

    /// Sets whether this entry writes the snapshots.
    pub(super) fn set_publisher(
        &mut self,
        now: Instant,
        is_publisher: bool,
        updates: &mut Vec<Update>,
    ) {
        if self.is_publisher == is_publisher {
            return;
        }
        self.is_publisher = is_publisher;
        for stream in Stream::ALL {
            let input = publisher::Input::Owner(is_publisher);
            self.step(now, stream, Input::Publisher(input), updates);
        }
    }

    /// Queues a record of the lease stream; it is withdrawn if it expires before it is sent.
    pub(super) fn push_lease(&mut self, append: &lease::Append) -> Result<()> {
        let push_id = self
            .writer
            .push(&Stream::Lease.stream_name(), &append.record)?;
        self.lease_records.push_back((push_id, append.expires));
        Ok(())
    }

    /// Withdraws records of the lease stream that expired before they were sent.
    fn drop_expired(&mut self, now: Instant) {
        while let Some(&(push_id, expires)) = self.lease_records.front() {
            if now < expires {
                return;
            }
            self.lease_records.pop_front();
            self.withdraw(Stream::Lease, push_id);
        }
    }

    /// Queues a record of a stream other than the lease stream.
    pub(super) fn push<T: serde::Serialize>(
        &mut self,
        stream: Stream,
        record: &T,
    ) -> Result<PushId> {
        self.writer.push(&stream.stream_name(), record)
    }

    /// Removes a record from the queue; returns false if it was sent already.
    pub(super) fn withdraw(&mut self, stream: Stream, push_id: PushId) -> bool {
        self.writer.withdraw(&stream.stream_name(), push_id)
    }

    /// Encodes a state that contains the effect of all updates so far; `None` during a recovery or
    /// when the state cannot be serialized.
    pub(super) fn copy(&self, state: State) -> Option<StateCopy> {
        match state {
            State::Lease(state) if !self.lease.is_recovering() => self.lease.copy(state).ok(),
            State::Config(state) if !self.config.is_recovering() => self.config.copy(*state).ok(),
            State::Work(state) if !self.work.is_recovering() => self.work.copy(*state).ok(),
            _ => None,
        }
    }

    /// Handles the state that an [`Update::Capture`] requested.
    pub(super) fn captured(
        &mut self,
        now: Instant,
        stream: Stream,
        copy: StateCopy,
        updates: &mut Vec<Update>,
    ) {
        let input = publisher::Input::Captured {
            covers: copy.next,
            bytes: copy.bytes,
        };
        self.step(now, stream, Input::Publisher(input), updates);
    }

    /// Advances the channels and the writer, and polls the ends of the snapshot streams.
    pub(super) fn tick(&mut self, now: Instant, updates: &mut Vec<Update>) {
        for stream in Stream::ALL {
            self.step(now, stream, Input::Tick, updates);
        }
        self.drop_expired(now);
        if self.is_publisher && now.since(self.polled_at) >= SNAPSHOT_POLL {
            self.polled_at = now;
            Stream::ALL
                .into_iter()
                .for_each(|stream| self.io.request_snapshot_end(stream));
        }
        self.write(now, writer::Input::Tick, updates);
    }

    /// Handles a response or notification.
    pub(super) fn handle(&mut self, now: Instant, event: Event, updates: &mut Vec<Update>) {
        match event {
            Event::Page { stream, page } => {
                let input = page.map_or(relay::Input::Failed, relay::Input::Page);
                self.step(now, stream, Input::Relay(input), updates);
            }
            Event::Bounds { stream, page } => {
                let bounds = |page: Page| recovery::Input::Bounds { first: page.first };
                let input = page.map_or(recovery::Input::Failed, bounds);
                self.step(now, stream, Input::Recovery(input), updates);
            }
            Event::Snapshot { stream, page } => {
                let input = page.map_or(finder::Input::Failed, finder::Input::Page);
                let input = recovery::Input::Snapshot(input);
                self.step(now, stream, Input::Recovery(input), updates);
            }
            Event::SnapshotEnd { stream, next } => {
                if let Ok(next) = next {
                    let input = writer::Input::Read {
                        stream: stream.snapshots(),
                        next,
                        last: None,
                    };
                    self.write(now, input, updates);
                }
            }
            Event::Peer { stream, from, copy } => {
                let input = recovery::Input::Peer { from, copy };
                self.step(now, stream, Input::Recovery(input), updates);
            }
            Event::Relay {
                stream,
                from,
                message,
            } => {
                let input = relay::Input::Received { from, message };
                self.step(now, stream, Input::Relay(input), updates);
            }
            Event::Appended { name, copy, offset } => {
                self.appended(now, name, copy, offset.ok(), updates);
            }
        }
    }

    fn appended(
        &mut self,
        now: Instant,
        stream: Name,
        copy: writer::BatchCopy,
        offset: Option<u64>,
        updates: &mut Vec<Update>,
    ) {
        self.set_log_up(offset.is_some());
        let input = match offset {
            Some(offset) => writer::Input::Appended {
                stream,
                copy,
                offset,
            },
            None => writer::Input::Failed { stream, copy },
        };
        self.write(now, input, updates);
    }

    /// Counts an append and logs when the log becomes available or unavailable.
    fn set_log_up(&mut self, is_up: bool) {
        let outcome = if is_up { "ok" } else { "failed" };
        self.context
            .metrics
            .appends
            .add(1, &label("outcome", outcome));
        if is_up != self.is_up {
            info!(self.context.log, "availability of the log changed"; "up" => is_up);
            self.is_up = is_up;
        }
    }

    /// Passes an input to the channel of a stream and handles its outcome.
    fn step(&mut self, now: Instant, stream: Stream, input: Input, updates: &mut Vec<Update>) {
        match stream {
            Stream::Lease => {
                let mut out = Outcome::default();
                self.lease.step(now, input, &mut out);
                self.apply_outcome(now, stream, out, updates, Update::LeaseState, |record| {
                    Update::Lease {
                        offset: record.offset,
                        record: record.value,
                    }
                });
            }
            Stream::Config => {
                let mut out = Outcome::default();
                self.config.step(now, input, &mut out);
                let state = |state| Update::ConfigState(Box::new(state));
                self.apply_outcome(now, stream, out, updates, state, Update::Config);
            }
            Stream::Work => {
                let mut out = Outcome::default();
                self.work.step(now, input, &mut out);
                let state = |state| Update::WorkState(Box::new(state));
                self.apply_outcome(now, stream, out, updates, state, |record| {
                    Update::Work(record.value)
                });
            }
        }
    }

    /// Turns the outcome of a channel into updates, and carries out its commands.
    fn apply_outcome<T, S>(
        &mut self,
        now: Instant,
        stream: Stream,
        out: Outcome<T, S>,
        updates: &mut Vec<Update>,
        state: impl Fn(S) -> Update,
        record: impl Fn(Record<T>) -> Update,
    ) {
        if let Some(restored) = out.restored {
            updates.push(state(restored));
            self.report_jump(now, stream, updates);
        }
        let count = out.records.len() as u64;
        self.context
            .metrics
            .records
            .add(count, &label("stream", stream.name()));
        updates.extend(out.records.into_iter().map(record));
        for notice in out.notices {
            self.log_notice(stream, notice);
        }
        if out.has_read {
            self.report_position(now, stream, updates);
        }
        if out.has_read && self.lag(stream) == 0 {
            updates.push(Update::End(stream));
        }
        for command in out.commands {
            match command {
                Command::Capture => updates.push(Update::Capture(stream)),
                Command::Push(part) => self.push_part(now, stream, part, updates),
                command => self.io.carry_out(stream, command),
            }
        }
    }

    /// Queues a part of a snapshot.
    fn push_part(&mut self, now: Instant, stream: Stream, part: Part, updates: &mut Vec<Update>) {
        let input = match self.writer.push(&stream.snapshots(), &part) {
            Ok(push_id) => publisher::Input::Pushed(push_id),
            Err(_) => publisher::Input::Refused(part),
        };
        self.step(now, stream, Input::Publisher(input), updates);
    }

    fn lag(&self, stream: Stream) -> u64 {
        match stream {
            Stream::Lease => self.lease.lag(),
            Stream::Config => self.config.lag(),
            Stream::Work => self.work.lag(),
        }
    }

    /// Reports to the writer the position up to which this process has read.
    fn report_position(&mut self, now: Instant, stream: Stream, updates: &mut Vec<Update>) {
        let (next, last) = self.position(stream);
        let stream = stream.stream_name();
        self.write(now, writer::Input::Read { stream, next, last }, updates);
    }

    /// Reports to the writer that this process skipped records because it restored a state.
    fn report_jump(&mut self, now: Instant, stream: Stream, updates: &mut Vec<Update>) {
        let (next, last) = self.position(stream);
        let stream = stream.stream_name();
        self.write(now, writer::Input::Jumped { stream, next, last }, updates);
    }

    /// Returns the next offset to be read and the last record of this process that was accepted.
    fn position(&self, stream: Stream) -> (u64, Option<Sequence>) {
        let node = self.context.node();
        match stream {
            Stream::Lease => (self.lease.next(), self.lease.writers().last(node)),
            Stream::Config => (self.config.next(), self.config.writers().last(node)),
            Stream::Work => (self.work.next(), self.work.writers().last(node)),
        }
    }

    /// Passes an input to the writer and carries out its outputs.
    fn write(&mut self, now: Instant, input: writer::Input, updates: &mut Vec<Update>) {
        let mut out = Vec::new();
        self.writer.step(now, input, &mut out);
        for output in out {
            match output {
                writer::Output::Append {
                    stream,
                    copy,
                    bytes,
                } => self.io.append(stream, copy, bytes),
                writer::Output::Durable { stream, push_ids } => {
                    self.durable(now, &stream, push_ids, updates);
                }
                writer::Output::Unknown { stream, push_ids } => {
                    self.unknown(now, &stream, push_ids, updates);
                }
            }
        }
    }

    fn durable(
        &mut self,
        now: Instant,
        name: &Name,
        push_ids: Vec<PushId>,
        updates: &mut Vec<Update>,
    ) {
        if let Some(stream) = Stream::from_name(name) {
            updates.push(Update::Durable { stream, push_ids });
        } else if let Some(stream) = Stream::from_snapshot_name(name) {
            let input = publisher::Input::Durable(push_ids);
            self.step(now, stream, Input::Publisher(input), updates);
        }
    }

    fn unknown(
        &mut self,
        now: Instant,
        name: &Name,
        push_ids: Vec<PushId>,
        updates: &mut Vec<Update>,
    ) {
        if let Some(stream) = Stream::from_name(name) {
            updates.push(Update::Unknown { stream, push_ids });
        } else if let Some(stream) = Stream::from_snapshot_name(name) {
            let input = publisher::Input::Unknown(push_ids);
            self.step(now, stream, Input::Publisher(input), updates);
        }
    }

    /// Logs an event for operators.
    fn log_notice(&self, stream: Stream, notice: Notice) {
        let log = &self.context.log;
        let stream = stream.name();
        match notice {
            Notice::Recovered { next } => {
                info!(log, "recovered the state of a stream; following it now"; "stream" => stream, "next" => next);
            }
            Notice::Expired { wanted, first } => {
                warn!(log, "log dropped entries before they were read"; "stream" => stream, "wanted" => wanted, "first" => first);
            }
            Notice::Gap { wanted, found } => {
                warn!(log, "log entries are missing"; "stream" => stream, "wanted" => wanted, "found" => found);
            }
            Notice::Truncated { wanted, next } => {
                warn!(log, "log ends before the last offset read"; "stream" => stream, "wanted" => wanted, "next" => next);
            }
            Notice::Void { offset, cause } => {
                debug!(log, "log entry ignored"; "stream" => stream, "offset" => offset, "cause" => ?cause);
            }
        }
    }
}
