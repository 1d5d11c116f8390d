//! In-process fakes of the components that decision code communicates with, in virtual time.

mod log;
mod region;
pub mod worker;

pub use log::Log;
pub use region::{Fault, Member, Region};

use laburnumplank::core::id::{Incarnation, Node, Vm};

/// Returns the id of a node: a VM number and the incarnation of its process.
pub fn node(vm: u32, incarnation: u64) -> Node {
    Node {
        vm: Vm(vm),
        incarnation: Incarnation(incarnation),
    }
}
