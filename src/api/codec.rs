//! JSON and protobuf forms of the schema's messages.

use prost::Message;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::core::error::{Error, Kind, Result};

/// A message of the schema in either form.
pub trait Body: Message + Default + Serialize + DeserializeOwned {}

impl<M: Message + Default + Serialize + DeserializeOwned> Body for M {}

/// The form of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Protobuf JSON.
    Json,
    /// Protobuf binary.
    Proto,
}

impl Format {
    /// Returns the format of a content type, or `None` for one that is not served.
    pub fn from_content_type(content_type: &str) -> Option<Format> {
        let media = content_type.split(';').next().unwrap_or_default().trim();
        match media {
            "application/json" => Some(Format::Json),
            "application/proto" => Some(Format::Proto),
            _ => None,
        }
    }

    /// Returns the content type of the format.
    pub fn content_type(self) -> &'static str {
        match self {
            Format::Json => "application/json",
            Format::Proto => "application/proto",
        }
    }

    /// Decodes a body.
    ///
    /// # Errors
    ///
    /// [`Kind::Malformed`] when the body is not a message of this type.
    pub fn decode<M: Body>(self, body: &[u8]) -> Result<M> {
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

    /// Encodes a body.
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] when the message cannot be written as JSON.
    pub fn encode<M: Body>(self, message: &M) -> Result<Vec<u8>> {
        match self {
            Format::Json => serde_json::to_vec(message).map_err(|error| {
                Error::new(Kind::Internal, format!("cannot write the answer: {error}"))
            }),
            Format::Proto => Ok(message.encode_to_vec()),
        }
    }
}
