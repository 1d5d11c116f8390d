//! Follows one stream: recovers its state, reads its records and writes its snapshots.
//!
//! A new channel first recovers a state: from a peer, from a snapshot, or by reading the whole
//! stream. Then its reader follows the stream through a relay of the region. The publisher writes
//! snapshots while this entry is responsible for them. A channel does no I/O itself; it returns the
//! operations as [`Command`]s.

use std::marker::PhantomData;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::core::error::Result;
use crate::core::id::Node;
use crate::core::stream::reader::{self, Rejection};
use crate::core::stream::snapshot::recovery::{self, StateCopy};
use crate::core::stream::snapshot::{Content, Part, Publisher, Recovery, publisher};
use crate::core::stream::{Reader, Record, Relay, WriterTable, decode, encode, relay};
use crate::core::time::Instant;
use crate::wire::Stream;

/// An event for a channel.
pub(super) enum Input {
    /// Time has passed.
    Tick,
    /// The live entries changed.
    Members {
        /// The entries of this region, including this one.
        region: Vec<Node>,
        /// All other entries, nearest first.
        peers: Vec<Node>,
    },
    /// An input for the recovery.
    Recovery(recovery::Input),
    /// An input for the relay.
    Relay(relay::Input),
    /// An input for the publisher.
    Publisher(publisher::Input),
}

/// An operation that the journal carries out for a channel.
pub(super) enum Command {
    /// Read a page of the stream from the log.
    Fetch {
        /// The first offset to read.
        from: u64,
    },
    /// Read the first and the last offset of the stream from the log.
    FetchBounds,
    /// Read a page of the stream's snapshots from the log.
    FetchSnapshot {
        /// The first offset to read.
        from: u64,
        /// Whether only the bounds of the stream of snapshots are needed.
        bounds_only: bool,
    },
    /// Request the state of the stream from another entry.
    RequestState(Node),
    /// Send a notification to the relay of another entry.
    Send {
        /// The receiver.
        to: Node,
        /// The notification.
        message: relay::Message,
    },
    /// Pass the current state to the publisher.
    Capture,
    /// Append a part of a snapshot.
    Push(Part),
}

/// An event that is logged for operators.
#[derive(Clone, Copy, Debug)]
pub(super) enum Notice {
    /// The log dropped log entries before they were read.
    Expired {
        /// The next offset to be read.
        wanted: u64,
        /// The oldest offset in the log.
        first: u64,
    },
    /// Log entries are missing in a page.
    Gap {
        /// The next offset to be read.
        wanted: u64,
        /// The offset that the page has instead.
        found: u64,
    },
    /// The log ends before the last offset that was read.
    Truncated {
        /// The next offset to be read.
        wanted: u64,
        /// The end of the log.
        next: u64,
    },
    /// A log entry is ignored.
    Void {
        /// The offset of the log entry.
        offset: u64,
        /// The reason.
        cause: Rejection,
    },
    /// The state is recovered; the stream is now followed.
    Recovered {
        /// The next offset to be read.
        next: u64,
    },
}

/// The result of one event.
pub(super) struct Outcome<T, S> {
    /// The operations to carry out.
    pub(super) commands: Vec<Command>,
    /// A state that replaces the current one and precedes `records`.
    pub(super) restored: Option<S>,
    /// Records that were read.
    pub(super) records: Vec<Record<T>>,
    /// Whether a page was read to its end.
    pub(super) has_read: bool,
    /// The events to log for operators.
    pub(super) notices: Vec<Notice>,
}

impl<T, S> Default for Outcome<T, S> {
    fn default() -> Outcome<T, S> {
        Outcome {
            commands: Vec::new(),
            restored: None,
            records: Vec::new(),
            has_read: false,
            notices: Vec::new(),
        }
    }
}

/// One stream of records `T` whose state is `S`.
pub(super) struct Channel<T, S> {
    reader: Reader<T>,
    relay: Relay,
    recovery: Option<Recovery>,
    publisher: Publisher,
    peers: Vec<Node>,
    state: PhantomData<fn() -> S>,
}

impl<T: DeserializeOwned, S: Serialize + DeserializeOwned> Channel<T, S> {
    /// Creates a channel of `node` that starts with recovery.
    pub(super) fn new(node: Node, stream: Stream, retention: Duration) -> Channel<T, S> {
        Channel {
            reader: Reader::new(rand::random()),
            relay: Relay::new(node, &stream.stream_name()),
            recovery: Some(Recovery::new(0, rand::random())),
            publisher: Publisher::new(node, retention),
            peers: Vec::new(),
            state: PhantomData,
        }
    }

    /// Returns whether recovery is in progress.
    pub(super) fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// Returns the next offset to be read.
    pub(super) fn next(&self) -> u64 {
        self.reader.next()
    }

    /// Returns how many known log entries have not been read yet.
    pub(super) fn lag(&self) -> u64 {
        self.reader.lag()
    }

    /// Returns the table of the last accepted batch of each writer.
    pub(super) fn writers(&self) -> &WriterTable {
        self.reader.writers()
    }

    /// Returns whether this entry reads the log itself.
    pub(super) fn is_direct(&self) -> bool {
        self.relay.is_direct()
    }

    /// Encodes a state that contains the effect of every record read so far.
    ///
    /// # Errors
    ///
    /// Fails when the state cannot be serialized.
    pub(super) fn copy(&self, state: S) -> Result<StateCopy> {
        let next = self.reader.next();
        let content = Content {
            next,
            writers: self.reader.writers().clone(),
            state,
        };
        Ok(StateCopy {
            next,
            bytes: encode(&content)?,
        })
    }

    /// Handles one event.
    pub(super) fn step(&mut self, now: Instant, input: Input, out: &mut Outcome<T, S>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Members { region, peers } => {
                self.peers = peers;
                self.step_relay(now, relay::Input::Members(region), out);
                self.step_recovery(now, recovery::Input::Peers(self.peers.clone()), out);
            }
            Input::Recovery(input) => self.step_recovery(now, input, out),
            Input::Relay(input) => self.step_relay(now, input, out),
            Input::Publisher(input) => self.step_publisher(now, input, out),
        }
    }

    /// Advances the recovery, or the reader, the relay and the publisher.
    fn tick(&mut self, now: Instant, out: &mut Outcome<T, S>) {
        if self.recovery.is_some() {
            self.step_recovery(now, recovery::Input::Tick, out);
        } else {
            self.step_reader(now, reader::Input::Tick, out);
            self.step_relay(now, relay::Input::Tick, out);
            self.step_publisher(now, publisher::Input::Read(self.reader.next()), out);
        }
    }

    /// Passes an input to the recovery, if one is in progress, and handles its outputs.
    fn step_recovery(&mut self, now: Instant, input: recovery::Input, out: &mut Outcome<T, S>) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let mut outputs = Vec::new();
        recovery.step(now, input, &mut outputs);
        for output in outputs {
            match output {
                recovery::Output::RequestState(node) => {
                    out.commands.push(Command::RequestState(node));
                }
                recovery::Output::FetchBounds => out.commands.push(Command::FetchBounds),
                recovery::Output::FetchSnapshot { from, bounds_only } => {
                    out.commands
                        .push(Command::FetchSnapshot { from, bounds_only });
                }
                recovery::Output::Restore(copy) => self.restore(now, &copy, out),
                recovery::Output::ReadAll => self.finish_recovery(now, out),
            }
        }
    }

    /// Restores a state and begins to follow the stream; restarts the recovery when the state
    /// cannot be decoded.
    fn restore(&mut self, now: Instant, copy: &StateCopy, out: &mut Outcome<T, S>) {
        let Ok(content) = decode::<Content<S>>(&copy.bytes) else {
            let mut recovery = Recovery::new(self.reader.next(), rand::random());
            recovery.step(
                now,
                recovery::Input::Peers(self.peers.clone()),
                &mut Vec::new(),
            );
            self.recovery = Some(recovery);
            return;
        };
        out.restored = Some(content.state);
        let input = reader::Input::Restored {
            next: content.next,
            writers: content.writers,
        };
        self.step_reader(now, input, out);
        self.finish_recovery(now, out);
    }

    /// Ends the recovery and begins to follow the stream.
    fn finish_recovery(&mut self, now: Instant, out: &mut Outcome<T, S>) {
        self.recovery = None;
        out.notices.push(Notice::Recovered {
            next: self.reader.next(),
        });
        self.step_reader(now, reader::Input::Tick, out);
    }

    /// Passes an input to the relay and handles its outputs.
    fn step_relay(&mut self, now: Instant, input: relay::Input, out: &mut Outcome<T, S>) {
        let mut outputs = Vec::new();
        self.relay.step(now, input, &mut outputs);
        for output in outputs {
            match output {
                relay::Output::Fetch { from } => out.commands.push(Command::Fetch { from }),
                relay::Output::Page(page) => {
                    self.step_reader(now, reader::Input::Page(page), out);
                    out.has_read = true;
                }
                relay::Output::Failed => self.step_reader(now, reader::Input::Failed, out),
                relay::Output::Send { to, message } => {
                    out.commands.push(Command::Send { to, message });
                }
            }
        }
    }

    /// Passes an input to the reader and handles its outputs.
    fn step_reader(&mut self, now: Instant, input: reader::Input, out: &mut Outcome<T, S>) {
        let mut outputs = Vec::new();
        self.reader.step(now, input, &mut outputs);
        for output in outputs {
            match output {
                reader::Output::Fetch { from } => {
                    self.step_relay(now, relay::Input::Fetch { from }, out);
                }
                reader::Output::Record(record) => out.records.push(record),
                reader::Output::Batch(_) | reader::Output::Read { .. } => {}
                reader::Output::Rejected { offset, cause } => {
                    out.notices.push(Notice::Void { offset, cause });
                }
                reader::Output::Expired { wanted, first } => self.expired(now, wanted, first, out),
                reader::Output::Gap { wanted, found } => {
                    out.notices.push(Notice::Gap { wanted, found });
                }
                reader::Output::Truncated { wanted, next } => {
                    out.notices.push(Notice::Truncated { wanted, next });
                }
            }
        }
    }

    /// Starts a recovery of a state that reaches the oldest offset still in the log.
    fn expired(&mut self, now: Instant, wanted: u64, first: u64, out: &mut Outcome<T, S>) {
        out.notices.push(Notice::Expired { wanted, first });
        self.recovery = Some(Recovery::new(first, rand::random()));
        self.step_recovery(now, recovery::Input::Peers(self.peers.clone()), out);
    }

    /// Passes an input to the publisher and handles its outputs.
    fn step_publisher(&mut self, now: Instant, input: publisher::Input, out: &mut Outcome<T, S>) {
        let mut outputs = Vec::new();
        // The publisher fails for a state too large for a snapshot and retries a period later.
        let _ = self.publisher.step(now, input, &mut outputs);
        for output in outputs {
            match output {
                publisher::Output::Capture => out.commands.push(Command::Capture),
                publisher::Output::Push(part) => out.commands.push(Command::Push(part)),
                publisher::Output::Written { .. } => {}
            }
        }
    }
}
