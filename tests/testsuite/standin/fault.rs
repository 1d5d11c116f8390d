use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_rt::time::timeout;
use laburnum_testkit::http;
use laburnum_testkit::standin::Role;
use laburnum_testkit::standin::fault::{Faults, Loss};
use laburnum_testkit::standin::log::Limits;

use super::{ANY_PORT, Bench, post, run};

/// How long a client waits for an answer that must not come.
const PATIENCE: Duration = Duration::from_millis(150);

struct Log {
    bench: Bench,
    address: SocketAddr,
}

impl Log {
    fn start() -> Log {
        let bench = Bench::start();
        let address = bench.host.add_log(ANY_PORT, Limits::default()).unwrap();
        Log { bench, address }
    }

    async fn set(&self, faults: Faults) {
        let control = &self.bench.control;
        control.set_faults(Role::Log, 0, &faults).await.unwrap();
    }

    /// Appends an entry; returns whether an answer came.
    async fn append(&self, http: &http::Client) -> bool {
        let url = format!("http://{}/v1/streams/config/append", self.address);
        post(http, &url, "x").await.is_ok()
    }

    /// Returns how many appends took effect.
    async fn effects(&self) -> u64 {
        self.bench.control.log_counts().await.unwrap().appends
    }
}

#[test]
fn down_refuses_and_keeps_state() {
    run(async {
        let log = Log::start();
        assert!(log.append(&log.bench.http).await);
        log.set(Faults {
            down: true,
            ..Faults::default()
        })
        .await;
        for http in [&log.bench.http, &http::Client::default()] {
            assert!(!log.append(http).await);
        }
        let refused = std::net::TcpStream::connect(log.address).unwrap_err();
        assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
        log.set(Faults::default()).await;
        while !log.append(&http::Client::default()).await {}
        assert_eq!(log.effects().await, 2);
    });
}

#[test]
fn answer_lost_takes_effect() {
    run(async {
        let log = Log::start();
        let answer_lost = Loss::Next(2);
        log.set(Faults {
            answer_lost,
            ..Faults::default()
        })
        .await;
        let mut answered = Vec::new();
        for _ in 0..3 {
            answered.push(log.append(&http::Client::default()).await);
        }
        assert_eq!(answered, [false, false, true]);
        assert_eq!(log.effects().await, 3);
    });
}

#[test]
fn frozen_request_takes_effect_after_reset() {
    run(async {
        let log = Log::start();
        log.set(Faults {
            frozen: true,
            ..Faults::default()
        })
        .await;
        let unanswered = timeout(PATIENCE, log.append(&log.bench.http)).await;
        assert!(unanswered.is_err());
        assert_eq!(log.effects().await, 0);
        log.set(Faults::default()).await;
        while log.effects().await == 0 {
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
    });
}

#[test]
fn silent_strikes_open_connections_only() {
    run(async {
        let log = Log::start();
        let old = http::Client::default();
        assert!(log.append(&old).await);
        log.set(Faults {
            silent: true,
            ..Faults::default()
        })
        .await;
        let unanswered = timeout(PATIENCE, log.append(&old)).await;
        assert!(unanswered.is_err());
        assert!(log.append(&http::Client::default()).await);
        assert_eq!(log.effects().await, 2);
    });
}

#[test]
fn slow_delays_every_request() {
    run(async {
        let log = Log::start();
        log.set(Faults {
            slow_ms: 50,
            ..Faults::default()
        })
        .await;
        let before = Instant::now();
        assert!(log.append(&log.bench.http).await);
        assert!(before.elapsed() >= Duration::from_millis(50));
    });
}

#[test]
fn unknown_switch_is_refused() {
    run(async {
        let log = Log::start();
        let control = log.bench.host.control_address();
        let url = format!("http://{control}/v1/log/0/faults");
        let answer = post(&log.bench.http, &url, r#"{"dwon": true}"#)
            .await
            .unwrap();
        assert!(answer.status.is_client_error());
        assert!(log.append(&log.bench.http).await);
    });
}
