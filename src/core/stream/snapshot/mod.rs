//! Snapshots: live state rewritten before the records that it was built from expire.
//!
//! A snapshot of stream `s` is written as [`Part`]s to a separate stream, [`stream_of`]`(s)`, so
//! that its retention and its reads are independent of the records. The owner's [`Publisher`]
//! writes a snapshot whenever a quarter of the retention has passed or many records follow the last
//! one. A new node's [`Finder`] reads the snapshot stream backward from its end, in growing
//! windows, until it has read a complete snapshot; the node then reads the records from the first
//! offset that the snapshot doesn't cover. Reading backward costs about one snapshot, however many
//! the retention keeps.
//!
//! [`Recovery`] chooses between a peer's state, a snapshot and reading the whole stream.
//!
//! [`Assembly`] returns a snapshot only when all its parts are present and their checksums match.
//! With a damaged or missing part, an older snapshot or a peer's state is used, never a partial
//! state.

mod assembly;
pub mod finder;
mod part;
pub mod publisher;
pub mod recovery;

#[doc(hidden)]
pub use assembly::Rules;
pub use assembly::{Assembly, CompleteSnapshot};
pub use finder::Finder;
pub use part::{Id, PART_BYTES, PARTS, Part, split};
pub use publisher::Publisher;
pub use recovery::Recovery;

use laburnum_derive::message;

use super::batch::Name;
use super::writer_table::WriterTable;

/// The content of a snapshot: the reader's position and the state built from all records before it.
#[message]
pub struct Content<S> {
    /// The next offset to be read.
    pub next: u64,
    /// The table of writers at that offset.
    #[serde(rename = "seen")]
    pub writers: WriterTable,
    /// The state at that offset.
    pub state: S,
}

/// Returns the stream that holds the snapshots of `stream`.
pub fn stream_of(stream: &Name) -> Name {
    Name(format!("{}-snapshot", stream.0))
}
