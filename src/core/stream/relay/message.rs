//! What a relay takes, what it wants done and what relays tell one another.

use laburnum_derive::{message, state};

use crate::core::id::Node;
use crate::platform::log::Page;

/// What the nodes of a region tell one another about a stream.
#[message]
pub enum Message {
    /// Asks for the entries from `next` on, and says that the follower is alive.
    Subscribe {
        /// The next offset that the follower wants.
        next: u64,
    },
    /// Hands on entries; without any it is a heartbeat. The page ends where the sender has read to.
    Entries {
        /// The entries and the bounds of the stream.
        page: Page,
        /// How old the sender's last answer from the log is, in milliseconds.
        age_ms: u64,
    },
}

/// What a relay takes.
#[state]
pub enum Input {
    /// The live nodes of this node's region, itself among them.
    Members(Vec<Node>),
    /// This node's reader wants the page at `from`.
    Fetch {
        /// The next offset that the reader wants.
        from: u64,
    },
    /// The log answered.
    Page(Page),
    /// The log failed to answer.
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

/// What a relay wants done.
#[state]
pub enum Output {
    /// Ask the log for the page at `from`.
    Fetch {
        /// The offset of the first entry that is wanted.
        from: u64,
    },
    /// Give this page to the reader.
    Page(Page),
    /// Tell the reader that its fetch failed.
    Failed,
    /// Send a message to a node of the region.
    Send {
        /// The receiver.
        to: Node,
        /// The message.
        message: Message,
    },
}
