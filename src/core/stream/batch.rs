//! The envelope of records in the log.
//!
//! A [`Batch`] holds consecutive records of one writer. The writer assigns sequence numbers when it
//! seals a batch, so they have no gaps, and it seals the next batch only when the previous one is
//! known to be in the log. One append carries one [`Bundle`], which may hold the batches of several
//! writers.

use laburnum_derive::{message, name, value};

use super::codec::encode;
use crate::core::error::Result;
use crate::core::id::Node;
use crate::platform::log::bytes_field;

/// The name of a stream.
#[name]
pub struct Name(pub String);

/// A record's number among all records of its writer on the stream, from 1 without gaps.
#[value]
pub struct Sequence(pub u64);

/// The permanent identity of a record: its writer's incarnation and its sequence number.
#[value]
pub struct Id {
    /// The node that wrote the record.
    pub node: Node,
    /// The record's number.
    pub sequence: Sequence,
}

/// An encoded record.
#[message]
#[serde(transparent)]
pub struct Body(#[serde(with = "bytes_field")] pub Vec<u8>);

/// The payload of one append: encoded batches.
#[message]
#[serde(transparent)]
pub struct Bundle(pub Vec<Body>);

/// Consecutive records of one writer.
#[message]
pub struct Batch {
    /// The node that wrote the batch.
    pub node: Node,
    /// The sequence number of the first record.
    pub first: Sequence,
    /// The next offset that the writer would read, as of when it sealed the batch or renewed this
    /// position for a retry.
    #[serde(rename = "seen")]
    pub read_position: u64,
    /// The records.
    pub records: Vec<Body>,
}

/// An accepted batch without its records.
#[value]
pub struct Header {
    /// The node that wrote the batch.
    pub node: Node,
    /// The sequence number of the first record.
    pub first: Sequence,
    /// The sequence number of the last record.
    pub last: Sequence,
    /// The offset of the entry that holds the batch.
    pub offset: u64,
}

/// An accepted record, as a reader delivers it.
#[message]
pub struct Record<T> {
    /// The record's identity.
    pub id: Id,
    /// The offset of the entry that holds the record.
    pub offset: u64,
    /// The record's index among the accepted records at that offset, from 0.
    pub index: u32,
    /// The decoded value.
    pub value: T,
}

impl Sequence {
    /// Returns the sequence number that is `count` higher.
    pub fn plus(self, count: u64) -> Sequence {
        Sequence(self.0.saturating_add(count))
    }
}

impl Batch {
    /// Returns the sequence number of the last record.
    pub fn last(&self) -> Sequence {
        Sequence((self.first.0 + self.records.len() as u64).saturating_sub(1))
    }

    /// Returns the bytes of an entry that holds only this batch.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::Internal`](crate::core::error::Kind::Internal) when the batch cannot be
    /// encoded as CBOR.
    pub fn to_entry(&self) -> Result<Vec<u8>> {
        encode(&Bundle(vec![Body(encode(self)?)]))
    }

    /// Returns the header of this batch, given that its entry is at `offset`.
    pub fn header(&self, offset: u64) -> Header {
        Header {
            node: self.node,
            first: self.first,
            last: self.last(),
            offset,
        }
    }
}
