//! The writing of snapshots by the owner of a stream.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use laburnum_derive::state;

use super::super::writer::Ticket;
use super::part::{Id, Part, split};
use crate::core::error::Result;
use crate::core::id::Node;
use crate::core::time::Instant;

/// A snapshot is due after this share of the retention.
const RETENTION_SHARE: u32 = 4;

/// A snapshot is due when the tail after the last one is this long, in offsets.
const TAIL: u64 = 20_000;

/// How many parts may be on their way at once.
const PARTS_IN_FLIGHT: usize = 8;

/// How long to wait after the writer refused a part.
const REFUSED_WAIT: Duration = Duration::from_millis(200);

/// What a publisher takes.
#[state]
pub enum Input {
    /// Whether this node owns the stream.
    Owner(bool),
    /// The reader has read everything before this offset.
    Read(u64),
    /// The state that was asked for.
    Captured {
        /// It holds the effect of all entries before this offset.
        covers: u64,
        /// The state, encoded.
        bytes: Vec<u8>,
    },
    /// The writer took the part that was handed out last.
    Pushed(Ticket),
    /// The writer refused the part that was handed out last.
    Refused(Part),
    /// These records are in the log.
    Durable(Vec<Ticket>),
    /// Nobody knows whether these records are in the log.
    Unknown(Vec<Ticket>),
    /// Time has passed.
    Tick,
}

/// What a publisher wants done.
#[state]
pub enum Output {
    /// Give the state as it is now, by [`Input::Captured`].
    Capture,
    /// Push this part; answer by [`Input::Pushed`] or [`Input::Refused`].
    Push(Part),
    /// A snapshot is in the log as a whole.
    Written {
        /// It covers all entries before this offset.
        covers: u64,
    },
}

/// A snapshot on its way into the log.
#[state]
struct Job {
    covers: u64,
    parts: VecDeque<Part>,
    offered: bool,
    tickets: BTreeSet<Ticket>,
}

/// Keeps a whole, recent snapshot of one stream in the log while its node owns the stream.
#[state]
pub struct Publisher {
    node: Node,
    period: Duration,
    owner: bool,
    next: u64,
    number: u64,
    written: Option<u64>,
    due_at: Instant,
    hold_until: Instant,
    asked: bool,
    job: Option<Job>,
}

impl Publisher {
    /// Makes the publisher of `node` for a log that keeps records for `retention`.
    pub fn new(node: Node, retention: Duration) -> Publisher {
        Publisher {
            node,
            period: retention / RETENTION_SHARE,
            owner: false,
            next: 0,
            number: 0,
            written: None,
            due_at: Instant(0),
            hold_until: Instant(0),
            asked: false,
            job: None,
        }
    }

    /// Returns when [`Input::Tick`] is next needed.
    pub fn wake_at(&self) -> Option<Instant> {
        let waits = self.job.as_ref().is_some_and(|job| !job.parts.is_empty());
        let at = if waits { self.hold_until } else { self.due_at };
        self.owner.then_some(at)
    }

    /// Takes `input` and goes on with the snapshot that is due.
    ///
    /// # Errors
    ///
    /// Fails when the captured state is too large for a snapshot; the next one is due a period
    /// later.
    pub fn step(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) -> Result<()> {
        match input {
            Input::Owner(owner) => self.set_owner(now, owner),
            Input::Read(next) => self.next = self.next.max(next),
            Input::Captured { covers, bytes } => self.begin(now, covers, &bytes)?,
            Input::Pushed(ticket) => self.pushed(ticket),
            Input::Refused(part) => self.refused(now, part),
            Input::Durable(tickets) => self.durable(&tickets, out),
            Input::Unknown(tickets) => self.lost(now, &tickets),
            Input::Tick => {}
        }
        self.go_on(now, out);
        Ok(())
    }

    fn set_owner(&mut self, now: Instant, owner: bool) {
        if owner && !self.owner {
            self.due_at = now;
            self.written = None;
        }
        self.owner = owner;
        if !owner {
            self.job = None;
            self.asked = false;
        }
    }

    fn begin(&mut self, now: Instant, covers: u64, bytes: &[u8]) -> Result<()> {
        if !self.asked {
            return Ok(());
        }
        self.asked = false;
        self.due_at = now + self.period;
        self.number += 1;
        let id = Id {
            node: self.node,
            number: self.number,
        };
        self.job = Some(Job {
            covers,
            parts: split(id, covers, bytes)?.into(),
            offered: false,
            tickets: BTreeSet::new(),
        });
        Ok(())
    }

    fn pushed(&mut self, ticket: Ticket) {
        if let Some(job) = self.job.as_mut() {
            job.offered = false;
            job.tickets.insert(ticket);
        }
    }

    fn refused(&mut self, now: Instant, part: Part) {
        let Some(job) = self.job.as_mut() else {
            return;
        };
        job.offered = false;
        job.parts.push_front(part);
        self.hold_until = now + REFUSED_WAIT;
    }

    fn durable(&mut self, tickets: &[Ticket], out: &mut Vec<Output>) {
        let Some(job) = self.job.as_mut() else {
            return;
        };
        for ticket in tickets {
            job.tickets.remove(ticket);
        }
        if job.parts.is_empty() && !job.offered && job.tickets.is_empty() {
            let covers = job.covers;
            self.job = None;
            self.written = Some(covers);
            out.push(Output::Written { covers });
        }
    }

    /// Starts again when a part may be missing.
    fn lost(&mut self, now: Instant, tickets: &[Ticket]) {
        let job = self.job.as_ref();
        if job.is_some_and(|job| tickets.iter().any(|ticket| job.tickets.contains(ticket))) {
            self.job = None;
            self.due_at = now;
        }
    }

    /// Drops a snapshot that is due again and has no part on its way, so a fresh one is written.
    fn drop_overdue(&mut self, now: Instant) {
        let is_idle = |job: &Job| !job.offered && job.tickets.is_empty();
        if now >= self.due_at && self.job.as_ref().is_some_and(is_idle) {
            self.job = None;
        }
    }

    fn go_on(&mut self, now: Instant, out: &mut Vec<Output>) {
        if !self.owner || self.asked {
            return;
        }
        self.drop_overdue(now);
        if let Some(job) = self.job.as_mut() {
            if now < self.hold_until || job.offered || job.tickets.len() >= PARTS_IN_FLIGHT {
                return;
            }
            if let Some(part) = job.parts.pop_front() {
                job.offered = true;
                out.push(Output::Push(part));
            }
            return;
        }
        let tail = self.next.saturating_sub(self.written.unwrap_or(0));
        if now >= self.due_at || (self.written.is_some() && tail >= TAIL) {
            self.asked = true;
            out.push(Output::Capture);
        }
    }
}
