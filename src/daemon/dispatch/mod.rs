//! The dispatch thread: sends calls to targets.
//!
//! The thread runs a [`Dispatcher`] for each service and carries out its outputs: it stores the
//! bodies of calls, holds the connections to targets, forwards calls to the owners of their keys
//! and submits calls with a key to the control thread. A call arrives from an HTTP thread or
//! another entry and gets exactly one response.

mod connection;
mod event;
mod listing;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use rand_pcg::Pcg32;
use serde_json::Value;
use xxhash_rust::xxh3::Xxh3;

use super::context::Context;
use super::control;
use super::peer;
use super::supervisor::Inbox;
use crate::core::error::{Error, Kind, Result};
use crate::core::id::{Partition, Service, Target};
use crate::core::request::call::{Answer, Id};
use crate::core::request::dispatcher::{Input, Output, Owner, Report};
use crate::core::request::link::{Attempt, Connection};
use crate::core::request::{self, Dispatcher, Origin, Safety, dedup};
use crate::core::time::Instant;
use crate::util::metric::label;
use crate::wire::{Call, Reply, Response};
use connection::Pool;
pub use event::Event;

/// The maximum time between two ticks.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// A call that has not got its response yet.
struct Pending {
    call: Call,
    body: Bytes,
    reply: Option<Reply>,
    target: Option<Target>,
}

/// The service and address of a target.
#[derive(Clone)]
struct TargetInfo {
    service: Service,
    address: SocketAddr,
}

/// The state of the dispatch thread.
struct Dispatch {
    context: Context,
    dispatchers: HashMap<Service, Dispatcher<Pcg32>>,
    owners: HashMap<Partition, Owner>,
    targets: HashMap<Target, TargetInfo>,
    pending: HashMap<Id, Pending>,
    pool: Pool,
    next_id: u64,
    /// Whether a VM list with at least one VM has been read.
    is_listed: bool,
}

/// Runs the dispatch thread until its inbox closes.
pub async fn run(context: Context, inbox: Inbox<Event>) {
    let mut inbox = inbox.open().await;
    let mut dispatch = Dispatch {
        pool: Pool::new(&context),
        context,
        dispatchers: HashMap::new(),
        owners: HashMap::new(),
        targets: HashMap::new(),
        pending: HashMap::new(),
        next_id: rand::random::<u64>() >> 1,
        is_listed: false,
    };
    loop {
        let now = dispatch.context.clock.now();
        let wake = dispatch.wake_at(now).since(now).min(MAX_SLEEP);
        match actix_rt::time::timeout(wake, inbox.recv()).await {
            Ok(Some(event)) => dispatch.handle(event),
            Ok(None) => return,
            Err(_) => dispatch.tick(),
        }
    }
}

impl Dispatch {
    /// Returns when the next tick is due.
    fn wake_at(&self, now: Instant) -> Instant {
        let wakes = self
            .dispatchers
            .values()
            .map(|dispatcher| dispatcher.wake_at(now));
        wakes.min().unwrap_or(now + MAX_SLEEP)
    }

    fn tick(&mut self) {
        let services: Vec<Service> = self.dispatchers.keys().cloned().collect();
        for service in services {
            self.step(&service, Input::Tick);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call {
                call,
                origin,
                deadline,
                reply,
            } => self.arrive(call, origin, deadline, reply),
            Event::Verdict { service, verdict } => self.step(&service, Input::Verdict(verdict)),
            Event::Returned {
                service,
                id,
                response,
            } => {
                let answer = self.forwarded_answer(id, response);
                self.step(&service, Input::ForwardAnswered(id, answer));
            }
            Event::ForwardFailed { service, id } => self.step(&service, Input::ForwardFailed(id)),
            Event::Granted(grant) => {
                if let Some(service) = self.service_of(grant.target) {
                    self.step(&service, Input::Granted(grant));
                }
            }
            Event::Vms(list) => self.apply_vm_list(&list),
            Event::Owner(partition, owner) => self.set_owner(partition, owner),
            Event::Target { target, input } => {
                self.pool.observe(&input);
                if let Some(service) = self.service_of(target) {
                    self.step(&service, input);
                }
            }
            Event::Dump(reply) => {
                let _ = reply.send(self.dump());
            }
            Event::Drain => {
                let services: Vec<Service> = self.dispatchers.keys().cloned().collect();
                for service in services {
                    self.step(&service, Input::Drain);
                }
            }
        }
    }

    /// Returns the state of all dispatchers, by service, for operators.
    fn dump(&self) -> Value {
        let now = self.context.clock.now();
        let services = self.dispatchers.iter().map(|(service, dispatcher)| {
            (
                service.0.clone(),
                serde_json::to_value(dispatcher.dump(now)).unwrap_or_default(),
            )
        });
        Value::Object(services.collect())
    }

    fn service_of(&self, target: Target) -> Option<Service> {
        self.targets.get(&target).map(|info| info.service.clone())
    }

    /// Passes a call that arrived to the dispatcher of its service.
    fn arrive(&mut self, call: Call, origin: Origin, deadline: Instant, reply: Reply) {
        let service = call.service.clone();
        if !self.dispatchers.contains_key(&service) {
            let _ = reply.send(Err(self.unknown_service(&service)));
            return;
        }
        let id = Id(self.next_id);
        self.next_id += 1;
        let request = request::Call {
            id,
            caller: call.caller.clone(),
            priority: call.priority,
            safety: safety(&call),
            origin,
            deadline,
            size: call.body.len() as u32,
        };
        let body = Bytes::copy_from_slice(&call.body);
        self.pending.insert(
            id,
            Pending {
                call,
                body,
                reply: Some(reply),
                target: None,
            },
        );
        self.step(&service, Input::Arrived(request));
    }

    /// Returns the error for a call to a service without a target.
    fn unknown_service(&self, service: &Service) -> Error {
        if self.is_listed {
            let message = format!(
                "no target serves the service `{}`; check its name",
                service.0
            );
            return Error::new(Kind::NotFound, message);
        }
        Error::new(
            Kind::NoTarget,
            "the VM list has not been read yet; retry later",
        )
    }

    /// Converts the owner's response to a forwarded call.
    fn forwarded_answer(&mut self, id: Id, response: Result<Response>) -> Answer {
        match response {
            Ok(Response::Called { body, target, .. }) => {
                if let Some(pending) = self.pending.get_mut(&id) {
                    pending.target = target;
                }
                Answer::done(Bytes::from(body))
            }
            Ok(_) => Answer::refused(
                Kind::Internal,
                "the owner responded to another kind of request",
            ),
            Err(error) => {
                let effect = error.effect;
                Answer::from(error).with_effect(effect)
            }
        }
    }

    /// Passes an input to the dispatcher of a service and carries out its outputs.
    fn step(&mut self, service: &Service, input: Input) {
        let now = self.context.clock.now();
        let mut outputs = Vec::new();
        if let Some(dispatcher) = self.dispatchers.get_mut(service) {
            dispatcher.step(now, input, &mut outputs);
        }
        for output in outputs {
            self.carry_out(now, service, output);
        }
    }

    fn carry_out(&mut self, now: Instant, service: &Service, output: Output) {
        match output {
            Output::Answer(id, answer) => self.answer(id, answer),
            Output::Forward(id, node) => self.forward(now, service, id, node.vm),
            Output::Admit(partition, submission) => {
                let service = service.clone();
                self.context.control(control::Event::Admit {
                    service,
                    partition,
                    submission,
                });
            }
            Output::Report {
                partition,
                id,
                key,
                report,
            } => self.report(partition, id, key, report),
            Output::RequestSlots(_, request) => {
                self.context.control(control::Event::SlotRequest(request));
            }
            Output::Open(target, connection) => {
                if let Some(info) = self.targets.get(&target) {
                    self.pool.open(target, connection, info.address);
                }
            }
            Output::Send {
                target,
                connection,
                attempt,
                until,
            } => {
                self.send(now, target, connection, attempt, until);
            }
            Output::Ping(target, connection) => self.pool.ping(target, connection),
            Output::Close(target, connection) => self.pool.close(target, connection),
            Output::Drained => {}
        }
    }

    /// Responds to a call.
    fn answer(&mut self, id: Id, answer: Answer) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let effect = answer.effect;
        let result = answer
            .result
            .map_err(|error| error.with_effect(effect))
            .map(|body| Response::Called {
                body: body.to_vec(),
                target: pending.target,
                recorded: pending.target.is_none(),
            });
        if let Some(reply) = pending.reply {
            let _ = reply.send(result);
        }
    }

    /// Forwards a call to the entry that owns its key.
    fn forward(&self, now: Instant, service: &Service, id: Id, to: crate::core::id::Vm) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let dispatcher = self.dispatchers.get(service);
        let deadline = dispatcher
            .and_then(|dispatcher| dispatcher.deadline(id))
            .unwrap_or(now);
        let command = peer::Command::Forward {
            to,
            service: service.clone(),
            id,
            call: pending.call.clone(),
            timeout: deadline.since(now),
        };
        self.context.peer(command);
    }

    /// Reports the progress of a request to the key table of its partition.
    fn report(&self, partition: Partition, id: Id, key: crate::core::id::Key, report: Report) {
        let input = match report {
            Report::Finished(outcome) => dedup::Input::Finished { id, key, outcome },
            Report::NotDispatched(answer) => dedup::Input::NotDispatched { id, key, answer },
            Report::Abandoned => dedup::Input::Abandoned { id, key },
        };
        self.context
            .control(control::Event::Report { partition, input });
    }

    /// Sends a request on a connection.
    fn send(
        &mut self,
        now: Instant,
        target: Target,
        connection: Connection,
        attempt: Attempt,
        until: Instant,
    ) {
        let Some(pending) = self.pending.get_mut(&attempt.request) else {
            return;
        };
        pending.target = Some(target);
        self.context
            .metrics
            .target_requests
            .add(1, &label("outcome", "sent"));
        let request = connection::Request {
            attempt,
            method: pending.call.method.clone(),
            key: pending.call.key,
            body: pending.body.clone(),
            timeout: until.since(now),
        };
        self.pool.send(target, connection, request);
    }
}

/// Returns whether a call may run more than once; a call with a key that is not idempotent may not.
fn safety(call: &Call) -> Safety {
    match call.key {
        Some(key) if !call.idempotent => Safety::AtMostOnce {
            key,
            fingerprint: fingerprint(call),
        },
        _ => Safety::Idempotent,
    }
}

/// Returns a hash of the service, the method and the body, which a repeated call must match.
fn fingerprint(call: &Call) -> u64 {
    let mut hash = Xxh3::new();
    for part in [
        call.service.0.as_bytes(),
        call.method.as_bytes(),
        &call.body,
    ] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}
