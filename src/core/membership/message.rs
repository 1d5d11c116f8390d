//! Heartbeats between entries.

use laburnum_derive::{message, value};

use crate::core::id::Node;

/// What is said of a run of the daemon. Later ones override earlier ones of the same count.
#[value]
pub enum Status {
    /// It answers.
    Alive,
    /// It answers and is leaving.
    Leaving,
    /// It has not answered for a while.
    Suspect,
    /// It has not answered for long.
    Dead,
}

/// The newest known of one entry. The greatest by run, count and status is valid, so updates may
/// arrive in any order and any number of times.
#[value]
pub struct Update {
    /// The run of the daemon.
    pub node: Node,
    /// How often the run has refuted what was said of it.
    pub count: u32,
    /// What is said of it.
    pub status: Status,
}

/// One message from an entry to another.
#[message]
#[derive(Eq)]
pub struct Heartbeat {
    /// The sender, as it sees itself.
    pub sender: Update,
    /// Whether the sender knows few others and wants all updates in answer.
    pub is_new: bool,
    /// News of others.
    pub updates: Vec<Update>,
}

impl Update {
    /// Returns whether this update overrides `other`, which is about the same VM.
    pub fn overrides(&self, other: &Update) -> bool {
        (self.node.incarnation, self.count, self.status)
            > (other.node.incarnation, other.count, other.status)
    }
}
