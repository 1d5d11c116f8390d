//! Links between entries: web sockets that carry [`Frame`]s in CBOR.
//!
//! Every entry dials the owner; both ends may send requests. A link that receives no frame for
//! [`SILENCE_TIMEOUT`] is closed, because a connection can stop delivering data for good while new
//! connections work.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::{Bytes, Message};

use super::message::{EntryRequest, EntryResponse, Frame};
use crate::core::error::{Error, Kind, Result};
use crate::wire;

/// The interval between heartbeats on an idle link.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// A link that receives no frame for this long is closed: lookups are due within 0.9 s, and an entry
/// may be paused for a tenth of a second when its share of the processor is used up.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(400);
/// How long dialling and the handshake may take: two round trips between regions and the delay of a
/// busy entry.
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);
/// How many frames may be queued on a slow link.
const QUEUE_FRAMES: usize = 4_096;

/// A handle of one end of a link.
#[derive(Clone)]
pub struct Link {
    shared: Rc<Shared>,
}

struct Shared {
    /// The name of the entry at the other end; empty until its [`Frame::Hello`] has arrived.
    name: RefCell<String>,
    queue: mpsc::Sender<Frame>,
    /// The requests that wait for a response, by id.
    waiting: RefCell<HashMap<u64, oneshot::Sender<Result<EntryResponse>>>>,
    next_id: Cell<u64>,
    is_open: Cell<bool>,
    closed: Notify,
}

impl Link {
    /// Returns the name of the entry at the other end; empty while unknown.
    pub fn name(&self) -> String {
        self.shared.name.borrow().clone()
    }

    /// Whether the link is open. A connection that delivers no more data counts as
    /// open until the silence timeout.
    pub fn is_open(&self) -> bool {
        self.shared.is_open.get()
    }

    /// Closes the link. The entry that dialled it then searches for the owner again.
    pub fn close(&self) {
        self.shared.is_open.set(false);
        self.shared.closed.notify_one();
    }

    /// Sends a request to the other end and returns its response.
    ///
    /// # Errors
    ///
    /// [`Kind::NoOwner`] when the request was certainly not sent, [`Kind::AnswerLost`] when the link
    /// failed or `timeout` passed before the response, or the other end's error.
    pub async fn request(&self, request: EntryRequest, timeout: Duration) -> Result<EntryResponse> {
        let id = self.shared.next_id.replace(self.shared.next_id.get() + 1);
        let (reply, answer) = oneshot::channel();
        self.shared.waiting.borrow_mut().insert(id, reply);
        let is_queued = self.is_open()
            && self
                .shared
                .queue
                .try_send(Frame::Request { id, request })
                .is_ok();
        if !is_queued {
            self.shared.waiting.borrow_mut().remove(&id);
            return Err(Error::new(
                Kind::NoOwner,
                "the link to the other entry is closed or its queue is full; retry later",
            ));
        }
        let answer = tokio::time::timeout(timeout, answer).await;
        self.shared.waiting.borrow_mut().remove(&id);
        match answer {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(Error::new(
                Kind::AnswerLost,
                "the link failed before the response arrived",
            )),
            Err(_) => Err(Error::new(
                Kind::AnswerLost,
                "the response did not arrive in time",
            )),
        }
    }
}

/// Dials another entry; returns `None` when the connection or the handshake fails.
pub async fn dial(address: SocketAddr) -> Option<WebSocketStream<TcpStream>> {
    let dialled = async {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let url = format!("ws://{address}/");
        let config = Some(wire::socket_config());
        let connected = tokio_tungstenite::client_async_with_config(url, stream, config);
        connected.await.ok()
    };
    let (socket, _response) = tokio::time::timeout(DIAL_TIMEOUT, dialled).await.ok()??;
    Some(socket)
}

/// Completes the handshake of an accepted connection; returns `None` when it fails.
pub async fn accept(stream: TcpStream) -> Option<WebSocketStream<TcpStream>> {
    stream.set_nodelay(true).ok()?;
    let config = Some(wire::socket_config());
    let accepted = tokio_tungstenite::accept_async_with_config(stream, config);
    tokio::time::timeout(DIAL_TIMEOUT, accepted)
        .await
        .ok()?
        .ok()
}

/// Returns the handle of a link and the future that transfers its frames, which completes when the
/// link is closed. The link first sends `entry_name`, this entry's name; `serve` handles the requests
/// of the other end.
pub fn open<S, F>(
    socket: WebSocketStream<TcpStream>,
    entry_name: String,
    serve: S,
) -> (Link, impl Future<Output = ()>)
where
    S: Fn(EntryRequest) -> F + 'static,
    F: Future<Output = Result<EntryResponse>> + 'static,
{
    let (queue, frames) = mpsc::channel(QUEUE_FRAMES);
    let shared = Rc::new(Shared {
        name: RefCell::default(),
        queue,
        waiting: RefCell::default(),
        next_id: Cell::new(0),
        is_open: Cell::new(true),
        closed: Notify::new(),
    });
    let link = Link {
        shared: Rc::clone(&shared),
    };
    let end = TaskEnd(shared);
    (link, transfer(end, socket, frames, entry_name, serve))
}

/// Closes the link and fails all waiting requests when the task of this end completes or is dropped.
struct TaskEnd(Rc<Shared>);

impl Drop for TaskEnd {
    fn drop(&mut self) {
        self.0.is_open.set(false);
        self.0.waiting.borrow_mut().clear();
    }
}

/// Sends queued frames and heartbeats and handles received frames until the link is closed.
async fn transfer<S, F>(
    end: TaskEnd,
    socket: WebSocketStream<TcpStream>,
    mut frames: mpsc::Receiver<Frame>,
    entry_name: String,
    serve: S,
) where
    S: Fn(EntryRequest) -> F + 'static,
    F: Future<Output = Result<EntryResponse>> + 'static,
{
    let (mut sink, mut stream) = socket.split();
    let hello = encode(&Frame::Hello { name: entry_name });
    let sending = async {
        if sink.send(hello).await.is_err() {
            return;
        }
        loop {
            let frame = match tokio::time::timeout(HEARTBEAT_INTERVAL, frames.recv()).await {
                Ok(Some(frame)) => frame,
                Ok(None) => return,
                Err(_) => Frame::Heartbeat,
            };
            if sink.feed(encode(&frame)).await.is_err() {
                return;
            }
            // All queued frames are sent before the flush.
            while let Ok(frame) = frames.try_recv() {
                if sink.feed(encode(&frame)).await.is_err() {
                    return;
                }
            }
            if sink.flush().await.is_err() {
                return;
            }
        }
    };
    let receiving = async {
        while let Ok(Some(Ok(message))) = tokio::time::timeout(SILENCE_TIMEOUT, stream.next()).await
        {
            let Message::Binary(bytes) = message else {
                continue;
            };
            let Ok(frame) = ciborium::from_reader::<Frame, _>(&bytes[..]) else {
                return;
            };
            handle_frame(&end.0, frame, &serve);
        }
    };
    tokio::select! {
        () = sending => {}
        () = receiving => {}
        () = end.0.closed.notified() => {}
    }
}

fn handle_frame<S, F>(shared: &Rc<Shared>, frame: Frame, serve: &S)
where
    S: Fn(EntryRequest) -> F + 'static,
    F: Future<Output = Result<EntryResponse>> + 'static,
{
    match frame {
        Frame::Hello { name } => *shared.name.borrow_mut() = name,
        Frame::Heartbeat => {}
        Frame::Request { id, request } => {
            let response = serve(request);
            let queue = shared.queue.clone();
            actix_rt::spawn(async move {
                let response = response.await;
                // The link may have been closed in the meantime.
                let _ = queue.send(Frame::Response { id, response }).await;
            });
        }
        Frame::Response { id, response } => {
            if let Some(reply) = shared.waiting.borrow_mut().remove(&id) {
                // The sender of the request may have stopped waiting.
                let _ = reply.send(response);
            }
        }
    }
}

fn encode(frame: &Frame) -> Message {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes).expect("frames are plain data");
    Message::Binary(Bytes::from(bytes))
}
