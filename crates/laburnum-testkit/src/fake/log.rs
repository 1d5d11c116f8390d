//! One stream of the log service.

use laburnumplank::platform::log::{Entry, Page};

/// A stream that keeps everything and hides what has expired.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// What was appended.
    pub entries: Vec<Vec<u8>>,
    /// The oldest offset that hasn't expired.
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

    /// Returns at most `most` entries from `from` on.
    pub fn page(&self, from: u64, most: usize) -> Page {
        let entry = |offset: u64| Entry {
            offset,
            data: self.entries[offset as usize].clone(),
        };
        let is_kept = from >= self.first;
        let offsets = (from..self.next()).take(if is_kept { most } else { 0 });
        Page {
            first: self.first,
            next: self.next(),
            entries: offsets.map(entry).collect(),
        }
    }
}
