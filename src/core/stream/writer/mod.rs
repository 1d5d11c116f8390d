//! Group commit within a VM's share of appends.
//!
//! One [`Writer`] serves all streams of a process. Each stream has a lane with at most one batch in
//! flight; the lanes take turns, and together they append at the pace of the VM. Urgent streams get
//! every second turn, so what must spread within seconds doesn't wait for all others. When the load
//! grows, batches grow and the rate stays. A full lane refuses records at once.
//!
//! A record is durable when an append was answered, or when the reader of this process met it in
//! the log. A lost answer leads to a retry of the same batch, which readers drop if it is a copy.

mod builder;
mod lane;
mod message;
mod pace;
mod turns;

use std::collections::BTreeMap;
use std::time::Duration;

use laburnum_derive::state;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde::Serialize;

pub use self::builder::Builder;
use self::lane::{Lane, Settled};
pub use self::message::{Copy, Input, Output, Ticket};
pub use self::pace::{CELL_APPENDS_PER_SECOND, Pace};
pub(super) use self::turns::Turns;
use super::backoff::Backoff;
use super::batch::{Body, Name};
use super::codec::encode;
use crate::core::error::{Error, Kind, Result};
use crate::core::time::Instant;

/// How many bytes of records may wait in one lane.
pub const LANE_BYTES: usize = 1 << 20;

/// How many bytes one record may have.
pub const RECORD_BYTES: usize = 1 << 20;

/// How many streams one process may write.
pub const LANES: usize = 64;

/// How long an append may stay unanswered before it is tried again.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Appends the records of one process.
#[state]
pub struct Writer {
    settings: Builder,
    lanes: BTreeMap<Name, Lane>,
    pace: Pace,
    random: Pcg32,
    turns: Turns,
    next_ticket: u64,
}

impl Writer {
    /// Takes a record for `stream`; the ticket comes back when the record is settled.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::TooLarge`] for a record above [`RECORD_BYTES`], with [`Kind::LogDown`]
    /// when the lane is full because appends fail, and with [`Kind::Overloaded`] when it is full
    /// because records come faster than they can be appended.
    pub fn push<T: Serialize>(&mut self, stream: &Name, record: &T) -> Result<Ticket> {
        let body = Body(encode(record)?);
        let size = body.0.len();
        if size > RECORD_BYTES {
            let message =
                format!("the record has {size} bytes; at most {RECORD_BYTES} are allowed");
            return Err(Error::new(Kind::TooLarge, message));
        }
        let room = self.settings.lane_bytes;
        let lane = self.lane(stream)?;
        if lane.waiting() > 0 && lane.waiting_bytes() + size > room {
            return Err(full(stream, lane.is_failing()));
        }
        let ticket = Ticket(self.next_ticket);
        self.lane(stream)?.push(ticket, body);
        self.next_ticket += 1;
        Ok(ticket)
    }

    /// Takes back a record that was never sent; returns whether that was so.
    pub fn withdraw(&mut self, stream: &Name, ticket: Ticket) -> bool {
        let lane = self.lanes.get_mut(stream);
        lane.is_some_and(|lane| lane.withdraw(ticket))
    }

    /// Takes `input` and appends what is due.
    pub fn step(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        self.take(now, input, out);
        let timeout = self.settings.timeout;
        for lane in self.lanes.values_mut() {
            lane.expire(now, timeout);
        }
        self.append(now, out);
    }

    /// Returns when [`Input::Tick`] is next needed, if no other input comes before.
    pub fn wake_at(&self) -> Option<Instant> {
        let timeout = self.settings.timeout;
        let due = self
            .lanes
            .values()
            .filter_map(|lane| lane.due(timeout))
            .min()?;
        Some(due.max(self.pace.ready_at()))
    }

    /// Returns whether the last append on `stream` failed.
    pub fn is_failing(&self, stream: &Name) -> bool {
        self.lanes.get(stream).is_some_and(Lane::is_failing)
    }

    /// Returns the span between two appends.
    pub fn interval(&self) -> Duration {
        self.pace.interval()
    }

    fn take(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Appended {
                stream,
                copy,
                offset,
            } => {
                let settled = self
                    .known(&stream)
                    .and_then(|lane| lane.appended(copy, offset));
                report(stream, settled, out);
            }
            Input::Failed { stream, copy } => {
                if let Some(lane) = self.known(&stream) {
                    lane.failed(now, copy);
                }
            }
            Input::Read { stream, next, last } => {
                let settled = self
                    .lane(&stream)
                    .ok()
                    .and_then(|lane| lane.read(next, last));
                report(stream, settled, out);
            }
            Input::Jumped { stream, next, last } => {
                let settled = self
                    .lane(&stream)
                    .ok()
                    .and_then(|lane| lane.jump(next, last));
                report(stream, settled, out);
            }
            Input::Entries(entries) => self.pace.set_entries(entries),
            Input::Tick => {}
        }
    }

    /// Appends the batch of the next lane in turn, if the pace allows.
    fn append(&mut self, now: Instant, out: &mut Vec<Output>) {
        let timeout = self.settings.timeout;
        let is_due = |lane: &Lane| lane.due(timeout).is_some_and(|due| due <= now);
        let due = self
            .lanes
            .iter()
            .filter(|(_, lane)| is_due(lane))
            .map(|(name, _)| name);
        let Some(stream) = self.turns.next(due).cloned() else {
            return;
        };
        if !self.pace.take(now) {
            return;
        }
        let node = self.settings.node;
        let Some(batch) = self.known(&stream).and_then(|lane| lane.send(now, node)) else {
            return;
        };
        let Ok(bytes) = batch.to_entry() else {
            return;
        };
        out.push(Output::Append {
            stream: stream.clone(),
            copy: Copy {
                first: batch.first,
                seen: batch.seen,
            },
            bytes,
        });
        self.turns.end(stream);
    }

    fn known(&mut self, stream: &Name) -> Option<&mut Lane> {
        self.lanes.get_mut(stream)
    }

    fn lane(&mut self, stream: &Name) -> Result<&mut Lane> {
        if !self.lanes.contains_key(stream) {
            if self.lanes.len() >= LANES {
                let message = format!(
                    "a process may write {LANES} streams; `{}` is one more",
                    stream.0
                );
                return Err(Error::new(Kind::Internal, message));
            }
            let random = Pcg32::seed_from_u64(self.random.random());
            let lane = Lane::new(Backoff::new(random), self.settings.window);
            self.lanes.insert(stream.clone(), lane);
        }
        let missing = || Error::new(Kind::Internal, format!("no lane for `{}`", stream.0));
        self.lanes.get_mut(stream).ok_or_else(missing)
    }
}

fn full(stream: &Name, failing: bool) -> Error {
    if failing {
        let message = format!(
            "the log can't be written and `{}` has no room left",
            stream.0
        );
        return Error::new(Kind::LogDown, message);
    }
    let message = format!(
        "records for `{}` come faster than the log takes them",
        stream.0
    );
    Error::new(Kind::Overloaded, message)
}

fn report(stream: Name, settled: Option<Settled>, out: &mut Vec<Output>) {
    match settled {
        Some(Settled::Durable(tickets)) => out.push(Output::Durable { stream, tickets }),
        Some(Settled::Unknown(tickets)) => out.push(Output::Unknown { stream, tickets }),
        None => {}
    }
}
