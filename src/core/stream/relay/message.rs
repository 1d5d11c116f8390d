//! The inputs and outputs of a relay, and the messages between relays.

use laburnum_derive::{message, state};

use crate::core::id::Node;
use crate::platform::log::Page;

/// A message about one stream between the nodes of a region.
#[message]
pub enum Message {
    /// Requests the entries from `next` on and keeps the subscription alive.
    Subscribe {
        /// The next offset that the follower needs.
        next: u64,
    },
    /// Forwards entries; without any it is a heartbeat. The page's `next` is the sender's read
    /// position.
    Entries {
        /// The entries and the bounds of the stream.
        page: Page,
        /// The age of the sender's last response from the log, in milliseconds.
        age_ms: u64,
    },
}

/// An input of a relay.
#[state]
pub enum Input {
    /// The live nodes of this node's region, including this node.
    Members(Vec<Node>),
    /// This node's reader fetches the page at `from`.
    Fetch {
        /// The offset of the first entry to fetch.
        from: u64,
    },
    /// The response of the log to a fetch.
    Page(Page),
    /// A fetch from the log failed.
    Failed,
    /// A node of the region sent a message.
    Received {
        /// The sender.
        from: Node,
        /// The message.
        message: Message,
    },
    /// Time has passed.
    Tick,
}

/// An action that the caller of a relay must carry out.
#[state]
pub enum Output {
    /// Fetch the page at `from` from the log.
    Fetch {
        /// The offset of the first entry to fetch.
        from: u64,
    },
    /// Pass this page to the reader.
    Page(Page),
    /// Notify the reader that its fetch failed.
    Failed,
    /// Send a message to a node of the region.
    Send {
        /// The receiver.
        to: Node,
        /// The message.
        message: Message,
    },
}
