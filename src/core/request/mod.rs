//! Delivery of calls to targets: at most once, with complete answers and without head-of-line
//! blocking.
//!
//! A call arrives at the [`Dispatcher`] of a traffic thread. An idempotent call is queued there
//! ([`queue`]). A call that must run at most once goes to the owner of its key's partition
//! ([`route`]), whose table of keys ([`dedup`]) logs an intent before the call runs. A queued call
//! is sent when the entry holds a free slot of a target ([`slot`]) and the target is neither slow
//! ([`limit`]), failing ([`outlier`]) nor leaving. Silent connections are replaced ([`link`]), and
//! failed attempts are retried where that is safe ([`retry`]).
//!
//! The modules rely on these guarantees of the I/O code:
//!
//! - Outputs are carried out in order. The timeout that is sent to a target is the time that is
//!   left when the request is written.
//! - Within one process no message between the dispatcher and the table of keys is lost.
//! - [`dispatcher::Input::Owner`] and [`dedup::OwnerStatus`] carry the end of the ownership as the
//!   lease's rules compute it; both are updated when the ownership is extended.
//! - While [`dedup::Table::undurable_runs`] is not zero, the owner neither renews its ownership by a
//!   record nor hands it over, because a standby takes either as proof that all runs are in the
//!   log. A standby's promise not to claim the partition counts as given after a record unless it
//!   was certainly given before it.
//! - The I/O code repeats each append of a table until it reads the record back. The log retains
//!   records for longer than [`dedup::Rules::retention`] plus twice the skew bound.
//! - A new owner of a target's partition creates its grantor by [`slot::Grantor::after_takeover`],
//!   unless the partition never had an owner.
//! - Targets stop serving a request at its timeout. The slot of a request that a target doesn't
//!   stop stays occupied while the entry that sent it runs. A target drops a connection that is
//!   silent for [`link::Rules::linger`].
//!
//! The effect "not run" is stated for the answered request only. Another request with the same key
//! that has no answer yet may still run until its own deadline.

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
