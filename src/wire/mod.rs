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
