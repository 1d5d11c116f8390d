//! Which configuration is in force.
//!
//! Operators change a JSON document; [`Config`] is its typed form. A [`Change`] is a record in the
//! configuration stream and names the version that it was made against. Every node puts the same
//! records through the same [`Store`] in offset order, so all nodes accept the same changes and
//! number them alike, and the loser of a race is told which version is in force. An operator is
//! told "accepted" only after the node has read the change back ([`Pending`]).
//!
//! A patch loses only against a change of the same keys after its base. At some 87,000 changes a
//! day another change lands about every second, so a rule that lost to any other change would
//! refuse nearly everything that an operator takes a minute to write.

mod change;
mod document;
mod edit;
mod fault;
mod field;
mod history;
mod parse;
mod patch;
mod pending;
mod size;
mod store;
mod touched;
mod verdict;

pub use change::{Body, Change, FORMAT, Version};
pub use document::{Config, DOCUMENT_BYTES, Limits, Placement, Queue, Quota, Service, Weights};
pub use fault::Fault;
pub use history::{Entry, HISTORY};
pub use patch::{apply, diff};
pub use pending::{Input, Output, Pending};
#[doc(hidden)]
pub use store::Rules;
pub use store::{State, Store};
pub use verdict::{Place, Verdict};
