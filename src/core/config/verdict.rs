//! The result of a change.

use laburnum_derive::{message, value};

use super::change::Version;
use super::fault::Fault;

/// The position of a change in the stream.
#[value]
#[derive(Default)]
pub struct Place {
    /// The offset of the entry that holds the change.
    pub offset: u64,
    /// The index of its record at that offset; the default `None` is before every change.
    pub index: Option<u32>,
}

/// The result of a change; the same on every node.
#[message]
pub enum Verdict {
    /// The change is in force as this version.
    Accepted(Version),
    /// The same change was accepted before, as this version.
    Repeated(Version),
    /// A key that the change modifies was changed after its base.
    Conflict {
        /// The version in force.
        in_force: Version,
    },
    /// The document would have these faults.
    Invalid(Vec<Fault>),
    /// The record is not after the last one that was handled, so it is ignored.
    Stale,
    /// The change or an earlier one has a newer [`FORMAT`](super::FORMAT) than this code supports;
    /// no change is applied until the daemon is replaced by a newer one.
    Unsupported,
}
