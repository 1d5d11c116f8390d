//! Tests of the stand-ins: their services, their faults and the records that other tests check.
mod fault;
mod log;
mod process;
mod target;
mod vms;
mod worker;

use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use actix_http::Method;
use laburnum_testkit::http::{self, Response};
use laburnum_testkit::standin::{Client, Host};

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A host in this process, its control client and an HTTP client for its stand-ins.
struct Fixture {
    host: Host,
    control: Client,
    http: http::Client,
}

impl Fixture {
    fn start() -> Fixture {
        let host = Host::start(ANY_PORT).unwrap();
        let control = Client::new(host.control_address(), http::Client::default());
        let http = http::Client::default();
        Fixture {
            host,
            control,
            http,
        }
    }
}

/// Runs an async test on a new runtime.
fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// Sends `body` in a POST request and returns the response, whatever its status.
async fn post(http: &http::Client, url: &str, body: &'static str) -> eyre::Result<Response> {
    let request = http::Request {
        method: Method::POST,
        url,
        headers: &[],
        body: body.into(),
    };
    http.send(request).await
}
