//! The streams of the log that every entry follows.

use laburnum_derive::value;

use crate::core::stream::{Name, snapshot};

/// A stream of the log.
#[value]
pub enum Stream {
    /// The owners of partitions.
    Lease,
    /// Changes of the configuration.
    Config,
    /// The records that owners write about their partitions.
    Work,
}

impl Stream {
    /// All streams.
    pub const ALL: [Stream; 3] = [Stream::Lease, Stream::Config, Stream::Work];

    /// Returns the stream's name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Stream::Lease => "lease",
            Stream::Config => "config",
            Stream::Work => "work",
        }
    }

    /// Returns the stream's name in the log, in the writer's type.
    pub fn stream_name(self) -> Name {
        Name(self.name().to_owned())
    }

    /// Returns the name of the stream's snapshots.
    pub fn snapshots(self) -> Name {
        snapshot::stream_of(&self.stream_name())
    }

    /// Returns the stream with this name; `None` for the name of a stream of snapshots.
    pub fn from_name(name: &Name) -> Option<Stream> {
        Stream::ALL
            .into_iter()
            .find(|stream| stream.name() == name.0)
    }

    /// Returns the stream whose snapshots are in the stream with this name.
    pub fn from_snapshot_name(name: &Name) -> Option<Stream> {
        Stream::ALL
            .into_iter()
            .find(|stream| stream.snapshots() == *name)
    }
}
