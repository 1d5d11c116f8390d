//! The document in force and the verdict on each change.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::Arc;

use laburnum_derive::{message, value};
use serde_json::{Map, Value};
use uuid::Uuid;

use super::change::{Body, Change, FORMAT, Version};
use super::document::{Config, DOCUMENT_BYTES};
use super::fault::Fault;
use super::patch;
use super::touched::{self, Touched};
use crate::core::error::{Error, Kind, Result};
use crate::core::stream::{Record, Sequence};
use crate::core::time::Stamp;

/// How many versions can be looked back to.
pub const HISTORY: usize = 64;

/// How many bytes the history may take.
const HISTORY_BYTES: usize = 1 << 20;

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

/// Where a change stands in the stream.
#[value]
#[derive(Default)]
pub struct Place {
    /// The offset of its batch.
    pub offset: u64,
    /// Its sequence number; from 1, so the default stands before every change.
    pub sequence: Option<Sequence>,
}

/// What became of a change; the same on every node.
#[message]
pub enum Verdict {
    /// The change is in force as this version.
    Accepted(Version),
    /// The same change was accepted before, as this version.
    Repeated(Version),
    /// What the change touches was changed after its base.
    Conflict {
        /// The version in force.
        in_force: Version,
    },
    /// The document would have faults.
    Invalid(Vec<Fault>),
    /// The change stands before the last one applied.
    Stale,
    /// The change has a format that this code doesn't know; nothing is applied from here on, until
    /// the daemon is replaced by a newer one.
    Unsupported,
}

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

/// Everything that a verdict depends on, for snapshots and peers.
#[message]
pub struct State {
    version: Version,
    place: Place,
    document: String,
    touched: Touched,
    accepted: BTreeMap<Uuid, Version>,
    history: VecDeque<Entry>,
}

/// Applies changes in the order of the log.
#[derive(Clone, Debug)]
pub struct Store {
    version: Version,
    place: Place,
    document: Value,
    config: Arc<Config>,
    touched: Touched,
    accepted: BTreeMap<Uuid, Version>,
    history: VecDeque<Entry>,
    history_bytes: usize,
    blocked: bool,
    rules: Rules,
}

impl Default for Store {
    fn default() -> Store {
        Store {
            version: Version::default(),
            place: Place::default(),
            document: Value::Object(Map::new()),
            config: Arc::default(),
            touched: Touched::default(),
            accepted: BTreeMap::new(),
            history: VecDeque::new(),
            history_bytes: 0,
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
        self.history.iter()
    }

    /// Judges the next record of the stream and puts it in force if it is accepted.
    pub fn apply(&mut self, record: &Record<Change>) -> Verdict {
        let place = Place {
            offset: record.offset,
            sequence: Some(record.id.sequence),
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
        if let Some(refusal) = self.refusal(change) {
            return refusal;
        }
        match self.attempt(change) {
            Ok((_, undo)) => {
                patch::apply(&mut self.document, &undo);
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
        let back = back.filter(|back| *back <= self.history.len() as u64);
        let Some(back) = back else {
            let message = format!("version {version} is not kept; see the history");
            return Err(Error::new(Kind::NotFound, message));
        };
        let mut document = self.document.clone();
        for entry in self.history.iter().rev().take(back as usize) {
            let undo = serde_json::from_str(&entry.undo).map_err(internal)?;
            patch::apply(&mut document, &undo);
        }
        Ok(document)
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
        self.document = document;
        self.config = Arc::new(config);
        self.touched = state.touched;
        self.accepted = state.accepted;
        self.history_bytes = state.history.iter().map(|entry| entry.undo.len()).sum();
        self.history = state.history;
        Ok(true)
    }

    fn judge(&mut self, change: &Change) -> Verdict {
        if let Some(refusal) = self.refusal(change) {
            return refusal;
        }
        match self.attempt(change) {
            Ok((config, undo)) => self.accept(change, config, &undo),
            Err(faults) => Verdict::Invalid(faults),
        }
    }

    /// Returns the verdict if it doesn't depend on what the change holds.
    fn refusal(&self, change: &Change) -> Option<Verdict> {
        if let Some(version) = self.accepted.get(&change.id) {
            return Some(Verdict::Repeated(*version));
        }
        (self.rules.base && self.is_overtaken(change)).then_some(Verdict::Conflict {
            in_force: self.version,
        })
    }

    fn is_overtaken(&self, change: &Change) -> bool {
        match &change.body {
            Body::Whole(_) => change.base != self.version,
            Body::Patch(_) if change.base > self.version => true,
            Body::Patch(text) => {
                let patch = serde_json::from_str(text).unwrap_or_default();
                let paths = touched::paths(&patch);
                self.touched
                    .is_changed_after(change.base, self.version, &paths)
            }
        }
    }

    /// Puts the change into the document; leaves the document as it was when there are faults.
    fn attempt(&mut self, change: &Change) -> std::result::Result<(Config, Value), Vec<Fault>> {
        let undo = match &change.body {
            Body::Whole(text) => {
                let next = parse(text)?;
                let undo = patch::diff(&next, &self.document);
                self.document = next;
                undo
            }
            Body::Patch(text) => patch::apply(&mut self.document, &parse(text)?),
        };
        let checked = check(&self.document);
        match checked {
            Ok(config) => Ok((config, undo)),
            Err(faults) => {
                patch::apply(&mut self.document, &undo);
                Err(faults)
            }
        }
    }

    fn accept(&mut self, change: &Change, config: Config, undo: &Value) -> Verdict {
        self.version = self.version.next();
        self.config = Arc::new(config);
        match &change.body {
            Body::Whole(_) => self.touched.mark_whole(self.version),
            Body::Patch(text) => {
                let patch = serde_json::from_str(text).unwrap_or_default();
                self.touched.mark(self.version, touched::paths(&patch));
            }
        }
        self.remember(change, undo.to_string());
        Verdict::Accepted(self.version)
    }

    fn remember(&mut self, change: &Change, undo: String) {
        self.accepted.insert(change.id, self.version);
        if self.version.0.is_multiple_of(touched::WINDOW / 4) {
            let floor = self.version.0.saturating_sub(touched::WINDOW);
            self.accepted.retain(|_, version| version.0 >= floor);
        }
        self.history_bytes += undo.len();
        self.history.push_back(Entry {
            version: self.version,
            author: change.author.clone(),
            at: change.at,
            undo,
        });
        while self.history.len() > HISTORY || self.history_bytes > HISTORY_BYTES {
            let Some(entry) = self.history.pop_front() else {
                return;
            };
            self.history_bytes -= entry.undo.len();
        }
    }
}

/// Reads a JSON object.
fn parse(text: &str) -> std::result::Result<Value, Vec<Fault>> {
    let value: Value = serde_json::from_str(text)
        .map_err(|error| vec![Fault::new("", error.to_string(), "write valid JSON")])?;
    if value.is_object() {
        return Ok(value);
    }
    Err(vec![Fault::new("", "is not an object", "write `{ ... }`")])
}

/// Checks the size and the fields of a document.
fn check(document: &Value) -> std::result::Result<Config, Vec<Fault>> {
    let size = size(document);
    if size > DOCUMENT_BYTES {
        let problem = format!("has {size} bytes");
        let remedy = format!("keep it within {DOCUMENT_BYTES} bytes");
        return Err(vec![Fault::new("", problem, remedy)]);
    }
    Config::parse(document)
}

/// Returns how many bytes a value has as compact JSON.
fn size(value: &Value) -> usize {
    struct Count(usize);
    impl io::Write for Count {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.0 += bytes.len();
            Ok(bytes.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let mut count = Count(0);
    // Writing to a counter can't fail, nor has a JSON value keys that aren't strings.
    let _ = serde_json::to_writer(&mut count, value);
    count.0
}

fn join(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[allow(clippy::needless_pass_by_value, reason = "used by map_err")]
fn internal(error: serde_json::Error) -> Error {
    Error::new(
        Kind::Internal,
        format!("the history can't be read: {error}"),
    )
}
