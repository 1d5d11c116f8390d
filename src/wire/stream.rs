//! The streams of the log that entries follow.

use laburnum_derive::value;

use crate::core::stream::{Name, snapshot};

/// A stream of the log that every entry follows.
#[value]
pub enum Stream {
    /// Who owns a partition.
    Lease,
    /// Changes of the configuration.
    Config,
    /// What owners record of their partitions.
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

    /// Returns the name as the writer takes it.
    pub fn lane(self) -> Name {
        Name(self.name().to_owned())
    }

    /// Returns the name of the stream's snapshots.
    pub fn snapshots(self) -> Name {
        snapshot::stream_of(&self.lane())
    }

    /// Returns the stream of a name in the log, if the name is not that of snapshots.
    pub fn of(name: &Name) -> Option<Stream> {
        Stream::ALL
            .into_iter()
            .find(|stream| stream.name() == name.0)
    }

    /// Returns the stream whose snapshots have a name.
    pub fn of_snapshots(name: &Name) -> Option<Stream> {
        Stream::ALL
            .into_iter()
            .find(|stream| stream.snapshots() == *name)
    }
}
