//! The control part.

use slog::info;
use tokio::sync::oneshot;

use super::context::Context;
use super::supervisor::Inbox;
use crate::core::error::{Error, Kind};
use crate::core::id::Node;
use crate::core::time::Instant;
use crate::wire::{Ask, Reply};

/// What the control part is told.
pub enum Event {
    /// Something is asked.
    Ask {
        /// What is asked.
        ask: Ask,
        /// When the answer is due.
        deadline: Instant,
        /// Whether another entry forwarded it here.
        is_forwarded: bool,
        /// Where the answer goes.
        reply: Reply,
    },
    /// Another entry showed itself on a link.
    Greeted {
        /// The entry.
        node: Node,
    },
    /// A planned stop began.
    Drain {
        /// Told when nothing is owned any more.
        done: oneshot::Sender<()>,
    },
}

/// Runs the control part.
pub async fn run(context: Context, inbox: Inbox<Event>) {
    let mut inbox = inbox.open().await;
    while let Some(event) = inbox.recv().await {
        match event {
            Event::Ask { reply, .. } => {
                let _ = reply.send(Err(Error::new(Kind::Unimplemented, "not yet")));
            }
            Event::Greeted { node } => info!(context.log, "greeted"; "node" => %node),
            Event::Drain { done } => {
                let _ = done.send(());
            }
        }
    }
}
