//! Links to the other entries.
//!
//! The peer thread owns every link. It dials an entry when there is something to send, accepts
//! links that others dialled, and passes received frames to the control or the dispatch thread.
//! Each link has a task that writes queued frames, sends keep-alives and closes the link when
//! nothing arrived for [`SILENCE_TIMEOUT`]. A request whose link is lost fails with
//! [`Kind::AnswerLost`] at once, and its sender decides whether to retry.

mod command;
mod link;

use std::collections::HashMap;
use std::time::Duration;

use slog::{Logger, info};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::Role;

pub use self::command::{Command, Neighbour};
use self::link::{Queued, connect, serve_link};
use super::context::Context;
use super::supervisor::Inbox;
use super::{control, dispatch};
use crate::core::error::{Error, Kind, Result};
use crate::core::id::{Node, Service, Vm};
use crate::core::request::Origin;
use crate::core::request::call::Id;
use crate::core::time::Instant;
use crate::util::metric::label;
use crate::wire::{self, Frame, Reply, Request, Response};

/// How long a link may be idle before it carries a keep-alive.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_millis(800);
/// How long nothing may arrive on a link before it is closed.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a connection attempt may take.
const DIAL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The delay before an entry that could not be reached is dialled again.
const DIAL_PAUSE: Duration = Duration::from_millis(300);
/// How many frames the queue of one link holds.
const QUEUE_FRAMES: usize = 4_096;
/// The HTTP path of the WebSocket upgrade that opens a link.
pub const PATH: &str = "/v1/peer";

/// A link, open or being dialled.
struct Link {
    vm: Option<Vm>,
    is_up: bool,
    queue: mpsc::Sender<Queued>,
}

/// A request that waits for its response.
struct PendingRequest {
    link: u64,
    requester: Requester,
}

/// The receiver of the response to a request.
enum Requester {
    /// The receiver on a channel.
    Reply(Reply),
    /// The dispatch thread.
    Dispatch {
        /// The service of the call.
        service: Service,
        /// The id of the call at the dispatcher.
        id: Id,
    },
}

impl Requester {
    /// Delivers the response.
    fn respond(self, context: &Context, response: Result<Response>) {
        match self {
            Requester::Reply(reply) => {
                let _ = reply.send(response);
            }
            Requester::Dispatch { service, id } => {
                context.dispatch(dispatch::Event::Returned {
                    service,
                    id,
                    response,
                });
            }
        }
    }

    /// Reports that no response will arrive.
    fn fail(self, context: &Context, error: Error) {
        match self {
            Requester::Reply(reply) => {
                let _ = reply.send(Err(error));
            }
            Requester::Dispatch { service, id } => {
                context.dispatch(dispatch::Event::ForwardFailed { service, id });
            }
        }
    }
}

/// The state of the peer thread.
struct Hub {
    context: Context,
    log: Logger,
    neighbours: HashMap<Vm, Neighbour>,
    links: HashMap<u64, Link>,
    /// The link that carries what is sent to a VM.
    preferred: HashMap<Vm, u64>,
    /// The requests without a response, by id.
    pending: HashMap<u64, PendingRequest>,
    /// Entries that could not be reached, each with the time until which it is not dialled.
    unreachable: HashMap<Vm, Instant>,
    next_id: u64,
}

/// Runs the peer thread until its inbox closes.
pub async fn run(context: Context, inbox: Inbox<Command>) {
    let mut inbox = inbox.open().await;
    let log = context.log.clone();
    let mut hub = Hub {
        context,
        log,
        neighbours: HashMap::new(),
        links: HashMap::new(),
        preferred: HashMap::new(),
        pending: HashMap::new(),
        unreachable: HashMap::new(),
        next_id: 1,
    };
    while let Some(command) = inbox.recv().await {
        hub.handle(command);
    }
}

impl Hub {
    fn handle(&mut self, command: Command) {
        match command {
            Command::Neighbours(neighbours) => self.neighbours = neighbours,
            Command::Accepted(stream) => self.accept(stream),
            Command::Send { to, frame } => {
                let _ = self.send(to, frame);
            }
            Command::Request {
                to,
                request,
                timeout,
                reply,
            } => self.request(to, request, timeout, Requester::Reply(reply)),
            Command::Forward {
                to,
                service,
                id,
                call,
                timeout,
            } => {
                self.request(
                    to,
                    Request::Call(call),
                    timeout,
                    Requester::Dispatch { service, id },
                );
            }
            Command::Respond { link, id, response } => self.respond(link, id, response),
            Command::Arrived { link, frame } => self.arrived(link, frame),
            Command::Dialled { link, vm } => self.dialled(link, vm),
            Command::Closed { link } => self.closed(link),
            Command::Expired { id } => self.expired(id),
        }
    }

    /// Queues a frame on the link to `to`, and dials one if there is none; returns the link.
    fn send(&mut self, to: Vm, frame: Frame) -> Result<u64> {
        let link = match self.preferred.get(&to) {
            Some(&link) => link,
            None => self.dial(to)?,
        };
        let frame = self.queued(Some(to), frame);
        let queue = self.links.get(&link).map(|link| &link.queue);
        let queued = queue.is_some_and(|queue| queue.try_send(frame).is_ok());
        self.context
            .metrics
            .peer_messages
            .add(1, &label("direction", "sent"));
        if queued {
            return Ok(link);
        }
        Err(Error::new(
            Kind::Overloaded,
            format!("the link to VM {} is full; retry later", to.0),
        ))
    }

    /// Returns a frame for the queue of a link to `to`, if that is known.
    fn queued(&self, to: Option<Vm>, frame: Frame) -> Queued {
        let neighbour = to.and_then(|vm| self.neighbours.get(&vm));
        let is_remote = neighbour.is_some_and(|neighbour| neighbour.is_remote);
        Queued { frame, is_remote }
    }

    /// Sends a request, and fails it when it cannot be sent or times out.
    fn request(&mut self, to: Vm, request: Request, timeout: Duration, requester: Requester) {
        let id = self.next_id();
        let timeout_ms = timeout.as_millis() as u64;
        let frame = Frame::Request {
            id,
            timeout_ms,
            request: Box::new(request),
        };
        match self.send(to, frame) {
            Ok(link) => {
                self.pending.insert(id, PendingRequest { link, requester });
                self.send_later(timeout, Command::Expired { id });
            }
            Err(error) => requester.fail(&self.context, error),
        }
    }

    /// Queues the response to a request that another entry sent; drops it if the link is closed.
    fn respond(&mut self, link: u64, id: u64, response: Result<Response>) {
        let Some(link) = self.links.get(&link) else {
            return;
        };
        let response = Box::new(response);
        let frame = self.queued(link.vm, Frame::Response { id, response });
        let _ = link.queue.try_send(frame);
    }

    fn arrived(&mut self, link: u64, frame: Frame) {
        self.context
            .metrics
            .peer_messages
            .add(1, &label("direction", "received"));
        match frame {
            Frame::Hello { node } => self.identified(link, node),
            Frame::KeepAlive => {}
            Frame::Request {
                id,
                timeout_ms,
                request,
            } => {
                let timeout = Duration::from_millis(timeout_ms);
                self.serve(link, id, *request, timeout);
            }
            Frame::Response { id, response } => self.responded(link, id, *response),
            Frame::Membership(heartbeat) => {
                self.context.control(control::Event::Membership(heartbeat));
            }
            Frame::Lease(from, message) => {
                self.context
                    .control(control::Event::Lease { from, message });
            }
            Frame::Relay {
                from,
                stream,
                message,
            } => {
                let event = control::journal::Event::Relay {
                    stream,
                    from,
                    message,
                };
                self.context.control(control::Event::Log(event));
            }
            Frame::SlotRequest(request) => {
                self.context.control(control::Event::SlotRequest(request));
            }
            Frame::SlotHandover(handover) => {
                self.context.control(control::Event::SlotHandover(handover));
            }
            Frame::SlotGrant(grant) => self.context.dispatch(dispatch::Event::Granted(grant)),
        }
    }

    /// Records which VM is at the other end of a link. The link that was identified last carries
    /// what is sent to that VM.
    fn identified(&mut self, id: u64, node: Node) {
        if let Some(link) = self.links.get_mut(&id) {
            link.vm = Some(node.vm);
            self.preferred.insert(node.vm, id);
        }
    }

    /// Passes a request to the dispatch or the control thread and sends the response on the same
    /// link.
    fn serve(&self, link: u64, id: u64, request: Request, timeout: Duration) {
        let context = self.context.clone();
        actix_rt::spawn(async move {
            let response = match request {
                Request::Call(call) => context.call(call, Origin::Peer, timeout).await,
                request => context.request(request, timeout, true).await,
            };
            context.peer(Command::Respond { link, id, response });
        });
    }

    /// Delivers a response to the pending request with its id, if that was sent on the same link.
    fn responded(&mut self, link: u64, id: u64, response: Result<Response>) {
        let belongs = self
            .pending
            .get(&id)
            .is_some_and(|pending| pending.link == link);
        if !belongs {
            return;
        }
        if let Some(pending) = self.pending.remove(&id) {
            pending.requester.respond(&self.context, response);
        }
    }

    fn expired(&mut self, id: u64) {
        if let Some(pending) = self.pending.remove(&id) {
            pending
                .requester
                .fail(&self.context, lost("no response arrived in time"));
        }
    }

    fn dialled(&mut self, id: u64, vm: Vm) {
        info!(self.log, "link is up"; "link" => id, "vm" => vm.0);
        if let Some(link) = self.links.get_mut(&id) {
            link.is_up = true;
        }
    }

    /// Logs the end of a link that was up; otherwise delays the next dial of its entry.
    fn note_closed(&mut self, id: u64, vm: Vm, was_up: bool) {
        if was_up {
            info!(self.log, "link is down"; "link" => id, "vm" => vm.0);
        } else {
            let now = self.context.clock.now();
            self.unreachable.insert(vm, now + DIAL_PAUSE);
        }
    }

    fn closed(&mut self, id: u64) {
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        if let Some(vm) = link.vm {
            if self.preferred.get(&vm) == Some(&id) {
                self.preferred.remove(&vm);
            }
            self.note_closed(id, vm, link.is_up);
        }
        let lost_requests: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.link == id)
            .map(|(&id, _)| id)
            .collect();
        for request in lost_requests {
            if let Some(pending) = self.pending.remove(&request) {
                pending
                    .requester
                    .fail(&self.context, lost("the link broke"));
            }
        }
    }

    /// Starts to dial a link to `to`; frames wait in its queue until it is up.
    fn dial(&mut self, to: Vm) -> Result<u64> {
        let now = self.context.clock.now();
        if self.unreachable.get(&to).is_some_and(|until| now < *until) {
            let message = format!("VM {} cannot be reached now; retry later", to.0);
            return Err(Error::new(Kind::NoOwner, message));
        }
        let Some(&Neighbour { address, .. }) = self.neighbours.get(&to) else {
            let message = format!("VM {} is not in the VM list; retry later", to.0);
            return Err(Error::new(Kind::NoOwner, message));
        };
        let id = self.next_id();
        let (queue, frames) = mpsc::channel(QUEUE_FRAMES);
        self.links.insert(
            id,
            Link {
                vm: Some(to),
                is_up: false,
                queue,
            },
        );
        self.preferred.insert(to, id);
        let context = self.context.clone();
        actix_rt::spawn(async move {
            if let Some(socket) = connect(address).await {
                context.peer(Command::Dialled { link: id, vm: to });
                serve_link(&context, id, socket, frames).await;
            }
            context.peer(Command::Closed { link: id });
        });
        Ok(id)
    }

    /// Adds a link that another entry dialled.
    fn accept(&mut self, stream: std::net::TcpStream) {
        let Ok(stream) = TcpStream::from_std(stream) else {
            return;
        };
        let id = self.next_id();
        let (queue, frames) = mpsc::channel(QUEUE_FRAMES);
        self.links.insert(
            id,
            Link {
                vm: None,
                is_up: true,
                queue,
            },
        );
        let context = self.context.clone();
        actix_rt::spawn(async move {
            let config = Some(wire::socket_config());
            let socket = WebSocketStream::from_raw_socket(stream, Role::Server, config).await;
            serve_link(&context, id, socket, frames).await;
            context.peer(Command::Closed { link: id });
        });
    }

    fn send_later(&self, delay: Duration, command: Command) {
        let context = self.context.clone();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(delay).await;
            context.peer(command);
        });
    }

    fn next_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }
}

/// Returns the error for a request whose response can no longer arrive.
fn lost(reason: &str) -> Error {
    Error::new(
        Kind::AnswerLost,
        format!("the owner's response is lost: {reason}"),
    )
}
