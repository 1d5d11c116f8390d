//! Inputs and outputs of a lease table.

use laburnum_derive::{message, value};

use super::message::Message;
use super::record::{Epoch, Record, STANDBYS};
use super::view::Snapshot;
use crate::core::id::{Incarnation, Node, Partition, Vm};
use crate::core::time::{Instant, Stamp};

/// An input of a table.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// Time has passed. Appends, offers and requests for promises are output on ticks only, so that
    /// they are batched. Tick several times a second, and also after a batch of other inputs where
    /// a handover should be quick.
    Tick(Stamp),
    /// The log holds `record` at `offset`. Every record must be passed in, in offset order.
    Read {
        /// The offset of the append that carried the record.
        offset: u64,
        /// The record.
        record: &'a Record,
    },
    /// A snapshot that replaces all records before its `next` offset.
    Restore(&'a Snapshot),
    /// The stream has been read to its end once, from its start or from a snapshot.
    Ready,
    /// A message from a peer.
    Deliver {
        /// The peer.
        from: Node,
        /// The message.
        message: &'a Message,
    },
    /// The entries changed.
    Roster(&'a Roster),
    /// The nodes that should own partitions changed.
    Prefer(&'a [Preference]),
    /// Whether the log accepts appends, as far as this process has observed.
    Log {
        /// Whether appends succeed.
        up: bool,
    },
    /// The log describes every request of this partition that was dispatched unlogged, and no
    /// promise requested before this input will be used to dispatch another.
    UnloggedDescribed(Partition),
    /// The partitions on which this owner has unfinished work, replacing the previous set; they are
    /// neither offered nor released.
    UnfinishedWork(&'a [Partition]),
    /// The process is stopping; all its partitions must be handed over.
    Stop,
}

/// An output of a table; outputs must be carried out in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Append to the lease stream.
    Append(Append),
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: Node,
        /// The message.
        message: Message,
    },
    /// This node may act as owner while [`Table::may_act`](super::Table::may_act) returns the
    /// epoch.
    Acquired(Acquired),
    /// This node is no longer the owner; it must stop acting as owner before the outputs that
    /// follow are carried out.
    Lost {
        /// The partition.
        partition: Partition,
        /// The ownership that ended.
        epoch: Epoch,
    },
}

/// A record to append. The append may be retried unchanged until it expires, and does not replace
/// an earlier append.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Append {
    /// The record.
    pub record: Record,
    /// When appending the record no longer has any use, on this process's clock.
    pub expires: Instant,
}

/// The start of an ownership of this node.
#[value]
pub struct Acquired {
    /// The partition.
    pub partition: Partition,
    /// The fencing token.
    pub epoch: Epoch,
    /// How the ownership began.
    pub origin: Origin,
    /// Whether former holders may have dispatched requests that the log does not describe.
    pub may_have_unlogged: bool,
    /// When the claim was made, on this node's wall clock.
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
    /// The former holder released the partition.
    Released,
    /// This node was a standby, and the lease had ended.
    Standby,
    /// The former holder and its standbys are gone.
    Orphaned,
}

/// The entries of the cell that are known to this node.
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
    /// The newest known run of the daemon on the VM. Each run has a higher number than the earlier
    /// runs on the same VM, and begins after they ended.
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
