use laburnum_testkit::schema::{breaking_changes, decode};
use laburnumplank::api::schema::DESCRIPTOR;
use prost_types::field_descriptor_proto::{Label, Type};
use prost_types::{
    DescriptorProto, EnumDescriptorProto, FileDescriptorSet, ServiceDescriptorProto,
};

const RELEASED: &[u8] = include_bytes!("../../proto/released/laburnum.v1.bin");

fn message<'a>(files: &'a mut FileDescriptorSet, name: &str) -> &'a mut DescriptorProto {
    let messages = files
        .file
        .iter_mut()
        .flat_map(|file| &mut file.message_type);
    messages
        .into_iter()
        .find(|each| each.name() == name)
        .unwrap()
}

fn caller_service(files: &mut FileDescriptorSet) -> &mut ServiceDescriptorProto {
    let services = files.file.iter_mut().flat_map(|file| &mut file.service);
    services
        .into_iter()
        .find(|each| each.name() == "Caller")
        .unwrap()
}

fn priority_enum(files: &mut FileDescriptorSet) -> &mut EnumDescriptorProto {
    let enums = files.file.iter_mut().flat_map(|file| &mut file.enum_type);
    enums
        .into_iter()
        .find(|each| each.name() == "Priority")
        .unwrap()
}

/// Asserts that `edit` of the released schema is reported as exactly one breaking change.
#[track_caller]
fn assert_break(edit: impl FnOnce(&mut FileDescriptorSet), expected: &str) {
    let old = decode(RELEASED).unwrap();
    let mut new = old.clone();
    edit(&mut new);
    let found: Vec<String> = breaking_changes(&old, &new)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(found, [format!("laburnum.v1.{expected}")]);
}

#[test]
fn current_schema_is_compatible_with_the_released_one() {
    let found = breaking_changes(&decode(RELEASED).unwrap(), &decode(DESCRIPTOR).unwrap());
    assert!(found.is_empty(), "{found:?}");
}

#[test]
fn breaks_allows_additions() {
    let old = decode(RELEASED).unwrap();
    let mut new = old.clone();
    let call = message(&mut new, "CallRequest");
    let mut field = call.field[0].clone();
    field.name = Some("extra".to_owned());
    field.number = Some(99);
    call.field.push(field);
    let mut method = caller_service(&mut new).method[0].clone();
    method.name = Some("Extra".to_owned());
    caller_service(&mut new).method.push(method);
    assert!(breaking_changes(&old, &new).is_empty());
}

#[test]
fn breaks_reports_removals() {
    assert_break(
        |new| drop(message(new, "CallRequest").field.remove(3)),
        "CallRequest.key: was removed",
    );
    assert_break(
        |new| drop(caller_service(new).method.remove(0)),
        "Caller.Call: was removed",
    );
    assert_break(
        |new| drop(priority_enum(new).value.remove(3)),
        "Priority.PRIORITY_BULK: was removed",
    );
    let removed = |new: &mut FileDescriptorSet| {
        new.file[0]
            .message_type
            .retain(|each| each.name() != "CallResponse");
    };
    assert_break(removed, "CallResponse: was removed");
    let removed = |new: &mut FileDescriptorSet| new.file[0].service.truncate(1);
    assert_break(removed, "Operator: was removed");
    let removed = |new: &mut FileDescriptorSet| {
        new.file[0].enum_type.retain(|each| each.name() != "Effect");
    };
    assert_break(removed, "Effect: was removed");
}

#[test]
fn breaks_reports_changes_of_fields() {
    let key = |new: &mut FileDescriptorSet, edit: fn(&mut prost_types::FieldDescriptorProto)| {
        edit(&mut message(new, "CallRequest").field[3]);
    };
    assert_break(
        |new| key(new, |field| field.number = Some(40)),
        "CallRequest.key: has number 40, not 4",
    );
    assert_break(
        |new| key(new, |field| field.set_type(Type::Bytes)),
        "CallRequest.key: has another type",
    );
    assert_break(
        |new| key(new, |field| field.set_label(Label::Repeated)),
        "CallRequest.key: has another label",
    );
    assert_break(
        |new| key(new, |field| field.json_name = Some("other".to_owned())),
        "CallRequest.key: has another name in JSON",
    );
    assert_break(
        |new| key(new, |field| field.proto3_optional = Some(true)),
        "CallRequest.key: has another presence",
    );
    assert_break(
        |new| message(new, "SubmitJobRequest").field[1].type_name = Some(".other".to_owned()),
        "SubmitJobRequest.spec: has another type",
    );
}

#[test]
fn breaks_reports_reuse_of_a_field_number() {
    let reuse_number = |new: &mut FileDescriptorSet| {
        let call = message(new, "CallRequest");
        let mut field = call.field[0].clone();
        field.name = Some("extra".to_owned());
        call.field.push(field);
    };
    assert_break(
        reuse_number,
        "CallRequest.extra: takes number 1 of another field",
    );
}

#[test]
fn breaks_reports_changes_of_methods_and_enum_values() {
    let other = || Some(".laburnum.v1.DumpRequest".to_owned());
    assert_break(
        |new| caller_service(new).method[0].input_type = other(),
        "Caller.Call: takes another message",
    );
    assert_break(
        |new| caller_service(new).method[0].output_type = other(),
        "Caller.Call: answers another message",
    );
    assert_break(
        |new| caller_service(new).method[0].server_streaming = Some(true),
        "Caller.Call: streams otherwise",
    );
    assert_break(
        |new| priority_enum(new).value[1].number = Some(7),
        "Priority.PRIORITY_LOOKUP: has another number",
    );
}
