//! Sends the journal's requests to the log service and to other entries.

use std::time::Duration;

use bytes::Bytes;

use super::Event;
use super::channel::Command;
use crate::core::id::Node;
use crate::core::stream::snapshot::recovery::StateCopy;
use crate::core::stream::{Name, relay, writer};
use crate::daemon::control::Event as Input;
use crate::daemon::{Context, peer};
use crate::platform::client::{Client, Failure};
use crate::platform::log::Page;
use crate::wire::{Frame, Request, Response, Stream};

/// The maximum size of a page, in bytes.
const PAGE_BYTES: usize = 1 << 20;
/// How long an append may take.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// How long another entry may take to respond with its state.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum number of connections to the log service.
const CONNECTIONS: usize = 16;

/// Sends requests; their responses arrive in the control thread's inbox.
pub(super) struct Io {
    context: Context,
    client: Client,
}

/// The parameters of a read of the log.
struct Read {
    name: Name,
    from: u64,
    bytes: usize,
    wait: Duration,
}

impl Io {
    /// Creates a sender without open connections.
    pub(super) fn new(context: &Context) -> Io {
        Io {
            context: context.clone(),
            client: Client::new(CONNECTIONS),
        }
    }

    /// Sends the request or notification that a channel's command calls for.
    pub(super) fn carry_out(&self, stream: Stream, command: Command) {
        match command {
            Command::Fetch { from } => {
                let read = Read {
                    name: stream.stream_name(),
                    from,
                    bytes: PAGE_BYTES,
                    wait: relay::LOG_WAIT,
                };
                self.read(read, move |page| Event::Page { stream, page });
            }
            Command::FetchBounds => {
                self.read(bounds(stream.stream_name()), move |page| Event::Bounds {
                    stream,
                    page,
                });
            }
            Command::FetchSnapshot { from, bounds_only } => {
                let name = stream.snapshots();
                let read = match bounds_only {
                    true => bounds(name),
                    false => Read {
                        name,
                        from,
                        bytes: PAGE_BYTES,
                        wait: Duration::ZERO,
                    },
                };
                self.read(read, move |page| Event::Snapshot { stream, page });
            }
            Command::RequestState(node) => self.request_state(stream, node),
            Command::Send { to, message } => {
                let from = self.context.node();
                let frame = Frame::Relay {
                    from,
                    stream,
                    message,
                };
                self.context.peer(peer::Command::Send { to: to.vm, frame });
            }
            Command::Capture | Command::Push(_) => {}
        }
    }

    /// Requests the end offset of a stream of snapshots.
    pub(super) fn request_snapshot_end(&self, stream: Stream) {
        self.read(bounds(stream.snapshots()), move |page| Event::SnapshotEnd {
            stream,
            next: page.map(|page| page.next),
        });
    }

    /// Sends an append to the log.
    pub(super) fn append(&self, name: Name, copy: writer::BatchCopy, bytes: Vec<u8>) {
        let context = self.context.clone();
        let client = self.client.clone();
        actix_rt::spawn(async move {
            let base = &context.settings.platform.log;
            let offset = client
                .append(base, &name.0, Bytes::from(bytes), APPEND_TIMEOUT)
                .await;
            context.control(Input::Log(Event::Appended { name, copy, offset }));
        });
    }

    fn read(&self, read: Read, event: impl FnOnce(Result<Page, Failure>) -> Event + 'static) {
        let context = self.context.clone();
        let client = self.client.clone();
        actix_rt::spawn(async move {
            let base = &context.settings.platform.log;
            let page = client
                .read(base, &read.name.0, read.from, read.bytes, read.wait)
                .await;
            context.control(Input::Log(event(page)));
        });
    }

    /// Requests the state of a stream from another entry; the event is sent even when no response
    /// arrives.
    fn request_state(&self, stream: Stream, node: Node) {
        let context = self.context.clone();
        let (reply, response) = tokio::sync::oneshot::channel();
        let request = Request::StreamState(stream);
        self.context.peer(peer::Command::Request {
            to: node.vm,
            request,
            timeout: PEER_TIMEOUT,
            reply,
        });
        actix_rt::spawn(async move {
            let copy = match response.await {
                Ok(Ok(Response::StreamState(state))) => state.map(|state| StateCopy {
                    next: state.next,
                    bytes: state.bytes,
                }),
                _ => None,
            };
            context.control(Input::Log(Event::Peer {
                stream,
                from: node,
                copy,
            }));
        });
    }
}

/// Returns a read that returns only the bounds of a stream.
fn bounds(name: Name) -> Read {
    Read {
        name,
        from: 0,
        bytes: 1,
        wait: Duration::ZERO,
    }
}
