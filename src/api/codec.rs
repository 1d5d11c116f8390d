//! Encodes the schema's messages as JSON or protobuf and decodes them.

use prost::Message;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::core::error::{Error, Kind, Result};

/// A message of the schema, which has a JSON and a protobuf encoding.
pub trait SchemaMessage: Message + Default + Serialize + DeserializeOwned {}

impl<M: Message + Default + Serialize + DeserializeOwned> SchemaMessage for M {}

/// The encoding of a request or response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// The JSON mapping of protobuf.
    Json,
    /// The binary encoding of protobuf.
    Proto,
}

impl Format {
    /// Returns the format of a content type, or `None` if the content type is not supported.
    pub fn from_content_type(content_type: &str) -> Option<Format> {
        let media_type = content_type.split(';').next().unwrap_or_default().trim();
        match media_type {
            "application/json" => Some(Format::Json),
            "application/proto" => Some(Format::Proto),
            _ => None,
        }
    }

    /// Returns the content type without parameters.
    pub fn content_type(self) -> &'static str {
        match self {
            Format::Json => "application/json",
            Format::Proto => "application/proto",
        }
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Malformed`] if `body` is not an encoded `M`.
    pub fn decode<M: SchemaMessage>(self, body: &[u8]) -> Result<M> {
        let malformed = |reason: String| {
            Error::new(
                Kind::Malformed,
                format!("the body does not match the schema: {reason}"),
            )
        };
        match self {
            Format::Json => {
                serde_json::from_slice(body).map_err(|error| malformed(error.to_string()))
            }
            Format::Proto => M::decode(body).map_err(|error| malformed(error.to_string())),
        }
    }

    /// Encodes a message.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Internal`] if the message cannot be encoded as JSON.
    pub fn encode<M: SchemaMessage>(self, message: &M) -> Result<Vec<u8>> {
        match self {
            Format::Json => serde_json::to_vec(message).map_err(|error| {
                Error::new(
                    Kind::Internal,
                    format!("cannot encode the message as JSON: {error}"),
                )
            }),
            Format::Proto => Ok(message.encode_to_vec()),
        }
    }
}
