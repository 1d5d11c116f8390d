//! A standby's copy of the jobs in the log.
//!
//! Load: a takeover of a cell with thousands of jobs. Their pages come one after another, and nobody
//! serves the cell meanwhile. The entries that would claim the cell first read the pages ahead of
//! time and follow the changes, so that at a takeover only the changes since the last read are
//! missing.
//!
//! Pages are read at different times and are no snapshot. The changes are therefore read from where
//! the log ended at the time of the first page; applied in order, they lead to the newest value of
//! each key.

use std::collections::BTreeMap;

use laburnum_derive::state;

use super::port::{Changes, LatestPage, Log, ReadError, Topic};

/// The read that a copy needs next.
#[state]
pub enum Read {
    /// The newest records of the keys after this one, or of all keys from the first one on.
    Newest(Option<Vec<u8>>),
    /// The changes from this offset on.
    Changes(u64),
}

/// The result of a [`Read`].
#[state]
pub enum Answer {
    /// That of [`Read::Newest`].
    Page(LatestPage),
    /// That of [`Read::Changes`].
    Changes(Changes),
}

/// A copy of the newest records of all keys, as far as they have been read.
#[state]
#[derive(Default)]
pub struct Copy {
    records: BTreeMap<Vec<u8>, Vec<u8>>,
    /// The last key of the last page.
    after: Option<Vec<u8>>,
    /// Whether all pages have been read.
    has_all_pages: bool,
    /// The offset up to which changes have been applied; `None` before the first page.
    next: Option<u64>,
    /// The end of the log as of the last read.
    end: u64,
    /// How many pages have been read.
    pages: usize,
}

impl Copy {
    /// Returns the next read.
    pub fn next_read(&self) -> Read {
        match self.next {
            Some(next) if self.has_all_pages => Read::Changes(next),
            _ => Read::Newest(self.after.clone()),
        }
    }

    /// Whether all pages have been read.
    pub fn is_complete(&self) -> bool {
        self.has_all_pages
    }

    /// Whether the copy has everything that was in the log when the last read was answered.
    pub fn is_current(&self) -> bool {
        self.has_all_pages && self.next == Some(self.end)
    }

    /// Applies the result of [`Self::next_read`].
    ///
    /// # Errors
    ///
    /// The failure of the read. The copy stays usable: after the log has dropped changes that were not
    /// read yet, all pages are read again.
    pub fn apply(&mut self, result: Result<Answer, ReadError>) -> Result<(), ReadError> {
        if matches!(result, Err(ReadError::Truncated { .. })) {
            *self = Copy::default();
        }
        match result? {
            Answer::Page(page) => self.apply_page(page),
            Answer::Changes(changes) => self.apply_changes(changes),
        }
        Ok(())
    }

    fn apply_page(&mut self, page: LatestPage) {
        self.pages += 1;
        self.next.get_or_insert(page.end);
        self.end = page.end;
        self.has_all_pages = !page.has_more;
        if let Some((key, _)) = page.records.last() {
            self.after = Some(key.clone());
        }
        self.records.extend(page.records);
    }

    fn apply_changes(&mut self, changes: Changes) {
        self.next = Some(changes.next);
        self.end = changes.end;
        for (key, value) in changes.records {
            match value {
                Some(value) => self.records.insert(key, value),
                None => self.records.remove(&key),
            };
        }
    }

    /// Returns the records by key.
    pub fn records(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.records
            .iter()
            .map(|(key, value)| (&key[..], &value[..]))
    }

    /// Returns how many pages have been read.
    pub fn pages(&self) -> usize {
        self.pages
    }
}

/// Makes a read.
///
/// # Errors
///
/// The failure of the log.
pub async fn fetch<L: Log>(log: &L, read: &Read) -> Result<Answer, ReadError> {
    match read {
        Read::Newest(after) => {
            let page = log.newest(Topic::Jobs, after.as_deref()).await;
            page.map(Answer::Page)
        }
        Read::Changes(from) => log.changes(Topic::Jobs, *from).await.map(Answer::Changes),
    }
}
