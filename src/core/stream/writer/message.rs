//! What a writer takes and what it wants done.

use laburnum_derive::{state, value};

use super::super::batch::{Name, Sequence};

/// The place of a pushed record in its writer, for as long as the record isn't settled.
#[value]
pub struct Ticket(pub u64);

/// One copy of a batch, to be given back with the answer to its append.
#[value]
pub struct Copy {
    /// The first sequence number of the batch.
    pub first: Sequence,
    /// The read position that the copy names.
    pub seen: u64,
}

/// What a writer takes.
#[state]
pub enum Input {
    /// An append was answered.
    Appended {
        /// The stream.
        stream: Name,
        /// The copy that was appended.
        copy: Copy,
        /// Where the copy landed.
        offset: u64,
    },
    /// An append failed or wasn't answered; it may have taken effect, or may yet.
    Failed {
        /// The stream.
        stream: Name,
        /// The copy that was to be appended.
        copy: Copy,
    },
    /// The reader of this process has read everything before `next`.
    Read {
        /// The stream.
        stream: Name,
        /// The next offset to be read.
        next: u64,
        /// The last record of this writer that counted ([`Seen::last`](crate::core::stream::Seen::last)).
        last: Option<Sequence>,
    },
    /// The reader of this process was restored from a snapshot and left out records.
    Jumped {
        /// The stream.
        stream: Name,
        /// The next offset to be read.
        next: u64,
        /// The last record of this writer that counted, in the snapshot's table.
        last: Option<Sequence>,
    },
    /// The number of live entry VMs that share the cell's rate.
    Entries(u32),
    /// Time has passed.
    Tick,
}

/// What a writer wants done.
#[state]
pub enum Output {
    /// Append `bytes` to the stream, or hand them to a [`Funnel`](crate::core::stream::Funnel).
    Append {
        /// The stream.
        stream: Name,
        /// The copy, to be given back with the answer.
        copy: Copy,
        /// The entry.
        bytes: Vec<u8>,
    },
    /// Records are in the log for good.
    Durable {
        /// The stream.
        stream: Name,
        /// The records, in the order of their sequence numbers.
        tickets: Vec<Ticket>,
    },
    /// Records may or may not be in the log and will never be appended again.
    Unknown {
        /// The stream.
        stream: Name,
        /// The records.
        tickets: Vec<Ticket>,
    },
}
