//! How calls reach targets: at most once, the whole answer, no head-of-line blocking.
//!
//! A call arrives at the [`Dispatcher`] of a traffic thread. One that may be repeated is queued
//! there ([`queue`]). One that runs at most once goes to the owner of its key's partition
//! ([`route`]), whose table of keys ([`dedup`]) logs the intent before the run. A queued call is
//! sent when the entry holds a free slot of a target ([`slot`]) and the target is neither slow
//! ([`limit`]), failing ([`outlier`]) nor leaving. Connections are replaced when silent ([`link`]),
//! and failed attempts are repeated where that is safe ([`retry`]).
//!
//! The I/O code must keep to these rules:
//!
//! - Outputs are carried out in order, and a timeout is stated to a target as the span that is left
//!   when the request is written.
//! - Within one process the dispatcher and the table lose no message to each other.
//! - [`dispatcher::Input::Owner`] and [`dedup::Standing`] name an end of the ownership that is
//!   counted by the lease's rules; both are updated when it is extended.
//! - While [`dedup::Table::undescribed`] is not zero, the owner neither renews its ownership by a
//!   record nor hands it over, because a standby takes either as proof that all runs are in the
//!   log. A promise counts as given after a record unless it surely came before.
//! - A table's appends are repeated until they are read back. The log keeps records for longer than
//!   [`dedup::Rules::retention`] and twice the skew bound.
//! - Ownership of a target's partition creates a [`slot::Grantor::after_takeover`], except when the
//!   partition never had an owner.
//! - A target that stops serving a request at its timeout is assumed; one that does not keeps its
//!   slot counted while its entry lives. A target drops a connection that is silent for
//!   [`link::Rules::linger`].
//!
//! "Not run" speaks of the request that it answers. Another request with the same key that has no
//! answer yet may still run until its own deadline.

pub mod call;
pub mod dedup;
pub mod dispatcher;
pub mod limit;
pub mod link;
pub mod outlier;
pub mod queue;
pub mod rate;
pub mod retry;
pub mod route;
pub mod slot;

pub use self::call::{Answer, Call, Id, Origin, Safety};
pub use self::dispatcher::{Dispatcher, Settings};
