//! Reading the fields of a JSON object and collecting all faults.

use std::ops::RangeInclusive;

use serde_json::{Map, Value};

use super::fault::{Fault, add};

/// The maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// An object whose fields are read one by one; [`close`](Object::close) reports fields that weren't
/// read as faults.
pub(super) struct Object<'a> {
    path: String,
    map: Option<&'a Map<String, Value>>,
    read: Vec<&'static str>,
}

impl<'a> Object<'a> {
    /// Opens `value` at `path`; an absent value is treated as an empty object.
    pub(super) fn open(path: String, value: Option<&'a Value>, faults: &mut Vec<Fault>) -> Self {
        let map = value.and_then(Value::as_object);
        if value.is_some() && map.is_none() {
            add(
                faults,
                Fault::new(&path, "is not an object", "write `{ ... }`"),
            );
        }
        Object {
            path,
            map,
            read: Vec::new(),
        }
    }

    /// Returns an object without fields.
    pub(super) fn empty() -> Object<'static> {
        Object {
            path: String::new(),
            map: None,
            read: Vec::new(),
        }
    }

    /// Returns the path of the field `key`.
    pub(super) fn path(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Returns the value of the field `key`.
    pub(super) fn value(&mut self, key: &'static str) -> Option<&'a Value> {
        self.read.push(key);
        self.map?.get(key)
    }

    /// Opens the object in the field `key`.
    pub(super) fn object(&mut self, key: &'static str, faults: &mut Vec<Fault>) -> Object<'a> {
        let value = self.value(key);
        Object::open(self.path(key), value, faults)
    }

    /// Returns the members of an object whose keys are names chosen by operators; more than `limit`
    /// members and invalid names are faults.
    pub(super) fn members(
        &self,
        limit: usize,
        faults: &mut Vec<Fault>,
    ) -> impl Iterator<Item = (&'a String, &'a Value)> + use<'a> {
        let count = self.map.map_or(0, Map::len);
        if count > limit {
            let problem = format!("has {count} members");
            let remedy = format!("keep at most {limit}");
            add(faults, Fault::new(&self.path, problem, remedy));
        }
        for key in self.map.into_iter().flat_map(Map::keys) {
            check_name(&self.path(key), key, faults);
        }
        self.map.into_iter().flat_map(Map::iter)
    }

    /// Reads a whole number within `range`; returns `default` if it is absent or invalid.
    pub(super) fn number(
        &mut self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
        faults: &mut Vec<Fault>,
    ) -> u64 {
        let Some(value) = self.value(key) else {
            return default;
        };
        let number = value.as_u64().filter(|number| range.contains(number));
        if number.is_none() {
            let remedy = format!(
                "write a whole number from {} to {}",
                range.start(),
                range.end()
            );
            add(
                faults,
                Fault::new(&self.path(key), format!("is {}", truncated(value)), remedy),
            );
        }
        number.unwrap_or(default)
    }

    /// Reads a name, if the field is present.
    pub(super) fn name(&mut self, key: &'static str, faults: &mut Vec<Fault>) -> Option<String> {
        let value = self.value(key)?;
        let path = self.path(key);
        let Some(text) = value.as_str() else {
            add(
                faults,
                Fault::new(&path, format!("is {}", truncated(value)), "write a name"),
            );
            return None;
        };
        check_name(&path, text, faults);
        Some(text.to_owned())
    }

    /// Reads a list of at most `limit` distinct method names.
    pub(super) fn names(
        &mut self,
        key: &'static str,
        limit: usize,
        faults: &mut Vec<Fault>,
    ) -> Vec<String> {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let path = self.path(key);
        let Some(items) = value.as_array().filter(|items| items.len() <= limit) else {
            let remedy = format!("write a list of at most {limit} names");
            add(faults, Fault::new(&path, "is not a valid list", remedy));
            return Vec::new();
        };
        let mut names: Vec<String> = Vec::with_capacity(items.len());
        for (index, item) in items.iter().enumerate() {
            let path = format!("{path}[{index}]");
            match item.as_str() {
                None => add(
                    faults,
                    Fault::new(&path, format!("is {}", truncated(item)), "write a name"),
                ),
                Some(text) if names.iter().any(|name| name == text) => {
                    add(faults, Fault::new(&path, "is listed twice", "remove it"));
                }
                Some(text) => {
                    check_method(&path, text, faults);
                    names.push(text.to_owned());
                }
            }
        }
        names
    }

    /// Adds a fault for each field that wasn't read.
    pub(super) fn close(self, faults: &mut Vec<Fault>) {
        for key in self.map.into_iter().flat_map(Map::keys) {
            if !self.read.contains(&key.as_str()) {
                let remedy = format!("use one of: {}", self.read.join(", "));
                add(
                    faults,
                    Fault::new(&self.path(key), "is not a known field", remedy),
                );
            }
        }
    }
}

/// Checks a name that operators choose: lower-case letters, digits and hyphens.
pub(super) fn check_name(path: &str, text: &str, faults: &mut Vec<Fault>) {
    let fits = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.chars().all(fits) {
        let remedy = format!("use 1 to {MAX_NAME_BYTES} of a-z, 0-9 and `-`");
        add(faults, Fault::new(path, "is not a name", remedy));
    }
}

/// Checks the name of a method: letters, digits, and `_`, `-`, `.` or `/`.
fn check_method(path: &str, text: &str, faults: &mut Vec<Fault>) {
    let fits = |c: char| c.is_ascii_alphanumeric() || "_-./".contains(c);
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.chars().all(fits) {
        let remedy = format!("use 1 to {MAX_NAME_BYTES} letters, digits, `_`, `-`, `.` or `/`");
        add(faults, Fault::new(path, "is not a method name", remedy));
    }
}

/// Returns a value as JSON, truncated to 40 characters.
fn truncated(value: &Value) -> String {
    const CHARS: usize = 40;
    let text = value.to_string();
    if text.chars().count() <= CHARS {
        return text;
    }
    let start: String = text.chars().take(CHARS).collect();
    format!("{start}...")
}
