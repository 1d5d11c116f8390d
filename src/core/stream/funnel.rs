//! Merging the appends of many writers into one.
//!
//! The cell's rate of appends is fixed, so with hundreds of entry VMs each VM could append only
//! once every few seconds. Above [`FUNNELS`] entry VMs only that many of them append to the log.
//! The others send their log entries to one of these, which merges the waiting log entries into
//! one. A funnel gives no guarantee: if its append fails, its queue is full or its VM dies, the
//! writer treats this as a failed append and retries, at the same funnel or another. Readers check
//! each batch in a log entry separately, so duplicates are harmless.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnum_derive::state;

use super::batch::{Bundle, Name};
use super::codec::{decode, encode};
use super::rendezvous::weight;
use super::writer::{BatchCopy, Pace, RoundRobin};
use crate::core::id::Node;
use crate::core::time::Instant;

/// How many entry VMs append to the log in a cell that has more than this.
pub const FUNNELS: usize = 16;

/// The maximum size of the waiting log entries of one stream, in bytes.
const WAITING_BYTES: usize = 1 << 20;

/// How long to wait for the response to an append; shorter than the timeout of a writer, so that a
/// writer receives the failure before it gives up.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1_500);

/// An input of a funnel.
#[state]
pub enum Input {
    /// A writer sent a log entry.
    Offered {
        /// The writer.
        from: Node,
        /// The stream.
        stream: Name,
        /// Identifies the copy of the batch that the log entry holds.
        copy: BatchCopy,
        /// The log entry.
        bytes: Vec<u8>,
    },
    /// An append succeeded.
    Appended {
        /// The stream.
        stream: Name,
        /// The number of the append.
        number: u64,
        /// The offset of the appended log entry.
        offset: u64,
    },
    /// An append failed or got no response.
    Failed {
        /// The stream.
        stream: Name,
        /// The number of the append.
        number: u64,
    },
    /// The number of entry VMs that append to the log has changed to this.
    Funnels(u32),
    /// Time has passed.
    Tick,
}

/// An action that the caller of a funnel must carry out.
#[state]
pub enum Output {
    /// Append `bytes` to the stream.
    Append {
        /// The stream.
        stream: Name,
        /// The number of the append, to be returned in [`Input::Appended`] or [`Input::Failed`].
        number: u64,
        /// The log entry.
        bytes: Vec<u8>,
    },
    /// Send a writer the result for its log entry.
    Answer {
        /// The writer.
        to: Node,
        /// The stream.
        stream: Name,
        /// The copy that the writer sent.
        copy: BatchCopy,
        /// The offset of the copy in the log, or `None` when it wasn't appended or isn't known to
        /// be.
        offset: Option<u64>,
    },
}

/// A log entry that waits to be appended.
#[state]
struct Offer {
    copy: BatchCopy,
    bundle: Bundle,
    size: usize,
}

/// An append without a response so far.
#[state]
struct InFlight {
    number: u64,
    sent_at: Instant,
    copies: Vec<(Node, BatchCopy)>,
}

/// The waiting log entries of one stream, at most one of each writer, and its append in flight.
#[state]
#[derive(Default)]
struct Queue {
    offers: BTreeMap<Node, Offer>,
    in_flight: Option<InFlight>,
}

/// Merges the log entries of many writers into one append per stream at a time.
#[state]
pub struct Funnel {
    queues: BTreeMap<Name, Queue>,
    pace: Pace,
    round_robin: RoundRobin,
    number: u64,
}

/// Returns the funnels that `origin` should send its log entries to, in order of preference; only
/// `origin` itself when there are at most [`FUNNELS`] `members`, as each of them appends then.
///
/// All nodes with the same members compute the same set of funnels; the order differs by `origin`,
/// which spreads the load over the funnels. A funnel ranks itself first.
pub fn rank(members: &[Node], origin: Node) -> Vec<Node> {
    if members.len() <= FUNNELS {
        return vec![origin];
    }
    let mut funnels = members.to_vec();
    funnels.sort_by_key(|node| (weight(*node, 0), *node));
    funnels.truncate(FUNNELS);
    let seed = weight(origin, 1);
    funnels.sort_by_key(|node| (*node != origin, weight(*node, seed)));
    funnels
}

impl Funnel {
    /// Creates one of `funnels` funnels that share the cell's rate of appends; the `urgent` streams
    /// get every second append.
    pub fn new(funnels: u32, urgent: &[Name]) -> Funnel {
        Funnel {
            queues: BTreeMap::new(),
            pace: Pace::new(funnels),
            round_robin: RoundRobin::new(urgent),
            number: 0,
        }
    }

    /// Returns when [`Input::Tick`] is next needed.
    pub fn wake_at(&self) -> Option<Instant> {
        let ready = self.pace.ready_at();
        let due = |queue: &Queue| match &queue.in_flight {
            Some(in_flight) => Some(in_flight.sent_at + APPEND_TIMEOUT),
            None => (!queue.offers.is_empty()).then_some(ready),
        };
        self.queues.values().filter_map(due).min()
    }

    /// Handles `input` and emits the appends and answers that are due.
    pub fn step(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Offered {
                from,
                stream,
                copy,
                bytes,
            } => self.enqueue(from, stream, copy, &bytes, out),
            Input::Appended {
                stream,
                number,
                offset,
            } => self.answer_writers(&stream, number, Some(offset), out),
            Input::Failed { stream, number } => self.answer_writers(&stream, number, None, out),
            Input::Funnels(funnels) => self.pace.set_entries(funnels),
            Input::Tick => {}
        }
        self.expire(now, out);
        self.append(now, out);
    }

    fn enqueue(
        &mut self,
        from: Node,
        stream: Name,
        copy: BatchCopy,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) {
        let queue = self.queues.entry(stream.clone()).or_default();
        let others = queue.offers.iter().filter(|(node, _)| **node != from);
        let waiting: usize = others.map(|(_, offer)| offer.size).sum();
        let size = bytes.len();
        let has_room = waiting == 0 || waiting + size <= WAITING_BYTES;
        match decode(bytes) {
            Ok(bundle) if has_room => {
                let offer = Offer { copy, bundle, size };
                queue.offers.insert(from, offer);
            }
            _ => out.push(Output::Answer {
                to: from,
                stream,
                copy,
                offset: None,
            }),
        }
    }

    /// Answers the writers whose log entries were in an append.
    fn answer_writers(
        &mut self,
        stream: &Name,
        number: u64,
        offset: Option<u64>,
        out: &mut Vec<Output>,
    ) {
        let Some(queue) = self.queues.get_mut(stream) else {
            return;
        };
        let Some(in_flight) = queue
            .in_flight
            .take_if(|in_flight| in_flight.number == number)
        else {
            return;
        };
        out.extend(
            in_flight
                .copies
                .into_iter()
                .map(|(to, copy)| Output::Answer {
                    to,
                    stream: stream.clone(),
                    copy,
                    offset,
                }),
        );
    }

    /// Treats appends without a response in time as failed.
    fn expire(&mut self, now: Instant, out: &mut Vec<Output>) {
        let is_late = |in_flight: &&InFlight| now >= in_flight.sent_at + APPEND_TIMEOUT;
        let expired = self.queues.iter().filter_map(|(stream, queue)| {
            let in_flight = queue.in_flight.as_ref().filter(is_late)?;
            Some((stream.clone(), in_flight.number))
        });
        let late: Vec<(Name, u64)> = expired.collect();
        for (stream, number) in late {
            self.answer_writers(&stream, number, None, out);
        }
    }

    fn append(&mut self, now: Instant, out: &mut Vec<Output>) {
        let is_due = |queue: &Queue| queue.in_flight.is_none() && !queue.offers.is_empty();
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
        let Some(queue) = self.queues.get_mut(&stream) else {
            return;
        };
        self.number += 1;
        let mut bundle = Bundle(Vec::new());
        let mut copies = Vec::new();
        for (from, offer) in std::mem::take(&mut queue.offers) {
            bundle.0.extend(offer.bundle.0);
            copies.push((from, offer.copy));
        }
        queue.in_flight = Some(InFlight {
            number: self.number,
            sent_at: now,
            copies,
        });
        self.round_robin.record(stream.clone());
        if let Ok(bytes) = encode(&bundle) {
            out.push(Output::Append {
                stream,
                number: self.number,
                bytes,
            });
        }
    }
}
