//! The document in force and the verdict on each change.

use std::collections::BTreeMap;
use std::sync::Arc;

use laburnum_derive::{message, value};
use serde_json::{Map, Value};
use uuid::Uuid;

use super::change::{Change, FORMAT, Version};
use super::document::Config;
use super::edit::Edit;
use super::fault::Fault;
use super::history::{Entry, History};
use super::patch;
use super::size;
use super::touched::{self, KeyVersions, Path};
use super::verdict::{Place, Verdict};
use crate::core::error::{Error, Kind, Result};
use crate::core::stream::Record;

/// The checks of this module, each of which a test can switch off.
#[doc(hidden)]
#[value]
pub struct Rules {
    /// Refuse a change if another change modified the same keys after its base.
    pub base: bool,
    /// Ignore records and states that are older than the last applied record.
    pub forward: bool,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            base: true,
            forward: true,
        }
    }
}

/// The state of a [`Store`] that verdicts depend on, as sent to peers and stored in snapshots.
#[message]
pub struct State {
    version: Version,
    place: Place,
    document: String,
    touched: KeyVersions,
    accepted: BTreeMap<Uuid, Version>,
    history: History,
}

/// The result of a change that was applied to the document and has no faults.
struct Applied {
    config: Config,
    size: usize,
    undo: Value,
}

/// Holds the document in force and applies changes to it in the order of the log.
#[derive(Clone, Debug)]
pub struct Store {
    version: Version,
    place: Place,
    document: Value,
    /// An upper bound of the size of the document as compact JSON, in bytes.
    size: usize,
    config: Arc<Config>,
    touched: KeyVersions,
    accepted: BTreeMap<Uuid, Version>,
    history: History,
    blocked: bool,
    rules: Rules,
}

impl Default for Store {
    fn default() -> Store {
        Store {
            version: Version::default(),
            place: Place::default(),
            document: Value::Object(Map::new()),
            size: "{}".len(),
            config: Arc::default(),
            touched: KeyVersions::default(),
            accepted: BTreeMap::new(),
            history: History::default(),
            blocked: false,
            rules: Rules::default(),
        }
    }
}

impl Store {
    /// Creates a store at version 0 that applies `rules`.
    #[doc(hidden)]
    pub fn with_rules(rules: Rules) -> Store {
        Store {
            rules,
            ..Store::default()
        }
    }

    /// Returns the version in force.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the place of the last record that was applied or refused.
    pub fn place(&self) -> Place {
        self.place
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the document in force.
    pub fn document(&self) -> &Value {
        &self.document
    }

    /// Returns whether a record of a newer format was read, after which nothing is applied any
    /// more.
    pub fn is_blocked(&self) -> bool {
        self.blocked
    }

    /// Returns the versions in the history, oldest first.
    pub fn history(&self) -> impl ExactSizeIterator<Item = &Entry> {
        self.history.entries()
    }

    /// Returns the verdict on the next record of the stream, and applies it if it is accepted.
    pub fn apply(&mut self, record: &Record<Change>) -> Verdict {
        let place = Place {
            offset: record.offset,
            index: Some(record.index),
        };
        if self.blocked {
            return Verdict::Unsupported;
        }
        if self.rules.forward && place <= self.place {
            return Verdict::Stale;
        }
        if record.value.format > FORMAT {
            self.blocked = true;
            return Verdict::Unsupported;
        }
        self.place = place;
        self.evaluate(&record.value)
    }

    /// Returns the verdict that `change` would get if it were the next record, without applying it.
    ///
    /// With this an entry VM refuses at once a change that is certain to be refused. It costs as
    /// much as [`apply`](Store::apply).
    pub fn preview(&mut self, change: &Change) -> Verdict {
        if self.blocked || change.format > FORMAT {
            return Verdict::Unsupported;
        }
        let edit = match self.admit(change) {
            Ok(edit) => edit,
            Err(verdict) => return verdict,
        };
        match self.apply_edit(edit) {
            Ok(applied) => {
                patch::apply(&mut self.document, &applied.undo);
                Verdict::Accepted(self.version.next())
            }
            Err(faults) => Verdict::Invalid(faults),
        }
    }

    /// Returns the document as of `version`.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::NotFound`] for a version that is not in force yet or no longer kept.
    pub fn document_at(&self, version: Version) -> Result<Value> {
        let age = self.version.0.checked_sub(version.0);
        let document = age.and_then(|age| self.history.go_back(&self.document, age));
        document.ok_or_else(|| {
            let message =
                format!("version {version} is not kept; list the history for those that are");
            Error::new(Kind::NotFound, message)
        })
    }

    /// Returns the merge patch from one version to another.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::NotFound`] for a version that is not in force yet or no longer kept.
    pub fn diff(&self, from: Version, to: Version) -> Result<Value> {
        Ok(patch::diff(
            &self.document_at(from)?,
            &self.document_at(to)?,
        ))
    }

    /// Returns the state for a snapshot or a peer, or `None` when the store is blocked and
    /// therefore behind its reader.
    pub fn state(&self) -> Option<State> {
        (!self.blocked).then(|| State {
            version: self.version,
            place: self.place,
            document: self.document.to_string(),
            touched: self.touched.clone(),
            accepted: self.accepted.clone(),
            history: self.history.clone(),
        })
    }

    /// Replaces the state by one from a snapshot or a peer; returns `false` and changes nothing
    /// when that one is older than this store's.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::InvalidConfig`] and changes nothing when the state's document is not
    /// valid.
    pub fn restore(&mut self, state: State) -> Result<bool> {
        if self.rules.forward && state.place < self.place {
            return Ok(false);
        }
        let invalid = |text: String| Error::new(Kind::InvalidConfig, text);
        let document: Value =
            serde_json::from_str(&state.document).map_err(|error| invalid(error.to_string()))?;
        let config = Config::parse(&document).map_err(|faults| invalid(join(&faults)))?;
        self.version = state.version;
        self.place = state.place;
        self.size = size::size(&document);
        self.document = document;
        self.config = Arc::new(config);
        self.touched = state.touched;
        self.accepted = state.accepted;
        self.history = state.history;
        Ok(true)
    }

    fn evaluate(&mut self, change: &Change) -> Verdict {
        let edit = match self.admit(change) {
            Ok(edit) => edit,
            Err(verdict) => return verdict,
        };
        let touched = edit.touched();
        match self.apply_edit(edit) {
            Ok(applied) => self.accept(change, touched, applied),
            Err(faults) => Verdict::Invalid(faults),
        }
    }

    /// Parses the change; fails with the verdict if the change is refused without applying it.
    fn admit(&self, change: &Change) -> std::result::Result<Edit, Verdict> {
        if let Some(version) = self.accepted.get(&change.id) {
            return Err(Verdict::Repeated(*version));
        }
        let edit = Edit::parse(&change.body).map_err(Verdict::Invalid)?;
        if self.rules.base && self.has_conflict(change.base, &edit) {
            let in_force = self.version;
            return Err(Verdict::Conflict { in_force });
        }
        Ok(edit)
    }

    /// Returns whether a key of the edit was changed after `base`.
    fn has_conflict(&self, base: Version, edit: &Edit) -> bool {
        match edit.touched() {
            None => base != self.version,
            Some(_) if base > self.version => true,
            Some(paths) => self.touched.is_changed_after(base, self.version, &paths),
        }
    }

    /// Applies the change to the document; leaves the document unchanged when there are faults.
    fn apply_edit(&mut self, edit: Edit) -> std::result::Result<Applied, Vec<Fault>> {
        let (undo, checked) = match edit {
            Edit::Whole(next) => {
                let undo = patch::diff(&next, &self.document);
                self.document = next;
                (undo, self.check())
            }
            Edit::Patch(patch) => {
                let undo = patch::apply(&mut self.document, &patch);
                (undo, self.check_patched(&patch))
            }
        };
        match checked {
            Ok((config, size)) => Ok(Applied { config, size, undo }),
            Err(faults) => {
                patch::apply(&mut self.document, &undo);
                Err(faults)
            }
        }
    }

    /// Checks the document; returns its typed form and its size.
    fn check(&self) -> std::result::Result<(Config, usize), Vec<Fault>> {
        let size = size::size(&self.document);
        size::check(size)?;
        Ok((Config::parse(&self.document)?, size))
    }

    /// Checks the document after a patch; parses only the members that changed where possible.
    fn check_patched(&self, patch: &Value) -> std::result::Result<(Config, usize), Vec<Fault>> {
        // A patch adds at most its own size, so the document has to be measured only when the sum
        // exceeds the limit.
        let bound = self.size + size::size(patch);
        if size::check(bound).is_err() {
            return self.check();
        }
        let config = self
            .config
            .parse_changed(&self.document, &touched::paths(patch))?;
        Ok((config, bound))
    }

    /// Puts a change in force as the next version.
    fn accept(&mut self, change: &Change, touched: Option<Vec<Path>>, applied: Applied) -> Verdict {
        self.version = self.version.next();
        self.config = Arc::new(applied.config);
        self.size = applied.size;
        match touched {
            None => self.touched.mark_whole(self.version),
            Some(paths) => self.touched.mark(self.version, paths),
        }
        self.accepted.insert(change.id, self.version);
        if self.version.0.is_multiple_of(touched::WINDOW / 4) {
            let floor = self.version.0.saturating_sub(touched::WINDOW);
            self.accepted.retain(|_, version| version.0 >= floor);
        }
        self.history.push(self.version, change, &applied.undo);
        Verdict::Accepted(self.version)
    }
}

/// Returns the faults as text, one per line.
fn join(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
