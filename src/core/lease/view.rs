//! Exports of a table: a snapshot for tables that start later, and a dump for operators.

use laburnum_derive::message;

use super::record::{Epoch, Standbys};
use super::table::Table;
use crate::core::id::{Node, Partition};
use crate::core::time::{Instant, Stamp};

/// The ownership that the newest valid record of a partition grants.
#[message]
#[derive(Eq, Hash)]
pub struct Grant {
    /// The record's offset.
    pub offset: u64,
    /// The fencing token of the ownership.
    pub epoch: Epoch,
    /// The owner.
    pub holder: Node,
    /// The nodes that may claim after the lease has ended.
    pub standbys: Standbys,
    /// How long the lease lasts, in milliseconds.
    pub duration_ms: u32,
    /// When the record was made, on the holder's own clock.
    pub sent: Instant,
    /// When the record was made, by the holder's wall clock.
    pub stamp: Stamp,
    /// The version of the VM list on which the writer saw all nodes that the record names.
    #[serde(rename = "listed")]
    pub list_version: u64,
    /// Whether the holder may have dispatched requests that the log does not describe.
    #[serde(rename = "exposed")]
    pub may_have_unlogged: bool,
    /// Whether the holder released the partition.
    pub released: bool,
    /// The node that should claim a released partition first.
    pub successor: Option<Node>,
}

/// The newest valid record of every partition before an offset of the lease stream.
#[message]
#[derive(Default)]
pub struct Snapshot {
    /// The first offset of the lease stream that is not in the snapshot.
    pub next: u64,
    /// The partitions that have or had an owner.
    pub entries: Vec<Entry>,
}

/// One partition of a snapshot.
#[message]
pub struct Entry {
    /// The partition.
    pub partition: Partition,
    /// The ownership that its newest valid record grants.
    pub grant: Grant,
}

/// The state of a table, for operators.
#[message]
pub struct Dump {
    /// This process.
    pub node: Node,
    /// Whether the table has read enough to claim.
    pub ready: bool,
    /// Whether the process is stopping and hands its partitions over.
    pub stopping: bool,
    /// One row for each partition that has or had an owner.
    pub rows: Vec<Row>,
}

/// One partition in a dump.
#[message]
pub struct Row {
    /// The partition.
    pub partition: Partition,
    /// The newest valid record.
    pub grant: Grant,
    /// How long nodes other than the holder consider the lease in force, in milliseconds from now,
    /// by this node's count.
    pub ends_in_ms: u64,
    /// How long this node may act as owner, in milliseconds from now, if it is the owner.
    pub acts_for_ms: Option<u64>,
    /// How long a promise that this node gave lasts, in milliseconds from now.
    pub promised_for_ms: Option<u64>,
}

impl Table {
    /// Returns a snapshot of the records read so far, from which another table can start.
    pub fn snapshot(&self) -> Snapshot {
        let entries = self.grants().map(|(partition, slot_grant)| Entry {
            partition,
            grant: slot_grant.clone(),
        });
        Snapshot {
            next: self.next,
            entries: entries.collect(),
        }
    }

    /// Returns the state for operators.
    pub fn dump(&self, now: Instant) -> Dump {
        let rows = self
            .grants()
            .filter_map(|(partition, grant)| self.row(now, partition, grant));
        Dump {
            node: self.node,
            ready: self.ready,
            stopping: self.stopping,
            rows: rows.collect(),
        }
    }

    /// Returns the newest grant of each partition that ever had one.
    fn grants(&self) -> impl Iterator<Item = (Partition, &Grant)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let head = slot.head.as_ref()?;
            Some((Partition(index as u16), &head.grant))
        })
    }

    /// Returns one row of the dump.
    fn row(&self, now: Instant, partition: Partition, grant: &Grant) -> Option<Row> {
        let slot = self.slot(partition)?;
        let millis = |until: Instant| until.since(now).as_millis() as u64;
        let ownership = slot
            .ownership
            .as_ref()
            .filter(|ownership| ownership.is_active(now));
        let given = slot.given_promise.filter(|given| now < given.until);
        Some(Row {
            partition,
            grant: grant.clone(),
            ends_in_ms: slot.head.as_ref().map_or(0, |head| millis(head.ends)),
            acts_for_ms: ownership.map(|ownership| millis(ownership.deadline)),
            promised_for_ms: given.map(|given| millis(given.until)),
        })
    }
}
