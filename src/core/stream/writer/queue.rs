//! Group commit on one stream.
//!
//! Records wait in a queue until it may append; all waiting records are then sealed into one batch.
//! The batch stays in flight and is retried with the same records until it is known to be in the
//! log, or until the log has grown so far that no copy of the batch could be accepted any more. A
//! retry also keeps the read position, and so all its bytes, until half the window has passed.

use std::collections::VecDeque;
use std::time::Duration;

use laburnum_derive::state;

use super::super::backoff::Backoff;
use super::super::batch::{Batch, Body, Sequence};
use super::message::{BatchCopy, PushId};
use crate::core::id::Node;
use crate::core::time::Instant;

/// A record that is not in a batch yet.
#[state]
struct Waiting {
    push_id: PushId,
    body: Body,
}

/// When a sealed batch is sent next.
#[state]
enum Phase {
    /// An attempt was sent at this time and has no result yet.
    Sent(Instant),
    /// The next attempt may be sent at this time.
    Retry(Instant),
    /// The last copy was appended too late to be accepted; the next attempt waits for a newer read
    /// position.
    Stale,
}

/// The batch that is being appended.
#[state]
struct Sealed {
    batch: Batch,
    push_ids: Vec<PushId>,
    phase: Phase,
}

impl Sealed {
    /// Returns the identity of the current copy of the batch.
    fn copy(&self) -> BatchCopy {
        BatchCopy {
            first: self.batch.first,
            read_position: self.batch.read_position,
        }
    }
}

/// The final result of a batch, with its push ids.
#[state]
pub(super) enum Settled {
    /// The batch is in the log.
    Durable(Vec<PushId>),
    /// It can no longer be determined whether the batch is in the log.
    Unknown(Vec<PushId>),
}

/// The records of one stream that are not known to be in the log yet.
#[state]
pub(super) struct StreamQueue {
    waiting: VecDeque<Waiting>,
    waiting_bytes: usize,
    sealed: Option<Sealed>,
    next_sequence: Sequence,
    read_position: Option<u64>,
    backoff: Backoff,
    window: u64,
}

impl StreamQueue {
    /// Creates an empty queue; `window` is the window of
    /// [`WriterTable`](crate::core::stream::WriterTable), in offsets.
    pub(super) fn new(backoff: Backoff, window: u64) -> StreamQueue {
        StreamQueue {
            waiting: VecDeque::new(),
            waiting_bytes: 0,
            sealed: None,
            next_sequence: Sequence(1),
            read_position: None,
            backoff,
            window,
        }
    }

    /// Returns the size of the records that are not sealed yet, in bytes.
    pub(super) fn waiting_bytes(&self) -> usize {
        self.waiting_bytes
    }

    /// Returns the number of records that are not sealed yet.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether the last attempt failed.
    pub(super) fn is_failing(&self) -> bool {
        self.backoff.failures() > 0
    }

    /// Appends a record to the queue.
    pub(super) fn push(&mut self, push_id: PushId, body: Body) {
        self.waiting_bytes += body.0.len();
        self.waiting.push_back(Waiting { push_id, body });
    }

    /// Removes a record that isn't sealed yet; returns whether it was found.
    pub(super) fn withdraw(&mut self, push_id: PushId) -> bool {
        let found = self.waiting.iter().position(|item| item.push_id == push_id);
        let Some(item) = found.and_then(|index| self.waiting.remove(index)) else {
            return false;
        };
        self.waiting_bytes -= item.body.0.len();
        true
    }

    /// Returns when the queue next needs an append or an expiry, or `None` while it waits for an
    /// input.
    pub(super) fn due(&self, timeout: Duration) -> Option<Instant> {
        self.read_position?;
        match &self.sealed {
            None => (!self.waiting.is_empty()).then_some(Instant(0)),
            Some(sealed) => match sealed.phase {
                Phase::Sent(since) => Some(since + timeout),
                Phase::Retry(at) => Some(at),
                Phase::Stale => None,
            },
        }
    }

    /// Seals the waiting records unless a batch is in flight, and returns the batch to append now.
    pub(super) fn send(&mut self, now: Instant, node: Node) -> Option<&Batch> {
        let read_position = self.read_position?;
        if self.sealed.is_none() {
            self.sealed = self.seal(node, read_position);
        }
        let sealed = self.sealed.as_mut()?;
        sealed.phase = Phase::Sent(now);
        Some(&sealed.batch)
    }

    /// Handles a successful append of `copy` at `offset`.
    pub(super) fn on_appended(&mut self, copy: BatchCopy, offset: u64) -> Option<Settled> {
        let window = self.window;
        let sealed = self.sealed.as_mut()?;
        if sealed.batch.first != copy.first {
            return None;
        }
        self.backoff.reset();
        if offset > copy.read_position.saturating_add(window) {
            if sealed.batch.read_position == copy.read_position {
                sealed.phase = Phase::Stale;
            }
            return None;
        }
        self.settle()
    }

    /// Schedules a retry after the append of `copy` failed or got no response.
    pub(super) fn on_failed(&mut self, now: Instant, copy: BatchCopy) {
        let Some(sealed) = self.sealed.as_mut() else {
            return;
        };
        if sealed.copy() == copy && matches!(sealed.phase, Phase::Sent(_)) {
            sealed.phase = Phase::Retry(now + self.backoff.record_failure());
        }
    }

    /// Treats an attempt without a response within `timeout` as failed.
    pub(super) fn expire(&mut self, now: Instant, timeout: Duration) {
        let Some(sealed) = self.sealed.as_ref() else {
            return;
        };
        if matches!(sealed.phase, Phase::Sent(since) if now >= since + timeout) {
            self.on_failed(now, sealed.copy());
        }
    }

    /// Records that the stream was read up to `next`, where `last` is the last accepted record of
    /// this writer.
    pub(super) fn on_read(&mut self, next: u64, last: Option<Sequence>) -> Option<Settled> {
        if self
            .read_position
            .is_some_and(|read_position| next < read_position)
        {
            return None;
        }
        self.read_position = Some(next);
        let window = self.window;
        let sealed = self.sealed.as_mut()?;
        if last.is_some_and(|last| last >= sealed.batch.last()) {
            self.backoff.reset();
            return self.settle();
        }
        if sealed.phase == Phase::Stale {
            sealed.phase = Phase::Retry(Instant(0));
        }
        // A retry keeps its bytes while they may still be accepted, so that it equals an earlier
        // copy whose append is still under way.
        if next > sealed.batch.read_position.saturating_add(window / 2) {
            sealed.batch.read_position = next;
        }
        None
    }

    /// Records that the reader skipped records and continues at `next`, where `last` is the last
    /// accepted record of this writer, if the table of writers still holds it.
    pub(super) fn on_jump(&mut self, next: u64, last: Option<Sequence>) -> Option<Settled> {
        let sealed = self.sealed.as_ref();
        let limit = sealed.map(|sealed| sealed.batch.read_position.saturating_add(self.window));
        if last.is_none() && limit.is_some_and(|limit| next > limit) {
            self.read_position = Some(next);
            let dropped = self.sealed.take()?;
            return Some(Settled::Unknown(dropped.push_ids));
        }
        self.on_read(next, last)
    }

    fn settle(&mut self) -> Option<Settled> {
        let sealed = self.sealed.take()?;
        Some(Settled::Durable(sealed.push_ids))
    }

    fn seal(&mut self, node: Node, read_position: u64) -> Option<Sealed> {
        let count = self.waiting.len();
        if count == 0 {
            return None;
        }
        let first = self.next_sequence;
        let (push_ids, records) = self
            .waiting
            .drain(..)
            .map(|item| (item.push_id, item.body))
            .unzip();
        self.waiting_bytes = 0;
        self.next_sequence = first.plus(count as u64);
        Some(Sealed {
            batch: Batch {
                node,
                first,
                read_position,
                records,
            },
            push_ids,
            phase: Phase::Stale,
        })
    }
}
