//! What the journal is told and what it tells.

use crate::core::config;
use crate::core::id::Node;
use crate::core::lease;
use crate::core::stream::snapshot::recovery::StateCopy;
use crate::core::stream::{Name, PushId, Record, relay, writer};
use crate::daemon::control::archive;
use crate::platform::client::Failure;
use crate::platform::log::Page;
use crate::wire::Stream;

/// An answer of the log service or of another entry.
#[derive(Debug)]
pub enum Event {
    /// A read was answered.
    Page {
        /// The stream.
        stream: Stream,
        /// The page.
        page: std::result::Result<Page, Failure>,
    },
    /// The bounds of a stream were asked for.
    Bounds {
        /// The stream.
        stream: Stream,
        /// An empty page.
        page: std::result::Result<Page, Failure>,
    },
    /// A read of snapshots was answered.
    Snapshot {
        /// The stream whose snapshots were read.
        stream: Stream,
        /// The page.
        page: std::result::Result<Page, Failure>,
    },
    /// The end of a stream of snapshots was asked for.
    SnapshotEnd {
        /// The stream whose snapshots it holds.
        stream: Stream,
        /// The offset of the next append.
        next: std::result::Result<u64, Failure>,
    },
    /// Another entry gave its state.
    Peer {
        /// The stream.
        stream: Stream,
        /// The entry.
        from: Node,
        /// The state, if the entry has one.
        copy: Option<StateCopy>,
    },
    /// The relay of another entry sent a notice.
    Relay {
        /// The stream.
        stream: Stream,
        /// The entry.
        from: Node,
        /// The notice.
        message: relay::Message,
    },
    /// An append was answered.
    Appended {
        /// The stream, or that of its snapshots.
        name: Name,
        /// The copy that was appended.
        copy: writer::BatchCopy,
        /// Where it landed.
        offset: std::result::Result<u64, Failure>,
    },
}

/// What was learnt from the log.
#[derive(Debug)]
pub enum Fact {
    /// The state of the lease stream up to some offset.
    LeaseState(lease::Snapshot),
    /// The state of the configuration up to some offset.
    ConfigState(Box<config::State>),
    /// The state of the work stream up to some offset.
    WorkState(Box<archive::State>),
    /// A record of the lease stream.
    Lease {
        /// Where it stands.
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
    /// The state of the stream is wanted for a snapshot, by [`Journal::captured`].
    Capture(Stream),
    /// Records of this process are in the log for good.
    Durable {
        /// The stream.
        stream: Stream,
        /// The records.
        push_ids: Vec<PushId>,
    },
    /// Records of this process may or may not be in the log.
    Unknown {
        /// The stream.
        stream: Stream,
        /// The records.
        push_ids: Vec<PushId>,
    },
}

/// A state of one of the streams.
pub(in crate::daemon::control) enum State {
    /// Of the lease stream.
    Lease(lease::Snapshot),
    /// Of the configuration.
    Config(Box<config::State>),
    /// Of the work stream.
    Work(Box<archive::State>),
}
