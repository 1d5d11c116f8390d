//! Snapshots: live state rewritten before the records behind it expire.
//!
//! A snapshot of stream `s` stands as [`Part`]s in a stream of its own, [`stream_of`]`(s)`, so that
//! its retention and its reading don't mix with the records. The owner's [`Publisher`] writes one
//! whenever a quarter of the retention has passed or the tail has grown long. A new node's
//! [`Finder`] reads the snapshot stream backward from its end, in growing windows, until a whole
//! snapshot stands in what it read, and then follows the records from the offset that the snapshot
//! covers. Reading backward costs one snapshot, however many the retention keeps.
//!
//! [`Recovery`] decides between a peer's state, a snapshot and the whole stream.
//!
//! [`Assembly`] yields a snapshot only when all its parts are there and their checksums match, so a
//! torn or missing part means an older snapshot, or a peer's state, but never half a state.

mod assembly;
pub mod finder;
mod part;
pub mod publisher;
pub mod recovery;

#[doc(hidden)]
pub use assembly::Rules;
pub use assembly::{Assembly, Whole};
pub use finder::Finder;
pub use part::{Id, PART_BYTES, PARTS, Part, split};
pub use publisher::Publisher;
pub use recovery::Recovery;

use laburnum_derive::message;

use super::batch::Name;
use super::seen::Seen;

/// What a snapshot holds, encoded: the reader's position and the state built from what was read.
#[message]
pub struct Content<S> {
    /// The next offset to be read.
    pub next: u64,
    /// The table of writers at that offset.
    pub seen: Seen,
    /// The state at that offset.
    pub state: S,
}

/// Returns the stream that holds the snapshots of `stream`.
pub fn stream_of(stream: &Name) -> Name {
    Name(format!("{}-snapshot", stream.0))
}
