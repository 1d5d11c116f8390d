//! One appender for many writers.
//!
//! The cell's rate of appends is fixed, so with hundreds of entry VMs the share of each would be
//! one append in seconds. Above [`FUNNELS`] entry VMs only some of them append; the others hand
//! their entries to one of these, which joins what waits into one entry. Nothing is promised: an
//! append that fails, a full funnel or a dead one is a failed append to the writer, which retries,
//! here or elsewhere. Readers judge each batch in an entry by itself, so copies do no harm.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnum_derive::state;

use super::batch::{Bundle, Name};
use super::codec::{decode, encode};
use super::rendezvous::weight;
use super::writer::{Copy, Pace, Turns};
use crate::core::id::Node;
use crate::core::time::Instant;

/// How many entry VMs append.
pub const FUNNELS: usize = 16;

/// How many bytes may wait per stream.
const WAITING_BYTES: usize = 1 << 20;

/// How long an append may stay unanswered; shorter than a writer waits.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What a funnel takes.
#[state]
pub enum Input {
    /// A writer hands over an entry.
    Offered {
        /// The writer.
        from: Node,
        /// The stream.
        stream: Name,
        /// The copy that the entry holds.
        copy: Copy,
        /// The entry.
        bytes: Vec<u8>,
    },
    /// An append was answered.
    Appended {
        /// The stream.
        stream: Name,
        /// The number of the append.
        number: u64,
        /// Where the entry landed.
        offset: u64,
    },
    /// An append failed or wasn't answered.
    Failed {
        /// The stream.
        stream: Name,
        /// The number of the append.
        number: u64,
    },
    /// The number of VMs that append.
    Funnels(u32),
    /// Time has passed.
    Tick,
}

/// What a funnel wants done.
#[state]
pub enum Output {
    /// Append `bytes` to the stream.
    Append {
        /// The stream.
        stream: Name,
        /// The number of the append, to be given back with the answer.
        number: u64,
        /// The entry.
        bytes: Vec<u8>,
    },
    /// Tell a writer what became of its entry.
    Answer {
        /// The writer.
        to: Node,
        /// The stream.
        stream: Name,
        /// The copy that it offered.
        copy: Copy,
        /// Where the copy landed, or `None` when that isn't known.
        offset: Option<u64>,
    },
}

/// An entry that waits.
#[state]
struct Offer {
    copy: Copy,
    bundle: Bundle,
    size: usize,
}

/// An append that isn't answered.
#[state]
struct Flight {
    number: u64,
    sent_at: Instant,
    copies: Vec<(Node, Copy)>,
}

/// What waits for one stream, at most one entry of each writer.
#[state]
#[derive(Default)]
struct Queue {
    offers: BTreeMap<Node, Offer>,
    flight: Option<Flight>,
}

/// Joins the entries of many writers.
#[state]
pub struct Funnel {
    queues: BTreeMap<Name, Queue>,
    pace: Pace,
    turns: Turns,
    number: u64,
}

/// Returns the funnels that `origin` should hand its entries to, best first; `origin` alone when
/// there are so few `members` that all append.
///
/// All nodes with the same members name the same funnels, and each spreads its entries over them.
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
    /// Makes one of `funnels` funnels; every second turn is for the urgent streams.
    pub fn new(funnels: u32, urgent: &[Name]) -> Funnel {
        Funnel {
            queues: BTreeMap::new(),
            pace: Pace::new(funnels),
            turns: Turns::new(urgent),
            number: 0,
        }
    }

    /// Returns when [`Input::Tick`] is next needed.
    pub fn wake_at(&self) -> Option<Instant> {
        let ready = self.pace.ready_at();
        let due = |queue: &Queue| match &queue.flight {
            Some(flight) => Some(flight.sent_at + APPEND_TIMEOUT),
            None => (!queue.offers.is_empty()).then_some(ready),
        };
        self.queues.values().filter_map(due).min()
    }

    /// Takes `input` and appends what is due.
    pub fn step(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Offered {
                from,
                stream,
                copy,
                bytes,
            } => self.offered(from, stream, copy, &bytes, out),
            Input::Appended {
                stream,
                number,
                offset,
            } => self.landed(&stream, number, Some(offset), out),
            Input::Failed { stream, number } => self.landed(&stream, number, None, out),
            Input::Funnels(funnels) => self.pace.set_entries(funnels),
            Input::Tick => {}
        }
        self.expire(now, out);
        self.append(now, out);
    }

    fn offered(
        &mut self,
        from: Node,
        stream: Name,
        copy: Copy,
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

    /// Tells the writers whose entries were in an append what became of it.
    fn landed(&mut self, stream: &Name, number: u64, offset: Option<u64>, out: &mut Vec<Output>) {
        let Some(queue) = self.queues.get_mut(stream) else {
            return;
        };
        let Some(flight) = queue.flight.take_if(|flight| flight.number == number) else {
            return;
        };
        out.extend(flight.copies.into_iter().map(|(to, copy)| Output::Answer {
            to,
            stream: stream.clone(),
            copy,
            offset,
        }));
    }

    /// Gives up the appends that were not answered in time.
    fn expire(&mut self, now: Instant, out: &mut Vec<Output>) {
        let is_late = |flight: &&Flight| now >= flight.sent_at + APPEND_TIMEOUT;
        let flights = self.queues.iter().filter_map(|(stream, queue)| {
            let flight = queue.flight.as_ref().filter(is_late)?;
            Some((stream.clone(), flight.number))
        });
        let late: Vec<(Name, u64)> = flights.collect();
        for (stream, number) in late {
            self.landed(&stream, number, None, out);
        }
    }

    fn append(&mut self, now: Instant, out: &mut Vec<Output>) {
        let is_due = |queue: &Queue| queue.flight.is_none() && !queue.offers.is_empty();
        let due = self
            .queues
            .iter()
            .filter(|(_, queue)| is_due(queue))
            .map(|(name, _)| name);
        let Some(stream) = self.turns.next(due).cloned() else {
            return;
        };
        if !self.pace.take(now) {
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
        queue.flight = Some(Flight {
            number: self.number,
            sent_at: now,
            copies,
        });
        self.turns.end(stream.clone());
        if let Ok(bytes) = encode(&bundle) {
            out.push(Output::Append {
                stream,
                number: self.number,
                bytes,
            });
        }
    }
}
