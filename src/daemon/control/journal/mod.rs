//! The control part's side of the platform's log.
//!
//! The journal follows three streams, each through a [`channel`], and appends to them in groups
//! through one writer. [`io`] turns what channels and the writer want into requests to the log
//! service and other entries, whose answers come back as [`Event`]s. What was learnt goes to the
//! control part as [`Fact`]s, in order.

mod channel;
mod io;
mod message;

use std::collections::VecDeque;
use std::time::Duration;

use rand::random;
use slog::{debug, info, warn};

use self::channel::{Channel, Input, Notice, Outcome, Wish};
use self::io::Io;
pub(in crate::daemon::control) use self::message::State;
pub use self::message::{Event, Fact};
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

/// How often the end of a stream of snapshots is asked for while snapshots are written.
const SNAPSHOT_POLL: Duration = Duration::from_millis(500);

/// The channels and the writer.
pub(super) struct Journal {
    context: Context,
    io: Io,
    writer: Writer,
    lease: Channel<lease::Record, lease::Snapshot>,
    config: Channel<config::Change, config::State>,
    work: Channel<archive::Record, archive::State>,
    /// Records of the lease stream, with when they become useless.
    lease_records: VecDeque<(PushId, Instant)>,
    is_up: bool,
    /// Whether this entry writes the snapshots.
    is_publisher: bool,
    polled_at: Instant,
}

impl Journal {
    /// Makes a journal that has read nothing.
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

    /// Returns whether appends succeed, as far as known.
    pub(super) fn is_up(&self) -> bool {
        self.is_up
    }

    /// Returns the streams that this entry reads from the log itself.
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

    /// Adopts the live entries: those of the region, this one among them, and all others, nearest
    /// first.
    pub(super) fn set_members(
        &mut self,
        now: Instant,
        region: &[Node],
        peers: &[Node],
        facts: &mut Vec<Fact>,
    ) {
        for stream in Stream::ALL {
            let input = Input::Members {
                region: region.to_vec(),
                peers: peers.to_vec(),
            };
            self.step(now, stream, input, facts);
        }
        let entries = peers.len() as u32 + 1;
        self.write(now, writer::Input::Entries(entries), facts);
    }

    /// Sets whether this entry writes the snapshots.
    pub(super) fn set_publisher(
        &mut self,
        now: Instant,
        is_publisher: bool,
        facts: &mut Vec<Fact>,
    ) {
        if self.is_publisher == is_publisher {
            return;
        }
        self.is_publisher = is_publisher;
        for stream in Stream::ALL {
            let input = publisher::Input::Owner(is_publisher);
            self.step(now, stream, Input::Publisher(input), facts);
        }
    }

    /// Queues a record of the lease stream; it is taken back when it has become useless unsent.
    pub(super) fn push_lease(&mut self, append: &lease::Append) -> Result<()> {
        let push_id = self.writer.push(&Stream::Lease.lane(), &append.record)?;
        self.lease_records.push_back((push_id, append.expires));
        Ok(())
    }

    /// Takes back records of the lease stream that became useless before they were sent.
    fn drop_expired(&mut self, now: Instant) {
        while let Some(&(push_id, expires)) = self.lease_records.front() {
            if now < expires {
                return;
            }
            self.lease_records.pop_front();
            self.withdraw(Stream::Lease, push_id);
        }
    }

    /// Queues a record of another stream.
    pub(super) fn push<T: serde::Serialize>(
        &mut self,
        stream: Stream,
        record: &T,
    ) -> Result<PushId> {
        self.writer.push(&stream.lane(), record)
    }

    /// Takes back a record that was never sent; returns whether that was so.
    pub(super) fn withdraw(&mut self, stream: Stream, push_id: PushId) -> bool {
        self.writer.withdraw(&stream.lane(), push_id)
    }

    /// Encodes a state that holds the effect of all facts so far; `None` while it is looked for.
    pub(super) fn copy(&self, state: State) -> Option<StateCopy> {
        match state {
            State::Lease(state) if !self.lease.is_recovering() => self.lease.copy(state).ok(),
            State::Config(state) if !self.config.is_recovering() => self.config.copy(*state).ok(),
            State::Work(state) if !self.work.is_recovering() => self.work.copy(*state).ok(),
            _ => None,
        }
    }

    /// Takes the state that a [`Fact::Capture`] asked for.
    pub(super) fn captured(
        &mut self,
        now: Instant,
        stream: Stream,
        copy: StateCopy,
        facts: &mut Vec<Fact>,
    ) {
        let input = publisher::Input::Captured {
            covers: copy.next,
            bytes: copy.bytes,
        };
        self.step(now, stream, Input::Publisher(input), facts);
    }

    /// Lets time pass.
    pub(super) fn tick(&mut self, now: Instant, facts: &mut Vec<Fact>) {
        for stream in Stream::ALL {
            self.step(now, stream, Input::Tick, facts);
        }
        self.drop_expired(now);
        if self.is_publisher && now.since(self.polled_at) >= SNAPSHOT_POLL {
            self.polled_at = now;
            Stream::ALL
                .into_iter()
                .for_each(|stream| self.io.ask_snapshot_end(stream));
        }
        self.write(now, writer::Input::Tick, facts);
    }

    /// Takes an answer.
    pub(super) fn take(&mut self, now: Instant, event: Event, facts: &mut Vec<Fact>) {
        match event {
            Event::Page { stream, page } => {
                let input = page.map_or(relay::Input::Failed, relay::Input::Page);
                self.step(now, stream, Input::Relay(input), facts);
            }
            Event::Bounds { stream, page } => {
                let bounds = |page: Page| recovery::Input::Bounds { first: page.first };
                let input = page.map_or(recovery::Input::Failed, bounds);
                self.step(now, stream, Input::Recovery(input), facts);
            }
            Event::Snapshot { stream, page } => {
                let input = page.map_or(finder::Input::Failed, finder::Input::Page);
                let input = recovery::Input::Snapshot(input);
                self.step(now, stream, Input::Recovery(input), facts);
            }
            Event::SnapshotEnd { stream, next } => {
                if let Ok(next) = next {
                    let input = writer::Input::Read {
                        stream: stream.snapshots(),
                        next,
                        last: None,
                    };
                    self.write(now, input, facts);
                }
            }
            Event::Peer { stream, from, copy } => {
                let input = recovery::Input::Peer { from, copy };
                self.step(now, stream, Input::Recovery(input), facts);
            }
            Event::Relay {
                stream,
                from,
                message,
            } => {
                let input = relay::Input::Received { from, message };
                self.step(now, stream, Input::Relay(input), facts);
            }
            Event::Appended { name, copy, offset } => {
                self.appended(now, name, copy, offset.ok(), facts);
            }
        }
    }

    fn appended(
        &mut self,
        now: Instant,
        stream: Name,
        copy: writer::BatchCopy,
        offset: Option<u64>,
        facts: &mut Vec<Fact>,
    ) {
        self.note_state(offset.is_some());
        let input = match offset {
            Some(offset) => writer::Input::Appended {
                stream,
                copy,
                offset,
            },
            None => writer::Input::Failed { stream, copy },
        };
        self.write(now, input, facts);
    }

    /// Counts an append and reports a change between up and down.
    fn note_state(&mut self, is_up: bool) {
        let outcome = if is_up { "ok" } else { "failed" };
        self.context
            .metrics
            .appends
            .add(1, &label("outcome", outcome));
        if is_up != self.is_up {
            info!(self.context.log, "log changed state"; "up" => is_up);
            self.is_up = is_up;
        }
    }

    /// Gives an event to the channel of a stream and carries out what it wants.
    fn step(&mut self, now: Instant, stream: Stream, input: Input, facts: &mut Vec<Fact>) {
        match stream {
            Stream::Lease => {
                let mut out = Outcome::default();
                self.lease.step(now, input, &mut out);
                self.settle(now, stream, out, facts, Fact::LeaseState, |record| {
                    Fact::Lease {
                        offset: record.offset,
                        record: record.value,
                    }
                });
            }
            Stream::Config => {
                let mut out = Outcome::default();
                self.config.step(now, input, &mut out);
                let state = |state| Fact::ConfigState(Box::new(state));
                self.settle(now, stream, out, facts, state, Fact::Config);
            }
            Stream::Work => {
                let mut out = Outcome::default();
                self.work.step(now, input, &mut out);
                let state = |state| Fact::WorkState(Box::new(state));
                self.settle(now, stream, out, facts, state, |record| {
                    Fact::Work(record.value)
                });
            }
        }
    }

    /// Turns what came out of a channel into facts, and carries out what it wants.
    fn settle<T, S>(
        &mut self,
        now: Instant,
        stream: Stream,
        out: Outcome<T, S>,
        facts: &mut Vec<Fact>,
        state: impl Fn(S) -> Fact,
        record: impl Fn(Record<T>) -> Fact,
    ) {
        if let Some(restored) = out.restored {
            facts.push(state(restored));
            self.note_jump(now, stream, facts);
        }
        let count = out.records.len() as u64;
        self.context
            .metrics
            .records
            .add(count, &label("stream", stream.name()));
        facts.extend(out.records.into_iter().map(record));
        for notice in out.notices {
            self.report(stream, notice);
        }
        if out.has_read {
            self.note_position(now, stream, facts);
        }
        if out.has_read && self.lag(stream) == 0 {
            facts.push(Fact::End(stream));
        }
        for wish in out.wishes {
            match wish {
                Wish::Capture => facts.push(Fact::Capture(stream)),
                Wish::Push(part) => self.push_part(now, stream, part, facts),
                wish => self.io.carry_out(stream, wish),
            }
        }
    }

    /// Queues a part of a snapshot.
    fn push_part(&mut self, now: Instant, stream: Stream, part: Part, facts: &mut Vec<Fact>) {
        let input = match self.writer.push(&stream.snapshots(), &part) {
            Ok(push_id) => publisher::Input::Pushed(push_id),
            Err(_) => publisher::Input::Refused(part),
        };
        self.step(now, stream, Input::Publisher(input), facts);
    }

    fn lag(&self, stream: Stream) -> u64 {
        match stream {
            Stream::Lease => self.lease.lag(),
            Stream::Config => self.config.lag(),
            Stream::Work => self.work.lag(),
        }
    }

    /// Tells the writer what its process has read.
    fn note_position(&mut self, now: Instant, stream: Stream, facts: &mut Vec<Fact>) {
        let (next, last) = self.position(stream);
        let stream = stream.lane();
        self.write(now, writer::Input::Read { stream, next, last }, facts);
    }

    /// Tells the writer that its process has left records out.
    fn note_jump(&mut self, now: Instant, stream: Stream, facts: &mut Vec<Fact>) {
        let (next, last) = self.position(stream);
        let stream = stream.lane();
        self.write(now, writer::Input::Jumped { stream, next, last }, facts);
    }

    /// Returns the next offset to be read and the last record of this process that counted.
    fn position(&self, stream: Stream) -> (u64, Option<Sequence>) {
        let node = self.context.node();
        match stream {
            Stream::Lease => (self.lease.next(), self.lease.writers().last(node)),
            Stream::Config => (self.config.next(), self.config.writers().last(node)),
            Stream::Work => (self.work.next(), self.work.writers().last(node)),
        }
    }

    /// Gives `input` to the writer and carries out what it wants.
    fn write(&mut self, now: Instant, input: writer::Input, facts: &mut Vec<Fact>) {
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
                    self.durable(now, &stream, push_ids, facts);
                }
                writer::Output::Unknown { stream, push_ids } => {
                    self.unknown(now, &stream, push_ids, facts);
                }
            }
        }
    }

    fn durable(&mut self, now: Instant, name: &Name, push_ids: Vec<PushId>, facts: &mut Vec<Fact>) {
        if let Some(stream) = Stream::of(name) {
            facts.push(Fact::Durable { stream, push_ids });
        } else if let Some(stream) = Stream::of_snapshots(name) {
            let input = publisher::Input::Durable(push_ids);
            self.step(now, stream, Input::Publisher(input), facts);
        }
    }

    fn unknown(&mut self, now: Instant, name: &Name, push_ids: Vec<PushId>, facts: &mut Vec<Fact>) {
        if let Some(stream) = Stream::of(name) {
            facts.push(Fact::Unknown { stream, push_ids });
        } else if let Some(stream) = Stream::of_snapshots(name) {
            let input = publisher::Input::Unknown(push_ids);
            self.step(now, stream, Input::Publisher(input), facts);
        }
    }

    /// Writes a line about what operators should know.
    fn report(&self, stream: Stream, notice: Notice) {
        let log = &self.context.log;
        let stream = stream.name();
        match notice {
            Notice::Recovered { next } => {
                info!(log, "stream is followed"; "stream" => stream, "next" => next);
            }
            Notice::Expired { wanted, first } => {
                warn!(log, "entries expired unread"; "stream" => stream, "wanted" => wanted, "first" => first);
            }
            Notice::Gap { wanted, found } => {
                warn!(log, "entries are missing"; "stream" => stream, "wanted" => wanted, "found" => found);
            }
            Notice::Truncated { wanted, next } => {
                warn!(log, "log ends before what was read"; "stream" => stream, "wanted" => wanted, "next" => next);
            }
            Notice::Void { offset, cause } => {
                debug!(log, "entry does not count"; "stream" => stream, "offset" => offset, "cause" => ?cause);
            }
        }
    }
}
