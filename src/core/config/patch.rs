//! JSON merge patches (RFC 7396).
//!
//! A document never holds `null`, so a patch exists from any document to any other.

use serde_json::{Map, Value};

/// Applies `patch` to `target` in place and returns the patch that undoes it.
pub fn apply(target: &mut Value, patch: &Value) -> Value {
    let Value::Object(changes) = patch else {
        return std::mem::replace(target, patch.clone());
    };
    if let Value::Object(members) = target {
        return merge(members, changes);
    }
    let mut members = Map::new();
    merge(&mut members, changes);
    std::mem::replace(target, Value::Object(members))
}

/// Returns the patch that turns `from` into `to`.
pub fn diff(from: &Value, to: &Value) -> Value {
    let (Value::Object(old), Value::Object(new)) = (from, to) else {
        return to.clone();
    };
    let mut changes = Map::new();
    for key in old.keys().filter(|key| !new.contains_key(*key)) {
        changes.insert(key.clone(), Value::Null);
    }
    for (key, value) in new {
        match old.get(key) {
            Some(before) if before == value => {}
            Some(before) => {
                changes.insert(key.clone(), diff(before, value));
            }
            None => {
                changes.insert(key.clone(), value.clone());
            }
        }
    }
    Value::Object(changes)
}

/// Merges `changes` into `members` and returns the patch that undoes it.
fn merge(members: &mut Map<String, Value>, changes: &Map<String, Value>) -> Value {
    let mut undo = Map::new();
    for (key, change) in changes {
        if change.is_null() {
            if let Some(before) = members.remove(key) {
                undo.insert(key.clone(), before);
            }
        } else if let Some(member) = members.get_mut(key) {
            undo.insert(key.clone(), apply(member, change));
        } else {
            let mut member = Value::Null;
            apply(&mut member, change);
            members.insert(key.clone(), member);
            undo.insert(key.clone(), Value::Null);
        }
    }
    Value::Object(undo)
}
