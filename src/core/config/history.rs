//! The earlier versions that can be restored.
//!
//! For each version the patch that undoes it is kept, so the size of the history depends on the
//! size of the changes and not of the document.

use std::collections::VecDeque;

use laburnum_derive::message;
use serde_json::Value;

use super::change::{Change, Version};
use super::patch;
use crate::core::time::Stamp;

/// The maximum number of versions in the history.
pub const HISTORY: usize = 64;

/// The maximum size of the undo patches in the history, in bytes.
const HISTORY_BYTES: usize = 1 << 20;

/// One version in the history.
#[message]
pub struct Entry {
    /// The version.
    pub version: Version,
    /// The name of the operator who made the change.
    pub author: String,
    /// When the change was made.
    pub at: Stamp,
    /// The merge patch that restores the previous version, as JSON.
    undo: String,
}

/// The latest versions, at most [`HISTORY`].
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

    /// Adds a version that `undo` reverts; drops the oldest versions beyond the limits.
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

    /// Returns the document as it was `versions` versions ago, or `None` if that isn't kept.
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
