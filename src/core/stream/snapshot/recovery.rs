//! Recovery of a stream's state by a node that lacks it.
//!
//! A peer's state is tried first: it is the newest, its transfer stays within the region and it
//! needs no log. The newest complete snapshot is second. A stream that still has its first entry
//! can be read from the start. Otherwise the node keeps retrying all sources, since starting with
//! an empty state would lose accepted records. A state is used only if it reaches the needed
//! offset, so that a node never goes back, and the oldest offset in the log, so that the records
//! after it can be read.

use std::time::Duration;

use laburnum_derive::state;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::super::backoff::Backoff;
use super::finder::{self, Finder};
use crate::core::id::Node;
use crate::core::time::Instant;

/// How long to wait for the response of a peer or the log.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// How many peers are tried in a round before the log.
const PEERS_PER_ROUND: usize = 2;

/// A state of the stream, encoded as [`Content`](super::Content).
#[state]
pub struct StateCopy {
    /// It holds the effect of all entries before this offset.
    pub next: u64,
    /// The encoded content.
    pub bytes: Vec<u8>,
}

/// An input of a recovery.
#[state]
pub enum Input {
    /// The live nodes other than this one, those of its region first.
    Peers(Vec<Node>),
    /// A peer responded.
    Peer {
        /// The peer.
        from: Node,
        /// The peer's state, or `None` when it has none.
        copy: Option<StateCopy>,
    },
    /// The bounds of the stream itself.
    Bounds {
        /// The oldest offset that the log still has.
        first: u64,
    },
    /// The fetch of the bounds failed.
    Failed,
    /// The result of a fetch from the snapshot stream.
    Snapshot(finder::Input),
    /// Time has passed.
    Tick,
}

/// A result of a recovery or an action that its caller must carry out.
#[state]
pub enum Output {
    /// Request the state from this peer.
    RequestState(Node),
    /// Fetch the bounds of the stream from the log.
    FetchBounds,
    /// Fetch a page of the snapshot stream from the log.
    FetchSnapshot {
        /// The offset of the first entry to fetch.
        from: u64,
        /// Whether only the bounds of the snapshot stream are needed and no entries.
        bounds_only: bool,
    },
    /// Restore this state and read the stream from its `next`; the recovery is over.
    Restore(StateCopy),
    /// Read the stream from offset 0; the recovery is over.
    ReadAll,
}

/// The phase of the recovery.
#[state]
enum Phase {
    /// The next round starts at this time.
    Waiting(Instant),
    /// The state was requested from this peer at this time.
    Peer(Node, Instant),
    /// The fetch of the bounds was sent at this time.
    Bounds(Instant),
    /// A snapshot is searched for; the search started or the last page came at this time.
    Snapshot(Box<Finder>, Instant),
    /// The recovery is over.
    Done,
}

/// Obtains a state that reaches at least the needed offset.
#[state]
pub struct Recovery {
    needed: u64,
    peers: Vec<Node>,
    peers_tried: usize,
    first: u64,
    phase: Phase,
    backoff: Backoff,
    random: Pcg32,
}

impl Recovery {
    /// Creates a recovery that starts on the first [`Input::Tick`]; `seed` is the seed of its
    /// jitter.
    ///
    /// `needed` is the lowest offset that a state must reach: 0 for a node that has read nothing,
    /// and the `first` of [`Expired`](crate::core::stream::reader::Output::Expired) for a reader
    /// that fell behind. When no node and no snapshot reaches it, the recovery never ends, since
    /// records that expired unread cannot be obtained any more; the caller must then alert an
    /// operator.
    pub fn new(needed: u64, seed: u64) -> Recovery {
        let mut random = Pcg32::seed_from_u64(seed);
        Recovery {
            needed,
            peers: Vec::new(),
            peers_tried: 0,
            first: 0,
            phase: Phase::Waiting(Instant(0)),
            backoff: Backoff::new(Pcg32::seed_from_u64(random.random())),
            random,
        }
    }

    /// Returns when [`Input::Tick`] is next needed.
    pub fn wake_at(&self) -> Option<Instant> {
        match &self.phase {
            Phase::Waiting(at) => Some(*at),
            Phase::Peer(_, since) | Phase::Bounds(since) => Some(*since + ANSWER_TIMEOUT),
            Phase::Snapshot(finder, since) => {
                let end = *since + ANSWER_TIMEOUT;
                Some(finder.wake_at().map_or(end, |at| at.min(end)))
            }
            Phase::Done => None,
        }
    }

    /// Handles `input` and emits the request to the next source.
    pub fn step(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Peers(peers) => self.peers = peers,
            Input::Peer { from, copy } => {
                if matches!(self.phase, Phase::Peer(node, _) if node == from) {
                    self.handle_peer(now, copy, out);
                }
            }
            Input::Bounds { first } => {
                if matches!(self.phase, Phase::Bounds(_)) {
                    self.first = first;
                    self.phase = Phase::Snapshot(Box::new(Finder::new(self.random.random())), now);
                    self.search(now, finder::Input::Tick, out);
                }
            }
            Input::Failed => {
                if matches!(self.phase, Phase::Bounds(_)) {
                    self.wait(now);
                }
            }
            Input::Snapshot(input) => self.search(now, input, out),
            Input::Tick => self.tick(now, out),
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        match &self.phase {
            Phase::Waiting(at) if now >= *at => {
                self.peers_tried = 0;
                self.try_peer(now, out);
            }
            Phase::Peer(_, since) if now >= *since + ANSWER_TIMEOUT => self.try_peer(now, out),
            Phase::Bounds(since) | Phase::Snapshot(_, since) if now >= *since + ANSWER_TIMEOUT => {
                self.wait(now);
            }
            Phase::Snapshot(..) => self.search(now, finder::Input::Tick, out),
            _ => {}
        }
    }

    /// Requests the state from the next peer, or the bounds from the log when enough peers were
    /// tried in this round.
    fn try_peer(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.peers_tried >= PEERS_PER_ROUND.min(self.peers.len()) {
            self.phase = Phase::Bounds(now);
            out.push(Output::FetchBounds);
            return;
        }
        let node = self.peers[self.peers_tried];
        self.peers_tried += 1;
        self.phase = Phase::Peer(node, now);
        out.push(Output::RequestState(node));
    }

    fn handle_peer(&mut self, now: Instant, copy: Option<StateCopy>, out: &mut Vec<Output>) {
        match copy.filter(|copy| self.reaches(copy.next)) {
            Some(copy) => self.end(Output::Restore(copy), out),
            None => self.try_peer(now, out),
        }
    }

    fn search(&mut self, now: Instant, input: finder::Input, out: &mut Vec<Output>) {
        let Phase::Snapshot(finder, since) = &mut self.phase else {
            return;
        };
        if matches!(input, finder::Input::Page(_)) {
            *since = now;
        }
        let mut found = Vec::new();
        finder.step(now, input, &mut found);
        for output in found {
            match output {
                finder::Output::Fetch { from, bounds_only } => {
                    out.push(Output::FetchSnapshot { from, bounds_only });
                }
                finder::Output::Found(snapshot) if self.reaches(snapshot.covers) => {
                    let (next, bytes) = (snapshot.covers, snapshot.bytes);
                    self.end(Output::Restore(StateCopy { next, bytes }), out);
                }
                finder::Output::Found(_) | finder::Output::Missing => self.missing(now, out),
            }
        }
    }

    /// Ends with a read from the start if nothing has expired; otherwise waits for the next round.
    fn missing(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.first == 0 && self.needed == 0 {
            self.end(Output::ReadAll, out);
        } else {
            self.wait(now);
        }
    }

    /// Returns whether a state with the effect of all entries before `next` reaches both the needed
    /// offset and the oldest offset in the log.
    fn reaches(&self, next: u64) -> bool {
        next >= self.first && next >= self.needed
    }

    fn wait(&mut self, now: Instant) {
        self.phase = Phase::Waiting(now + self.backoff.record_failure());
        // Peers without a usable state are tried last in the next rounds.
        let peers_tried = self.peers_tried.min(self.peers.len());
        self.peers.rotate_left(peers_tried);
    }

    fn end(&mut self, output: Output, out: &mut Vec<Output>) {
        self.phase = Phase::Done;
        out.push(output);
    }
}
