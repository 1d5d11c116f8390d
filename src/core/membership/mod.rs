//! Membership: which entries exist and are alive, and which of them should own a partition.
//!
//! [`View`] combines the platform's VM list, which lags behind, with heartbeats between the
//! entries. The list contains the entries that exist; heartbeats show which of them are alive, and
//! as which run of the daemon. Each entry sends heartbeats to its next neighbours on a ring, which
//! watch it, and to one further entry that changes every round. A heartbeat carries the newest
//! changes that its sender has received. The number of messages of each entry therefore does not
//! grow with the number of entries, and a change reaches all entries in a number of rounds that
//! grows with the logarithm of their number. Suspicions that the suspected entry can refute, and
//! changes carried on heartbeats, are ideas of SWIM (Das, Gupta, Motivala 2002).
//!
//! [`rendezvous`] picks owners by highest random weight (Thaler and Ravishankar 1998), so that a
//! change of one VM moves only that VM's partitions. Safety does not depend on this module: a wrong
//! view costs time, and the [lease](super::lease) rules alone decide which node may act as owner.
//! Only the VM list and the order of incarnations, passed on as a [`Roster`](super::lease::Roster),
//! must be correct.

mod entry;
mod gossip;
mod message;
mod port;
pub mod rendezvous;
mod ring;
mod settings;
mod view;
mod watch;

pub use message::{Heartbeat, Status, Update};
pub use port::{Dump, Input, Output, Row, State};
pub use settings::{Builder, DataCentreSite, Rules, Settings, Site};
pub use view::View;
