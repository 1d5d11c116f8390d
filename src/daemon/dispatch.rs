//! The dispatch part.

use super::context::Context;
use super::supervisor::Inbox;
use crate::core::error::{Error, Kind};
use crate::core::time::Instant;
use crate::wire::{Call, Reply};

/// What the dispatch part is told.
pub enum Event {
    /// A call may be run here.
    Call {
        /// The call.
        call: Call,
        /// When the answer is due.
        deadline: Instant,
        /// Where the answer goes.
        reply: Reply,
    },
}

/// Runs the dispatch part.
pub async fn run(_context: Context, inbox: Inbox<Event>) {
    let mut inbox = inbox.open().await;
    while let Some(Event::Call { reply, .. }) = inbox.recv().await {
        let _ = reply.send(Err(Error::new(Kind::Unimplemented, "not yet")));
    }
}
