use std::time::Duration;

use actix_rt::time::timeout;
use laburnum_testkit::http;
use laburnum_testkit::process::{Builder, Process, Signal};
use laburnum_testkit::standin::Client;

use super::run;

const LIMIT: Duration = Duration::from_secs(10);

/// How long a client waits for an answer that must not come.
const PATIENCE: Duration = Duration::from_millis(150);

fn start_target() -> (Process, Client) {
    let process = Builder::new("laburnum-standin")
        .arg("target")
        .start()
        .unwrap();
    let address = |line: &str| line.strip_prefix("control ")?.parse().ok();
    let control = process.wait_for_line(LIMIT, address).unwrap();
    (process, Client::new(control, http::Client::default()))
}

#[test]
fn run_of_unknown_option_fails() {
    let finished = Builder::new("laburnum-standin")
        .arg("--no-such")
        .run()
        .unwrap();
    finished.expect_code(1).expect_err("--no-such");
}

#[test]
fn start_of_unbuilt_program_names_remedy() {
    let error = Builder::new("no-such-program").start().unwrap_err();
    assert!(error.to_string().contains("cargo build"), "{error}");
}

#[test]
fn stopped_program_answers_after_continue() {
    run(async {
        let (process, client) = start_target();
        client.effects(0).await.unwrap();
        process.signal(Signal::Stop).unwrap();
        let unanswered = timeout(PATIENCE, client.effects(0)).await;
        assert!(unanswered.is_err());
        process.signal(Signal::Continue).unwrap();
        client.effects(0).await.unwrap();
    });
}

#[test]
fn control_stop_ends_program() {
    run(async {
        let (mut process, client) = start_target();
        client.stop().await.unwrap();
        assert!(process.wait(LIMIT).unwrap().success());
    });
}
