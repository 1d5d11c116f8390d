//! What goes into a table and what comes out of it.

use laburnum_derive::{message, value};

use super::message::Message;
use super::record::{Epoch, Record, STANDBYS};
use super::view::Snapshot;
use crate::core::id::{Incarnation, Node, Partition, Vm};
use crate::core::time::{Instant, Stamp};

/// What a table is told.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// Time has passed. Appends and requests go out on ticks only, so that they are batched; tick
    /// some times a second, and after a batch of other inputs where a handover should be quick.
    Tick(Stamp),
    /// The log holds `record` at `offset`. Every record is to be read, in offset order.
    Read {
        /// The offset of the append that carried the record.
        offset: u64,
        /// The record.
        record: &'a Record,
    },
    /// All older records are in this snapshot.
    Restore(&'a Snapshot),
    /// The stream was read to its end once, from its start or a snapshot.
    Ready,
    /// A peer says something.
    Deliver {
        /// The peer.
        from: Node,
        /// What it says.
        message: &'a Message,
    },
    /// The entries changed.
    Roster(&'a Roster),
    /// The nodes that should own partitions changed.
    Prefer(&'a [Preference]),
    /// The log can or cannot be written, as far as known.
    Log {
        /// Whether appends succeed.
        up: bool,
    },
    /// The log describes every request that was dispatched unlogged in this partition, and none
    /// will be dispatched by promises asked for before.
    Described(Partition),
    /// These partitions, and no others, have unfinished work of this owner; they are neither
    /// offered nor given up meanwhile.
    Keep(&'a [Partition]),
    /// The process is to stop: hand all partitions over.
    Stop,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Append to the lease stream.
    Append(Append),
    /// Send to a peer.
    Send {
        /// The peer.
        to: Node,
        /// What to say.
        message: Message,
    },
    /// This node may act as owner, as long as [`Table::may_act`](super::Table::may_act) says so.
    Acquired(Acquired),
    /// This node is not the owner any more; it must have stopped acting before the outputs that
    /// follow are carried out.
    Lost {
        /// The partition.
        partition: Partition,
        /// The ownership that ended.
        epoch: Epoch,
    },
}

/// A record to append. It may be retried unchanged until it expires, and replaces no other.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Append {
    /// The record.
    pub record: Record,
    /// When the record has become useless, on this process's clock.
    pub expires: Instant,
}

/// An ownership that begins.
#[value]
pub struct Acquired {
    /// The partition.
    pub partition: Partition,
    /// The fencing token.
    pub epoch: Epoch,
    /// How the ownership began.
    pub origin: Origin,
    /// Whether former holders may have dispatched requests that the log does not describe.
    pub exposed: bool,
    /// The claim's own time.
    pub stamp: Stamp,
}

/// How an ownership began.
#[value]
pub enum Origin {
    /// The partition never had an owner.
    First,
    /// This node's own lease had lapsed.
    Reclaimed,
    /// The former holder handed the partition over.
    Offered,
    /// The former holder gave the partition up.
    Released,
    /// This node was a standby, and the lease had ended.
    Standby,
    /// The former holder and its standbys are gone.
    Orphaned,
}

/// The entries of the cell, as this node knows them.
#[message]
#[derive(Default, Eq)]
pub struct Roster {
    /// The version of the VM list.
    pub version: u64,
    /// The entries on that list, live or leaving.
    pub members: Vec<Member>,
}

/// One entry.
#[value]
pub struct Member {
    /// The VM.
    pub vm: Vm,
    /// The newest run of the daemon that was heard of; a run has a higher number than those before
    /// it on the same VM, and begins after they ended.
    pub incarnation: Option<Incarnation>,
}

/// The nodes that should own a partition.
#[value]
pub struct Preference {
    /// The partition.
    pub partition: Partition,
    /// The preferred owner, then its standbys.
    pub candidates: [Option<Node>; STANDBYS + 1],
}
