//! The remote procedure calls for callers and operators.
//!
//! [`schema`] has the messages of the published schema, [`codec`] encodes them as JSON or protobuf,
//! [`convert`] converts them to and from the scheduler's types, [`fault`] encodes errors,
//! [`server`] is the daemon's HTTP server and [`client`] an HTTP client of it. The server decodes
//! each request, passes it to a module of [`ops`](crate::ops) and encodes the response.

pub mod client;
pub mod codec;
pub mod convert;
pub mod fault;
pub mod schema;
pub mod server;
