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
use super::touched::{self, Path, Touched};
use super::verdict::{Place, Verdict};
use crate::core::error::{Error, Kind, Result};
use crate::core::stream::Record;

/// The mechanisms of this module, each of which a test can switch off.
#[doc(hidden)]
#[value]
pub struct Rules {
    /// Refuse a change whose keys changed after its base.
    pub base: bool,
    /// Ignore records and states that are older than what was applied.
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

/// Everything that a verdict depends on, for snapshots and peers.
#[message]
pub struct State {
    version: Version,
    place: Place,
    document: String,
    touched: Touched,
    accepted: BTreeMap<Uuid, Version>,
    history: History,
}

/// A change that was put into the document and has no faults.
struct Tried {
    config: Config,
    size: usize,
    undo: Value,
}

/// Applies changes in the order of the log.
#[derive(Clone, Debug)]
pub struct Store {
    version: Version,
    place: Place,
    document: Value,
    /// At least the size of the document as compact JSON, in bytes.
    size: usize,
    config: Arc<Config>,
    touched: Touched,
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
            touched: Touched::default(),
            accepted: BTreeMap::new(),
            history: History::default(),
            blocked: false,
            rules: Rules::default(),
        }
    }
}

impl Store {
    /// Makes a store of version 0 under `rules`.
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

    /// Returns the place of the last record that was judged.
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

    /// Returns whether a record of a newer format was met, so that nothing is applied any more.
    pub fn is_blocked(&self) -> bool {
        self.blocked
    }

    /// Returns the versions that can be looked back to, oldest first.
    pub fn history(&self) -> impl ExactSizeIterator<Item = &Entry> {
        self.history.entries()
    }

    /// Judges the next record of the stream and puts it in force if it is accepted.
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
        self.judge(&record.value)
    }

    /// Says what the verdict on `change` would be if it were the next record.
    ///
    /// An entry VM refuses at once what is bound to be refused. The cost is that of a verdict.
    pub fn preview(&mut self, change: &Change) -> Verdict {
        if self.blocked || change.format > FORMAT {
            return Verdict::Unsupported;
        }
        let edit = match self.admit(change) {
            Ok(edit) => edit,
            Err(verdict) => return verdict,
        };
        match self.attempt(edit) {
            Ok(tried) => {
                patch::apply(&mut self.document, &tried.undo);
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
        let back = self.version.0.checked_sub(version.0);
        let document = back.and_then(|back| self.history.go_back(&self.document, back));
        document.ok_or_else(|| {
            let message = format!("version {version} is not kept; see the history");
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

    /// Returns the state for a snapshot or a peer, or `None` when the store is blocked and so
    /// behind its reader.
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

    /// Moves on to a state from a snapshot or a peer; returns `false` and changes nothing when the
    /// state is older than this store's.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::InvalidConfig`] when the state's document can't be read, and changes
    /// nothing then.
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

    fn judge(&mut self, change: &Change) -> Verdict {
        let edit = match self.admit(change) {
            Ok(edit) => edit,
            Err(verdict) => return verdict,
        };
        let touched = edit.touched();
        match self.attempt(edit) {
            Ok(tried) => self.accept(change, touched, tried),
            Err(faults) => Verdict::Invalid(faults),
        }
    }

    /// Reads the change; fails with the verdict if that is clear before trying.
    fn admit(&self, change: &Change) -> std::result::Result<Edit, Verdict> {
        if let Some(version) = self.accepted.get(&change.id) {
            return Err(Verdict::Repeated(*version));
        }
        let edit = Edit::read(&change.body).map_err(Verdict::Invalid)?;
        if self.rules.base && self.is_overtaken(change.base, &edit) {
            let in_force = self.version;
            return Err(Verdict::Conflict { in_force });
        }
        Ok(edit)
    }

    fn is_overtaken(&self, base: Version, edit: &Edit) -> bool {
        match edit.touched() {
            None => base != self.version,
            Some(_) if base > self.version => true,
            Some(paths) => self.touched.is_changed_after(base, self.version, &paths),
        }
    }

    /// Puts the change into the document; leaves the document as it was when there are faults.
    fn attempt(&mut self, edit: Edit) -> std::result::Result<Tried, Vec<Fault>> {
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
            Ok((config, size)) => Ok(Tried { config, size, undo }),
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

    /// Checks the document after a patch, at the cost of what changed.
    fn check_patched(&self, patch: &Value) -> std::result::Result<(Config, usize), Vec<Fault>> {
        // A patch adds no more than its own size, so the sum only has to be counted anew near the
        // limit.
        let bound = self.size + size::size(patch);
        if size::check(bound).is_err() {
            return self.check();
        }
        let config = self.config.amend(&self.document, &touched::paths(patch))?;
        Ok((config, bound))
    }

    fn accept(&mut self, change: &Change, touched: Option<Vec<Path>>, tried: Tried) -> Verdict {
        self.version = self.version.next();
        self.config = Arc::new(tried.config);
        self.size = tried.size;
        match touched {
            None => self.touched.mark_whole(self.version),
            Some(paths) => self.touched.mark(self.version, paths),
        }
        self.accepted.insert(change.id, self.version);
        if self.version.0.is_multiple_of(touched::WINDOW / 4) {
            let floor = self.version.0.saturating_sub(touched::WINDOW);
            self.accepted.retain(|_, version| version.0 >= floor);
        }
        self.history.push(self.version, change, &tried.undo);
        Verdict::Accepted(self.version)
    }
}

fn join(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
