use std::time::Duration;

use actix_rt::time::timeout;
use laburnum_testkit::http;
use laburnum_testkit::process::{Builder, Process, Signal};
use laburnum_testkit::standin::Client;

use super::run;

/// The time limit for the start and the end of a program.
const TIME_LIMIT: Duration = Duration::from_secs(10);

/// How long a test waits for a response that must not arrive.
const NO_RESPONSE_WAIT: Duration = Duration::from_millis(150);

/// Starts a target and returns its process and its control client.
fn start_target() -> (Process, Client) {
    let process = Builder::new("laburnum-standin")
        .arg("target")
        .start()
        .unwrap();
    let address = |line: &str| line.strip_prefix("control ")?.parse().ok();
    let control = process.wait_for_line(TIME_LIMIT, address).unwrap();
    (process, Client::new(control, http::Client::default()))
}

#[test]
fn run_of_unknown_option_fails() {
    let finished = Builder::new("laburnum-standin")
        .arg("--no-such")
        .run()
        .unwrap();
    finished.expect_code(1).expect_stderr("--no-such");
}

#[test]
fn start_of_unbuilt_program_names_build_command() {
    let error = Builder::new("no-such-program").start().unwrap_err();
    assert!(error.to_string().contains("cargo build"), "{error}");
}

#[test]
fn stopped_program_responds_after_continue() {
    run(async {
        let (process, client) = start_target();
        client.effects(0).await.unwrap();
        process.signal(Signal::Stop).unwrap();
        let result = timeout(NO_RESPONSE_WAIT, client.effects(0)).await;
        assert!(result.is_err());
        process.signal(Signal::Continue).unwrap();
        client.effects(0).await.unwrap();
    });
}

#[test]
fn control_stop_ends_program() {
    run(async {
        let (mut process, client) = start_target();
        client.stop().await.unwrap();
        assert!(process.wait(TIME_LIMIT).unwrap().success());
    });
}
