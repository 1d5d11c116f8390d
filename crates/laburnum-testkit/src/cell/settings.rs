//! The settings files of a cell's daemons.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// The settings that differ between the daemons of a cell, and the addresses of the platform.
pub(super) struct Entry<'a> {
    pub(super) vm: u32,
    pub(super) data_centre: &'a str,
    pub(super) listen: SocketAddr,
    pub(super) log: SocketAddr,
    pub(super) vms: SocketAddr,
}

/// Returns the settings of one daemon, with the fields of `overrides` merged into them.
pub(super) fn document(entry: &Entry<'_>, regions: &Value, overrides: &Value) -> Value {
    let mut settings = json!({
        "node": {
            "vm": entry.vm,
            "data_centre": entry.data_centre,
            "listen": entry.listen,
        },
        "cell": { "regions": regions },
        "platform": {
            "log": format!("http://{}", entry.log),
            "vms": format!("http://{}", entry.vms),
        },
    });
    merge(&mut settings, overrides);
    settings
}

/// Merges `overrides` into `base` recursively: objects are merged, other values replaced.
fn merge(base: &mut Value, overrides: &Value) {
    let (Value::Object(base), Value::Object(overrides)) = (&mut *base, overrides) else {
        *base = overrides.clone();
        return;
    };
    for (name, value) in overrides {
        merge(base.entry(name).or_insert(Value::Null), value);
    }
}
