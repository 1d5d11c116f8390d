use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_rt::time::timeout;
use laburnum_testkit::http;
use laburnum_testkit::standin::Role;
use laburnum_testkit::standin::fault::{Faults, ResponseLoss};
use laburnum_testkit::standin::log::Limits;

use super::{ANY_PORT, Fixture, post, run};

/// How long a test waits for a response that must not arrive.
const NO_RESPONSE_WAIT: Duration = Duration::from_millis(150);

/// A log service under test.
struct Log {
    fixture: Fixture,
    address: SocketAddr,
}

impl Log {
    fn start() -> Log {
        let fixture = Fixture::start();
        let address = fixture.host.add_log(ANY_PORT, Limits::default()).unwrap();
        Log { fixture, address }
    }

    async fn set_faults(&self, faults: Faults) {
        let control = &self.fixture.control;
        control.set_faults(Role::Log, 0, &faults).await.unwrap();
    }

    /// Appends an entry; returns whether there was a response.
    async fn append(&self, http: &http::Client) -> bool {
        let url = format!("http://{}/v1/streams/config/append", self.address);
        post(http, &url, "x").await.is_ok()
    }

    /// Returns the number of appends that took effect.
    async fn append_count(&self) -> u64 {
        self.fixture.control.log_counts().await.unwrap().appends
    }
}

#[test]
fn down_refuses_and_keeps_state() {
    run(async {
        let log = Log::start();
        assert!(log.append(&log.fixture.http).await);
        log.set_faults(Faults {
            down: true,
            ..Faults::default()
        })
        .await;
        for http in [&log.fixture.http, &http::Client::default()] {
            assert!(!log.append(http).await);
        }
        let refused = std::net::TcpStream::connect(log.address).unwrap_err();
        assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
        log.set_faults(Faults::default()).await;
        while !log.append(&http::Client::default()).await {}
        assert_eq!(log.append_count().await, 2);
    });
}

#[test]
fn answer_lost_takes_effect() {
    run(async {
        let log = Log::start();
        let answer_lost = ResponseLoss::Next(2);
        log.set_faults(Faults {
            answer_lost,
            ..Faults::default()
        })
        .await;
        let mut answered = Vec::new();
        for _ in 0..3 {
            answered.push(log.append(&http::Client::default()).await);
        }
        assert_eq!(answered, [false, false, true]);
        assert_eq!(log.append_count().await, 3);
    });
}

#[test]
fn frozen_request_takes_effect_after_reset() {
    run(async {
        let log = Log::start();
        log.set_faults(Faults {
            frozen: true,
            ..Faults::default()
        })
        .await;
        let result = timeout(NO_RESPONSE_WAIT, log.append(&log.fixture.http)).await;
        assert!(result.is_err());
        assert_eq!(log.append_count().await, 0);
        log.set_faults(Faults::default()).await;
        while log.append_count().await == 0 {
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
    });
}

#[test]
fn silent_affects_open_connections_only() {
    run(async {
        let log = Log::start();
        let old = http::Client::default();
        assert!(log.append(&old).await);
        log.set_faults(Faults {
            silent: true,
            ..Faults::default()
        })
        .await;
        let result = timeout(NO_RESPONSE_WAIT, log.append(&old)).await;
        assert!(result.is_err());
        assert!(log.append(&http::Client::default()).await);
        assert_eq!(log.append_count().await, 2);
    });
}

#[test]
fn slow_delays_every_request() {
    run(async {
        let log = Log::start();
        log.set_faults(Faults {
            slow_ms: 50,
            ..Faults::default()
        })
        .await;
        let before = Instant::now();
        assert!(log.append(&log.fixture.http).await);
        assert!(before.elapsed() >= Duration::from_millis(50));
    });
}

#[test]
fn unknown_switch_is_refused() {
    run(async {
        let log = Log::start();
        let control = log.fixture.host.control_address();
        let url = format!("http://{control}/v1/log/0/faults");
        let response = post(&log.fixture.http, &url, r#"{"dwon": true}"#)
            .await
            .unwrap();
        assert!(response.status.is_client_error());
        assert!(log.append(&log.fixture.http).await);
    });
}
