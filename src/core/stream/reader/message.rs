//! What a reader takes and what it delivers.

use laburnum_derive::{state, value};

use super::super::batch::{Header, Record};
use super::super::seen::Seen;
use crate::platform::log::Page;

/// What a reader takes.
#[state]
pub enum Input {
    /// A page arrived.
    Page(Page),
    /// A request for a page failed.
    Failed,
    /// A snapshot holds everything before `next`.
    Restored {
        /// The offset after the last one that the snapshot covers.
        next: u64,
        /// The table of writers at that offset.
        seen: Seen,
    },
    /// Time has passed.
    Tick,
}

/// What a reader delivers or wants done.
#[state]
pub enum Output<T> {
    /// Ask for the page at `from`.
    Fetch {
        /// The offset of the first entry that is wanted.
        from: u64,
    },
    /// A batch counts; its records follow.
    Batch(Header),
    /// A record of the last batch.
    Record(Record<T>),
    /// An entry, or a batch in it, doesn't count.
    Void {
        /// The entry's offset.
        offset: u64,
        /// Why not.
        cause: Void,
    },
    /// Everything before `next` was delivered.
    Read {
        /// The next offset to be read.
        next: u64,
    },
    /// The wanted offset has expired; a snapshot must be restored.
    Expired {
        /// The next offset to be read.
        wanted: u64,
        /// The oldest offset that the log still has.
        first: u64,
    },
    /// Entries are missing or out of order in a page; it is asked for again.
    Gap {
        /// The next offset to be read.
        wanted: u64,
        /// The offset that came instead.
        found: u64,
    },
    /// The log ends before the position of this reader, so it lost entries.
    Truncated {
        /// The next offset to be read.
        wanted: u64,
        /// The offset that the next append would get.
        next: u64,
    },
}

/// Why an entry doesn't count.
#[value]
pub enum Void {
    /// It holds no batch, or a record has another type.
    Malformed,
    /// It is a copy of an earlier batch.
    Repeat,
    /// It landed too long after it was sealed.
    Late,
    /// It leaves out sequence numbers.
    Broken,
}
