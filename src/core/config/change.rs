//! The record by which an operator changes the document.

use std::fmt;

use laburnum_derive::{message, value};
use uuid::Uuid;

use crate::core::time::Stamp;

/// The format of changes and the checks of the document that this code applies.
pub const FORMAT: u32 = 1;

/// A version of the document: 0 is the empty document, each accepted change adds one.
#[value]
#[derive(Default)]
pub struct Version(pub u64);

/// A change, as it stands in the log.
#[message]
pub struct Change {
    /// Draws anew for each change; a change with the id of an accepted one is the same change sent
    /// twice.
    pub id: Uuid,
    /// The format that the change must be judged by.
    pub format: u32,
    /// The version that the change was made against.
    pub base: Version,
    /// Who made the change.
    pub author: String,
    /// When the change was made; for people only.
    pub at: Stamp,
    /// What changes.
    pub body: Body,
}

/// What changes.
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
