//! The stand-ins themselves: what they serve, their faults and their oracles.
mod fault;
mod log;
mod process;
mod target;
mod vms;
mod worker;

use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use actix_http::Method;
use laburnum_testkit::http::{self, Answer};
use laburnum_testkit::standin::{Client, Host};

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A host in this process, its control client and a client for its stand-ins.
struct Bench {
    host: Host,
    control: Client,
    http: http::Client,
}

impl Bench {
    fn start() -> Bench {
        let host = Host::start(ANY_PORT).unwrap();
        let control = Client::new(host.control_address(), http::Client::default());
        let http = http::Client::default();
        Bench {
            host,
            control,
            http,
        }
    }
}

/// Runs a test on a runtime of its own.
fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

/// Posts `body` and returns the whole answer.
async fn post(http: &http::Client, url: &str, body: &'static str) -> eyre::Result<Answer> {
    let request = http::Request {
        method: Method::POST,
        url,
        headers: &[],
        body: body.into(),
    };
    http.send(request).await
}
