//! The integration tests, one module per feature.
#![allow(clippy::unwrap_used, missing_docs)]
mod account;
mod config;
mod daemon;
mod docs;
mod entry;
mod fault;
mod lease;
mod load;
mod membership;
mod placement;
mod request;
mod scheduler;
mod schema;
mod settings;
mod standin;
mod stream;
