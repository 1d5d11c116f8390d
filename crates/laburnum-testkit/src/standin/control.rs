//! The control port of a host.
//!
//! `GET` and `POST /v1/{role}/{index}/faults` read and set the fault switches of a stand-in; other
//! paths below `/v1/{role}/{index}/` are handled by the stand-in. `POST /v1/stop` stops the host.

use std::rc::Rc;

use actix_http::Method;
use tokio::sync::Notify;

use super::fault::Faults;
use super::host::{Role, Servers};
use super::http::{Request, Response};
use super::server::{Serve, Server};

/// The HTTP service of the control port.
pub(super) struct Service {
    pub(super) servers: Rc<Servers>,
    pub(super) stop: Rc<Notify>,
}

impl Service {
    fn route(&self, request: &Request) -> Option<Response> {
        let mut parts = request.path.strip_prefix("/v1/")?.splitn(3, '/');
        let role = parts.next()?;
        if role == "stop" {
            self.stop.notify_one();
            return Some(Response::empty());
        }
        let role = Role::parse(role)?;
        let index: usize = parts.next()?.parse().ok()?;
        let path = parts.next()?;
        match role {
            Role::Log => handle(self.servers.logs.borrow().get(index)?, path, request),
            Role::Vms => handle(self.servers.vms.borrow().get(index)?, path, request),
            Role::Worker => handle(self.servers.workers.borrow().get(index)?, path, request),
            Role::Target => handle(self.servers.targets.borrow().get(index)?, path, request),
        }
        .into()
    }
}

/// Handles a control request for one stand-in.
fn handle<S: Serve>(server: &Server<S>, path: &str, request: &Request) -> Response {
    match (&request.method, path) {
        (&Method::GET, "faults") => Response::json(&server.faults()),
        (&Method::POST, "faults") => set_faults(server, request).into(),
        _ => server.service.control(path, request),
    }
}

/// Sets the fault switches of one stand-in and returns them.
fn set_faults<S: Serve>(server: &Server<S>, request: &Request) -> Result<Response, Response> {
    let faults: Faults = request.json()?;
    server.set_faults(faults);
    Ok(Response::json(&server.faults()))
}

impl Serve for Service {
    async fn serve(&self, request: Request, _faults: Faults) -> Response {
        self.route(&request)
            .unwrap_or_else(|| Response::not_found(&request))
    }

    fn control(&self, _path: &str, request: &Request) -> Response {
        Response::not_found(request)
    }
}
