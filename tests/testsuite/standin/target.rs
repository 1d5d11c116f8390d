use std::net::SocketAddr;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use actix_rt::time::timeout;
use laburnum_testkit::http::{self, Header, Response};
use laburnum_testkit::standin::target::Options;
use laburnumplank::platform::target::{KEY, REQUEST_ID};
use tokio::net::TcpStream;

use super::{ANY_PORT, Fixture, run};

/// How long the target may take to close a connection.
const CLOSE_LIMIT: Duration = Duration::from_secs(5);

const ONE_SLOT: Options = Options {
    slots: 1,
    connections: 3,
};

/// Calls a method with a key, a request id and the body `dossier`.
async fn call(http: &http::Client, url: &str, key: &str) -> Response {
    let headers = [
        Header {
            name: KEY,
            value: key,
        },
        Header {
            name: REQUEST_ID,
            value: "17",
        },
    ];
    let request = http::Request {
        method: Method::POST,
        url,
        headers: &headers,
        body: "dossier".into(),
    };
    http.send(request).await.unwrap()
}

#[test]
fn call_returns_result_of_method() {
    run(async {
        let fixture = Fixture::start();
        let address = fixture
            .host
            .add_target(ANY_PORT, Options::default())
            .unwrap();
        let url = |method| format!("http://{address}/v1/call/{method}");
        let response = call(&fixture.http, &url("echo"), "a").await;
        assert_eq!(
            (response.status, &*response.body),
            (StatusCode::OK, &b"dossier"[..])
        );
        assert_eq!(response.header(REQUEST_ID), Some("17"));
        assert_eq!(call(&fixture.http, &url("size/3"), "b").await.body, "xxx");
        let failed = call(&fixture.http, &url("fail/1"), "c").await;
        assert_eq!(failed.status, StatusCode::INTERNAL_SERVER_ERROR);
        let unknown = call(&fixture.http, &url("no-such-method"), "d").await;
        assert_eq!(unknown.status, StatusCode::NOT_FOUND);
        let effects = fixture.control.effects(0).await.unwrap();
        let keys: Vec<&str> = effects.by_key.keys().map(String::as_str).collect();
        assert_eq!(keys, ["a", "b", "c"]);
    });
}

/// Starts a call that takes ten minutes and waits until it runs.
async fn occupy_slot(fixture: &Fixture, address: SocketAddr, key: &'static str) {
    let http = fixture.http.clone();
    let url = format!("http://{address}/v1/call/sleep/600000");
    actix_rt::spawn(async move { call(&http, &url, key).await });
    while fixture.control.effects(0).await.unwrap().peak_calls == 0 {}
}

#[test]
fn call_above_slots_is_refused_and_recorded() {
    run(async {
        let fixture = Fixture::start();
        let address = fixture.host.add_target(ANY_PORT, ONE_SLOT).unwrap();
        occupy_slot(&fixture, address, "a").await;
        let url = format!("http://{address}/v1/call/echo");
        let refused = call(&fixture.http, &url, "b").await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        let effects = fixture.control.effects(0).await.unwrap();
        assert_eq!((effects.slots_exceeded, effects.peak_calls), (1, 1));
        assert_eq!(effects.by_key.len(), 1);
    });
}

#[test]
fn connection_above_limit_is_closed_and_recorded() {
    run(async {
        let fixture = Fixture::start();
        let address = fixture.host.add_target(ANY_PORT, ONE_SLOT).unwrap();
        let mut open = Vec::new();
        for _ in 0..ONE_SLOT.connections {
            open.push(TcpStream::connect(address).await.unwrap());
        }
        let last = TcpStream::connect(address).await.unwrap();
        timeout(CLOSE_LIMIT, last.readable())
            .await
            .unwrap()
            .unwrap();
        assert!(matches!(last.try_read(&mut [0; 1]), Ok(0) | Err(_)));
        let effects = fixture.control.effects(0).await.unwrap();
        assert_eq!(
            (effects.peak_connections, effects.connections_exceeded),
            (3, 1)
        );
    });
}

#[test]
fn same_key_at_once_is_recorded() {
    run(async {
        let fixture = Fixture::start();
        let address = fixture
            .host
            .add_target(ANY_PORT, Options::default())
            .unwrap();
        occupy_slot(&fixture, address, "a").await;
        let url = format!("http://{address}/v1/call/echo");
        for key in ["a", "b", "b"] {
            call(&fixture.http, &url, key).await;
        }
        let effects = fixture.control.effects(0).await.unwrap();
        assert_eq!((effects.key_twice, effects.by_key["a"]), (1, 2));
    });
}
