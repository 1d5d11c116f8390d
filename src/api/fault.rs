//! The wire form of an error, as the Connect protocol gives it.
//!
//! The body is JSON with `code`, `message` and `details`; the one detail is a
//! `laburnum.v1.ErrorDetail`, so that a client can read the kind, the effect and when to come back.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use prost::Message;
use serde::{Deserialize, Serialize};

use super::schema;
use crate::core::error::{Effect, Error, Kind};

/// The type name of the detail.
const DETAIL_TYPE: &str = "laburnum.v1.ErrorDetail";

/// The JSON body of an error.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Body {
    /// The Connect code.
    pub code: String,
    /// What is particular to this case.
    #[serde(default)]
    pub message: String,
    /// The details.
    #[serde(default)]
    pub details: Vec<Detail>,
}

/// One detail of an error.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Detail {
    /// The message type of `value`.
    #[serde(rename = "type")]
    pub message_type: String,
    /// The message in protobuf, base64 without padding.
    pub value: String,
    /// The message again, for people.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub debug: Option<schema::ErrorDetail>,
}

impl Body {
    /// Makes the body of `error`.
    pub fn new(error: &Error) -> Body {
        let answer = error.kind.answer();
        let detail = schema::ErrorDetail {
            kind: answer.name.to_owned(),
            effect: effect(error.effect).into(),
            retryable: answer.retryable,
            retry_after_ms: error.retry_after.map_or(0, |span| span.as_millis() as u64),
        };
        Body {
            code: answer.code.name().to_owned(),
            message: error.message.clone(),
            details: vec![Detail {
                message_type: DETAIL_TYPE.to_owned(),
                value: STANDARD_NO_PAD.encode(detail.encode_to_vec()),
                debug: Some(detail),
            }],
        }
    }

    /// Returns the error that the body carries; without a known detail its kind is
    /// [`Kind::Internal`].
    pub fn to_error(&self) -> Error {
        let Some(detail) = self.detail() else {
            return Error::new(Kind::Internal, format!("{}: {}", self.code, self.message));
        };
        let kind = Kind::from_name(&detail.kind).unwrap_or(Kind::Internal);
        let mut error = Error::new(kind, self.message.clone());
        error.effect = known_effect(detail.effect());
        error.retry_after =
            (detail.retry_after_ms > 0).then(|| Duration::from_millis(detail.retry_after_ms));
        error
    }

    /// Decodes the detail.
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

/// Returns the effect that the schema's form names; one that names none is unknown.
fn known_effect(effect: schema::Effect) -> Effect {
    match effect {
        schema::Effect::NotRun => Effect::NotRun,
        schema::Effect::Ran => Effect::Ran,
        schema::Effect::Unknown | schema::Effect::Unspecified => Effect::Unknown,
    }
}

/// Returns the schema's form of an effect.
fn effect(effect: Effect) -> schema::Effect {
    match effect {
        Effect::NotRun => schema::Effect::NotRun,
        Effect::Unknown => schema::Effect::Unknown,
        Effect::Ran => schema::Effect::Ran,
    }
}
