//! Errors as JSON bodies of the Connect protocol.
//!
//! The body has the fields `code`, `message` and `details`. Its only detail is a
//! `laburnum.v1.ErrorDetail`, from which clients read the kind of the error, whether the request ran
//! and when to retry.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use prost::Message;
use serde::{Deserialize, Serialize};

use super::schema;
use crate::core::error::{Effect, Error, Kind};

/// Protobuf type name of the error detail.
const DETAIL_TYPE: &str = "laburnum.v1.ErrorDetail";

/// The JSON body of an error.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The status code of the Connect protocol, such as `invalid_argument`.
    pub code: String,
    /// What went wrong in this case.
    #[serde(default)]
    pub message: String,
    /// Typed details; the server sends exactly one.
    #[serde(default)]
    pub details: Vec<Detail>,
}

/// One detail of an error.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Detail {
    /// The protobuf type name of `value`.
    #[serde(rename = "type")]
    pub message_type: String,
    /// The protobuf encoding of the message, as base64 without padding.
    pub value: String,
    /// The same message as JSON, for people to read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub debug: Option<schema::ErrorDetail>,
}

impl ErrorBody {
    /// Creates the body for `error`.
    pub fn new(error: &Error) -> ErrorBody {
        let answer = error.kind.answer();
        let detail = schema::ErrorDetail {
            kind: answer.name.to_owned(),
            effect: effect_to_schema(error.effect).into(),
            retryable: answer.retryable,
            retry_after_ms: error.retry_after.map_or(0, |span| span.as_millis() as u64),
        };
        ErrorBody {
            code: answer.code.name().to_owned(),
            message: error.message.clone(),
            details: vec![Detail {
                message_type: DETAIL_TYPE.to_owned(),
                value: STANDARD_NO_PAD.encode(detail.encode_to_vec()),
                debug: Some(detail),
            }],
        }
    }

    /// Converts the body back to an error.
    ///
    /// The kind is [`Kind::Internal`] if the body has no valid detail or the detail names an unknown
    /// kind.
    pub fn to_error(&self) -> Error {
        let Some(detail) = self.detail() else {
            return Error::new(Kind::Internal, format!("{}: {}", self.code, self.message));
        };
        let kind = Kind::from_name(&detail.kind).unwrap_or(Kind::Internal);
        let mut error = Error::new(kind, self.message.clone());
        error.effect = effect_from_schema(detail.effect());
        error.retry_after =
            (detail.retry_after_ms > 0).then(|| Duration::from_millis(detail.retry_after_ms));
        error
    }

    /// Returns the error detail, or `None` if it is missing or malformed.
    fn detail(&self) -> Option<schema::ErrorDetail> {
        let detail = self
            .details
            .iter()
            .find(|detail| detail.message_type == DETAIL_TYPE)?;
        let bytes = STANDARD_NO_PAD
            .decode(detail.value.trim_end_matches('='))
            .ok()?;
        schema::ErrorDetail::decode(bytes.as_slice()).ok()
    }
}

/// Converts an effect from the schema; an unspecified effect is unknown.
fn effect_from_schema(effect: schema::Effect) -> Effect {
    match effect {
        schema::Effect::NotRun => Effect::NotRun,
        schema::Effect::Ran => Effect::Ran,
        schema::Effect::Unknown | schema::Effect::Unspecified => Effect::Unknown,
    }
}

/// Converts an effect to the schema.
fn effect_to_schema(effect: Effect) -> schema::Effect {
    match effect {
        Effect::NotRun => schema::Effect::NotRun,
        Effect::Unknown => schema::Effect::Unknown,
        Effect::Ran => schema::Effect::Ran,
    }
}
