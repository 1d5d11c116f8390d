//! The control part's side of the platform's log.
//!
//! The journal follows three streams and appends to them in groups. It turns its readers' and its
//! writer's wishes into requests to the log service, whose answers come back as [`Event`]s, and it
//! gives what was learnt to the control part as [`Fact`]s.

use std::time::Duration;

use bytes::Bytes;
use rand::random;
use slog::{info, warn};

use super::Event as Input;
use super::archive;
use crate::core::config;
use crate::core::error::Result;
use crate::core::lease;
use crate::core::stream::{Name, Reader, Record, Ticket, Writer, reader, writer};
use crate::core::time::Instant;
use crate::daemon::Context;
use crate::platform::client::{Client, Failure};
use crate::platform::log::Page;
use crate::util::metric::label;

/// The largest page that is asked for, in bytes.
const PAGE_BYTES: usize = 1 << 20;
/// How long a read waits for a new entry.
const READ_WAIT: Duration = Duration::from_secs(2);
/// How long an append may take.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// How many connections to the log a daemon opens.
const LOG_CONNECTIONS: usize = 8;

/// A stream that the daemon follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// Who owns a partition.
    Lease,
    /// Changes of the configuration.
    Config,
    /// What owners record of their partitions.
    Work,
}

/// An answer of the log service.
#[derive(Debug)]
pub enum Event {
    /// A read was answered.
    Page {
        /// The stream.
        stream: Stream,
        /// The page.
        page: std::result::Result<Page, Failure>,
    },
    /// An append was answered.
    Appended {
        /// The stream.
        stream: Stream,
        /// The copy that was appended.
        copy: writer::Copy,
        /// Where it landed.
        offset: std::result::Result<u64, Failure>,
    },
}

/// What was learnt from the log.
#[derive(Debug)]
pub enum Fact {
    /// A record of the lease stream.
    Lease {
        /// Where it stands.
        offset: u64,
        /// The record.
        record: lease::Record,
    },
    /// A change of the configuration.
    Config(Record<config::Change>),
    /// A record of a partition.
    Work(archive::Record),
    /// The stream was read to its end.
    End(Stream),
    /// Records of this process are in the log for good.
    Durable {
        /// The stream.
        stream: Stream,
        /// The records.
        tickets: Vec<Ticket>,
    },
    /// Records of this process may or may not be in the log.
    Unknown {
        /// The stream.
        stream: Stream,
        /// The records.
        tickets: Vec<Ticket>,
    },
    /// A stream has lost entries that were not read.
    Expired(Stream),
}

impl Stream {
    /// Returns the stream's name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Stream::Lease => "lease",
            Stream::Config => "config",
            Stream::Work => "work",
        }
    }

    /// Returns the stream of a name in the log.
    fn of(name: &Name) -> Stream {
        match name.0.as_str() {
            "lease" => Stream::Lease,
            "config" => Stream::Config,
            _ => Stream::Work,
        }
    }
}

/// The readers and the writer.
pub(super) struct Journal {
    context: Context,
    client: Client,
    writer: Writer,
    lease: Reader<lease::Record>,
    config: Reader<config::Change>,
    work: Reader<archive::Record>,
    /// The last record of the lease stream, which a newer one replaces while it was not sent.
    last_lease: Option<Ticket>,
    is_up: bool,
}

impl Journal {
    /// Makes a journal that has read nothing.
    pub(super) fn new(context: &Context) -> Journal {
        Journal {
            context: context.clone(),
            client: Client::new(LOG_CONNECTIONS),
            writer: writer::Builder::new(context.node(), random()).build(),
            lease: Reader::new(random()),
            config: Reader::new(random()),
            work: Reader::new(random()),
            last_lease: None,
            is_up: true,
        }
    }

    /// Returns whether appends succeed, as far as known.
    pub(super) fn is_up(&self) -> bool {
        self.is_up
    }

    /// Sets how many entries share the cell's rate of appends.
    pub(super) fn set_entries(&mut self, now: Instant, entries: u32, facts: &mut Vec<Fact>) {
        self.write(now, writer::Input::Entries(entries), facts);
    }

    /// Queues a record of the lease stream, in place of one that was not sent yet.
    pub(super) fn push_lease(&mut self, record: &lease::Record) -> Result<()> {
        let stream = name(Stream::Lease);
        if let Some(ticket) = self.last_lease {
            self.writer.withdraw(&stream, ticket);
        }
        self.last_lease = Some(self.writer.push(&stream, record)?);
        Ok(())
    }

    /// Queues a record of another stream.
    pub(super) fn push<T: serde::Serialize>(
        &mut self,
        stream: Stream,
        record: &T,
    ) -> Result<Ticket> {
        self.writer.push(&name(stream), record)
    }

    /// Takes back a record that was never sent; returns whether that was so.
    pub(super) fn withdraw(&mut self, stream: Stream, ticket: Ticket) -> bool {
        self.writer.withdraw(&name(stream), ticket)
    }

    /// Lets time pass.
    pub(super) fn tick(&mut self, now: Instant, facts: &mut Vec<Fact>) {
        for stream in [Stream::Lease, Stream::Config, Stream::Work] {
            self.read(now, stream, reader::Input::Tick, facts);
        }
        self.write(now, writer::Input::Tick, facts);
    }

    /// Takes an answer of the log service.
    pub(super) fn take(&mut self, now: Instant, event: Event, facts: &mut Vec<Fact>) {
        match event {
            Event::Page { stream, page } => {
                let is_page = page.is_ok();
                let input = page.map_or(reader::Input::Failed, reader::Input::Page);
                self.read(now, stream, input, facts);
                if is_page {
                    self.note_position(now, stream, facts);
                }
                if is_page && self.lag(stream) == 0 {
                    facts.push(Fact::End(stream));
                }
            }
            Event::Appended {
                stream,
                copy,
                offset,
            } => self.appended(now, stream, copy, offset.ok(), facts),
        }
    }

    /// Returns how many entries are known to follow what was read.
    fn lag(&self, stream: Stream) -> u64 {
        match stream {
            Stream::Lease => self.lease.lag(),
            Stream::Config => self.config.lag(),
            Stream::Work => self.work.lag(),
        }
    }

    fn appended(
        &mut self,
        now: Instant,
        stream: Stream,
        copy: writer::Copy,
        offset: Option<u64>,
        facts: &mut Vec<Fact>,
    ) {
        self.note_state(offset.is_some());
        let stream = name(stream);
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

    /// Gives `input` to the reader of `stream` and carries out what it wants.
    fn read(&mut self, now: Instant, stream: Stream, input: reader::Input, facts: &mut Vec<Fact>) {
        match stream {
            Stream::Lease => {
                let mut out = Vec::new();
                self.lease.step(now, input, &mut out);
                self.deliver(stream, out, facts, |record| Fact::Lease {
                    offset: record.offset,
                    record: record.value,
                });
            }
            Stream::Config => {
                let mut out = Vec::new();
                self.config.step(now, input, &mut out);
                self.deliver(stream, out, facts, Fact::Config);
            }
            Stream::Work => {
                let mut out = Vec::new();
                self.work.step(now, input, &mut out);
                self.deliver(stream, out, facts, |record| Fact::Work(record.value));
            }
        }
    }

    /// Carries out what a reader wants.
    fn deliver<T>(
        &mut self,
        stream: Stream,
        outputs: Vec<reader::Output<T>>,
        facts: &mut Vec<Fact>,
        fact: impl Fn(Record<T>) -> Fact,
    ) {
        for output in outputs {
            match output {
                reader::Output::Fetch { from } => self.fetch(stream, from),
                reader::Output::Batch(_) => {}
                reader::Output::Record(record) => {
                    self.context
                        .metrics
                        .records
                        .add(1, &label("stream", stream.name()));
                    facts.push(fact(record));
                }
                reader::Output::Read { .. } => {}
                reader::Output::Expired { wanted, first } => {
                    warn!(self.context.log, "entries expired unread";
                        "stream" => stream.name(), "wanted" => wanted, "first" => first);
                    facts.push(Fact::Expired(stream));
                }
                reader::Output::Void { offset, cause } => {
                    slog::debug!(self.context.log, "entry does not count";
                        "stream" => stream.name(), "offset" => offset, "cause" => ?cause);
                }
                reader::Output::Gap { wanted, found } => {
                    warn!(self.context.log, "entries are missing in a page";
                        "stream" => stream.name(), "wanted" => wanted, "found" => found);
                }
                reader::Output::Truncated { wanted, next } => {
                    warn!(self.context.log, "log ends before what was read";
                        "stream" => stream.name(), "wanted" => wanted, "next" => next);
                }
            }
        }
    }

    /// Tells the writer what its process has read.
    fn note_position(&mut self, now: Instant, stream: Stream, facts: &mut Vec<Fact>) {
        let node = self.context.node();
        let (next, seen) = match stream {
            Stream::Lease => (self.lease.next(), self.lease.seen()),
            Stream::Config => (self.config.next(), self.config.seen()),
            Stream::Work => (self.work.next(), self.work.seen()),
        };
        let last = seen.last(node);
        self.write(
            now,
            writer::Input::Read {
                stream: name(stream),
                next,
                last,
            },
            facts,
        );
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
                } => self.append(Stream::of(&stream), copy, bytes),
                writer::Output::Durable { stream, tickets } => {
                    facts.push(Fact::Durable {
                        stream: Stream::of(&stream),
                        tickets,
                    });
                }
                writer::Output::Unknown { stream, tickets } => {
                    facts.push(Fact::Unknown {
                        stream: Stream::of(&stream),
                        tickets,
                    });
                }
            }
        }
    }

    /// Asks the log service for a page.
    fn fetch(&self, stream: Stream, from: u64) {
        let context = self.context.clone();
        let client = self.client.clone();
        actix_rt::spawn(async move {
            let base = &context.settings.platform.log;
            let page = client
                .read(base, stream.name(), from, PAGE_BYTES, READ_WAIT)
                .await;
            context.control(Input::Log(Event::Page { stream, page }));
        });
    }

    /// Sends an append to the log service.
    fn append(&self, stream: Stream, copy: writer::Copy, bytes: Vec<u8>) {
        let context = self.context.clone();
        let client = self.client.clone();
        actix_rt::spawn(async move {
            let base = &context.settings.platform.log;
            let entry = Bytes::from(bytes);
            let offset = client
                .append(base, stream.name(), entry, APPEND_TIMEOUT)
                .await;
            context.control(Input::Log(Event::Appended {
                stream,
                copy,
                offset,
            }));
        });
    }
}

/// Returns the name of a stream as the writer takes it.
fn name(stream: Stream) -> Name {
    Name(stream.name().to_owned())
}
