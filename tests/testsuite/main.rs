//! The integration tests, one module per feature.
#![allow(clippy::unwrap_used, missing_docs)]
mod config;
mod daemon;
mod fault;
mod lease;
mod load;
mod membership;
mod placement;
mod request;
mod standin;
mod stream;
