//! Heartbeats between entries.

use laburnum_derive::{message, value};

use crate::core::id::Node;

/// The status of a run of the daemon. A later variant overrides an earlier one with the same number
/// of refutations.
#[value]
pub enum Status {
    /// It sends heartbeats.
    Alive,
    /// It sends heartbeats and is leaving.
    Leaving,
    /// Its watchers have received no heartbeat from it for a while.
    Suspect,
    /// It was suspected for longer than the time limit.
    Dead,
}

/// The newest known status of one entry. The update with the greatest run, number of refutations
/// and status, compared in this order, is valid, so updates may arrive in any order and any number
/// of times.
#[value]
pub struct Update {
    /// The run of the daemon.
    pub node: Node,
    /// How often the run has refuted an update about itself.
    #[serde(rename = "count")]
    pub refutations: u32,
    /// The status of the run.
    pub status: Status,
}

/// A periodic message from one entry to another.
#[message]
#[derive(Eq)]
pub struct Heartbeat {
    /// The sender's own status.
    pub sender: Update,
    /// Whether the sender requests all updates in response, because it has none on more entries
    /// than it has watchers.
    #[serde(rename = "is_new")]
    pub requests_all_updates: bool,
    /// Recent updates on other entries.
    pub updates: Vec<Update>,
}

impl Update {
    /// Returns whether this update overrides `other`, which is about the same VM.
    pub fn overrides(&self, other: &Update) -> bool {
        (self.node.incarnation, self.refutations, self.status)
            > (other.node.incarnation, other.refutations, other.status)
    }
}
