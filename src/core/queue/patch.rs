//! Changes from one version of the queues to the next, in pages that entries send each other.
//!
//! A configuration may be much larger than a change of it, and than what a narrow link carries between two
//! heartbeats. An entry that is behind gets the changes since its version, a page for each request, so that
//! other messages pass between two pages and an interrupted transfer continues with the next page.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use laburnum_derive::{message, state};

use super::{Limits, QueueBinding, QueueTable};
use crate::core::account;
use crate::core::scheduler::spec::Queue;

/// The most changes in one page.
pub const PAGE_CHANGES: usize = 256;
/// The most steps between versions that an entry keeps for others.
const MAX_STEPS: usize = 16;
/// The most changes in all of the steps that an entry keeps.
const MAX_KEPT_CHANGES: usize = 8_192;

/// The host and the prefix of a binding.
type Key = (String, String);

/// A binding in a page. The rest of its queue stands in the template with this index.
#[message]
struct Binding {
    #[serde(rename = "h")]
    host: String,
    #[serde(rename = "p")]
    prefix: String,
    #[serde(rename = "n")]
    queue: String,
    #[serde(rename = "t")]
    template: u16,
}

/// What several bindings have in common.
#[message]
struct Template {
    /// The queue, with an empty name.
    queue: Queue,
    is_public: bool,
}

/// The client accounts of a version.
#[message]
enum Accounts {
    /// Those of the version before.
    Unchanged,
    /// Other ones.
    Changed(Option<account::Table>),
}

/// A part of the changes from one version to another.
#[message]
pub struct Page {
    /// The version that the changes are based on; `None` for an empty table.
    pub base: Option<u64>,
    /// The version that all changes together lead to.
    pub version: u64,
    /// The number of this page, from 0.
    pub number: usize,
    /// Whether no page follows.
    pub is_last: bool,
    limits: Limits,
    accounts: Accounts,
    removed: Vec<Key>,
    templates: Vec<Template>,
    bindings: Vec<Binding>,
}

/// The changes from one version to another, in the order of hosts and prefixes, so that two entries with the same
/// versions have the same pages.
#[state]
pub struct Patch {
    /// The version that the changes are based on; `None` for an empty table.
    pub base: Option<u64>,
    /// The version that the changes lead to.
    pub version: u64,
    limits: Limits,
    accounts: Accounts,
    removed: Vec<Key>,
    bindings: Vec<QueueBinding>,
}

impl Patch {
    /// Returns the changes that lead from `base`, or from an empty table, to `table`.
    pub fn between(base: Option<&QueueTable>, table: &QueueTable) -> Patch {
        let old = base.map(QueueTable::by_key).unwrap_or_default();
        let new = table.by_key();
        let is_removed = |key: &(&str, &str)| !new.contains_key(key);
        let removed = old.keys().copied().filter(is_removed);
        let is_changed =
            |(key, binding): &(&(&str, &str), &&QueueBinding)| old.get(*key) != Some(*binding);
        let changed = new.iter().filter(is_changed);
        let accounts = match base {
            Some(base) if base.accounts == table.accounts => Accounts::Unchanged,
            _ => Accounts::Changed(table.accounts.clone()),
        };
        Patch {
            base: base.map(|base| base.version),
            version: table.version,
            limits: table.limits.clone(),
            accounts,
            removed: removed.map(owned).collect(),
            bindings: changed.map(|(_, &binding)| binding.clone()).collect(),
        }
    }

    /// The number of bindings that change.
    pub fn len(&self) -> usize {
        self.removed.len() + self.bindings.len()
    }

    /// Whether no binding changes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the page with this number; the last page for a higher number.
    pub fn page(&self, number: usize) -> Page {
        let pages = self.len().div_ceil(PAGE_CHANGES).max(1);
        let number = number.min(pages - 1);
        let start = number * PAGE_CHANGES;
        let end = self.len().min(start + PAGE_CHANGES);
        let split = self.removed.len();
        let removed = &self.removed[start.min(split)..end.min(split)];
        let changed = &self.bindings[start.max(split) - split..end.max(split) - split];
        let mut templates = Vec::new();
        let bindings = changed
            .iter()
            .map(|binding| pack(binding, &mut templates))
            .collect();
        Page {
            base: self.base,
            version: self.version,
            number,
            is_last: number + 1 == pages,
            limits: self.limits.clone(),
            // The first page has them; the others would repeat them.
            accounts: match number {
                0 => self.accounts.clone(),
                _ => Accounts::Unchanged,
            },
            removed: removed.to_vec(),
            templates,
            bindings,
        }
    }
}

fn owned((host, prefix): (&str, &str)) -> Key {
    (host.to_owned(), prefix.to_owned())
}

fn pack(binding: &QueueBinding, templates: &mut Vec<Template>) -> Binding {
    let template = Template {
        queue: Queue {
            name: String::new(),
            ..binding.queue.clone()
        },
        is_public: binding.is_public,
    };
    let known = templates.iter().position(|known| *known == template);
    let index = known.unwrap_or_else(|| {
        templates.push(template);
        templates.len() - 1
    });
    Binding {
        host: binding.host.clone(),
        prefix: binding.prefix.clone(),
        queue: binding.queue.name.clone(),
        template: index as u16,
    }
}

/// The pages of one transfer that have arrived.
#[derive(Debug, Default)]
pub struct Transfer {
    pages: Vec<Page>,
}

impl Transfer {
    /// Returns the number of the page that comes next.
    pub fn next_page(&self) -> usize {
        self.pages.len()
    }

    /// Adds a page, and returns whether it was the one that comes next. A page of another transfer ends this one, and
    /// is the first of its own transfer if it has the number 0.
    pub fn add(&mut self, page: Page) -> bool {
        let belongs = self
            .pages
            .first()
            .is_none_or(|first| (first.base, first.version) == (page.base, page.version));
        if !belongs {
            self.pages.clear();
        }
        let is_next = page.number == self.pages.len();
        if is_next {
            self.pages.push(page);
        }
        is_next
    }

    /// Returns the table that the pages lead to; `None` while pages are missing or when they are based on another
    /// table than `base`.
    pub fn finish(&mut self, base: Option<&QueueTable>) -> Option<QueueTable> {
        let last = self.pages.last().filter(|page| page.is_last)?;
        let base = match last.base {
            Some(version) => Some(base.filter(|base| base.version == version)?),
            None => None,
        };
        let pages = std::mem::take(&mut self.pages);
        apply(base, pages)
    }
}

fn apply(base: Option<&QueueTable>, pages: Vec<Page>) -> Option<QueueTable> {
    let mut bindings: HashMap<Key, QueueBinding> = HashMap::new();
    for (key, binding) in base.map(QueueTable::by_key).unwrap_or_default() {
        bindings.insert(owned(key), binding.clone());
    }
    let first = pages.first()?;
    let version = first.version;
    let limits = first.limits.clone();
    let accounts = match &first.accounts {
        Accounts::Unchanged => base?.accounts.clone(),
        Accounts::Changed(accounts) => accounts.clone(),
    };
    for page in pages {
        for key in &page.removed {
            bindings.remove(key);
        }
        for packed in page.bindings {
            let binding = unpack(packed, &page.templates)?;
            bindings.insert(owned(binding.key()), binding);
        }
    }
    let bindings = bindings.into_values().collect();
    Some(QueueTable::new(version, limits, bindings, accounts))
}

fn unpack(packed: Binding, templates: &[Template]) -> Option<QueueBinding> {
    let template = templates.get(usize::from(packed.template))?;
    let mut queue = template.queue.clone();
    queue.name = packed.queue;
    Some(QueueBinding {
        host: packed.host,
        prefix: packed.prefix,
        queue,
        is_public: template.is_public,
    })
}

/// The latest versions that an entry has had, as steps from one to the next.
#[derive(Debug, Default)]
pub struct History {
    steps: VecDeque<Arc<Patch>>,
    /// All of the present version, if an entry has asked for it.
    whole: Option<Arc<Patch>>,
}

impl History {
    /// Notes that `table` follows `base`.
    pub fn push(&mut self, base: Option<&QueueTable>, table: &QueueTable) {
        self.whole = None;
        if base.is_none() {
            return;
        }
        self.steps.push_back(Arc::new(Patch::between(base, table)));
        while self.steps.len() > MAX_STEPS || self.kept_changes() > MAX_KEPT_CHANGES {
            self.steps.pop_front();
        }
    }

    fn kept_changes(&self) -> usize {
        self.steps.iter().map(|step| step.len()).sum()
    }

    /// Returns the changes that an entry with the version `known` needs next to get to `table`, the present
    /// version; `None` if it needs none.
    pub fn next_step(&mut self, known: Option<u64>, table: &QueueTable) -> Option<Arc<Patch>> {
        if known >= Some(table.version) {
            return None;
        }
        let step = self.steps.iter().find(|step| step.base == known);
        if let Some(step) = step.filter(|_| known.is_some()) {
            return Some(Arc::clone(step));
        }
        let whole = self
            .whole
            .get_or_insert_with(|| Arc::new(Patch::between(None, table)));
        Some(Arc::clone(whole))
    }
}
