//! The body of a change, read.

use serde_json::Value;

use super::change::Body;
use super::fault::Fault;
use super::touched::{self, Path};

/// What a change does to the document.
pub(super) enum Edit {
    /// Replaces it.
    Whole(Value),
    /// Merges a patch into it.
    Patch(Value),
}

impl Edit {
    /// Reads the body of a change.
    ///
    /// # Errors
    ///
    /// Returns the fault of a body that isn't a JSON object.
    pub(super) fn read(body: &Body) -> Result<Edit, Vec<Fault>> {
        Ok(match body {
            Body::Whole(text) => Edit::Whole(parse(text)?),
            Body::Patch(text) => Edit::Patch(parse(text)?),
        })
    }

    /// Returns the keys that change, or `None` for all.
    pub(super) fn touched(&self) -> Option<Vec<Path>> {
        match self {
            Edit::Whole(_) => None,
            Edit::Patch(patch) => Some(touched::paths(patch)),
        }
    }
}

/// Reads a JSON object.
fn parse(text: &str) -> Result<Value, Vec<Fault>> {
    let value: Value = serde_json::from_str(text)
        .map_err(|error| vec![Fault::new("", error.to_string(), "write valid JSON")])?;
    if value.is_object() {
        return Ok(value);
    }
    Err(vec![Fault::new("", "is not an object", "write `{ ... }`")])
}
