//! Streams of records on the platform's log.
//!
//! A [`Writer`] groups records into batches and appends them at a fixed rate; a [`Reader`] turns
//! pages of the log back into typed records and drops duplicates; a [`Relay`] lets one node of a
//! region read the log on behalf of the others; a [`Funnel`] merges the batches of many writers
//! into one append; [`snapshot`] rewrites live state before the records that it was built from
//! expire.
//!
//! An append may take effect long after its response was lost, so a retry may leave several copies
//! of a batch in the log. The contents of the log alone decide which copy is accepted: a batch
//! holds the id of its writer, its sequence numbers and the offset that the writer had read up to,
//! and [`WriterTable`] applies one rule to all batches in offset order. Every reader therefore
//! accepts the same records, whenever it starts.

mod backoff;
mod batch;
mod codec;
pub mod funnel;
pub mod reader;
pub mod relay;
mod rendezvous;
pub mod snapshot;
pub mod writer;
mod writer_table;

pub use backoff::Backoff;
pub use batch::{Batch, Body, Bundle, Header, Id, Name, Record, Sequence};
pub use codec::{decode, encode};
pub use funnel::Funnel;
pub use reader::Reader;
pub use relay::Relay;
pub use writer::{CELL_APPENDS_PER_SECOND, PushId, Writer};
#[doc(hidden)]
pub use writer_table::Rules;
pub use writer_table::{Admission, WINDOW, WriterTable};
