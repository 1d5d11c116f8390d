//! The record with which an operator changes the configuration document.

use std::fmt;

use laburnum_derive::{message, value};
use uuid::Uuid;

use crate::core::time::Stamp;

/// The version of the encoding of changes and of the checks on the document in this code.
pub const FORMAT: u32 = 1;

/// A version of the document: 0 is the empty document, and each accepted change adds 1.
#[value]
#[derive(Default)]
pub struct Version(pub u64);

/// A change as it is stored in the log.
#[message]
pub struct Change {
    /// A random id of the change; a second change with the id of an accepted one is a duplicate of
    /// it.
    pub id: Uuid,
    /// The [`FORMAT`] of the writer, under which the change must be checked.
    pub format: u32,
    /// The version that the change is based on.
    pub base: Version,
    /// The name of the operator who made the change.
    pub author: String,
    /// When the change was made; only for display.
    pub at: Stamp,
    /// The new content.
    pub body: Body,
}

/// The content of a change.
#[message]
pub enum Body {
    /// The whole document, as JSON.
    Whole(String),
    /// A JSON merge patch (RFC 7396) that holds an object.
    Patch(String),
}

impl Version {
    /// Returns the version after this one.
    pub fn next(self) -> Version {
        Version(self.0 + 1)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(out)
    }
}
