//! Measurements and the tables and plots they write.
//!
//! Each module measures one part of the library and returns a [`report::Report`].

pub mod cell;
pub mod lease;
pub mod load;
pub mod placement;
pub mod plot;
pub mod report;
pub mod request;
pub mod scheduler;
pub mod stream;
