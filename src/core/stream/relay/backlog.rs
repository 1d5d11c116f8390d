//! The latest entries of a stream, kept in memory for followers that are slightly behind.

use std::collections::VecDeque;

use laburnum_derive::state;

use crate::platform::log::{Entry, Page};

/// The maximum size of the kept entries, in bytes, unless a single entry is larger.
const BACKLOG_BYTES: usize = 1 << 20;

/// The maximum size of the entries in one message, in bytes, unless a single entry is larger.
const MESSAGE_BYTES: usize = 256 << 10;

/// Consecutive entries that end at the position of the stream's reader.
#[state]
#[derive(Default)]
pub(super) struct Backlog {
    entries: VecDeque<Entry>,
    bytes: usize,
    first: u64,
}

impl Backlog {
    /// Adds the entries of a page that are newer than the kept ones; drops the kept ones at a gap.
    pub(super) fn extend(&mut self, page: &Page) {
        self.first = self.first.max(page.first);
        for entry in &page.entries {
            let end = self.end();
            if end.is_some_and(|end| entry.offset < end) {
                continue;
            }
            if end.is_some_and(|end| entry.offset > end) {
                self.entries.clear();
                self.bytes = 0;
            }
            self.bytes += entry.data.len();
            self.entries.push_back(entry.clone());
        }
        while self.bytes > BACKLOG_BYTES && self.entries.len() > 1 {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= entry.data.len();
        }
    }

    /// Returns the offset after the last kept entry, or `None` when no entry is kept.
    pub(super) fn end(&self) -> Option<u64> {
        self.entries.back().map(|entry| entry.offset + 1)
    }

    /// Returns the page at `from`, given that the stream was read up to `next`; the page starts
    /// later if the entry at `from` is no longer kept.
    pub(super) fn page(&self, from: u64, next: u64) -> Page {
        let mut page = self.bounds(next);
        let start = self.entries.front().map_or(0, |entry| entry.offset);
        let skip = from.saturating_sub(start) as usize;
        let mut bytes = 0;
        for entry in self.entries.iter().skip(skip) {
            bytes += entry.data.len();
            if bytes > MESSAGE_BYTES && !page.entries.is_empty() {
                break;
            }
            page.entries.push(entry.clone());
        }
        page
    }

    /// Returns a page without entries, given that the stream was read up to `next`.
    pub(super) fn bounds(&self, next: u64) -> Page {
        Page {
            first: self.first,
            next,
            entries: Vec::new(),
        }
    }
}
