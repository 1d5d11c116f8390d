//! Ownership of partitions: leases kept in the log, with fencing epochs.
//!
//! Every process has one [`Table`] for all partitions. Its inputs are the records of the log's
//! lease stream ([`Record`]), messages from peers ([`Message`]), the entries that exist
//! ([`Roster`]) and a regular tick. Its outputs are records to append, messages to send, and the
//! partitions whose ownership this process gained or lost.
//!
//! A record names the record that it succeeds. The first successor in offset order is valid; any
//! other is void at whatever offset it is appended, so a repeated append has no effect. The node
//! that the newest valid record names as owner is the holder. It counts its lease from before it
//! sent the record and acts as owner once it has read the record back. All other nodes count the
//! lease from when they read the record, and lengthen it by the bound on clock rates. After that,
//! only the two standbys named in the record may claim; another node may claim only when the holder
//! and both standbys are gone. While the log is down, the holder extends its ownership by promises
//! of its standbys not to claim; a promise counts from when the holder requested it. With such
//! promises the holder may also dispatch requests that the log does not describe yet (unlogged
//! requests); `may_have_unlogged` states that it may have done so. A process that lost its memory
//! is another [`Node`](crate::core::id::Node), which no record names. A lease that both sides count
//! conservatively is the idea of Gray and Cheriton (1989); fencing by a growing number is common in
//! lock services.
//!
//! A planned transfer leaves no time without an owner: the holder offers the partition, the
//! successor claims it, and the holder yields when it reads the claim.

mod handover;
mod holder;
mod message;
mod port;
mod reader;
mod record;
mod settings;
mod slot;
mod standby;
mod table;
mod view;

pub use message::{Message, Offer, PartitionHead, PromiseRequest, PromiseResponse, Yield};
pub use port::{Acquired, Append, Input, Member, Origin, Output, Preference, Roster};
pub use record::{Claim, Epoch, Record, Release, Renewal, STANDBYS, Standbys};
pub use settings::{Builder, Rules, Settings};
pub use table::Table;
pub use view::{Dump, Entry, Grant, Row, Snapshot};
