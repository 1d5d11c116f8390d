//! The remote procedure calls that callers and operators use.
//!
//! [`schema`] holds the messages of the published schema, [`codec`] their JSON and protobuf forms,
//! [`fault`] the wire form of an error, [`server`] the HTTP side of the daemon and [`client`] the
//! other end. A request flows from the server through the codec into one module of
//! [`ops`](crate::ops), and its answer flows back the same way.

pub mod client;
pub mod codec;
pub mod convert;
pub mod fault;
pub mod schema;
pub mod server;
