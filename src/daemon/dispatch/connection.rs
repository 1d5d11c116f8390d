//! Connections to targets.
//!
//! Each connection that a dispatcher opens is a client limited to one TCP connection, so the
//! dispatcher decides how many connections there are. The outcome of a request is reported to the
//! dispatcher; closing a connection drops the request on it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use bytes::Bytes;

use super::Event;
use crate::core::error::{Error, Kind};
use crate::core::id::{Key, Target};
use crate::core::request::dispatcher::{Input, Reply};
use crate::core::request::link::{Attempt, Connection};
use crate::daemon::Context;
use crate::platform::client::{Call, Client, Failure};
use crate::util::metric::label;

/// How long a target may take to respond to a ping.
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// The HTTP status of a request that the target refused before running it.
const REFUSED: u16 = 503;

/// A request to a target.
pub(super) struct Request {
    /// The id of the request and the number of this attempt.
    pub(super) attempt: Attempt,
    /// The method.
    pub(super) method: String,
    /// The idempotency key, if the request has one.
    pub(super) key: Option<Key>,
    /// The body.
    pub(super) body: Bytes,
    /// How long the target may take to respond.
    pub(super) timeout: Duration,
}

/// One connection.
struct Link {
    client: Client,
    address: SocketAddr,
    /// The request in progress on the connection.
    task: Option<JoinHandle<()>>,
    /// Whether the last request on the connection has an idempotency key.
    is_keyed: bool,
}

/// All connections of the dispatch thread.
pub(super) struct Pool {
    context: Context,
    links: HashMap<(Target, Connection), Link>,
}

impl Pool {
    /// Creates an empty pool.
    pub(super) fn new(context: &Context) -> Pool {
        Pool {
            context: context.clone(),
            links: HashMap::new(),
        }
    }

    /// Adds a connection; the first message on it opens the TCP connection.
    pub(super) fn open(&mut self, target: Target, connection: Connection, address: SocketAddr) {
        let link = Link {
            client: Client::new(1),
            address,
            task: None,
            is_keyed: false,
        };
        self.links.insert((target, connection), link);
    }

    /// Closes a connection and drops the request on it.
    pub(super) fn close(&mut self, target: Target, connection: Connection) {
        let link = self.links.remove(&(target, connection));
        if let Some(task) = link.and_then(|link| link.task) {
            task.abort();
        }
    }

    /// Updates the state of a connection from an input that goes to a dispatcher.
    pub(super) fn observe(&mut self, input: &Input) {
        match input {
            Input::Replied {
                target, connection, ..
            } => {
                if let Some(link) = self.links.get_mut(&(*target, *connection)) {
                    link.task = None;
                }
            }
            Input::Closed {
                target, connection, ..
            } => self.close(*target, *connection),
            _ => {}
        }
    }

    /// Sends a request on a connection; reports the connection as closed if it is not in the pool.
    pub(super) fn send(&mut self, target: Target, connection: Connection, request: Request) {
        let context = self.context.clone();
        let Some(link) = self.links.get_mut(&(target, connection)) else {
            let input = Input::Closed {
                target,
                connection,
                may_have_sent: false,
            };
            context.dispatch(Event::Target { target, input });
            return;
        };
        link.is_keyed = request.key.is_some();
        let (client, address) = (link.client.clone(), link.address);
        link.task = Some(actix_rt::spawn(async move {
            let call = Call {
                method: &request.method,
                request_id: &request_id(request.attempt),
                key: request.key,
                body: request.body,
                timeout: request.timeout,
            };
            let result = client.call(address, &call).await;
            context
                .metrics
                .target_requests
                .add(1, &label("outcome", outcome(&result)));
            let input = input(target, connection, request.attempt, result);
            context.dispatch(Event::Target { target, input });
        }));
    }

    /// Pings a target, and reports to the dispatcher that it is alive when it responds.
    ///
    /// A connection carries one request at a time, so a busy one cannot carry a ping. An idempotent
    /// request is better retried at another target than waited for, so its connection is not
    /// reported as alive. A request with a key is waited for until its deadline, because giving up
    /// early would lose its response, so its connection is reported as alive.
    pub(super) fn ping(&mut self, target: Target, connection: Connection) {
        let Some(link) = self.links.get(&(target, connection)) else {
            return;
        };
        let context = self.context.clone();
        let report_alive = move || {
            let input = Input::Received { target, connection };
            context.dispatch(Event::Target { target, input });
        };
        if link.task.is_some() {
            if link.is_keyed {
                report_alive();
            }
            return;
        }
        let (client, address) = (link.client.clone(), link.address);
        actix_rt::spawn(async move {
            if client.ping(address, PING_TIMEOUT).await {
                report_alive();
            }
        });
    }
}

/// Returns the id of an attempt, which the target repeats in its response.
fn request_id(attempt: Attempt) -> String {
    format!("{:016x}-{}", attempt.request.0, attempt.number)
}

/// Returns the dispatcher's input for a request that ended.
fn input(
    target: Target,
    connection: Connection,
    attempt: Attempt,
    result: Result<Bytes, Failure>,
) -> Input {
    let reply = match result {
        Ok(body) => Reply::Done(body),
        Err(Failure::Status(REFUSED, _)) => Reply::Refused,
        Err(Failure::Status(status, body)) => {
            let message = format!("target {} responded with status {status}: {body}", target.0);
            Reply::Failed(Error::new(Kind::TargetFailed, message))
        }
        Err(Failure::NotSent(_)) => {
            return Input::Closed {
                target,
                connection,
                may_have_sent: false,
            };
        }
        Err(Failure::EffectUnknown(_)) => {
            return Input::Closed {
                target,
                connection,
                may_have_sent: true,
            };
        }
    };
    Input::Replied {
        target,
        connection,
        attempt,
        reply,
    }
}

/// Returns the value of the metric label `outcome` for a request that ended.
fn outcome(result: &Result<Bytes, Failure>) -> &'static str {
    match result {
        Ok(_) => "answered",
        Err(Failure::Status(REFUSED, _)) => "refused",
        Err(Failure::Status(..)) => "failed",
        Err(Failure::NotSent(_)) => "not_sent",
        Err(Failure::EffectUnknown(_)) => "lost",
    }
}
