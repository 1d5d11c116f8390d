//! Where a node that lacks a stream's state gets it from.
//!
//! A peer's state comes first: it is the freshest, stays within the region and needs no log. Then
//! comes the newest whole snapshot. A stream that still has its first entry can be read from the
//! start. Otherwise the node goes on asking, since to start empty would be to forget what was
//! accepted. A state is taken only if it reaches the offset that is needed, so a node never goes
//! back, and the oldest offset in the log, so the records after it can be read.

use std::time::Duration;

use laburnum_derive::state;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::super::backoff::Backoff;
use super::finder::{self, Finder};
use crate::core::id::Node;
use crate::core::time::Instant;

/// How long a peer or the log may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// How many peers are asked before the log.
const PEERS: usize = 2;

/// A state of the stream, encoded as [`Content`](super::Content).
#[state]
pub struct Copy {
    /// It holds the effect of all entries before this offset.
    pub next: u64,
    /// The encoded content.
    pub bytes: Vec<u8>,
}

/// What a recovery takes.
#[state]
pub enum Input {
    /// The live nodes other than this one, those of its region first.
    Peers(Vec<Node>),
    /// A peer answered.
    Peer {
        /// The peer.
        from: Node,
        /// Its state, or `None` when it has none itself.
        copy: Option<Copy>,
    },
    /// The bounds of the stream itself.
    Bounds {
        /// The oldest offset that the log still has.
        first: u64,
    },
    /// The log didn't answer the question for the bounds.
    Failed,
    /// An answer about the snapshot stream.
    Snapshot(finder::Input),
    /// Time has passed.
    Tick,
}

/// What a recovery wants done.
#[state]
pub enum Output {
    /// Ask a peer for its state.
    AskPeer(Node),
    /// Ask the log for the bounds of the stream.
    FetchBounds,
    /// Ask the log for a page of the snapshot stream.
    FetchSnapshot {
        /// The offset of the first entry that is wanted.
        from: u64,
        /// Whether only the bounds of the snapshot stream are wanted.
        bounds_only: bool,
    },
    /// Restore this state and read on; the recovery is over.
    Restore(Copy),
    /// Read the stream from offset 0; the recovery is over.
    ReadAll,
}

/// Where the recovery stands.
#[state]
enum Phase {
    /// The next round begins at that time.
    Waiting(Instant),
    /// A peer was asked at that time.
    Peer(Node, Instant),
    /// The log was asked for its bounds at that time.
    Bounds(Instant),
    /// A snapshot is looked for, at most until that time without an answer.
    Snapshot(Box<Finder>, Instant),
    /// The recovery is over.
    Done,
}

/// Finds a state that reaches far enough.
#[state]
pub struct Recovery {
    needed: u64,
    peers: Vec<Node>,
    asked: usize,
    first: u64,
    phase: Phase,
    backoff: Backoff,
    random: Pcg32,
}

impl Recovery {
    /// Makes a recovery that draws its jitter from `seed`; the first tick starts it.
    ///
    /// `needed` is the least offset that a state must reach: 0 for a node that has read nothing, and
    /// the `first` of [`Expired`](crate::core::stream::reader::Output::Expired) for a reader that
    /// fell behind. When no node and no snapshot reaches it, the recovery never ends, since what
    /// expired unread can't be had any more; an operator must then be told.
    pub fn new(needed: u64, seed: u64) -> Recovery {
        let mut random = Pcg32::seed_from_u64(seed);
        Recovery {
            needed,
            peers: Vec::new(),
            asked: 0,
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

    /// Takes `input` and asks the next source.
    pub fn step(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Peers(peers) => self.peers = peers,
            Input::Peer { from, copy } => {
                if matches!(self.phase, Phase::Peer(node, _) if node == from) {
                    self.peer(now, copy, out);
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
                self.asked = 0;
                self.ask_peer(now, out);
            }
            Phase::Peer(_, since) if now >= *since + ANSWER_TIMEOUT => self.ask_peer(now, out),
            Phase::Bounds(since) | Phase::Snapshot(_, since) if now >= *since + ANSWER_TIMEOUT => {
                self.wait(now);
            }
            Phase::Snapshot(..) => self.search(now, finder::Input::Tick, out),
            _ => {}
        }
    }

    /// Asks the next peer, or the log when enough peers were asked.
    fn ask_peer(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.asked >= PEERS.min(self.peers.len()) {
            self.phase = Phase::Bounds(now);
            out.push(Output::FetchBounds);
            return;
        }
        let node = self.peers[self.asked];
        self.asked += 1;
        self.phase = Phase::Peer(node, now);
        out.push(Output::AskPeer(node));
    }

    fn peer(&mut self, now: Instant, copy: Option<Copy>, out: &mut Vec<Output>) {
        match copy.filter(|copy| self.reaches(copy.next)) {
            Some(copy) => self.end(Output::Restore(copy), out),
            None => self.ask_peer(now, out),
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
                finder::Output::Found(whole) if self.reaches(whole.covers) => {
                    let (next, bytes) = (whole.covers, whole.bytes);
                    self.end(Output::Restore(Copy { next, bytes }), out);
                }
                finder::Output::Found(_) | finder::Output::Missing => self.missing(now, out),
            }
        }
    }

    /// Reads from the start if nothing has expired; goes on asking otherwise.
    fn missing(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.first == 0 && self.needed == 0 {
            self.end(Output::ReadAll, out);
        } else {
            self.wait(now);
        }
    }

    /// Returns whether a state before `next` is new to this node and joins the log.
    fn reaches(&self, next: u64) -> bool {
        next >= self.first && next >= self.needed
    }

    fn wait(&mut self, now: Instant) {
        self.phase = Phase::Waiting(now + self.backoff.fail());
        // Peers that had nothing are asked last in the next round.
        let asked = self.asked.min(self.peers.len());
        self.peers.rotate_left(asked);
    }

    fn end(&mut self, output: Output, out: &mut Vec<Output>) {
        self.phase = Phase::Done;
        out.push(output);
    }
}
