//! One link: a WebSocket that carries frames and keep-alives.

use std::net::SocketAddr;

use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::{Bytes, Message};

use crate::daemon::context::Context;
use crate::daemon::peer::{Command, DIAL_TIMEOUT, KEEP_ALIVE_PERIOD, PATH, SILENCE_TIMEOUT};
use crate::util::metric::label;
use crate::wire::{self, Frame};

/// A frame in the queue of a link.
pub(super) struct Queued {
    pub(super) frame: Frame,
    /// Whether the other end is in another region.
    pub(super) is_remote: bool,
}

/// Connects to another entry; returns `None` when that fails or times out.
pub(super) async fn connect(address: SocketAddr) -> Option<WebSocketStream<TcpStream>> {
    let dialled = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let url = format!("ws://{address}{PATH}");
        let config = Some(wire::socket_config());
        let connected = tokio_tungstenite::client_async_with_config(url, stream, config);
        connected.await.ok()
    };
    let (socket, _response) = actix_rt::time::timeout(DIAL_TIMEOUT, dialled)
        .await
        .ok()??;
    Some(socket)
}

/// Serves a link until it breaks or nothing arrived on it for [`SILENCE_TIMEOUT`].
pub(super) async fn serve_link(
    context: &Context,
    link: u64,
    socket: WebSocketStream<TcpStream>,
    frames: mpsc::Receiver<Queued>,
) {
    let (sink, source) = socket.split();
    tokio::select! {
        _ = write_frames(context, sink, frames) => {}
        _ = read_frames(context, link, source) => {}
    }
}

/// Writes queued frames, and a keep-alive when the queue stays empty.
async fn write_frames<S>(
    context: &Context,
    mut sink: S,
    mut frames: mpsc::Receiver<Queued>,
) -> Option<()>
where
    S: SinkExt<Message> + Unpin,
{
    let hello = Frame::Hello {
        node: context.node(),
    };
    write(context, &mut sink, &hello).await?;
    loop {
        let queued = actix_rt::time::timeout(KEEP_ALIVE_PERIOD, frames.recv()).await;
        let Ok(queued) = queued else {
            write(context, &mut sink, &Frame::KeepAlive).await?;
            continue;
        };
        let Queued { frame, is_remote } = queued?;
        let bytes = write(context, &mut sink, &frame).await?;
        if is_remote {
            let message = label("message", frame.name());
            context.metrics.region_bytes.add(bytes, &message);
        }
    }
}

/// Passes received frames to the peer thread.
async fn read_frames<S, E>(context: &Context, link: u64, mut source: S) -> Option<()>
where
    S: StreamExt<Item = std::result::Result<Message, E>> + Unpin,
{
    loop {
        let next = actix_rt::time::timeout(SILENCE_TIMEOUT, source.next()).await;
        let message = next.ok()??.ok()?;
        if let Message::Binary(data) = message {
            let frame = Frame::decode(&data).ok()?;
            context.peer(Command::Arrived { link, frame });
        }
    }
}

/// Writes one frame and returns its size in bytes; `None` when the link is broken.
async fn write<S>(context: &Context, sink: &mut S, frame: &Frame) -> Option<u64>
where
    S: SinkExt<Message> + Unpin,
{
    let data = frame.encode().ok()?;
    let message = label("message", frame.name());
    let bytes = data.len() as u64;
    context.metrics.peer_bytes.add(bytes, &message);
    sink.send(Message::Binary(Bytes::from(data))).await.ok()?;
    Some(bytes)
}
