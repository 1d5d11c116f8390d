//! The HTTP server of one stand-in, with fault injection.
//!
//! One async task accepts connections, and each connection is served by the HTTP library in its own
//! task. A request is read completely and then handled in another task, which applies the fault
//! switches, so the request takes effect even if its connection closes. A silent connection keeps
//! its socket open but is no longer polled.

use std::cell::RefCell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::{Future, pending};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{HttpService, KeepAlive, StatusCode};
use actix_service::{Service as _, ServiceFactory as _, fn_service};
use bytes::Bytes;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, watch};

use super::fault::Faults;
use super::http::{Request, Response};

/// The maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// The interval between attempts to bind a port.
const BIND_RETRY: Duration = Duration::from_millis(20);

/// The request handling of a stand-in.
pub trait Serve: 'static {
    /// Handles a request on the stand-in's own port.
    fn serve(&self, request: Request, faults: Faults) -> impl Future<Output = Response>;

    /// Handles a request on the control port; `path` is the part after `/v1/{role}/{index}/`.
    fn control(&self, path: &str, request: &Request) -> Response {
        let _ = path;
        Response::not_found(request)
    }

    /// Returns whether a new connection is accepted while `open` others are open.
    fn accepts_connection(&self, open: usize) -> bool {
        let _ = open;
        true
    }
}

impl<S: Serve> Serve for Rc<S> {
    async fn serve(&self, request: Request, faults: Faults) -> Response {
        S::serve(self, request, faults).await
    }

    fn control(&self, path: &str, request: &Request) -> Response {
        S::control(self, path, request)
    }

    fn accepts_connection(&self, open: usize) -> bool {
        S::accepts_connection(self, open)
    }
}

/// A command to a connection's task.
#[derive(Clone, Copy, PartialEq)]
enum Command {
    /// Close the connection.
    Close,
    /// Stop polling the connection but keep its socket open.
    Silence,
}

/// An open connection.
struct Connection {
    commands: mpsc::UnboundedSender<Command>,
    silent: bool,
}

/// A stand-in and the port that it listens on.
pub struct Server<S> {
    address: SocketAddr,
    /// The request handling.
    pub service: S,
    faults: watch::Sender<Faults>,
    connections: RefCell<HashMap<SocketAddr, Connection>>,
}

impl<S: Serve> Server<S> {
    /// Listens on `address` and starts to serve it on this thread.
    ///
    /// # Errors
    ///
    /// Fails when the server cannot listen on `address`.
    pub fn start(address: SocketAddr, service: S) -> io::Result<Rc<Server<S>>> {
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

    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the faults that are switched on.
    pub fn faults(&self) -> Faults {
        self.faults.borrow().clone()
    }

    /// Sets all fault switches and applies `down` and `silent` to the open connections.
    pub fn set_faults(&self, faults: Faults) {
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

    /// Lets `count` of the open connections go silent for good. Returns how many did.
    pub fn silence(&self, count: usize) -> usize {
        let mut connections = self.connections.borrow_mut();
        let open = connections.values_mut().filter(|each| !each.silent);
        let mut silenced = 0;
        for connection in open.take(count) {
            connection.silent = true;
            silenced += 1;
            // A connection that has just closed takes no command.
            let _ = connection.commands.send(Command::Silence);
        }
        silenced
    }

    /// Returns the number of connections that are open and not silent.
    fn open_connections(&self) -> usize {
        let connections = self.connections.borrow();
        connections.values().filter(|each| !each.silent).count()
    }

    /// Closes the connection to `peer` without a response.
    fn close_connection(&self, peer: Option<SocketAddr>) {
        let connections = self.connections.borrow();
        let connection = peer.and_then(|peer| connections.get(&peer));
        if let Some(connection) = connection {
            let _ = connection.commands.send(Command::Close);
        }
    }

    /// Waits for the delay of `slow_ms` and then until `frozen` is off.
    async fn delay(&self) {
        let slow = Duration::from_millis(self.faults.borrow().slow_ms);
        if !slow.is_zero() {
            actix_rt::time::sleep(slow).await;
        }
        let mut faults = self.faults.subscribe();
        let _ = faults.wait_for(|faults| !faults.frozen).await;
    }

    /// Handles a request under the fault switches; returns `None` when its response is lost.
    async fn handle(&self, request: Request) -> Option<Response> {
        self.delay().await;
        let is_change = request.is_change();
        let mut is_lost = false;
        if is_change {
            self.faults.send_if_modified(|faults| {
                is_lost = faults.answer_lost.consume();
                false
            });
        }
        let response = self.service.serve(request, self.faults()).await;
        (!is_lost).then_some(response)
    }
}

/// Creates a socket that is bound to `address` but not listening.
fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Accepts connections, except while the stand-in is down.
async fn accept<S: Serve>(server: Rc<Server<S>>, listener: TcpListener) {
    let handler = Rc::clone(&server);
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .h1(fn_service(move |request| {
            handle(Rc::clone(&handler), request)
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
                    let commands = register(&server, peer);
                    if let Some(commands) = commands {
                        let connection = http.call(stream);
                        let server = Rc::clone(&server);
                        actix_rt::spawn(async move {
                            drive(connection, commands).await;
                            server.connections.borrow_mut().remove(&peer);
                        });
                    }
                }
            }
            _ = faults.changed() => {
                if faults.borrow_and_update().down {
                    listener = refuse_while_down(listener, server.address, &mut faults).await;
                }
            }
        }
    }
}

/// Refuses connections until `down` is off, then returns a new listener.
///
/// A socket that does not listen keeps the port bound, so no other process can take it.
async fn refuse_while_down(
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

/// Registers a connection and returns the receiver of its commands, or `None` when the connection
/// is not accepted.
fn register<S: Serve>(
    server: &Server<S>,
    peer: SocketAddr,
) -> Option<mpsc::UnboundedReceiver<Command>> {
    if !server.service.accepts_connection(server.open_connections()) {
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

/// Polls a connection until it ends or receives [`Command::Close`].
///
/// After [`Command::Silence`] the connection is no longer polled, but stays open.
async fn drive<T>(
    connection: impl Future<Output = T>,
    mut commands: mpsc::UnboundedReceiver<Command>,
) {
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = &mut connection => return,
        command = commands.recv() => {
            if command != Some(Command::Silence) {
                return;
            }
        }
    }
    while commands.recv().await == Some(Command::Silence) {}
}

/// Handles one request that the HTTP library received.
async fn handle<S: Serve>(
    server: Rc<Server<S>>,
    request: actix_http::Request,
) -> Result<actix_http::Response<Bytes>, Infallible> {
    let peer = request.peer_addr();
    let request = match Request::read(request).await {
        Ok(request) => request,
        Err(response) => return Ok(response.into_response()),
    };
    let handler = Rc::clone(&server);
    let handled = actix_rt::spawn(async move { handler.handle(request).await });
    match handled.await {
        Ok(Some(response)) => Ok(response.into_response()),
        Ok(None) => {
            server.close_connection(peer);
            pending().await
        }
        Err(error) => {
            let response = Response::error(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string());
            Ok(response.into_response())
        }
    }
}
