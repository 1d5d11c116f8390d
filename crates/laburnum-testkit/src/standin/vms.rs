//! The list of VMs, published with a lag.
//!
//! Tests replace or edit the list over the control port. Readers see each change once the lag has
//! passed.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use actix_http::Method;
use laburnum_derive::message;
use laburnumplank::core::time::Instant;
use laburnumplank::platform::vms::{List, State as VmState, Vm};

use super::fault::Faults;
use super::http::{Answer, Request};
use super::server::Serve;
use crate::clock;

/// A change of the list.
#[message]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Puts these VMs in place of all.
    Replace(Vec<Vm>),
    /// Adds a VM, or replaces the one of the same number.
    Put(Vm),
    /// Marks a VM as leaving.
    Leave(u32),
    /// Removes a VM.
    Remove(u32),
}

/// The list and the versions of it that are not yet published.
#[derive(Debug)]
pub struct State {
    lag: Duration,
    current: List,
    published: List,
    waiting: VecDeque<(Instant, List)>,
}

impl State {
    /// Makes a list whose changes are published after `lag`; `vms` are published at once.
    pub fn new(lag: Duration, vms: Vec<Vm>) -> State {
        let list = List { version: 1, vms };
        State {
            lag,
            current: list.clone(),
            published: list,
            waiting: VecDeque::new(),
        }
    }

    /// Makes a change; returns the list as it is from now on.
    pub fn edit(&mut self, now: Instant, edit: Edit) -> &List {
        let vms = &mut self.current.vms;
        match edit {
            Edit::Replace(all) => *vms = all,
            Edit::Put(vm) => put(vms, vm),
            Edit::Leave(id) => leave(vms, id),
            Edit::Remove(id) => vms.retain(|vm| vm.id != id),
        }
        self.current.version += 1;
        let published_at = now + self.lag;
        self.waiting.push_back((published_at, self.current.clone()));
        &self.current
    }

    /// Returns the list as readers see it.
    pub fn published(&mut self, now: Instant) -> &List {
        while let Some((_, list)) = self.waiting.pop_front_if(|(at, _)| *at <= now) {
            self.published = list;
        }
        &self.published
    }
}

/// Adds `vm`, or replaces the one of the same number.
fn put(vms: &mut Vec<Vm>, vm: Vm) {
    match vms.iter_mut().find(|each| each.id == vm.id) {
        Some(place) => *place = vm,
        None => vms.push(vm),
    }
}

/// Marks the VM `id` as leaving.
fn leave(vms: &mut [Vm], id: u32) {
    for vm in vms.iter_mut().filter(|vm| vm.id == id) {
        vm.state = VmState::Leaving;
    }
}

/// Serves a [`State`].
#[derive(Debug)]
pub(super) struct Service {
    state: RefCell<State>,
}

impl Service {
    pub(super) fn new(lag: Duration, vms: Vec<Vm>) -> Service {
        let state = RefCell::new(State::new(lag, vms));
        Service { state }
    }

    fn edit(&self, request: &Request) -> Result<Answer, Answer> {
        let edit = request.json()?;
        let mut state = self.state.borrow_mut();
        Ok(Answer::json(state.edit(clock::now(), edit)))
    }
}

impl Serve for Service {
    async fn serve(&self, request: Request, _faults: Faults) -> Answer {
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/v1/vms") => {
                let mut state = self.state.borrow_mut();
                Answer::json(state.published(clock::now()))
            }
            _ => Answer::not_found(&request),
        }
    }

    fn control(&self, path: &str, request: &Request) -> Answer {
        match (&request.method, path) {
            (&Method::POST, "vms") => self.edit(request).into(),
            (&Method::GET, "vms") => Answer::json(&self.state.borrow().current),
            _ => Answer::not_found(request),
        }
    }
}
