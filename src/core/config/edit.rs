//! The parsed body of a change.

use serde_json::Value;

use super::change::Body;
use super::fault::Fault;
use super::touched::{self, Path};

/// The effect of a change on the document.
pub(super) enum Edit {
    /// Replaces the document.
    Whole(Value),
    /// Merges a patch into the document.
    Patch(Value),
}

impl Edit {
    /// Parses the body of a change.
    ///
    /// # Errors
    ///
    /// Returns one fault when the body isn't a JSON object.
    pub(super) fn parse(body: &Body) -> Result<Edit, Vec<Fault>> {
        Ok(match body {
            Body::Whole(text) => Edit::Whole(parse_object(text)?),
            Body::Patch(text) => Edit::Patch(parse_object(text)?),
        })
    }

    /// Returns the keys that the change modifies, or `None` for all keys.
    pub(super) fn touched(&self) -> Option<Vec<Path>> {
        match self {
            Edit::Whole(_) => None,
            Edit::Patch(patch) => Some(touched::paths(patch)),
        }
    }
}

/// Parses a JSON object.
fn parse_object(text: &str) -> Result<Value, Vec<Fault>> {
    let value: Value = serde_json::from_str(text)
        .map_err(|error| vec![Fault::new("", error.to_string(), "write valid JSON")])?;
    if value.is_object() {
        return Ok(value);
    }
    Err(vec![Fault::new("", "is not an object", "write `{ ... }`")])
}
