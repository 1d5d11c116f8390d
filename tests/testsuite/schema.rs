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

fn service(files: &mut FileDescriptorSet) -> &mut ServiceDescriptorProto {
    let services = files.file.iter_mut().flat_map(|file| &mut file.service);
    services
        .into_iter()
        .find(|each| each.name() == "Caller")
        .unwrap()
}

fn enumeration(files: &mut FileDescriptorSet) -> &mut EnumDescriptorProto {
    let enums = files.file.iter_mut().flat_map(|file| &mut file.enum_type);
    enums
        .into_iter()
        .find(|each| each.name() == "Priority")
        .unwrap()
}

/// Expects that one edit of the released schema is found as exactly this break.
#[track_caller]
fn expect(edit: impl FnOnce(&mut FileDescriptorSet), expected: &str) {
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
fn present_schema_keeps_released_clients_working() {
    let found = breaking_changes(&decode(RELEASED).unwrap(), &decode(DESCRIPTOR).unwrap());
    assert!(found.is_empty(), "{found:?}");
}

#[test]
fn addition_breaks_nothing() {
    let old = decode(RELEASED).unwrap();
    let mut new = old.clone();
    let call = message(&mut new, "CallRequest");
    let mut field = call.field[0].clone();
    field.name = Some("extra".to_owned());
    field.number = Some(99);
    call.field.push(field);
    let mut method = service(&mut new).method[0].clone();
    method.name = Some("Extra".to_owned());
    service(&mut new).method.push(method);
    assert!(breaking_changes(&old, &new).is_empty());
}

#[test]
fn removal_is_found() {
    expect(
        |new| drop(message(new, "CallRequest").field.remove(3)),
        "CallRequest.key: was removed",
    );
    expect(
        |new| drop(service(new).method.remove(0)),
        "Caller.Call: was removed",
    );
    expect(
        |new| drop(enumeration(new).value.remove(3)),
        "Priority.PRIORITY_BULK: was removed",
    );
    let removed = |new: &mut FileDescriptorSet| {
        new.file[0]
            .message_type
            .retain(|each| each.name() != "CallResponse");
    };
    expect(removed, "CallResponse: was removed");
    let removed = |new: &mut FileDescriptorSet| new.file[0].service.truncate(1);
    expect(removed, "Operator: was removed");
    let removed = |new: &mut FileDescriptorSet| {
        new.file[0].enum_type.retain(|each| each.name() != "Effect");
    };
    expect(removed, "Effect: was removed");
}

#[test]
fn change_of_field_is_found() {
    let key = |new: &mut FileDescriptorSet, edit: fn(&mut prost_types::FieldDescriptorProto)| {
        edit(&mut message(new, "CallRequest").field[3]);
    };
    expect(
        |new| key(new, |field| field.number = Some(40)),
        "CallRequest.key: has number 40, not 4",
    );
    expect(
        |new| key(new, |field| field.set_type(Type::Bytes)),
        "CallRequest.key: has another type",
    );
    expect(
        |new| key(new, |field| field.set_label(Label::Repeated)),
        "CallRequest.key: has another label",
    );
    expect(
        |new| key(new, |field| field.json_name = Some("other".to_owned())),
        "CallRequest.key: has another name in JSON",
    );
    expect(
        |new| key(new, |field| field.proto3_optional = Some(true)),
        "CallRequest.key: has another presence",
    );
    expect(
        |new| message(new, "SubmitJobRequest").field[1].type_name = Some(".other".to_owned()),
        "SubmitJobRequest.spec: has another type",
    );
}

#[test]
fn reuse_of_number_is_found() {
    let reuse = |new: &mut FileDescriptorSet| {
        let call = message(new, "CallRequest");
        let mut field = call.field[0].clone();
        field.name = Some("extra".to_owned());
        call.field.push(field);
    };
    expect(reuse, "CallRequest.extra: takes number 1 of another field");
}

#[test]
fn change_of_method_or_value_is_found() {
    let other = || Some(".laburnum.v1.DumpRequest".to_owned());
    expect(
        |new| service(new).method[0].input_type = other(),
        "Caller.Call: takes another message",
    );
    expect(
        |new| service(new).method[0].output_type = other(),
        "Caller.Call: answers another message",
    );
    expect(
        |new| service(new).method[0].server_streaming = Some(true),
        "Caller.Call: streams otherwise",
    );
    expect(
        |new| enumeration(new).value[1].number = Some(7),
        "Priority.PRIORITY_LOOKUP: has another number",
    );
}
