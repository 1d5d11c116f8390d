//! The versions that can be looked back to.
//!
//! Each version keeps the patch that undoes it, so the history costs what the changes cost, not
//! what the document does.

use std::collections::VecDeque;

use laburnum_derive::message;
use serde_json::Value;

use super::change::{Change, Version};
use super::patch;
use crate::core::time::Stamp;

/// How many versions can be looked back to.
pub const HISTORY: usize = 64;

/// How many bytes the history may take.
const HISTORY_BYTES: usize = 1 << 20;

/// One version in the history.
#[message]
pub struct Entry {
    /// The version.
    pub version: Version,
    /// Who made it.
    pub author: String,
    /// When it was made.
    pub at: Stamp,
    /// The merge patch back to the version before, as JSON.
    undo: String,
}

/// The last versions.
#[message]
#[derive(Default)]
pub(super) struct History {
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl History {
    /// Returns the versions, oldest first.
    pub(super) fn entries(&self) -> impl ExactSizeIterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Adds a version that `undo` leads back from; drops the oldest ones beyond the bounds.
    pub(super) fn push(&mut self, version: Version, change: &Change, undo: &Value) {
        let undo = undo.to_string();
        self.bytes += undo.len();
        self.entries.push_back(Entry {
            version,
            author: change.author.clone(),
            at: change.at,
            undo,
        });
        while self.entries.len() > HISTORY || self.bytes > HISTORY_BYTES {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= entry.undo.len();
        }
    }

    /// Returns the document as it was `versions` back, if that is kept.
    pub(super) fn go_back(&self, document: &Value, versions: u64) -> Option<Value> {
        let count = usize::try_from(versions).ok()?;
        if count > self.entries.len() {
            return None;
        }
        let mut document = document.clone();
        for entry in self.entries.iter().rev().take(count) {
            let undo = serde_json::from_str(&entry.undo).ok()?;
            patch::apply(&mut document, &undo);
        }
        Some(document)
    }
}
