//! The port of one stand-in and its faults.
//!
//! One task accepts connections; each connection is a task that the HTTP library drives. A request
//! is read whole, passes the switches and then runs in a task of its own, so that its effect takes
//! place even when its connection goes away. A connection that turned silent keeps its socket open
//! and is driven no more.

use std::cell::RefCell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::{Future, pending};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{HttpService, KeepAlive, Response, StatusCode};
use actix_service::{Service as _, ServiceFactory as _, fn_service};
use bytes::Bytes;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, watch};

use super::fault::Faults;
use super::http::{Answer, Request};

/// How many connections may wait to be accepted.
const BACKLOG: u32 = 1024;

/// The span between attempts to take a port.
const BIND_RETRY: Duration = Duration::from_millis(20);

/// What a stand-in does with requests.
pub(super) trait Serve: 'static {
    /// Answers a request of the platform's interface.
    fn serve(&self, request: Request, faults: Faults) -> impl Future<Output = Answer>;

    /// Answers a request on the control port; `path` is what follows the stand-in's name.
    fn control(&self, path: &str, request: &Request) -> Answer;

    /// Returns whether one more connection is accepted beside `open` others.
    fn admits(&self, open: usize) -> bool {
        let _ = open;
        true
    }
}

/// What is asked of a connection's task.
#[derive(Clone, Copy, PartialEq)]
enum Command {
    Close,
    Silence,
}

/// An open connection.
struct Connection {
    commands: mpsc::UnboundedSender<Command>,
    silent: bool,
}

/// A stand-in with its port.
pub(super) struct Server<S> {
    address: SocketAddr,
    pub(super) service: S,
    faults: watch::Sender<Faults>,
    connections: RefCell<HashMap<SocketAddr, Connection>>,
}

impl<S: Serve> Server<S> {
    /// Takes the port `address` and starts to serve it on this thread.
    ///
    /// # Errors
    ///
    /// Fails when the port cannot be taken.
    pub(super) fn start(address: SocketAddr, service: S) -> io::Result<Rc<Server<S>>> {
        let listener = bind(address)?.listen(BACKLOG)?;
        let server = Rc::new(Server {
            address: listener.local_addr()?,
            service,
            faults: watch::Sender::new(Faults::default()),
            connections: RefCell::default(),
        });
        actix_rt::spawn(accept(Rc::clone(&server), listener));
        Ok(server)
    }

    /// Returns where the stand-in answers.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the faults that are switched on.
    pub(super) fn faults(&self) -> Faults {
        self.faults.borrow().clone()
    }

    /// Sets all switches.
    pub(super) fn set_faults(&self, faults: Faults) {
        let silent = faults.silent;
        let down = faults.down;
        for connection in self.connections.borrow_mut().values_mut() {
            if down || (connection.silent && !silent) {
                let _ = connection.commands.send(Command::Close);
            } else if silent && !connection.silent {
                connection.silent = true;
                let _ = connection.commands.send(Command::Silence);
            }
        }
        self.faults.send_replace(faults);
    }

    /// Returns how many connections are open and not silent.
    fn open(&self) -> usize {
        let connections = self.connections.borrow();
        connections.values().filter(|each| !each.silent).count()
    }

    /// Closes the connection to `peer` without an answer.
    fn close(&self, peer: Option<SocketAddr>) {
        let connections = self.connections.borrow();
        let connection = peer.and_then(|peer| connections.get(&peer));
        if let Some(connection) = connection {
            let _ = connection.commands.send(Command::Close);
        }
    }

    /// Waits as long as the switches ask for.
    async fn delay(&self) {
        let slow = Duration::from_millis(self.faults.borrow().slow_ms);
        if !slow.is_zero() {
            actix_rt::time::sleep(slow).await;
        }
        let mut faults = self.faults.subscribe();
        let _ = faults.wait_for(|faults| !faults.frozen).await;
    }

    /// Takes a request through the switches; returns `None` when its answer is lost.
    async fn handle(&self, request: Request) -> Option<Answer> {
        self.delay().await;
        let is_change = request.is_change();
        let mut is_lost = false;
        if is_change {
            self.faults.send_if_modified(|faults| {
                is_lost = faults.answer_lost.take();
                false
            });
        }
        let answer = self.service.serve(request, self.faults()).await;
        (!is_lost).then_some(answer)
    }
}

/// Opens a socket on `address` that does not listen yet.
fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Accepts connections while the stand-in is up.
async fn accept<S: Serve>(server: Rc<Server<S>>, listener: TcpListener) {
    let handler = Rc::clone(&server);
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .h1(fn_service(move |request| {
            answer(Rc::clone(&handler), request)
        }))
        .tcp();
    let Ok(http) = factory.new_service(()).await else {
        return;
    };
    let mut faults = server.faults.subscribe();
    let mut listener = listener;
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, peer)) = accepted {
                    let commands = open(&server, peer);
                    if let Some(commands) = commands {
                        let driven = http.call(stream);
                        let server = Rc::clone(&server);
                        actix_rt::spawn(async move {
                            drive(driven, commands).await;
                            server.connections.borrow_mut().remove(&peer);
                        });
                    }
                }
            }
            _ = faults.changed() => {
                if faults.borrow_and_update().down {
                    listener = stay_down(listener, server.address, &mut faults).await;
                }
            }
        }
    }
}

/// Refuses connections until the switch is off; returns the listener from then on.
///
/// The port stays taken by a socket that does not listen, so nobody else gets it.
async fn stay_down(
    listener: TcpListener,
    address: SocketAddr,
    faults: &mut watch::Receiver<Faults>,
) -> TcpListener {
    drop(listener);
    let mut socket = bind(address);
    let _ = faults.wait_for(|faults| !faults.down).await;
    loop {
        if let Ok(listener) = socket.and_then(|socket| socket.listen(BACKLOG)) {
            return listener;
        }
        actix_rt::time::sleep(BIND_RETRY).await;
        socket = bind(address);
    }
}

/// Registers a connection; returns `None` when it is not admitted.
fn open<S: Serve>(
    server: &Server<S>,
    peer: SocketAddr,
) -> Option<mpsc::UnboundedReceiver<Command>> {
    if !server.service.admits(server.open()) {
        return None;
    }
    let (commands, receiver) = mpsc::unbounded_channel();
    let connection = Connection {
        commands,
        silent: false,
    };
    server.connections.borrow_mut().insert(peer, connection);
    Some(receiver)
}

/// Drives a connection until it ends or is told to.
async fn drive<T>(driven: impl Future<Output = T>, mut commands: mpsc::UnboundedReceiver<Command>) {
    let mut driven = std::pin::pin!(driven);
    tokio::select! {
        _ = &mut driven => return,
        command = commands.recv() => {
            if command != Some(Command::Silence) {
                return;
            }
        }
    }
    while commands.recv().await == Some(Command::Silence) {}
}

/// Answers one request of the HTTP library.
async fn answer<S: Serve>(
    server: Rc<Server<S>>,
    request: actix_http::Request,
) -> Result<Response<Bytes>, Infallible> {
    let peer = request.peer_addr();
    let request = match Request::read(request).await {
        Ok(request) => request,
        Err(answer) => return Ok(answer.into_response()),
    };
    let handler = Rc::clone(&server);
    let handled = actix_rt::spawn(async move { handler.handle(request).await });
    match handled.await {
        Ok(Some(answer)) => Ok(answer.into_response()),
        Ok(None) => {
            server.close(peer);
            pending().await
        }
        Err(error) => {
            let answer = Answer::error(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string());
            Ok(answer.into_response())
        }
    }
}
