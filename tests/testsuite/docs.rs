//! Tests that the operators' manual matches the code.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use laburnum_testkit::schema::decode;
use laburnumplank::api::schema::DESCRIPTOR;
use laburnumplank::core::error::{Answer, Effect, Kind};
use laburnumplank::settings;
use laburnumplank::util::metric::Metrics;
use opentelemetry::KeyValue;
use serde_json::Value;

const PAGE: &str = include_str!("../../docs/OPERATIONS.md");

/// Returns the cells of each table row under the heading `title`, up to the next heading of the same
/// or the second level.
///
/// Only rows whose first cell starts with a backquote count, so table headings are left out.
fn rows(title: &str) -> Vec<Vec<String>> {
    let mut lines = PAGE.lines().skip_while(|line| *line != title);
    assert!(lines.next().is_some(), "no heading `{title}`");
    let level = title.split(' ').next().unwrap();
    let end = format!("{level} ");
    let section = lines.take_while(|line| !line.starts_with(&end) && !line.starts_with("## "));
    let tables = section.filter(|line| line.starts_with("| `"));
    tables.map(cells).collect()
}

fn cells(line: &str) -> Vec<String> {
    let inner = line.trim_matches('|');
    inner
        .split(" | ")
        .map(|cell| cell.trim().replace('`', ""))
        .collect()
}

fn names(rows: &[Vec<String>]) -> BTreeSet<String> {
    let names: BTreeSet<String> = rows.iter().map(|row| row[0].clone()).collect();
    assert_eq!(names.len(), rows.len(), "the table has duplicate rows");
    names
}

/// Adds the paths and values of all fields in `value`; a path has `[]` after the name of a list of
/// objects.
fn collect_fields(path: &str, value: &Value, fields: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(map) => {
            for (name, value) in map {
                let path = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                collect_fields(&path, value, fields);
            }
        }
        Value::Array(items) if items.iter().all(Value::is_object) => {
            for item in items {
                collect_fields(&format!("{path}[]"), item, fields);
            }
        }
        _ => {
            fields.insert(path.to_owned(), value.clone());
        }
    }
}

#[test]
fn settings_reference_matches_the_code() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/laburnumd.json");
    let settings = settings::load(Path::new(file)).unwrap();
    let mut fields = BTreeMap::new();
    collect_fields("", &serde_json::to_value(settings).unwrap(), &mut fields);
    let rows = rows("## Settings");
    assert_eq!(names(&rows), fields.keys().cloned().collect());
    for row in rows.iter().filter(|row| row[2] != "required") {
        // The example file contains the defaults; a test of the settings checks that it does.
        let default = fields[&row[0]].to_string().replace('"', "");
        assert_eq!(row[2].replace(',', ""), default, "default of {}", row[0]);
    }
}

#[test]
fn settings_ranges_match_the_code() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/laburnumd.json");
    let settings = settings::load(Path::new(file)).unwrap();
    let document = serde_json::to_value(settings).unwrap();
    for row in rows("## Settings") {
        let Some((min, max)) = row[3].split_once(" to ") else {
            continue;
        };
        let pointer = format!("/{}", row[0].replace('.', "/"));
        let bounds = [min, max].map(|bound| bound.replace(',', "").parse::<u64>().unwrap());
        let accepts = |value: u64| {
            let mut document = document.clone();
            *document.pointer_mut(&pointer).unwrap() = value.into();
            settings::parse(&document.to_string()).is_ok()
        };
        assert!(bounds.into_iter().all(accepts), "range of {}", row[0]);
        assert!(!accepts(bounds[1] + 1), "maximum of {}", row[0]);
        assert!(
            bounds[0] == 0 || !accepts(bounds[0] - 1),
            "minimum of {}",
            row[0]
        );
    }
}

#[test]
fn error_table_matches_the_code() {
    let documented: Vec<Vec<String>> = rows("## Errors");
    let documented = documented.iter().map(|row| row[..7].to_vec());
    let expected = Kind::ALL.map(|kind| error_row(kind.answer()));
    assert_eq!(documented.collect::<Vec<_>>(), expected);
}

fn error_row(answer: Answer) -> Vec<String> {
    let effect = match answer.effect {
        Effect::NotRun => "not run",
        Effect::Unknown => "unknown",
        Effect::Ran => "ran",
    };
    let retry_after = answer.retry_after;
    vec![
        answer.name.to_owned(),
        answer.code.name().to_owned(),
        answer.code.http_status().to_string(),
        if answer.retryable { "yes" } else { "no" }.to_owned(),
        effect.to_owned(),
        retry_after.map_or_else(|| "-".to_owned(), |span| format!("{} ms", span.as_millis())),
        answer.meaning.to_owned(),
    ]
}

#[test]
fn procedure_list_matches_the_schema() {
    let files = decode(DESCRIPTOR).unwrap();
    let services = files.file.iter().flat_map(|file| &file.service);
    let procedures = services.flat_map(|service| {
        let methods = service.method.iter();
        methods.map(|method| format!("{}/{}", service.name(), method.name()))
    });
    assert_eq!(names(&rows("## Procedures")), procedures.collect());
}

#[test]
fn metric_list_matches_the_code() {
    let metrics = Metrics::new().unwrap();
    let no_labels: [KeyValue; 0] = [];
    let counters = [
        &metrics.responses,
        &metrics.region_bytes,
        &metrics.peer_bytes,
        &metrics.appends,
        &metrics.records,
        &metrics.ownership_changes,
        &metrics.target_requests,
        &metrics.peer_messages,
        &metrics.worker_commands,
        &metrics.silent_connections,
        &metrics.advisor_calls,
        &metrics.overcommitted_workers,
        &metrics.task_crashes,
        &metrics.given_up_tasks,
        &metrics.waits,
        &metrics.account_events,
        &metrics.restarts,
    ];
    for counter in counters {
        counter.add(1, &no_labels);
    }
    metrics.latency.record(0.0, &no_labels);
    let text = metrics.render().unwrap();
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let exported = types
        .filter_map(|line| line.split(' ').next())
        .map(str::to_owned);
    let exported = exported.filter(|name| name.starts_with("laburnum_"));
    assert_eq!(names(&rows("### Metrics")), exported.collect());
}

#[test]
fn outages_name_tests_that_exist() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/testsuite/daemon");
    let files = std::fs::read_dir(directory).unwrap();
    let source: String = files
        .map(|file| std::fs::read_to_string(file.unwrap().path()).unwrap())
        .collect();
    let section = PAGE.split("## Outages").nth(1).unwrap();
    let table = section.lines().filter(|line| line.starts_with("| "));
    let tests = table.skip(2).map(|line| cells(line).pop().unwrap());
    let mut named = 0;
    for test in tests.filter(|test| test != "-" && !test.ends_with("module")) {
        for name in test.split(", ") {
            assert!(
                source.contains(&format!("fn {name}()")),
                "there is no test `{name}`"
            );
            named += 1;
        }
    }
    assert!(named >= 10, "the table names only {named} tests");
}
