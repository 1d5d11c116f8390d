//! A fake of one stream of the log service.

use laburnumplank::platform::log::{Entry, Page};

/// A stream that keeps all entries but returns no pages that start below `first`.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// All appended entries; the index of an entry is its offset.
    pub entries: Vec<Vec<u8>>,
    /// The oldest offset that has not expired.
    pub first: u64,
}

impl Log {
    /// Appends an entry and returns its offset.
    pub fn append(&mut self, bytes: &[u8]) -> u64 {
        self.entries.push(bytes.to_vec());
        self.next() - 1
    }

    /// Returns the offset that the next append will get.
    pub fn next(&self) -> u64 {
        self.entries.len() as u64
    }

    /// Returns at most `limit` entries from offset `from` on, or none when `from` has expired.
    pub fn page(&self, from: u64, limit: usize) -> Page {
        let entry = |offset: u64| Entry {
            offset,
            data: self.entries[offset as usize].clone(),
        };
        let is_retained = from >= self.first;
        let offsets = (from..self.next()).take(if is_retained { limit } else { 0 });
        Page {
            first: self.first,
            next: self.next(),
            entries: offsets.map(entry).collect(),
        }
    }
}
