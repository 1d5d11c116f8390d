//! Compares two compiled schemas for changes that break clients of the older one.
//!
//! A client built on the older schema keeps working if everything that it names still exists with
//! the same number, type and label. Additions are allowed. Both wire formats are checked: a renamed
//! field keeps its number but breaks clients that send JSON.

use std::collections::BTreeMap;
use std::fmt;

use eyre::WrapErr as _;
use prost::Message as _;
use prost_types::{
    DescriptorProto, EnumDescriptorProto, FieldDescriptorProto, FileDescriptorSet,
    ServiceDescriptorProto,
};

/// A change that breaks a client of the older schema.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BreakingChange {
    /// The full name of the changed element, such as `laburnum.v1.CallRequest.key`.
    pub name: String,
    /// The change, worded to follow `name`, such as `was removed`.
    pub change: String,
}

impl fmt::Display for BreakingChange {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}: {}", self.name, self.change)
    }
}

/// Decodes a compiled schema from a serialized `FileDescriptorSet`.
///
/// # Errors
///
/// Fails when the bytes are not a `FileDescriptorSet`.
pub fn decode(bytes: &[u8]) -> eyre::Result<FileDescriptorSet> {
    FileDescriptorSet::decode(bytes).wrap_err("cannot decode the schema as a `FileDescriptorSet`")
}

/// Returns every change from `old` to `new` that breaks a client of `old`.
pub fn breaking_changes(old: &FileDescriptorSet, new: &FileDescriptorSet) -> Vec<BreakingChange> {
    let mut out = Vec::new();
    let old = Index::new(old);
    let new = Index::new(new);
    compare(&old.messages, &new.messages, &mut out, compare_message);
    compare(&old.enums, &new.enums, &mut out, compare_enum);
    compare(&old.services, &new.services, &mut out, compare_service);
    out
}

/// The elements of a schema by full name.
#[derive(Default)]
struct Index<'a> {
    messages: BTreeMap<String, &'a DescriptorProto>,
    enums: BTreeMap<String, &'a EnumDescriptorProto>,
    services: BTreeMap<String, &'a ServiceDescriptorProto>,
}

impl<'a> Index<'a> {
    fn new(files: &'a FileDescriptorSet) -> Index<'a> {
        let mut index = Index::default();
        for file in &files.file {
            index.add_messages(file.package(), &file.message_type);
            index.add_enums(file.package(), &file.enum_type);
            for service in &file.service {
                let name = join(file.package(), service.name());
                index.services.insert(name, service);
            }
        }
        index
    }

    fn add_messages(&mut self, scope: &str, messages: &'a [DescriptorProto]) {
        for message in messages {
            let name = join(scope, message.name());
            self.add_messages(&name, &message.nested_type);
            self.add_enums(&name, &message.enum_type);
            self.messages.insert(name, message);
        }
    }

    fn add_enums(&mut self, scope: &str, enums: &'a [EnumDescriptorProto]) {
        for each in enums {
            self.enums.insert(join(scope, each.name()), each);
        }
    }
}

/// Compares the elements of one kind; a missing element is a breaking change.
fn compare<T>(
    old: &BTreeMap<String, &T>,
    new: &BTreeMap<String, &T>,
    out: &mut Vec<BreakingChange>,
    compare_one: fn(&str, &T, &T, &mut Vec<BreakingChange>),
) {
    for (name, old) in old {
        match new.get(name) {
            Some(new) => compare_one(name, old, new, out),
            None => push_change(out, name, "was removed"),
        }
    }
}

fn compare_message(
    name: &str,
    old: &DescriptorProto,
    new: &DescriptorProto,
    out: &mut Vec<BreakingChange>,
) {
    for field in &old.field {
        let name = join(name, field.name());
        match new.field.iter().find(|each| each.name() == field.name()) {
            Some(newer) => compare_field(&name, field, newer, out),
            None => push_change(out, &name, "was removed"),
        }
    }
    for field in &new.field {
        let is_new = old.field.iter().all(|each| each.name() != field.name());
        let reuses_number = old.field.iter().any(|each| each.number() == field.number());
        if is_new && reuses_number {
            let change = format!("takes number {} of another field", field.number());
            push_change(out, &join(name, field.name()), &change);
        }
    }
}

fn compare_field(
    name: &str,
    old: &FieldDescriptorProto,
    new: &FieldDescriptorProto,
    out: &mut Vec<BreakingChange>,
) {
    if old.number() != new.number() {
        let change = format!("has number {}, not {}", new.number(), old.number());
        push_change(out, name, &change);
    }
    if old.r#type() != new.r#type() || old.type_name() != new.type_name() {
        push_change(out, name, "has another type");
    }
    if old.label() != new.label() {
        push_change(out, name, "has another label");
    }
    if old.json_name() != new.json_name() {
        push_change(out, name, "has another name in JSON");
    }
    let oneof_changed = old.oneof_index.is_some() != new.oneof_index.is_some();
    if oneof_changed || old.proto3_optional() != new.proto3_optional() {
        push_change(out, name, "has another presence");
    }
}

fn compare_enum(
    name: &str,
    old: &EnumDescriptorProto,
    new: &EnumDescriptorProto,
    out: &mut Vec<BreakingChange>,
) {
    for value in &old.value {
        let name = join(name, value.name());
        match new.value.iter().find(|each| each.name() == value.name()) {
            Some(newer) if newer.number() == value.number() => {}
            Some(_) => push_change(out, &name, "has another number"),
            None => push_change(out, &name, "was removed"),
        }
    }
}

fn compare_service(
    name: &str,
    old: &ServiceDescriptorProto,
    new: &ServiceDescriptorProto,
    out: &mut Vec<BreakingChange>,
) {
    for method in &old.method {
        let name = join(name, method.name());
        let found = new.method.iter().find(|each| each.name() == method.name());
        let Some(newer) = found else {
            push_change(out, &name, "was removed");
            continue;
        };
        if method.input_type() != newer.input_type() {
            push_change(out, &name, "takes another message");
        }
        if method.output_type() != newer.output_type() {
            push_change(out, &name, "answers another message");
        }
        let is_streamed = |each: &prost_types::MethodDescriptorProto| {
            (each.client_streaming(), each.server_streaming())
        };
        if is_streamed(method) != is_streamed(newer) {
            push_change(out, &name, "streams otherwise");
        }
    }
}

fn push_change(out: &mut Vec<BreakingChange>, name: &str, change: &str) {
    out.push(BreakingChange {
        name: name.to_owned(),
        change: change.to_owned(),
    });
}

fn join(scope: &str, name: &str) -> String {
    if scope.is_empty() {
        name.to_owned()
    } else {
        format!("{scope}.{name}")
    }
}
