//! The latest entries of a stream, kept for followers that are a little behind.

use std::collections::VecDeque;

use laburnum_derive::state;

use crate::platform::log::{Entry, Page};

/// How many bytes of entries are kept.
const BYTES: usize = 1 << 20;

/// How many bytes of entries one message carries, unless a single entry is larger.
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
    /// Takes the entries of a page that follow what is kept; starts anew after a gap.
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
        while self.bytes > BYTES && self.entries.len() > 1 {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= entry.data.len();
        }
    }

    /// Returns the offset after the last entry, or `None` while there is none.
    pub(super) fn end(&self) -> Option<u64> {
        self.entries.back().map(|entry| entry.offset + 1)
    }

    /// Returns the page at `from` of a stream that was read up to `next`; the page starts later when
    /// `from` isn't kept.
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

    /// Returns a page without entries of a stream that was read up to `next`.
    pub(super) fn bounds(&self, next: u64) -> Page {
        Page {
            first: self.first,
            next,
            entries: Vec::new(),
        }
    }
}
