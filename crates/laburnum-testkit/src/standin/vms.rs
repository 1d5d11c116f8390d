//! A VM list that publishes changes after a lag.
//!
//! Tests replace or edit the list through the control port. Readers see each change after the lag.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use actix_http::Method;
use laburnum_derive::message;
use laburnumplank::core::time::Instant;
use laburnumplank::platform::vms::{List, State as VmState, Vm};

use super::fault::Faults;
use super::http::{Request, Response};
use super::server::Serve;
use crate::clock;

/// A change of the VM list.
#[message]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Replaces the whole list by these VMs.
    Replace(Vec<Vm>),
    /// Adds a VM, or replaces the VM with the same number.
    Put(Vm),
    /// Marks the VM with this number as leaving.
    Leave(u32),
    /// Removes the VM with this number.
    Remove(u32),
}

/// The current list, the published list and the versions that wait for publication.
#[derive(Debug)]
pub struct State {
    lag: Duration,
    current: List,
    published: List,
    /// Versions with the time of their publication, oldest first.
    unpublished: VecDeque<(Instant, List)>,
}

impl State {
    /// Creates a list whose changes are published after `lag`; `vms` is published at once.
    pub fn new(lag: Duration, vms: Vec<Vm>) -> State {
        let list = List { version: 1, vms };
        State {
            lag,
            current: list.clone(),
            published: list,
            unpublished: VecDeque::new(),
        }
    }

    /// Applies a change and returns the changed list, which is published after the lag.
    pub fn edit(&mut self, now: Instant, edit: Edit) -> &List {
        let vms = &mut self.current.vms;
        match edit {
            Edit::Replace(all) => *vms = all,
            Edit::Put(vm) => put_vm(vms, vm),
            Edit::Leave(id) => mark_leaving(vms, id),
            Edit::Remove(id) => vms.retain(|vm| vm.id != id),
        }
        self.current.version += 1;
        let published_at = now + self.lag;
        self.unpublished
            .push_back((published_at, self.current.clone()));
        &self.current
    }

    /// Returns the list that readers see at `now`.
    pub fn published(&mut self, now: Instant) -> &List {
        while let Some((_, list)) = self.unpublished.pop_front_if(|(at, _)| *at <= now) {
            self.published = list;
        }
        &self.published
    }
}

/// Adds `vm`, or replaces the VM with the same number.
fn put_vm(vms: &mut Vec<Vm>, vm: Vm) {
    match vms.iter_mut().find(|each| each.id == vm.id) {
        Some(existing) => *existing = vm,
        None => vms.push(vm),
    }
}

/// Marks the VM with number `id` as leaving.
fn mark_leaving(vms: &mut [Vm], id: u32) {
    for vm in vms.iter_mut().filter(|vm| vm.id == id) {
        vm.state = VmState::Leaving;
    }
}

/// The HTTP service of a [`State`].
#[derive(Debug)]
pub(super) struct Service {
    state: RefCell<State>,
}

impl Service {
    pub(super) fn new(lag: Duration, vms: Vec<Vm>) -> Service {
        let state = RefCell::new(State::new(lag, vms));
        Service { state }
    }

    fn edit(&self, request: &Request) -> Result<Response, Response> {
        let edit = request.json()?;
        let mut state = self.state.borrow_mut();
        Ok(Response::json(state.edit(clock::now(), edit)))
    }
}

impl Serve for Service {
    async fn serve(&self, request: Request, _faults: Faults) -> Response {
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/v1/vms") => {
                let mut state = self.state.borrow_mut();
                Response::json(state.published(clock::now()))
            }
            _ => Response::not_found(&request),
        }
    }

    fn control(&self, path: &str, request: &Request) -> Response {
        match (&request.method, path) {
            (&Method::POST, "vms") => self.edit(request).into(),
            (&Method::GET, "vms") => Response::json(&self.state.borrow().current),
            _ => Response::not_found(request),
        }
    }
}
