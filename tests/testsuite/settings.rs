use std::fs;
use std::path::{Path, PathBuf};

use laburnum_testkit::process::Builder;
use laburnumplank::settings;
use serde_json::{Value, json};

/// The example settings file in the documentation.
const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/laburnumd.json");

/// Returns the example settings as JSON.
fn example() -> Value {
    serde_json::to_value(settings::load(Path::new(EXAMPLE)).unwrap()).unwrap()
}

/// Writes the example settings with one field set to `value` and returns the file's path.
fn write_with(directory: &Path, pointer: &str, value: Value) -> PathBuf {
    let mut document = example();
    let (parent, field) = pointer.rsplit_once('/').unwrap();
    document.pointer_mut(parent).unwrap()[field] = value;
    let file = directory.join("laburnumd.json");
    fs::write(&file, document.to_string()).unwrap();
    file
}

/// Asserts that the library, the command line and the daemon reject `file` with the same text.
#[track_caller]
fn expect_refusal(file: &Path, field: &str, remedy: &str) {
    let text = settings::load(file).unwrap_err().to_string();
    assert!(
        text.starts_with(&format!("{}: {field}: ", file.display())),
        "{text}"
    );
    assert!(text.ends_with(remedy), "{text}");
    let check = Builder::new("laburnum")
        .args(["settings", "check"])
        .arg(file);
    check.run().unwrap().expect_code(2).expect_stderr(&text);
    let daemon = Builder::new("laburnumd").arg("--settings").arg(file);
    daemon.run().unwrap().expect_code(2).expect_stderr(&text);
}

/// Asserts that the example settings are rejected once the field at `pointer` is set to `value`.
#[track_caller]
fn expect_fault(pointer: &str, value: Value, field: &str, remedy: &str) {
    let directory = tempfile::tempdir().unwrap();
    expect_refusal(&write_with(directory.path(), pointer, value), field, remedy);
}

#[test]
fn check_example_succeeds() {
    let check = Builder::new("laburnum").args(["settings", "check", EXAMPLE]);
    check.run().unwrap().expect_success().expect_stdout(": ok");
}

#[test]
fn example_lists_the_defaults() {
    let listed = example();
    let required = json!({
        "node": listed["node"],
        "cell": { "regions": listed["cell"]["regions"] },
        "platform": { "log": listed["platform"]["log"], "vms": listed["platform"]["vms"] },
    });
    let parsed = settings::parse(&required.to_string()).unwrap();
    assert_eq!(serde_json::to_value(parsed).unwrap(), listed);
}

#[test]
fn parse_accepts_comments() {
    let text = format!("/* before */\n// a line\n{} // after", example());
    settings::parse(&text).unwrap();
}

#[test]
fn load_rejects_unknown_field() {
    let remedy = "remove the field or correct its name";
    expect_fault("/traffic/thread", json!(2), "traffic.thread", remedy);
    expect_fault("/extra", json!({}), "extra", remedy);
}

#[test]
fn load_rejects_missing_field() {
    let directory = tempfile::tempdir().unwrap();
    let mut document = example();
    document["node"].as_object_mut().unwrap().remove("listen");
    let file = directory.path().join("laburnumd.json");
    fs::write(&file, document.to_string()).unwrap();
    expect_refusal(&file, "node", "add the field");
}

#[test]
fn load_rejects_number_with_unit() {
    let remedy = "give a whole number of milliseconds, without a unit";
    expect_fault(
        "/traffic/drain_ms",
        json!("10s"),
        "traffic.drain_ms",
        remedy,
    );
    let remedy = "give a whole number of seconds, without a unit";
    expect_fault("/log/retention_s", json!("1h"), "log.retention_s", remedy);
    let remedy = "give a whole number of KiB, without a unit";
    expect_fault(
        "/traffic/max_body_kib",
        json!("1M"),
        "traffic.max_body_kib",
        remedy,
    );
}

#[test]
fn load_rejects_unusable_address() {
    let remedy = "give an IP address and a port, such as \"192.0.2.1:8080\"";
    expect_fault("/node/listen", json!("quimper:8080"), "node.listen", remedy);
    let remedy = "give the VM's own address";
    expect_fault("/node/listen", json!("0.0.0.0:8080"), "node.listen", remedy);
    let remedy = "write it like \"http://192.0.2.1:9000\"";
    expect_fault(
        "/platform/log",
        json!("http://log:9000"),
        "platform.log",
        remedy,
    );
    expect_fault(
        "/platform/vms",
        json!("192.0.2.1:9001"),
        "platform.vms",
        remedy,
    );
}

#[test]
fn load_rejects_port_zero() {
    expect_fault(
        "/node/listen",
        json!("192.0.2.11:0"),
        "node.listen",
        "give the port",
    );
}

#[test]
fn load_rejects_number_out_of_range() {
    let remedy = "give a number from 1 to 64";
    expect_fault("/traffic/threads", json!(0), "traffic.threads", remedy);
    let remedy = "give a number from 500 to 120000";
    expect_fault(
        "/lease/duration_ms",
        json!(120_001),
        "lease.duration_ms",
        remedy,
    );
}

#[test]
fn load_rejects_unknown_data_centre() {
    let remedy = "list it under cell.regions";
    expect_fault(
        "/node/data_centre",
        json!("dakar"),
        "node.data_centre",
        remedy,
    );
}

#[test]
fn load_rejects_data_centre_listed_twice() {
    let regions = json!([{ "name": "finistere", "data_centres": ["quimper", "quimper"] }]);
    let field = "cell.regions[0].data_centres";
    expect_fault(
        "/cell/regions",
        regions,
        field,
        "list each data centre once",
    );
}

#[test]
fn load_rejects_unknown_level() {
    let remedy = "give error, warning, info or debug";
    expect_fault("/report/level", json!("loud"), "report.level", remedy);
}

#[test]
fn load_rejects_missing_file() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("none.json");
    expect_refusal(
        &file,
        "(file)",
        "name a readable settings file with --settings",
    );
}

#[test]
fn load_rejects_invalid_syntax() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("laburnumd.json");
    fs::write(&file, "{ \"node\": ").unwrap();
    expect_refusal(&file, "(file)", "correct the syntax at the given position");
}
