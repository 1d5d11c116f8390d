//! Requests of the journal to the log service and to other entries.

use std::time::Duration;

use bytes::Bytes;

use super::Event;
use super::channel::Wish;
use crate::core::id::Node;
use crate::core::stream::snapshot::recovery::StateCopy;
use crate::core::stream::{Name, relay, writer};
use crate::daemon::control::Event as Input;
use crate::daemon::{Context, peer};
use crate::platform::client::{Client, Failure};
use crate::platform::log::Page;
use crate::wire::{Ask, Frame, Stream, Tell};

/// The largest page that is asked for, in bytes.
const PAGE_BYTES: usize = 1 << 20;
/// How long an append may take.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// How long another entry may take to give its state.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// How many connections to the log a daemon opens.
const CONNECTIONS: usize = 16;

/// Sends requests; their answers go to the control part's inbox.
pub(super) struct Io {
    context: Context,
    client: Client,
}

/// A read of the log.
struct Read {
    name: Name,
    from: u64,
    bytes: usize,
    wait: Duration,
}

impl Io {
    /// Makes the sender of a daemon.
    pub(super) fn new(context: &Context) -> Io {
        Io {
            context: context.clone(),
            client: Client::new(CONNECTIONS),
        }
    }

    /// Carries out what a channel wants of others.
    pub(super) fn carry_out(&self, stream: Stream, wish: Wish) {
        match wish {
            Wish::Fetch { from } => {
                let read = Read {
                    name: stream.lane(),
                    from,
                    bytes: PAGE_BYTES,
                    wait: relay::LOG_WAIT,
                };
                self.read(read, move |page| Event::Page { stream, page });
            }
            Wish::FetchBounds => {
                self.read(bounds(stream.lane()), move |page| Event::Bounds {
                    stream,
                    page,
                });
            }
            Wish::FetchSnapshot { from, bounds_only } => {
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
            Wish::AskPeer(node) => self.ask_peer(stream, node),
            Wish::Send { to, message } => {
                let from = self.context.node();
                let frame = Frame::Relay {
                    from,
                    stream,
                    message,
                };
                self.context.peer(peer::Command::Send { to: to.vm, frame });
            }
            Wish::Capture | Wish::Push(_) => {}
        }
    }

    /// Asks where the snapshots of a stream end.
    pub(super) fn ask_snapshot_end(&self, stream: Stream) {
        self.read(bounds(stream.snapshots()), move |page| Event::SnapshotEnd {
            stream,
            next: page.map(|page| page.next),
        });
    }

    /// Sends an append.
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

    /// Asks another entry for its state; without an answer the recovery goes on by itself.
    fn ask_peer(&self, stream: Stream, node: Node) {
        let context = self.context.clone();
        let (reply, answer) = tokio::sync::oneshot::channel();
        let ask = Ask::StreamState(stream);
        self.context.peer(peer::Command::Ask {
            to: node.vm,
            ask,
            timeout: PEER_TIMEOUT,
            reply,
        });
        actix_rt::spawn(async move {
            let copy = match answer.await {
                Ok(Ok(Tell::StreamState(state))) => state.map(|state| StateCopy {
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

/// Returns a read that only tells the bounds of a stream.
fn bounds(name: Name) -> Read {
    Read {
        name,
        from: 0,
        bytes: 1,
        wait: Duration::ZERO,
    }
}
