//! Messages between the entries of a cell.
//!
//! Two entries share a web socket; each binary message on it is one [`Frame`] in CBOR. An
//! [`Ask`](Frame::Ask) is answered by the [`Tell`](Frame::Tell) with its id; all other frames are
//! notices of one of the state machines and need no answer.

mod ask;
mod frame;
mod stream;

pub use ask::{Ask, Call, Reply, StreamState, Tell};
pub use frame::{Estate, Frame, Lot};
pub use stream::Stream;
