//! Messages between the entries of a cell.
//!
//! Two entries share a WebSocket; each binary message on it is one [`Frame`] in CBOR. The response
//! to a request ([`Frame::Request`]) is the [`Frame::Response`] with the same id. All other frames
//! are notifications between state machines and have no response.

mod frame;
mod request;
mod stream;

pub use frame::{Frame, SlotHandover, TargetGrants};
pub use request::{Call, Reply, Request, Response, StreamState};
pub use stream::Stream;

use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

/// The most bytes that one read takes from a socket between entries. A socket clears as much memory
/// before each read, and most frames are much smaller.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// Returns the configuration of the sockets between entries.
pub fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default().read_buffer_size(READ_BUFFER_BYTES)
}
