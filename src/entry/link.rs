//! Links between entries: web sockets that carry [`Frame`]s in CBOR.
//!
//! Every entry dials the owner; both ends may ask. A link without a frame for [`SILENCE`] is
//! closed, because a connection can go silent for good while new ones work.

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

use super::message::{Ask, Frame, Tell};
use crate::core::error::{Error, Kind, Result};

/// From one heartbeat to the next.
const HEARTBEAT: Duration = Duration::from_millis(100);
/// A link without a frame for so long is closed: lookups are due within 0.9 s, and an entry may stand
/// still for a tenth of a second when its share of the processor is used up.
const SILENCE: Duration = Duration::from_millis(400);
/// How long dialling may take: two round trips between regions and a busy entry.
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);
/// How many frames may wait for a slow link.
const QUEUE_FRAMES: usize = 4_096;

/// One end of a link.
#[derive(Clone)]
pub struct Link {
    shared: Rc<Shared>,
}

struct Shared {
    /// The other end's name, once it has said it.
    name: RefCell<String>,
    queue: mpsc::Sender<Frame>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Result<Tell>>>>,
    next_id: Cell<u64>,
    is_open: Cell<bool>,
    closed: Notify,
}

impl Link {
    /// Returns the name of the entry at the other end; empty while unknown.
    pub fn name(&self) -> String {
        self.shared.name.borrow().clone()
    }

    /// Whether frames still pass, as far as is known.
    pub fn is_open(&self) -> bool {
        self.shared.is_open.get()
    }

    /// Closes the link; both ends then look for the owner.
    pub fn close(&self) {
        self.shared.is_open.set(false);
        self.shared.closed.notify_one();
    }

    /// Asks the other end.
    ///
    /// # Errors
    ///
    /// [`Kind::NoOwner`] when the ask surely did not leave, [`Kind::AnswerLost`] when the link
    /// broke or `timeout` passed, or what the other end answered.
    pub async fn ask(&self, ask: Ask, timeout: Duration) -> Result<Tell> {
        let id = self.shared.next_id.replace(self.shared.next_id.get() + 1);
        let (reply, answer) = oneshot::channel();
        self.shared.waiting.borrow_mut().insert(id, reply);
        let is_queued =
            self.is_open() && self.shared.queue.try_send(Frame::Ask { id, ask }).is_ok();
        if !is_queued {
            self.shared.waiting.borrow_mut().remove(&id);
            return Err(Error::new(
                Kind::NoOwner,
                "the link is closed or full; come back",
            ));
        }
        let answer = tokio::time::timeout(timeout, answer).await;
        self.shared.waiting.borrow_mut().remove(&id);
        match answer {
            Ok(Ok(tell)) => tell,
            Ok(Err(_)) => Err(Error::new(
                Kind::AnswerLost,
                "the link broke before the answer",
            )),
            Err(_) => Err(Error::new(Kind::AnswerLost, "no answer came in time")),
        }
    }
}

/// Dials another entry; `None` when it can't be reached.
pub async fn dial(address: SocketAddr) -> Option<WebSocketStream<TcpStream>> {
    let dialled = async {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let url = format!("ws://{address}/");
        tokio_tungstenite::client_async(url, stream).await.ok()
    };
    let (socket, _response) = tokio::time::timeout(DIAL_TIMEOUT, dialled).await.ok()??;
    Some(socket)
}

/// Completes the handshake of an accepted connection; `None` when it fails.
pub async fn accept(stream: TcpStream) -> Option<WebSocketStream<TcpStream>> {
    stream.set_nodelay(true).ok()?;
    let accepted = tokio_tungstenite::accept_async(stream);
    tokio::time::timeout(DIAL_TIMEOUT, accepted)
        .await
        .ok()?
        .ok()
}

/// Makes the handle of a link and the task that carries it, which ends with the link. `me` is said
/// first; `serve` answers what the other end asks.
pub fn open<S, F>(
    socket: WebSocketStream<TcpStream>,
    me: String,
    serve: S,
) -> (Link, impl Future<Output = ()>)
where
    S: Fn(Ask) -> F + 'static,
    F: Future<Output = Result<Tell>> + 'static,
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
    let end = End(shared);
    (link, carry(end, socket, frames, me, serve))
}

/// One end's task. When it ends or is dropped, nobody waits for an answer any more.
struct End(Rc<Shared>);

impl Drop for End {
    fn drop(&mut self) {
        self.0.is_open.set(false);
        self.0.waiting.borrow_mut().clear();
    }
}

async fn carry<S, F>(
    end: End,
    socket: WebSocketStream<TcpStream>,
    mut frames: mpsc::Receiver<Frame>,
    me: String,
    serve: S,
) where
    S: Fn(Ask) -> F + 'static,
    F: Future<Output = Result<Tell>> + 'static,
{
    let (mut sink, mut stream) = socket.split();
    let hello = encode(&Frame::Hello { name: me });
    let sending = async {
        if sink.send(hello).await.is_err() {
            return;
        }
        loop {
            let frame = match tokio::time::timeout(HEARTBEAT, frames.recv()).await {
                Ok(Some(frame)) => frame,
                Ok(None) => return,
                Err(_) => Frame::Heartbeat,
            };
            if sink.feed(encode(&frame)).await.is_err() {
                return;
            }
            // Frames that wait leave together.
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
        while let Ok(Some(Ok(message))) = tokio::time::timeout(SILENCE, stream.next()).await {
            let Message::Binary(bytes) = message else {
                continue;
            };
            let Ok(frame) = ciborium::from_reader::<Frame, _>(&bytes[..]) else {
                return;
            };
            arrived(&end.0, frame, &serve);
        }
    };
    tokio::select! {
        () = sending => {}
        () = receiving => {}
        () = end.0.closed.notified() => {}
    }
}

fn arrived<S, F>(shared: &Rc<Shared>, frame: Frame, serve: &S)
where
    S: Fn(Ask) -> F + 'static,
    F: Future<Output = Result<Tell>> + 'static,
{
    match frame {
        Frame::Hello { name } => *shared.name.borrow_mut() = name,
        Frame::Heartbeat => {}
        Frame::Ask { id, ask } => {
            let answer = serve(ask);
            let queue = shared.queue.clone();
            actix_rt::spawn(async move {
                let tell = answer.await;
                // A link that closed meanwhile has nobody to tell.
                let _ = queue.send(Frame::Tell { id, tell }).await;
            });
        }
        Frame::Tell { id, tell } => {
            if let Some(reply) = shared.waiting.borrow_mut().remove(&id) {
                // The asker may have given up.
                let _ = reply.send(tell);
            }
        }
    }
}

fn encode(frame: &Frame) -> Message {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes).expect("frames are plain data");
    Message::Binary(Bytes::from(bytes))
}
