//! What a table shows: a snapshot for newcomers and a dump for people.

use laburnum_derive::message;

use super::record::{Epoch, Standbys};
use super::table::Table;
use crate::core::id::{Node, Partition};
use crate::core::time::{Instant, Stamp};

/// What the newest valid record of a partition grants.
#[message]
#[derive(Eq, Hash)]
pub struct Grant {
    /// The record's offset.
    pub offset: u64,
    /// The fencing token of the ownership.
    pub epoch: Epoch,
    /// The owner.
    pub holder: Node,
    /// Who may claim after the lease.
    pub standbys: Standbys,
    /// How long the lease lasts, in milliseconds.
    pub duration_ms: u32,
    /// When the record was made, on the holder's own clock.
    pub sent: Instant,
    /// When the record was made, by the holder's wall clock.
    pub stamp: Stamp,
    /// The version of the VM list on which the writer saw all nodes that the record names.
    pub listed: u64,
    /// Whether the holder may have dispatched requests that the log does not describe.
    pub exposed: bool,
    /// Whether the holder gave the partition up.
    pub released: bool,
    /// Who should claim a released partition first.
    pub successor: Option<Node>,
}

/// The newest valid record of every partition, as of an offset.
#[message]
#[derive(Default)]
pub struct Snapshot {
    /// The first offset of the lease stream that is not in the snapshot.
    pub next: u64,
    /// The partitions that ever had an owner.
    pub entries: Vec<Entry>,
}

/// One partition of a snapshot.
#[message]
pub struct Entry {
    /// The partition.
    pub partition: Partition,
    /// What its newest valid record grants.
    pub grant: Grant,
}

/// The state of a table, for people.
#[message]
pub struct Dump {
    /// This process.
    pub node: Node,
    /// Whether the table has read enough to claim.
    pub ready: bool,
    /// Whether the process is giving its partitions up.
    pub stopping: bool,
    /// One row for each partition that has or had an owner.
    pub rows: Vec<Row>,
}

/// One partition, for people.
#[message]
pub struct Row {
    /// The partition.
    pub partition: Partition,
    /// The newest valid record.
    pub grant: Grant,
    /// How long others consider the lease in force, in milliseconds from now.
    pub ends_in_ms: u64,
    /// How long this node may act, in milliseconds from now, if it is the owner.
    pub acts_for_ms: Option<u64>,
    /// How long a promise of this node lasts, in milliseconds from now.
    pub promised_for_ms: Option<u64>,
}

impl Table {
    /// Returns the state for newcomers, as of the records read so far.
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

    /// Returns the state for people.
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
        let tenure = slot.tenure.as_ref().filter(|tenure| tenure.is_active(now));
        let given = slot.given.filter(|given| now < given.until);
        Some(Row {
            partition,
            grant: grant.clone(),
            ends_in_ms: slot.head.as_ref().map_or(0, |head| millis(head.ends)),
            acts_for_ms: tenure.map(|tenure| millis(tenure.deadline)),
            promised_for_ms: given.map(|given| millis(given.until)),
        })
    }
}
