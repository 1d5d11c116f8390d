//! The settings of a cell's daemons.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// What differs between the daemons of a cell, and where the platform answers.
pub(super) struct Entry<'a> {
    pub(super) vm: u32,
    pub(super) data_centre: &'a str,
    pub(super) listen: SocketAddr,
    pub(super) log: SocketAddr,
    pub(super) vms: SocketAddr,
}

/// Returns the settings of one daemon; the fields of `overrides` are put over them.
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

/// Puts the fields of `over` into `base`, object by object.
fn merge(base: &mut Value, over: &Value) {
    let (Value::Object(base), Value::Object(over)) = (&mut *base, over) else {
        *base = over.clone();
        return;
    };
    for (name, value) in over {
        merge(base.entry(name).or_insert(Value::Null), value);
    }
}
