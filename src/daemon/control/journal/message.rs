//! The inputs and outputs of the journal.

use crate::core::config;
use crate::core::id::Node;
use crate::core::lease;
use crate::core::stream::snapshot::recovery::StateCopy;
use crate::core::stream::{Name, PushId, Record, relay, writer};
use crate::daemon::control::archive;
use crate::platform::client::Failure;
use crate::platform::log::Page;
use crate::wire::Stream;

/// A response of the log service, or a response or notification of another entry.
#[derive(Debug)]
pub enum Event {
    /// The response to a read of a stream.
    Page {
        /// The stream.
        stream: Stream,
        /// The page, or why the read failed.
        page: std::result::Result<Page, Failure>,
    },
    /// The response to a request for the bounds of a stream.
    Bounds {
        /// The stream.
        stream: Stream,
        /// A page, of which only the bounds are used.
        page: std::result::Result<Page, Failure>,
    },
    /// The response to a read of a stream of snapshots.
    Snapshot {
        /// The stream whose snapshots were read.
        stream: Stream,
        /// The page, or why the read failed.
        page: std::result::Result<Page, Failure>,
    },
    /// The response to a request for the end of a stream of snapshots.
    SnapshotEnd {
        /// The stream whose snapshots it holds.
        stream: Stream,
        /// The offset of the next append.
        next: std::result::Result<u64, Failure>,
    },
    /// Another entry responded with its state, or failed to.
    Peer {
        /// The stream.
        stream: Stream,
        /// The entry.
        from: Node,
        /// The state; `None` when the entry has none or did not respond.
        copy: Option<StateCopy>,
    },
    /// A notification of another entry's relay.
    Relay {
        /// The stream.
        stream: Stream,
        /// The entry.
        from: Node,
        /// The notification.
        message: relay::Message,
    },
    /// The response to an append.
    Appended {
        /// The name of the stream, or of the stream of its snapshots.
        name: Name,
        /// Identifies the attempt to append, for the writer.
        copy: writer::BatchCopy,
        /// The offset of the appended log entry, or why the append failed.
        offset: std::result::Result<u64, Failure>,
    },
}

/// An update from the journal to the control thread.
#[derive(Debug)]
pub enum Update {
    /// The state of the lease stream up to an offset, from a recovery.
    LeaseState(lease::Snapshot),
    /// The state of the configuration up to an offset, from a recovery.
    ConfigState(Box<config::State>),
    /// The state of the work stream up to an offset, from a recovery.
    WorkState(Box<archive::State>),
    /// A record of the lease stream.
    Lease {
        /// The offset of the record.
        offset: u64,
        /// The record.
        record: lease::Record,
    },
    /// A change of the configuration.
    Config(Record<config::Change>),
    /// A record of a partition.
    Work(archive::Record),
    /// The stream was read to its end.
    End(Stream),
    /// A snapshot needs the state of the stream, which is passed to `Journal::captured`.
    Capture(Stream),
    /// Records of this process are durable.
    Durable {
        /// The stream.
        stream: Stream,
        /// The ids of the records.
        push_ids: Vec<PushId>,
    },
    /// Records of this process may or may not be in the log.
    Unknown {
        /// The stream.
        stream: Stream,
        /// The ids of the records.
        push_ids: Vec<PushId>,
    },
}

/// A state of one of the streams.
pub(in crate::daemon::control) enum State {
    /// The state of the lease stream.
    Lease(lease::Snapshot),
    /// The state of the configuration.
    Config(Box<config::State>),
    /// The state of the work stream.
    Work(Box<archive::State>),
}
