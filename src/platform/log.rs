//! The log service.
//!
//! `POST /v1/streams/{stream}/append` takes the entry as an `application/octet-stream` body and
//! returns [`Appended`] as JSON. `GET /v1/streams/{stream}/entries?from=N&max_bytes=B&wait_ms=W`
//! waits up to `W` milliseconds for the first entry at or after offset `N` and returns a [`Page`] as
//! CBOR. An append whose response is lost may still have taken effect.

use laburnum_derive::message;

/// The response to an append.
#[message]
pub struct Appended {
    /// The offset of the entry in its stream, from 0 without gaps.
    pub offset: u64,
}

/// Entries of a stream, in offset order.
#[message]
pub struct Page {
    /// The oldest offset that the log still keeps.
    pub first: u64,
    /// The offset that the next append will get.
    pub next: u64,
    /// Entries from the requested offset on; empty if the requested offset is below `first`.
    pub entries: Vec<Entry>,
}

/// One entry of a stream.
#[message]
pub struct Entry {
    /// The offset of the entry in its stream.
    pub offset: u64,
    /// The appended bytes.
    #[serde(with = "bytes_field")]
    pub data: Vec<u8>,
}

/// Serializes a byte vector as one byte string instead of a sequence of integers.
pub(crate) mod bytes_field {
    use serde::de::Visitor;
    use serde::{Deserializer, Serializer};

    pub(crate) fn serialize<S: Serializer>(data: &[u8], out: S) -> Result<S::Ok, S::Error> {
        out.serialize_bytes(data)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<Vec<u8>, D::Error> {
        struct Bytes;
        impl Visitor<'_> for Bytes {
            type Value = Vec<u8>;

            fn expecting(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                out.write_str("a byte string")
            }

            fn visit_bytes<E>(self, data: &[u8]) -> Result<Vec<u8>, E> {
                Ok(data.to_vec())
            }

            fn visit_byte_buf<E>(self, data: Vec<u8>) -> Result<Vec<u8>, E> {
                Ok(data)
            }
        }
        input.deserialize_byte_buf(Bytes)
    }
}
