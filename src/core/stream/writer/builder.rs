//! The settings of a writer.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnum_derive::state;
use rand::SeedableRng;
use rand_pcg::Pcg32;

use super::super::batch::Name;
use super::super::writer_table::WINDOW;
use super::pace::Pace;
use super::round_robin::RoundRobin;
use super::{APPEND_TIMEOUT, QUEUE_BYTES, Writer};
use crate::core::id::Node;

/// The settings of a [`Writer`].
#[state]
pub struct Builder {
    pub(super) node: Node,
    seed: u64,
    entries: u32,
    urgent: Vec<Name>,
    pub(super) queue_bytes: usize,
    pub(super) window: u64,
    pub(super) timeout: Duration,
}

impl Builder {
    /// Starts with the default settings of a writer for `node`; `seed` is the seed of its jitter.
    pub fn new(node: Node, seed: u64) -> Builder {
        Builder {
            node,
            seed,
            entries: 1,
            urgent: Vec::new(),
            queue_bytes: QUEUE_BYTES,
            window: WINDOW,
            timeout: APPEND_TIMEOUT,
        }
    }

    /// Sets the initial number of entry VMs that share the cell's rate of appends; 1 by default.
    pub fn entries(mut self, entries: u32) -> Builder {
        self.entries = entries;
        self
    }

    /// Makes a stream urgent: all urgent streams together get every second append.
    pub fn urgent(mut self, stream: Name) -> Builder {
        self.urgent.push(stream);
        self
    }

    /// Sets the maximum size of the waiting records of one stream, in bytes.
    pub fn queue_bytes(mut self, bytes: usize) -> Builder {
        self.queue_bytes = bytes;
        self
    }

    /// Sets the window of [`WriterTable`](crate::core::stream::WriterTable), in offsets; all nodes
    /// must use the same.
    pub fn window(mut self, offsets: u64) -> Builder {
        self.window = offsets;
        self
    }

    /// Sets how long to wait for the response to an append.
    pub fn timeout(mut self, span: Duration) -> Builder {
        self.timeout = span;
        self
    }

    /// Creates the writer.
    pub fn build(self) -> Writer {
        Writer {
            queues: BTreeMap::new(),
            round_robin: RoundRobin::new(&self.urgent),
            pace: Pace::new(self.entries),
            random: Pcg32::seed_from_u64(self.seed),
            next_push_id: 1,
            settings: self,
        }
    }
}
