//! The settings of a writer.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnum_derive::state;
use rand::SeedableRng;
use rand_pcg::Pcg32;

use super::super::batch::Name;
use super::super::seen::WINDOW;
use super::pace::Pace;
use super::turns::Turns;
use super::{APPEND_TIMEOUT, LANE_BYTES, Writer};
use crate::core::id::Node;

/// The settings of a [`Writer`].
#[state]
pub struct Builder {
    pub(super) node: Node,
    seed: u64,
    entries: u32,
    urgent: Vec<Name>,
    pub(super) lane_bytes: usize,
    pub(super) window: u64,
    pub(super) timeout: Duration,
}

impl Builder {
    /// Starts the settings of a writer for `node` that draws its jitter from `seed`.
    pub fn new(node: Node, seed: u64) -> Builder {
        Builder {
            node,
            seed,
            entries: 1,
            urgent: Vec::new(),
            lane_bytes: LANE_BYTES,
            window: WINDOW,
            timeout: APPEND_TIMEOUT,
        }
    }

    /// Sets how many entry VMs share the cell's rate at the start.
    pub fn entries(mut self, entries: u32) -> Builder {
        self.entries = entries;
        self
    }

    /// Gives a stream every second turn, shared with the other urgent streams.
    pub fn urgent(mut self, stream: Name) -> Builder {
        self.urgent.push(stream);
        self
    }

    /// Sets how many bytes of records may wait per stream.
    pub fn lane_bytes(mut self, bytes: usize) -> Builder {
        self.lane_bytes = bytes;
        self
    }

    /// Sets the window of [`Seen`](crate::core::stream::Seen); all nodes must use the same.
    pub fn window(mut self, offsets: u64) -> Builder {
        self.window = offsets;
        self
    }

    /// Sets how long an append may stay unanswered.
    pub fn timeout(mut self, span: Duration) -> Builder {
        self.timeout = span;
        self
    }

    /// Makes the writer.
    pub fn build(self) -> Writer {
        Writer {
            lanes: BTreeMap::new(),
            turns: Turns::new(&self.urgent),
            pace: Pace::new(self.entries),
            random: Pcg32::seed_from_u64(self.seed),
            next_ticket: 1,
            settings: self,
        }
    }
}
