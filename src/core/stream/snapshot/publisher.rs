//! Writing of snapshots by the owner of a stream.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use laburnum_derive::state;

use super::super::writer::PushId;
use super::part::{Id, Part, split};
use crate::core::error::Result;
use crate::core::id::Node;
use crate::core::time::Instant;

/// A snapshot is due when the retention divided by this has passed since the last one.
const RETENTION_SHARE: u32 = 4;

/// A snapshot is due when this many offsets follow the last one.
const MAX_TAIL: u64 = 20_000;

/// The maximum number of parts that are pushed and not yet durable.
const PARTS_IN_FLIGHT: usize = 8;

/// How long to wait before pushing again after the writer refused a part.
const REFUSED_WAIT: Duration = Duration::from_millis(200);

/// An input of a publisher.
#[state]
pub enum Input {
    /// Whether this node owns the stream.
    Owner(bool),
    /// The reader has read everything before this offset.
    Read(u64),
    /// The state that [`Output::Capture`] requested.
    Captured {
        /// It holds the effect of all entries before this offset.
        covers: u64,
        /// The state, encoded.
        bytes: Vec<u8>,
    },
    /// The writer accepted the part of the last [`Output::Push`].
    Pushed(PushId),
    /// The writer refused the part of the last [`Output::Push`].
    Refused(Part),
    /// These records are in the log.
    Durable(Vec<PushId>),
    /// These records may or may not be in the log.
    Unknown(Vec<PushId>),
    /// Time has passed.
    Tick,
}

/// A result of a publisher or an action that its caller must carry out.
#[state]
pub enum Output {
    /// Return the current state in [`Input::Captured`].
    Capture,
    /// Push this part to the writer; respond with [`Input::Pushed`] or [`Input::Refused`].
    Push(Part),
    /// All parts of a snapshot are in the log.
    Written {
        /// The snapshot holds the effect of all entries before this offset.
        covers: u64,
    },
}

/// A snapshot that is being written.
#[state]
struct Snapshot {
    covers: u64,
    parts: VecDeque<Part>,
    push_pending: bool,
    push_ids: BTreeSet<PushId>,
}

/// Keeps a complete, recent snapshot of one stream in the log while its node owns the stream.
#[state]
pub struct Publisher {
    node: Node,
    period: Duration,
    owner: bool,
    next: u64,
    number: u64,
    written: Option<u64>,
    due_at: Instant,
    push_after: Instant,
    capture_pending: bool,
    snapshot: Option<Snapshot>,
}

impl Publisher {
    /// Creates the publisher of `node` for a log that keeps records for `retention`.
    pub fn new(node: Node, retention: Duration) -> Publisher {
        Publisher {
            node,
            period: retention / RETENTION_SHARE,
            owner: false,
            next: 0,
            number: 0,
            written: None,
            due_at: Instant(0),
            push_after: Instant(0),
            capture_pending: false,
            snapshot: None,
        }
    }

    /// Returns when [`Input::Tick`] is next needed.
    pub fn wake_at(&self) -> Option<Instant> {
        let waits = self
            .snapshot
            .as_ref()
            .is_some_and(|snapshot| !snapshot.parts.is_empty());
        let at = if waits { self.push_after } else { self.due_at };
        self.owner.then_some(at)
    }

    /// Handles `input` and continues or starts the snapshot that is due.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::TooLarge`](crate::core::error::Kind::TooLarge) when the captured state is
    /// too large for a snapshot; the next snapshot is due a quarter of the retention later.
    pub fn step(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) -> Result<()> {
        match input {
            Input::Owner(owner) => self.set_owner(now, owner),
            Input::Read(next) => self.next = self.next.max(next),
            Input::Captured { covers, bytes } => self.begin(now, covers, &bytes)?,
            Input::Pushed(push_id) => self.pushed(push_id),
            Input::Refused(part) => self.refused(now, part),
            Input::Durable(push_ids) => self.durable(&push_ids, out),
            Input::Unknown(push_ids) => self.restart_if_unknown(now, &push_ids),
            Input::Tick => {}
        }
        self.advance(now, out);
        Ok(())
    }

    fn set_owner(&mut self, now: Instant, owner: bool) {
        if owner && !self.owner {
            self.due_at = now;
            self.written = None;
        }
        self.owner = owner;
        if !owner {
            self.snapshot = None;
            self.capture_pending = false;
        }
    }

    fn begin(&mut self, now: Instant, covers: u64, bytes: &[u8]) -> Result<()> {
        if !self.capture_pending {
            return Ok(());
        }
        self.capture_pending = false;
        self.due_at = now + self.period;
        self.number += 1;
        let id = Id {
            node: self.node,
            number: self.number,
        };
        self.snapshot = Some(Snapshot {
            covers,
            parts: split(id, covers, bytes)?.into(),
            push_pending: false,
            push_ids: BTreeSet::new(),
        });
        Ok(())
    }

    fn pushed(&mut self, push_id: PushId) {
        if let Some(snapshot) = self.snapshot.as_mut() {
            snapshot.push_pending = false;
            snapshot.push_ids.insert(push_id);
        }
    }

    fn refused(&mut self, now: Instant, part: Part) {
        let Some(snapshot) = self.snapshot.as_mut() else {
            return;
        };
        snapshot.push_pending = false;
        snapshot.parts.push_front(part);
        self.push_after = now + REFUSED_WAIT;
    }

    fn durable(&mut self, push_ids: &[PushId], out: &mut Vec<Output>) {
        let Some(snapshot) = self.snapshot.as_mut() else {
            return;
        };
        for push_id in push_ids {
            snapshot.push_ids.remove(push_id);
        }
        if snapshot.parts.is_empty() && !snapshot.push_pending && snapshot.push_ids.is_empty() {
            let covers = snapshot.covers;
            self.snapshot = None;
            self.written = Some(covers);
            out.push(Output::Written { covers });
        }
    }

    /// Starts a new snapshot when a part of this one may be missing from the log.
    fn restart_if_unknown(&mut self, now: Instant, push_ids: &[PushId]) {
        let snapshot = self.snapshot.as_ref();
        if snapshot.is_some_and(|snapshot| {
            push_ids
                .iter()
                .any(|push_id| snapshot.push_ids.contains(push_id))
        }) {
            self.snapshot = None;
            self.due_at = now;
        }
    }

    /// Drops the current snapshot if the next one is already due and no part is in flight, so that
    /// a newer state is written instead.
    fn drop_overdue(&mut self, now: Instant) {
        let is_idle = |snapshot: &Snapshot| !snapshot.push_pending && snapshot.push_ids.is_empty();
        if now >= self.due_at && self.snapshot.as_ref().is_some_and(is_idle) {
            self.snapshot = None;
        }
    }

    fn advance(&mut self, now: Instant, out: &mut Vec<Output>) {
        if !self.owner || self.capture_pending {
            return;
        }
        self.drop_overdue(now);
        if let Some(snapshot) = self.snapshot.as_mut() {
            if now < self.push_after
                || snapshot.push_pending
                || snapshot.push_ids.len() >= PARTS_IN_FLIGHT
            {
                return;
            }
            if let Some(part) = snapshot.parts.pop_front() {
                snapshot.push_pending = true;
                out.push(Output::Push(part));
            }
            return;
        }
        let tail = self.next.saturating_sub(self.written.unwrap_or(0));
        if now >= self.due_at || (self.written.is_some() && tail >= MAX_TAIL) {
            self.capture_pending = true;
            out.push(Output::Capture);
        }
    }
}
