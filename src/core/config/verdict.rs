//! What becomes of a change.

use laburnum_derive::{message, value};

use super::change::Version;
use super::fault::Fault;

/// Where a change stands in the stream.
#[value]
#[derive(Default)]
pub struct Place {
    /// The offset of its entry.
    pub offset: u64,
    /// Its index at that offset; the default stands before every change.
    pub index: Option<u32>,
}

/// What became of a change; the same on every node.
#[message]
pub enum Verdict {
    /// The change is in force as this version.
    Accepted(Version),
    /// The same change was accepted before, as this version.
    Repeated(Version),
    /// What the change touches was changed after its base.
    Conflict {
        /// The version in force.
        in_force: Version,
    },
    /// The document would have faults.
    Invalid(Vec<Fault>),
    /// The change stands before the last one applied.
    Stale,
    /// The change has a format that this code doesn't know; nothing is applied from here on, until
    /// the daemon is replaced by a newer one.
    Unsupported,
}
