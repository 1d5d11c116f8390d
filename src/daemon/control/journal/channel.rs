//! One stream: how its records come in, and how its state is found and kept.
//!
//! A fresh channel first recovers a state: from a peer, from a snapshot, or by reading the whole
//! stream. Then its reader follows the stream through a relay of the region. The publisher writes
//! snapshots while this entry is in charge of them. Nothing here does I/O; what is to be done comes
//! out as [`Wish`]es.

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
        /// Those of the region, this one among them.
        region: Vec<Node>,
        /// All others, nearest first.
        peers: Vec<Node>,
    },
    /// For the recovery.
    Recovery(recovery::Input),
    /// For the relay.
    Relay(relay::Input),
    /// For the publisher.
    Publisher(publisher::Input),
}

/// What a channel wants done.
pub(super) enum Wish {
    /// Ask the log for a page of the stream.
    Fetch {
        /// The first offset that is wanted.
        from: u64,
    },
    /// Ask the log for the bounds of the stream.
    FetchBounds,
    /// Ask the log for a page of the stream's snapshots.
    FetchSnapshot {
        /// The first offset that is wanted.
        from: u64,
        /// Whether only the bounds are wanted.
        bounds_only: bool,
    },
    /// Ask another entry for its state.
    AskPeer(Node),
    /// Send a notice to the relay of another entry.
    Send {
        /// The receiver.
        to: Node,
        /// The notice.
        message: relay::Message,
    },
    /// Give the state to the publisher.
    Capture,
    /// Append a part of a snapshot.
    Push(Part),
}

/// Something that operators should know.
#[derive(Clone, Copy, Debug)]
pub(super) enum Notice {
    /// The log dropped entries that were not read.
    Expired {
        /// The next offset to be read.
        wanted: u64,
        /// The oldest offset in the log.
        first: u64,
    },
    /// Entries are missing in a page.
    Gap {
        /// The next offset to be read.
        wanted: u64,
        /// The offset that came instead.
        found: u64,
    },
    /// The log ends before what was read.
    Truncated {
        /// The next offset to be read.
        wanted: u64,
        /// The end of the log.
        next: u64,
    },
    /// An entry does not count.
    Void {
        /// Its offset.
        offset: u64,
        /// Why not.
        cause: Rejection,
    },
    /// The state was recovered and the stream is read from here on.
    Recovered {
        /// The next offset to be read.
        next: u64,
    },
}

/// What came out of one event.
pub(super) struct Outcome<T, S> {
    /// What is to be done.
    pub(super) wishes: Vec<Wish>,
    /// A state that replaces the present one; it comes before the records.
    pub(super) restored: Option<S>,
    /// Records that were read.
    pub(super) records: Vec<Record<T>>,
    /// Whether a page was read to its end.
    pub(super) has_read: bool,
    /// What operators should know.
    pub(super) notices: Vec<Notice>,
}

impl<T, S> Default for Outcome<T, S> {
    fn default() -> Outcome<T, S> {
        Outcome {
            wishes: Vec::new(),
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
    /// Makes the channel of `node` that has read nothing.
    pub(super) fn new(node: Node, stream: Stream, retention: Duration) -> Channel<T, S> {
        Channel {
            reader: Reader::new(rand::random()),
            relay: Relay::new(node, &stream.lane()),
            recovery: Some(Recovery::new(0, rand::random())),
            publisher: Publisher::new(node, retention),
            peers: Vec::new(),
            state: PhantomData,
        }
    }

    /// Returns whether the state is being looked for.
    pub(super) fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// Returns the next offset to be read.
    pub(super) fn next(&self) -> u64 {
        self.reader.next()
    }

    /// Returns how many entries are known to follow what was read.
    pub(super) fn lag(&self) -> u64 {
        self.reader.lag()
    }

    /// Returns the table of writers.
    pub(super) fn writers(&self) -> &WriterTable {
        self.reader.writers()
    }

    /// Returns whether this entry reads the log itself.
    pub(super) fn is_direct(&self) -> bool {
        self.relay.is_direct()
    }

    /// Encodes a state that holds the effect of all that was read.
    ///
    /// # Errors
    ///
    /// Fails when the state cannot be encoded.
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

    /// Takes one event.
    pub(super) fn step(&mut self, now: Instant, input: Input, out: &mut Outcome<T, S>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Members { region, peers } => {
                self.peers = peers;
                self.hand_on(now, relay::Input::Members(region), out);
                self.recover(now, recovery::Input::Peers(self.peers.clone()), out);
            }
            Input::Recovery(input) => self.recover(now, input, out),
            Input::Relay(input) => self.hand_on(now, input, out),
            Input::Publisher(input) => self.publish(now, input, out),
        }
    }

    /// Lets time pass.
    fn tick(&mut self, now: Instant, out: &mut Outcome<T, S>) {
        if self.recovery.is_some() {
            self.recover(now, recovery::Input::Tick, out);
        } else {
            self.run(now, reader::Input::Tick, out);
            self.hand_on(now, relay::Input::Tick, out);
            self.publish(now, publisher::Input::Read(self.reader.next()), out);
        }
    }

    /// Gives an event to the recovery, if there is one.
    fn recover(&mut self, now: Instant, input: recovery::Input, out: &mut Outcome<T, S>) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let mut outputs = Vec::new();
        recovery.step(now, input, &mut outputs);
        for output in outputs {
            match output {
                recovery::Output::RequestState(node) => out.wishes.push(Wish::AskPeer(node)),
                recovery::Output::FetchBounds => out.wishes.push(Wish::FetchBounds),
                recovery::Output::FetchSnapshot { from, bounds_only } => {
                    out.wishes.push(Wish::FetchSnapshot { from, bounds_only });
                }
                recovery::Output::Restore(copy) => self.restore(now, &copy, out),
                recovery::Output::ReadAll => self.begin(now, out),
            }
        }
    }

    /// Adopts a state; one that cannot be read is looked for again.
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
        self.run(now, input, out);
        self.begin(now, out);
    }

    /// Begins to follow the stream.
    fn begin(&mut self, now: Instant, out: &mut Outcome<T, S>) {
        self.recovery = None;
        out.notices.push(Notice::Recovered {
            next: self.reader.next(),
        });
        self.run(now, reader::Input::Tick, out);
    }

    /// Gives an event to the relay and carries out what it wants.
    fn hand_on(&mut self, now: Instant, input: relay::Input, out: &mut Outcome<T, S>) {
        let mut outputs = Vec::new();
        self.relay.step(now, input, &mut outputs);
        for output in outputs {
            match output {
                relay::Output::Fetch { from } => out.wishes.push(Wish::Fetch { from }),
                relay::Output::Page(page) => {
                    self.run(now, reader::Input::Page(page), out);
                    out.has_read = true;
                }
                relay::Output::Failed => self.run(now, reader::Input::Failed, out),
                relay::Output::Send { to, message } => out.wishes.push(Wish::Send { to, message }),
            }
        }
    }

    /// Gives an event to the reader and carries out what it wants.
    fn run(&mut self, now: Instant, input: reader::Input, out: &mut Outcome<T, S>) {
        let mut outputs = Vec::new();
        self.reader.step(now, input, &mut outputs);
        for output in outputs {
            match output {
                reader::Output::Fetch { from } => {
                    self.hand_on(now, relay::Input::Fetch { from }, out);
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

    /// Looks for a state that reaches what the log still has.
    fn expired(&mut self, now: Instant, wanted: u64, first: u64, out: &mut Outcome<T, S>) {
        out.notices.push(Notice::Expired { wanted, first });
        self.recovery = Some(Recovery::new(first, rand::random()));
        self.recover(now, recovery::Input::Peers(self.peers.clone()), out);
    }

    /// Gives an event to the publisher and carries out what it wants.
    fn publish(&mut self, now: Instant, input: publisher::Input, out: &mut Outcome<T, S>) {
        let mut outputs = Vec::new();
        // A state too large for a snapshot is tried again a period later.
        let _ = self.publisher.step(now, input, &mut outputs);
        for output in outputs {
            match output {
                publisher::Output::Capture => out.wishes.push(Wish::Capture),
                publisher::Output::Push(part) => out.wishes.push(Wish::Push(part)),
                publisher::Output::Written { .. } => {}
            }
        }
    }
}
