//! CBOR encoding of records and batches.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::core::error::{Error, Kind, Result};

/// Encodes `value` as CBOR.
///
/// # Errors
///
/// Fails with [`Kind::Internal`] when the value cannot be represented in CBOR.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes)
        .map_err(|error| Error::new(Kind::Internal, format!("cannot encode a record: {error}")))?;
    Ok(bytes)
}

/// Decodes a value from CBOR.
///
/// # Errors
///
/// Fails with [`Kind::Malformed`] when `bytes` are not the CBOR form of a `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    ciborium::from_reader(bytes)
        .map_err(|error| Error::new(Kind::Malformed, format!("cannot decode a record: {error}")))
}
