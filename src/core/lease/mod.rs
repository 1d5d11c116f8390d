//! Who owns a partition: leases kept in the log, with fencing epochs.
//!
//! Every process holds one [`Table`] for all partitions. It is fed what the log's lease stream says
//! ([`Record`]), what peers say ([`Message`]), which entries exist ([`Roster`]) and a regular tick;
//! it returns records to append, messages to send and the partitions that it gained or lost.
//!
//! A record names the record that it succeeds. The first successor in offset order is valid and all
//! others are void wherever they land, so a repeated append does nothing. The holder counts its
//! lease from before it sent the record and acts once it has read the record back; everybody else
//! counts from when they read it, lengthened by the bound on clock rates. Only the two standbys
//! named in the record may claim after that. While the log is down the holder goes on by promises
//! of its standbys not to claim; promises are counted from when the holder asked. A process that
//! lost its memory is another [`Node`](crate::core::id::Node), which no record names. The idea of a
//! lease counted conservatively on both sides is that of Gray and Cheriton (1989); fencing by a
//! growing number is common in lock services.
//!
//! A planned transfer costs no wait: the holder offers the partition, the successor claims it, and
//! the holder yields when it reads the claim.

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

pub use message::{Answer, Ask, Message, Offer, Wish, Yield};
pub use port::{Acquired, Append, Input, Member, Origin, Output, Preference, Roster};
pub use record::{Claim, Epoch, Record, Release, Renewal, STANDBYS, Standbys};
pub use settings::{Builder, Rules, Settings};
pub use table::Table;
pub use view::{Dump, Entry, Grant, Row, Snapshot};
