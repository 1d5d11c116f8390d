//! Small fakes at the interfaces of decision code, in memory and in virtual time.

mod log;
mod region;

pub use log::Log;
pub use region::{Fault, Member, Region};

use laburnumplank::core::id::{Incarnation, Node, Vm};

/// Returns a node of an incarnation.
pub fn node(vm: u32, incarnation: u64) -> Node {
    Node {
        vm: Vm(vm),
        incarnation: Incarnation(incarnation),
    }
}
