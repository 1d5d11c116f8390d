//! The configuration in force.
//!
//! Operators change a JSON document; [`Config`] is its typed form. A [`Change`] is a record in the
//! configuration stream and holds the version that it is based on. Every node applies the same
//! records to its [`Store`] in offset order, so all nodes accept the same changes and assign the
//! same versions. Of two conflicting changes the second is refused, and its operator gets the
//! version in force. A change is reported as accepted only after the node has read it back from the
//! log ([`Pending`]).
//!
//! A patch conflicts only with a later change of the same keys than its base. With about 87,000
//! changes a day, another change is accepted about every second, so if any later change were a
//! conflict, nearly every change that an operator takes a minute to write would be refused.

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
