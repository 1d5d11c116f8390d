//! The inputs and outputs of a writer.

use laburnum_derive::{state, value};

use super::super::batch::{Name, Sequence};

/// Identifies a pushed record within its writer until the record is settled, that is, known to be
/// durable or unknown for good.
#[value]
pub struct PushId(pub u64);

/// Identifies one copy of a batch, so that the result of an append can be matched to it.
#[value]
pub struct BatchCopy {
    /// The first sequence number of the batch.
    pub first: Sequence,
    /// The read position that the copy holds
    /// ([`Batch::read_position`](crate::core::stream::Batch::read_position)).
    pub read_position: u64,
}

/// An input of a writer.
#[state]
pub enum Input {
    /// An append succeeded.
    Appended {
        /// The stream.
        stream: Name,
        /// The copy that was appended.
        copy: BatchCopy,
        /// The offset of the appended log entry.
        offset: u64,
    },
    /// An append failed or got no response; it may have taken effect or may do so later.
    Failed {
        /// The stream.
        stream: Name,
        /// The copy that the append held.
        copy: BatchCopy,
    },
    /// The reader of this process has read everything before `next`.
    Read {
        /// The stream.
        stream: Name,
        /// The next offset to be read.
        next: u64,
        /// The last accepted record of this writer
        /// ([`WriterTable::last`](crate::core::stream::WriterTable::last)).
        last: Option<Sequence>,
    },
    /// The reader of this process was restored from a snapshot and skipped records.
    Jumped {
        /// The stream.
        stream: Name,
        /// The next offset to be read.
        next: u64,
        /// The last accepted record of this writer in the snapshot's table of writers.
        last: Option<Sequence>,
    },
    /// The number of live entry VMs that share the cell's rate of appends has changed to this.
    Entries(u32),
    /// Time has passed.
    Tick,
}

/// An action or a result of a writer.
#[state]
pub enum Output {
    /// Append `bytes` to the stream, or send them to a [`Funnel`](crate::core::stream::Funnel).
    Append {
        /// The stream.
        stream: Name,
        /// The copy, to be returned in [`Input::Appended`] or [`Input::Failed`].
        copy: BatchCopy,
        /// The log entry.
        bytes: Vec<u8>,
    },
    /// These records are in the log.
    Durable {
        /// The stream.
        stream: Name,
        /// The records, in the order of their sequence numbers.
        push_ids: Vec<PushId>,
    },
    /// These records may or may not be in the log, and the writer will not append them again.
    Unknown {
        /// The stream.
        stream: Name,
        /// The records.
        push_ids: Vec<PushId>,
    },
}
