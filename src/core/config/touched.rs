//! The version that last changed each key of the document.
//!
//! Keys are tracked two levels deep (`services.filing`); a change further below counts as a change
//! of the second level. The table drops changes that are older than [`WINDOW`], so a change with an
//! older base is always refused.

use std::collections::BTreeMap;

use laburnum_derive::{message, name};
use serde_json::Value;

use super::change::Version;

/// The maximum number of versions between the base of a change and the version in force.
pub(super) const WINDOW: u64 = 4_096;

/// A tracked key of the document.
#[name]
pub(super) struct Path {
    pub(super) section: String,
    /// A member of the section, or `None` for the section itself.
    pub(super) member: Option<String>,
}

/// The version that last changed each key.
#[message]
#[derive(Default)]
pub(super) struct KeyVersions {
    versions: BTreeMap<Path, Version>,
    /// The version that last replaced the whole document.
    whole: Version,
    swept: Version,
}

/// Returns the keys that a merge patch changes.
pub(super) fn paths(patch: &Value) -> Vec<Path> {
    let mut paths = Vec::new();
    for (section, change) in patch.as_object().into_iter().flatten() {
        let path = |member| Path {
            section: section.clone(),
            member,
        };
        match change.as_object().filter(|members| !members.is_empty()) {
            Some(members) => paths.extend(members.keys().map(|key| path(Some(key.clone())))),
            None => paths.push(path(None)),
        }
    }
    paths
}

impl KeyVersions {
    /// Returns whether any of `paths` changed after `base`, given that `in_force` is the version in
    /// force; also returns `true` when `base` is outside the window.
    pub(super) fn is_changed_after(
        &self,
        base: Version,
        in_force: Version,
        paths: &[Path],
    ) -> bool {
        let is_outside_window = base.0.saturating_add(WINDOW) < in_force.0;
        is_outside_window || self.whole > base || paths.iter().any(|path| self.last(path) > base)
    }

    /// Records that `version` changed `paths`.
    pub(super) fn mark(&mut self, version: Version, paths: Vec<Path>) {
        for path in paths {
            self.versions.insert(path, version);
        }
        if version.0 >= self.swept.0 + WINDOW / 4 {
            self.sweep(version);
        }
    }

    /// Records that `version` replaced the whole document.
    pub(super) fn mark_whole(&mut self, version: Version) {
        self.versions.clear();
        self.whole = version;
    }

    /// Returns the last version that changed `path`, a key below it or the section that holds it.
    fn last(&self, path: &Path) -> Version {
        let section = Path {
            section: path.section.clone(),
            member: None,
        };
        if path.member.is_some() {
            let versions = [self.versions.get(path), self.versions.get(&section)];
            return versions
                .into_iter()
                .flatten()
                .copied()
                .max()
                .unwrap_or_default();
        }
        let below = self.versions.range(section..);
        let below = below.take_while(|(below, _)| below.section == path.section);
        below.map(|(_, version)| *version).max().unwrap_or_default()
    }

    fn sweep(&mut self, in_force: Version) {
        self.versions
            .retain(|_, version| version.0 + WINDOW >= in_force.0);
        self.swept = in_force;
    }
}
