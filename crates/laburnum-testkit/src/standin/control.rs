//! The control port of a host.
//!
//! `GET` and `POST /v1/{role}/{index}/faults` read and set the fault switches of a stand-in; other
//! paths below `/v1/{role}/{index}/` are the stand-in's own. `POST /v1/stop` ends the host.

use std::rc::Rc;

use actix_http::Method;
use tokio::sync::Notify;

use super::fault::Faults;
use super::host::{Role, Servers};
use super::http::{Answer, Request};
use super::server::{Serve, Server};

/// Serves the control port.
pub(super) struct Service {
    pub(super) servers: Rc<Servers>,
    pub(super) stop: Rc<Notify>,
}

impl Service {
    fn route(&self, request: &Request) -> Option<Answer> {
        let mut parts = request.path.strip_prefix("/v1/")?.splitn(3, '/');
        let role = parts.next()?;
        if role == "stop" {
            self.stop.notify_one();
            return Some(Answer::empty());
        }
        let role = Role::parse(role)?;
        let index: usize = parts.next()?.parse().ok()?;
        let path = parts.next()?;
        match role {
            Role::Log => direct(self.servers.logs.borrow().get(index)?, path, request),
            Role::Vms => direct(self.servers.vms.borrow().get(index)?, path, request),
            Role::Worker => direct(self.servers.workers.borrow().get(index)?, path, request),
            Role::Target => direct(self.servers.targets.borrow().get(index)?, path, request),
        }
        .into()
    }
}

/// Answers a request for one stand-in.
fn direct<S: Serve>(server: &Server<S>, path: &str, request: &Request) -> Answer {
    match (&request.method, path) {
        (&Method::GET, "faults") => Answer::json(&server.faults()),
        (&Method::POST, "faults") => set_faults(server, request).into(),
        _ => server.service.control(path, request),
    }
}

/// Sets the fault switches of one stand-in.
fn set_faults<S: Serve>(server: &Server<S>, request: &Request) -> Result<Answer, Answer> {
    let faults: Faults = request.json()?;
    server.set_faults(faults);
    Ok(Answer::json(&server.faults()))
}

impl Serve for Service {
    async fn serve(&self, request: Request, _faults: Faults) -> Answer {
        self.route(&request)
            .unwrap_or_else(|| Answer::not_found(&request))
    }

    fn control(&self, _path: &str, request: &Request) -> Answer {
        Answer::not_found(request)
    }
}
