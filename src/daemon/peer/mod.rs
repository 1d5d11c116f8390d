//! Links to the other entries.
//!
//! The peer part owns every link. It dials an entry when there is something to send, takes links
//! that others dialled, and hands the frames that arrive to the part they concern. Each link has a
//! task that writes what is queued, sends heartbeats and closes the link when nothing arrived for
//! [`SILENCE`]. An ask whose link is lost is answered with [`Kind::AnswerLost`] at once, and its
//! sender decides whether to ask again.

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
use crate::wire::{Ask, Frame, Reply, Tell};

/// How often a link carries a heartbeat.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(800);
/// How long a link may be silent before it is closed.
pub const SILENCE: Duration = Duration::from_millis(2_500);
/// How long a connection attempt may take.
const DIAL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long an entry that could not be reached is not dialled again.
const DIAL_PAUSE: Duration = Duration::from_millis(300);
/// How many frames wait for one link.
const QUEUE_FRAMES: usize = 4_096;
/// The path that a link is dialled on.
pub const PATH: &str = "/v1/peer";

/// One link.
struct Link {
    vm: Option<Vm>,
    is_up: bool,
    queue: mpsc::Sender<Queued>,
}

/// An ask that waits for its answer.
struct Waiting {
    link: u64,
    asker: Asker,
}

/// Who is told the answer to an ask.
enum Asker {
    /// Whoever holds the other end of the channel.
    Reply(Reply),
    /// The dispatch part.
    Dispatch {
        /// The service of the call.
        service: Service,
        /// The request.
        id: Id,
    },
}

impl Asker {
    /// Passes on the answer.
    fn tell(self, context: &Context, tell: Result<Tell>) {
        match self {
            Asker::Reply(reply) => {
                let _ = reply.send(tell);
            }
            Asker::Dispatch { service, id } => {
                context.dispatch(dispatch::Event::Returned { service, id, tell });
            }
        }
    }

    /// Says that there will be no answer.
    fn fail(self, context: &Context, error: Error) {
        match self {
            Asker::Reply(reply) => {
                let _ = reply.send(Err(error));
            }
            Asker::Dispatch { service, id } => {
                context.dispatch(dispatch::Event::ForwardFailed { service, id });
            }
        }
    }
}

/// The state of the peer part.
struct Hub {
    context: Context,
    log: Logger,
    neighbours: HashMap<Vm, Neighbour>,
    links: HashMap<u64, Link>,
    best: HashMap<Vm, u64>,
    waiting: HashMap<u64, Waiting>,
    /// Entries that could not be reached, and until when they are left alone.
    unreachable: HashMap<Vm, Instant>,
    next_id: u64,
}

/// Runs the peer part until its inbox closes.
pub async fn run(context: Context, inbox: Inbox<Command>) {
    let mut inbox = inbox.open().await;
    let log = context.log.clone();
    let mut hub = Hub {
        context,
        log,
        neighbours: HashMap::new(),
        links: HashMap::new(),
        best: HashMap::new(),
        waiting: HashMap::new(),
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
            Command::Ask {
                to,
                ask,
                timeout,
                reply,
            } => self.ask(to, ask, timeout, Asker::Reply(reply)),
            Command::Forward {
                to,
                service,
                id,
                call,
                timeout,
            } => {
                self.ask(
                    to,
                    Ask::Call(call),
                    timeout,
                    Asker::Dispatch { service, id },
                );
            }
            Command::Tell { link, id, tell } => self.tell(link, id, tell),
            Command::Arrived { link, frame } => self.arrived(link, frame),
            Command::Dialled { link, vm } => self.dialled(link, vm),
            Command::Closed { link } => self.closed(link),
            Command::Expired { id } => self.expired(id),
        }
    }

    /// Queues a frame on the link to `to`, which is dialled if there is none.
    fn send(&mut self, to: Vm, frame: Frame) -> Result<u64> {
        let link = match self.best.get(&to) {
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
            format!("the link to VM {} is full; come back", to.0),
        ))
    }

    /// Returns a frame for the queue of a link to `to`.
    fn queued(&self, to: Option<Vm>, frame: Frame) -> Queued {
        let neighbour = to.and_then(|vm| self.neighbours.get(&vm));
        let is_remote = neighbour.is_some_and(|neighbour| neighbour.is_remote);
        Queued { frame, is_remote }
    }

    fn ask(&mut self, to: Vm, ask: Ask, timeout: Duration, asker: Asker) {
        let id = self.take_id();
        let timeout_ms = timeout.as_millis() as u64;
        let frame = Frame::Ask {
            id,
            timeout_ms,
            ask: Box::new(ask),
        };
        match self.send(to, frame) {
            Ok(link) => {
                self.waiting.insert(id, Waiting { link, asker });
                self.notify_later(timeout, Command::Expired { id });
            }
            Err(error) => asker.fail(&self.context, error),
        }
    }

    fn tell(&mut self, link: u64, id: u64, tell: Result<Tell>) {
        let Some(link) = self.links.get(&link) else {
            return;
        };
        let tell = Box::new(tell);
        let frame = self.queued(link.vm, Frame::Tell { id, tell });
        let _ = link.queue.try_send(frame);
    }

    fn arrived(&mut self, link: u64, frame: Frame) {
        self.context
            .metrics
            .peer_messages
            .add(1, &label("direction", "received"));
        match frame {
            Frame::Hello { node } => self.greeted(link, node),
            Frame::KeepAlive => {}
            Frame::Ask {
                id,
                timeout_ms,
                ask,
            } => {
                let timeout = Duration::from_millis(timeout_ms);
                self.serve(link, id, *ask, timeout);
            }
            Frame::Tell { id, tell } => self.answered(link, id, *tell),
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
            Frame::SlotAsk(ask) => self.context.control(control::Event::SlotAsk(ask)),
            Frame::SlotEstate(estate) => self.context.control(control::Event::SlotEstate(estate)),
            Frame::SlotGrant(grant) => self.context.dispatch(dispatch::Event::Granted(grant)),
        }
    }

    /// Learns who is at the other end of a link; the newest link to a VM carries what is sent.
    fn greeted(&mut self, id: u64, node: Node) {
        if let Some(link) = self.links.get_mut(&id) {
            link.vm = Some(node.vm);
            self.best.insert(node.vm, id);
        }
    }

    /// Hands an ask to the control part and sends its answer back on the same link.
    fn serve(&self, link: u64, id: u64, ask: Ask, timeout: Duration) {
        let context = self.context.clone();
        actix_rt::spawn(async move {
            let tell = match ask {
                Ask::Call(call) => context.call(call, Origin::Peer, timeout).await,
                ask => context.ask(ask, timeout, true).await,
            };
            context.peer(Command::Tell { link, id, tell });
        });
    }

    /// Gives an answer to the ask it belongs to, if that was sent on the same link.
    fn answered(&mut self, link: u64, id: u64, tell: Result<Tell>) {
        let belongs = self
            .waiting
            .get(&id)
            .is_some_and(|waiting| waiting.link == link);
        if !belongs {
            return;
        }
        if let Some(waiting) = self.waiting.remove(&id) {
            waiting.asker.tell(&self.context, tell);
        }
    }

    fn expired(&mut self, id: u64) {
        if let Some(waiting) = self.waiting.remove(&id) {
            waiting
                .asker
                .fail(&self.context, lost("no answer came in time"));
        }
    }

    fn dialled(&mut self, id: u64, vm: Vm) {
        info!(self.log, "link is up"; "link" => id, "vm" => vm.0);
        if let Some(link) = self.links.get_mut(&id) {
            link.is_up = true;
        }
    }

    /// Reports a link that was up; an entry that could not be reached is left alone for a while.
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
            if self.best.get(&vm) == Some(&id) {
                self.best.remove(&vm);
            }
            self.note_closed(id, vm, link.is_up);
        }
        let orphans: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.link == id)
            .map(|(&id, _)| id)
            .collect();
        for orphan in orphans {
            if let Some(waiting) = self.waiting.remove(&orphan) {
                waiting.asker.fail(&self.context, lost("the link broke"));
            }
        }
    }

    /// Opens a link to `to`; frames wait in its queue until it is up.
    fn dial(&mut self, to: Vm) -> Result<u64> {
        let now = self.context.clock.now();
        if self.unreachable.get(&to).is_some_and(|until| now < *until) {
            let message = format!("VM {} cannot be reached now; come back", to.0);
            return Err(Error::new(Kind::NoOwner, message));
        }
        let Some(&Neighbour { address, .. }) = self.neighbours.get(&to) else {
            let message = format!("VM {} is not in the VM list; come back", to.0);
            return Err(Error::new(Kind::NoOwner, message));
        };
        let id = self.take_id();
        let (queue, frames) = mpsc::channel(QUEUE_FRAMES);
        self.links.insert(
            id,
            Link {
                vm: Some(to),
                is_up: false,
                queue,
            },
        );
        self.best.insert(to, id);
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

    fn accept(&mut self, stream: std::net::TcpStream) {
        let Ok(stream) = TcpStream::from_std(stream) else {
            return;
        };
        let id = self.take_id();
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
            let socket = WebSocketStream::from_raw_socket(stream, Role::Server, None).await;
            serve_link(&context, id, socket, frames).await;
            context.peer(Command::Closed { link: id });
        });
    }

    fn notify_later(&self, delay: Duration, command: Command) {
        let context = self.context.clone();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(delay).await;
            context.peer(command);
        });
    }

    fn take_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }
}

/// Makes the error of an ask whose answer cannot come any more.
fn lost(reason: &str) -> Error {
    Error::new(
        Kind::AnswerLost,
        format!("the owner's answer is lost: {reason}"),
    )
}
