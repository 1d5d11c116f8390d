//! Group commit on one stream.
//!
//! Records wait in a lane until its turn comes; all that wait are then sealed into one batch. The
//! batch stays in flight, retried as it is, until it is known to be in the log or until the log has
//! moved on so far that no copy of it can count any more.

use std::collections::VecDeque;
use std::time::Duration;

use laburnum_derive::state;

use super::super::backoff::Backoff;
use super::super::batch::{Batch, Body, Sequence};
use super::message::{Copy, Ticket};
use crate::core::id::Node;
use crate::core::time::Instant;

/// A record that was never sent.
#[state]
struct Waiting {
    ticket: Ticket,
    body: Body,
}

/// When a sealed batch is sent next.
#[state]
enum Phase {
    /// An attempt is out since then.
    Sent(Instant),
    /// The next attempt may leave at that time.
    Retry(Instant),
    /// The last copy landed too late to count; a fresher read position must come first.
    Stale,
}

/// The one batch that is being appended.
#[state]
struct Sealed {
    batch: Batch,
    tickets: Vec<Ticket>,
    phase: Phase,
}

impl Sealed {
    /// Returns which copy of the batch is sent now.
    fn copy(&self) -> Copy {
        Copy {
            first: self.batch.first,
            seen: self.batch.seen,
        }
    }
}

/// What became of a batch.
#[state]
pub(super) enum Settled {
    /// It is in the log.
    Durable(Vec<Ticket>),
    /// Nothing can tell any more whether it is in the log.
    Unknown(Vec<Ticket>),
}

/// The records of one stream on their way into the log.
#[state]
pub(super) struct Lane {
    waiting: VecDeque<Waiting>,
    waiting_bytes: usize,
    sealed: Option<Sealed>,
    next_sequence: Sequence,
    seen: Option<u64>,
    backoff: Backoff,
    window: u64,
}

impl Lane {
    /// Makes an empty lane; `window` is how far behind its writer's position a batch may land.
    pub(super) fn new(backoff: Backoff, window: u64) -> Lane {
        Lane {
            waiting: VecDeque::new(),
            waiting_bytes: 0,
            sealed: None,
            next_sequence: Sequence(1),
            seen: None,
            backoff,
            window,
        }
    }

    /// Returns how many bytes wait to be sealed.
    pub(super) fn waiting_bytes(&self) -> usize {
        self.waiting_bytes
    }

    /// Returns how many records wait to be sealed.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether the last attempt failed.
    pub(super) fn is_failing(&self) -> bool {
        self.backoff.failures() > 0
    }

    /// Puts a record at the end of the lane.
    pub(super) fn push(&mut self, ticket: Ticket, body: Body) {
        self.waiting_bytes += body.0.len();
        self.waiting.push_back(Waiting { ticket, body });
    }

    /// Removes a record that was never sent; returns whether it was.
    pub(super) fn withdraw(&mut self, ticket: Ticket) -> bool {
        let found = self.waiting.iter().position(|item| item.ticket == ticket);
        let Some(item) = found.and_then(|index| self.waiting.remove(index)) else {
            return false;
        };
        self.waiting_bytes -= item.body.0.len();
        true
    }

    /// Returns when the lane has something to append, or `None` while it waits for an event.
    pub(super) fn due(&self, timeout: Duration) -> Option<Instant> {
        self.seen?;
        match &self.sealed {
            None => (!self.waiting.is_empty()).then_some(Instant(0)),
            Some(sealed) => match sealed.phase {
                Phase::Sent(since) => Some(since + timeout),
                Phase::Retry(at) => Some(at),
                Phase::Stale => None,
            },
        }
    }

    /// Seals what waits unless a batch is under way, and returns the batch to append now.
    pub(super) fn send(&mut self, now: Instant, node: Node) -> Option<&Batch> {
        let seen = self.seen?;
        if self.sealed.is_none() {
            self.sealed = self.seal(node, seen);
        }
        let sealed = self.sealed.as_mut()?;
        sealed.phase = Phase::Sent(now);
        Some(&sealed.batch)
    }

    /// Takes note that `copy` landed at `offset`.
    pub(super) fn appended(&mut self, copy: Copy, offset: u64) -> Option<Settled> {
        let window = self.window;
        let sealed = self.sealed.as_mut()?;
        if sealed.batch.first != copy.first {
            return None;
        }
        self.backoff.succeed();
        if offset > copy.seen.saturating_add(window) {
            if sealed.batch.seen == copy.seen {
                sealed.phase = Phase::Stale;
            }
            return None;
        }
        self.settle()
    }

    /// Takes note that the append of `copy` failed or was never answered.
    pub(super) fn failed(&mut self, now: Instant, copy: Copy) {
        let Some(sealed) = self.sealed.as_mut() else {
            return;
        };
        if sealed.copy() == copy && matches!(sealed.phase, Phase::Sent(_)) {
            sealed.phase = Phase::Retry(now + self.backoff.fail());
        }
    }

    /// Turns an attempt that was never answered into a failed one.
    pub(super) fn expire(&mut self, now: Instant, timeout: Duration) {
        let Some(sealed) = self.sealed.as_ref() else {
            return;
        };
        if matches!(sealed.phase, Phase::Sent(since) if now >= since + timeout) {
            self.failed(now, sealed.copy());
        }
    }

    /// Takes note that the stream was read up to `next`, where `last` is the last record of this
    /// writer that counted.
    pub(super) fn read(&mut self, next: u64, last: Option<Sequence>) -> Option<Settled> {
        if self.seen.is_some_and(|seen| next < seen) {
            return None;
        }
        self.seen = Some(next);
        let window = self.window;
        let sealed = self.sealed.as_mut()?;
        if last.is_some_and(|last| last >= sealed.batch.last()) {
            self.backoff.succeed();
            return self.settle();
        }
        if sealed.phase == Phase::Stale {
            sealed.phase = Phase::Retry(Instant(0));
        }
        // A retry keeps its bytes while they may still count, so that a copy that is under way and
        // the retry are the same.
        if next > sealed.batch.seen.saturating_add(window / 2) {
            sealed.batch.seen = next;
        }
        None
    }

    /// Takes note that the reader left out records and stands at `next`, where `last` is the last
    /// record of this writer that counted, if the table of writers still holds it.
    pub(super) fn jump(&mut self, next: u64, last: Option<Sequence>) -> Option<Settled> {
        let sealed = self.sealed.as_ref();
        let limit = sealed.map(|sealed| sealed.batch.seen.saturating_add(self.window));
        if last.is_none() && limit.is_some_and(|limit| next > limit) {
            self.seen = Some(next);
            let dropped = self.sealed.take()?;
            return Some(Settled::Unknown(dropped.tickets));
        }
        self.read(next, last)
    }

    fn settle(&mut self) -> Option<Settled> {
        let sealed = self.sealed.take()?;
        Some(Settled::Durable(sealed.tickets))
    }

    fn seal(&mut self, node: Node, seen: u64) -> Option<Sealed> {
        let count = self.waiting.len();
        if count == 0 {
            return None;
        }
        let first = self.next_sequence;
        let (tickets, records) = self
            .waiting
            .drain(..)
            .map(|item| (item.ticket, item.body))
            .unzip();
        self.waiting_bytes = 0;
        self.next_sequence = first.plus(count as u64);
        Some(Sealed {
            batch: Batch {
                node,
                first,
                seen,
                records,
            },
            tickets,
            phase: Phase::Stale,
        })
    }
}
