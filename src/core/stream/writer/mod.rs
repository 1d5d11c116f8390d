//! Group commit within a VM's share of the cell's rate of appends.
//!
//! One [`Writer`] serves all streams of a process. Each stream has a queue with at most one batch
//! in flight; the queues are served round-robin, and together they append at the [`Pace`] of the
//! VM. Urgent streams get every second append, so records that must spread within seconds don't
//! wait for all other streams. Under higher load the batches grow and the rate of appends stays the
//! same. A full queue refuses records at once.
//!
//! A record is durable when its append succeeded, or when the reader of this process has read it
//! from the log. When a response is lost, the writer retries the same batch; readers drop the retry
//! if the first copy was appended.

mod builder;
mod message;
mod pace;
mod queue;
mod round_robin;

use std::collections::BTreeMap;
use std::time::Duration;

use laburnum_derive::state;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde::Serialize;

pub use self::builder::Builder;
pub use self::message::{BatchCopy, Input, Output, PushId};
pub use self::pace::{CELL_APPENDS_PER_SECOND, Pace};
use self::queue::{Settled, StreamQueue};
pub(super) use self::round_robin::RoundRobin;
use super::backoff::Backoff;
use super::batch::{Body, Name};
use super::codec::encode;
use crate::core::error::{Error, Kind, Result};
use crate::core::time::Instant;

/// The default maximum size of the waiting records of one stream, in bytes.
pub const QUEUE_BYTES: usize = 1 << 20;

/// The maximum size of one encoded record, in bytes.
pub const RECORD_BYTES: usize = 1 << 20;

/// The maximum number of streams that one process may write.
pub const MAX_STREAMS: usize = 64;

/// The default time to wait for the response to an append before it counts as failed.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Appends the records of one process.
#[state]
pub struct Writer {
    settings: Builder,
    queues: BTreeMap<Name, StreamQueue>,
    pace: Pace,
    random: Pcg32,
    round_robin: RoundRobin,
    next_push_id: u64,
}

impl Writer {
    /// Queues a record for `stream`; a later [`Output::Durable`] or [`Output::Unknown`] holds the
    /// returned push id.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::TooLarge`] for a record above [`RECORD_BYTES`], with [`Kind::LogDown`]
    /// when the stream's queue is full because appends fail, with [`Kind::Overloaded`] when it is
    /// full because records come faster than they can be appended, and with [`Kind::Internal`] when
    /// the record cannot be encoded or the process already writes [`MAX_STREAMS`] streams.
    pub fn push<T: Serialize>(&mut self, stream: &Name, record: &T) -> Result<PushId> {
        let body = Body(encode(record)?);
        let size = body.0.len();
        if size > RECORD_BYTES {
            let message =
                format!("the record has {size} bytes; at most {RECORD_BYTES} are allowed");
            return Err(Error::new(Kind::TooLarge, message));
        }
        let room = self.settings.queue_bytes;
        let queue = self.queue(stream)?;
        if queue.waiting() > 0 && queue.waiting_bytes() + size > room {
            return Err(full_error(stream, queue.is_failing()));
        }
        let push_id = PushId(self.next_push_id);
        self.queue(stream)?.push(push_id, body);
        self.next_push_id += 1;
        Ok(push_id)
    }

    /// Removes a record that was never sent; returns `false` if it was sent or is not known.
    pub fn withdraw(&mut self, stream: &Name, push_id: PushId) -> bool {
        let queue = self.queues.get_mut(stream);
        queue.is_some_and(|queue| queue.withdraw(push_id))
    }

    /// Handles `input` and emits the appends that are due.
    pub fn step(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        self.handle(now, input, out);
        let timeout = self.settings.timeout;
        for queue in self.queues.values_mut() {
            queue.expire(now, timeout);
        }
        self.append(now, out);
    }

    /// Returns when [`Input::Tick`] is next needed, if no other input comes before.
    pub fn wake_at(&self) -> Option<Instant> {
        let timeout = self.settings.timeout;
        let due = self
            .queues
            .values()
            .filter_map(|queue| queue.due(timeout))
            .min()?;
        Some(due.max(self.pace.ready_at()))
    }

    /// Returns whether the last append on `stream` failed.
    pub fn is_failing(&self, stream: &Name) -> bool {
        self.queues.get(stream).is_some_and(StreamQueue::is_failing)
    }

    /// Returns the minimum time between two appends.
    pub fn interval(&self) -> Duration {
        self.pace.interval()
    }

    fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Appended {
                stream,
                copy,
                offset,
            } => {
                let settled = self
                    .existing_queue(&stream)
                    .and_then(|queue| queue.on_appended(copy, offset));
                push_settled(stream, settled, out);
            }
            Input::Failed { stream, copy } => {
                if let Some(queue) = self.existing_queue(&stream) {
                    queue.on_failed(now, copy);
                }
            }
            Input::Read { stream, next, last } => {
                let settled = self
                    .queue(&stream)
                    .ok()
                    .and_then(|queue| queue.on_read(next, last));
                push_settled(stream, settled, out);
            }
            Input::Jumped { stream, next, last } => {
                let settled = self
                    .queue(&stream)
                    .ok()
                    .and_then(|queue| queue.on_jump(next, last));
                push_settled(stream, settled, out);
            }
            Input::Entries(entries) => self.pace.set_entries(entries),
            Input::Tick => {}
        }
    }

    /// Emits the append of the next due queue if the pace allows one now.
    fn append(&mut self, now: Instant, out: &mut Vec<Output>) {
        let timeout = self.settings.timeout;
        let is_due = |queue: &StreamQueue| queue.due(timeout).is_some_and(|due| due <= now);
        let due = self
            .queues
            .iter()
            .filter(|(_, queue)| is_due(queue))
            .map(|(name, _)| name);
        let Some(stream) = self.round_robin.next(due).cloned() else {
            return;
        };
        if !self.pace.try_acquire(now) {
            return;
        }
        let node = self.settings.node;
        let Some(batch) = self
            .existing_queue(&stream)
            .and_then(|queue| queue.send(now, node))
        else {
            return;
        };
        let Ok(bytes) = batch.to_entry() else {
            return;
        };
        out.push(Output::Append {
            stream: stream.clone(),
            copy: BatchCopy {
                first: batch.first,
                read_position: batch.read_position,
            },
            bytes,
        });
        self.round_robin.record(stream);
    }

    fn existing_queue(&mut self, stream: &Name) -> Option<&mut StreamQueue> {
        self.queues.get_mut(stream)
    }

    /// Returns the queue of `stream`, created on first use.
    fn queue(&mut self, stream: &Name) -> Result<&mut StreamQueue> {
        if !self.queues.contains_key(stream) {
            if self.queues.len() >= MAX_STREAMS {
                let message = format!(
                    "a process may write at most {MAX_STREAMS} streams; stream `{}` exceeds this limit",
                    stream.0
                );
                return Err(Error::new(Kind::Internal, message));
            }
            let random = Pcg32::seed_from_u64(self.random.random());
            let queue = StreamQueue::new(Backoff::new(random), self.settings.window);
            self.queues.insert(stream.clone(), queue);
        }
        let missing = || {
            Error::new(
                Kind::Internal,
                format!("no queue for stream `{}`", stream.0),
            )
        };
        self.queues.get_mut(stream).ok_or_else(missing)
    }
}

/// Returns the error for a record that the full queue of `stream` refuses.
fn full_error(stream: &Name, failing: bool) -> Error {
    if failing {
        let message = format!(
            "the log cannot be written and the queue of stream `{}` is full",
            stream.0
        );
        return Error::new(Kind::LogDown, message);
    }
    let message = format!(
        "the queue of stream `{}` is full: records come faster than they can be appended",
        stream.0
    );
    Error::new(Kind::Overloaded, message)
}

fn push_settled(stream: Name, settled: Option<Settled>, out: &mut Vec<Output>) {
    match settled {
        Some(Settled::Durable(push_ids)) => out.push(Output::Durable { stream, push_ids }),
        Some(Settled::Unknown(push_ids)) => out.push(Output::Unknown { stream, push_ids }),
        None => {}
    }
}
