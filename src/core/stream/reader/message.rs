//! The inputs and outputs of a reader.

use laburnum_derive::{state, value};

use super::super::batch::{Header, Record};
use super::super::writer_table::WriterTable;
use crate::platform::log::Page;

/// An input of a reader.
#[state]
pub enum Input {
    /// The page that was fetched.
    Page(Page),
    /// A fetch of a page failed.
    Failed,
    /// A snapshot was restored that holds the effect of everything before `next`.
    Restored {
        /// The first offset that the snapshot doesn't cover.
        next: u64,
        /// The table of writers at that offset.
        writers: WriterTable,
    },
    /// Time has passed.
    Tick,
}

/// A result of a reader or an action that its caller must carry out.
#[state]
pub enum Output<T> {
    /// Fetch the page at `from`.
    Fetch {
        /// The offset of the first entry to fetch.
        from: u64,
    },
    /// A batch was accepted; its records follow.
    Batch(Header),
    /// A record of the batch that was delivered last.
    Record(Record<T>),
    /// An entry, or a batch in it, was rejected.
    Rejected {
        /// The entry's offset.
        offset: u64,
        /// The reason for the rejection.
        cause: Rejection,
    },
    /// Everything before `next` was delivered.
    Read {
        /// The next offset to be read.
        next: u64,
    },
    /// The next offset has expired from the log; a snapshot must be restored.
    Expired {
        /// The next offset to be read.
        wanted: u64,
        /// The oldest offset in the log.
        first: u64,
    },
    /// A page has missing or unordered entries; the reader fetches it again.
    Gap {
        /// The next offset to be read.
        wanted: u64,
        /// The offset that the page has instead.
        found: u64,
    },
    /// The log ends before the position of this reader, so the log has lost entries.
    Truncated {
        /// The next offset to be read.
        wanted: u64,
        /// The offset that the log would assign to the next append.
        next: u64,
    },
}

/// Why an entry or a batch was rejected.
#[value]
pub enum Rejection {
    /// The bytes are not a bundle or a batch, or a record has another type.
    Malformed,
    /// The batch is a copy of an earlier one.
    Repeat,
    /// The batch was appended too many offsets after its read position.
    Late,
    /// The batch is empty, skips sequence numbers or overlaps an earlier batch.
    Broken,
}
