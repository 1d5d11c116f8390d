//! Which entries exist and are alive, and which of them should own a partition.
//!
//! [`View`] joins the platform's lagging VM list with heartbeats between the entries. The list says
//! who exists; heartbeats say who answers and as which run of the daemon. Each entry sends to its
//! next neighbours on a ring, which watch it, and to one further entry that changes every round; a
//! heartbeat carries the newest changes that its sender knows. So messages for each entry stay the
//! same however many entries there are, and a change reaches all in a number of rounds that grows
//! with the logarithm. Suspicion that its subject refutes and changes carried on heartbeats are
//! ideas of SWIM (Das, Gupta, Motivala 2002).
//!
//! [`rendezvous`] picks owners by highest random weight (Thaler and Ravishankar 1998), so that a
//! change of one VM moves only that VM's share. Nothing here is needed for safety: a wrong view
//! costs time, and the [lease](super::lease) rules alone decide who may act. Only the VM list and
//! the order of incarnations, handed on as a [`Roster`](super::lease::Roster), must be right.

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
pub use settings::{Builder, Place, Rules, Settings, Site};
pub use view::View;
