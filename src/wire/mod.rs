//! Messages between the entries of a cell.
//!
//! Two entries share a WebSocket; each binary message on it is one [`Frame`] in CBOR. The response
//! to a request ([`Frame::Ask`]) is the [`Frame::Tell`] with the same id. All other frames are
//! notifications between state machines and have no response.

mod ask;
mod frame;
mod stream;

pub use ask::{Ask, Call, Reply, StreamState, Tell};
pub use frame::{Estate, Frame, Lot};
pub use stream::Stream;
