//! Pages of a stream to typed records, in order and without repeats.
//!
//! A [`Reader`] asks for the page at its position, checks that the entries follow one another,
//! drops copies by [`Seen`] and delivers what counts. It doesn't care whether a page comes from the
//! log or from a relay. When the log has dropped what it wants, it says so once and waits for a
//! snapshot; it never goes back to an earlier position.

mod message;

use std::marker::PhantomData;
use std::time::Duration;

use laburnum_derive::state;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use serde::de::DeserializeOwned;

pub use self::message::{Input, Output, Void};
use super::backoff::Backoff;
use super::batch::{Batch, Body, Bundle, Header, Id, Record};
use super::codec::decode;
use super::seen::{Admission, Rules, Seen};
use crate::core::time::Instant;
use crate::platform::log::{Entry, Page};

/// How long a request for a page may stay unanswered; longer than any wait in the log.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);

/// What a reader waits for.
#[state]
enum Phase {
    /// For its first tick, or to ask again at that time.
    Idle(Instant),
    /// For the page that it asked for then.
    Asked(Instant),
    /// For a snapshot.
    Expired,
}

/// Follows one stream.
#[derive(Clone, Debug)]
pub struct Reader<T> {
    next: u64,
    head: u64,
    seen: Seen,
    phase: Phase,
    backoff: Backoff,
    record: PhantomData<fn() -> T>,
}

impl<T: DeserializeOwned> Reader<T> {
    /// Makes a reader at the start of a stream that draws its jitter from `seed`.
    pub fn new(seed: u64) -> Reader<T> {
        Reader::restored(0, Seen::default(), seed)
    }

    /// Makes a reader that starts at `next` with the table of writers at that offset.
    pub fn restored(next: u64, seen: Seen, seed: u64) -> Reader<T> {
        Reader {
            next,
            head: next,
            seen,
            phase: Phase::Idle(Instant(0)),
            backoff: Backoff::new(Pcg32::seed_from_u64(seed)),
            record: PhantomData,
        }
    }

    /// Makes a reader at the start of a stream under `rules`.
    #[doc(hidden)]
    pub fn with_rules(rules: Rules, seed: u64) -> Reader<T> {
        Reader::restored(0, Seen::with_rules(rules), seed)
    }

    /// Returns the next offset to be read.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns how many offsets the last page was behind the end of the stream.
    pub fn lag(&self) -> u64 {
        self.head.saturating_sub(self.next)
    }

    /// Returns the table of writers at [`next`](Reader::next).
    pub fn seen(&self) -> &Seen {
        &self.seen
    }

    /// Returns whether the reader needs a snapshot.
    pub fn is_expired(&self) -> bool {
        self.phase == Phase::Expired
    }

    /// Returns when [`Input::Tick`] is next needed, if no other input comes before.
    pub fn wake_at(&self) -> Option<Instant> {
        match self.phase {
            Phase::Idle(at) => Some(at),
            Phase::Asked(since) => Some(since + FETCH_TIMEOUT),
            Phase::Expired => None,
        }
    }

    /// Takes `input`, delivers records and asks for the next page.
    pub fn step(&mut self, now: Instant, input: Input, out: &mut Vec<Output<T>>) {
        match input {
            Input::Page(page) => self.page(now, &page, out),
            Input::Failed => self.failed(now),
            Input::Restored { next, seen } => self.restore(now, next, seen, out),
            Input::Tick => self.tick(now),
        }
        if matches!(self.phase, Phase::Idle(at) if at <= now) {
            self.phase = Phase::Asked(now);
            out.push(Output::Fetch { from: self.next });
        }
    }

    fn tick(&mut self, now: Instant) {
        if matches!(self.phase, Phase::Asked(since) if now >= since + FETCH_TIMEOUT) {
            self.failed(now);
        }
    }

    fn failed(&mut self, now: Instant) {
        if matches!(self.phase, Phase::Asked(_)) {
            self.phase = Phase::Idle(now + self.backoff.fail());
        }
    }

    /// Moves on to a snapshot, unless it is older than what was read.
    fn restore(&mut self, now: Instant, next: u64, seen: Seen, out: &mut Vec<Output<T>>) {
        if next <= self.next {
            return;
        }
        let rules = self.seen.rules();
        self.seen = seen;
        self.seen.set_rules(rules);
        self.next = next;
        self.head = self.head.max(next);
        self.phase = Phase::Idle(now);
        out.push(Output::Read { next });
    }

    fn page(&mut self, now: Instant, page: &Page, out: &mut Vec<Output<T>>) {
        if self.phase == Phase::Expired {
            return;
        }
        if page.next < self.next {
            self.truncated(now, page.next, out);
            return;
        }
        self.head = self.head.max(page.next);
        if page.first > self.next && page.entries.first().is_none_or(|e| e.offset > self.next) {
            self.phase = Phase::Expired;
            out.push(Output::Expired {
                wanted: self.next,
                first: page.first,
            });
            return;
        }
        if self.entries(now, &page.entries, out) {
            self.backoff.succeed();
            self.phase = Phase::Idle(now);
        }
    }

    /// Delivers the entries from the position on; returns whether they had no gap.
    fn entries(&mut self, now: Instant, entries: &[Entry], out: &mut Vec<Output<T>>) -> bool {
        let start = self.next;
        let mut whole = true;
        for entry in entries {
            if entry.offset < self.next {
                continue;
            }
            if entry.offset > self.next {
                out.push(Output::Gap {
                    wanted: self.next,
                    found: entry.offset,
                });
                self.phase = Phase::Idle(now + self.backoff.fail());
                whole = false;
                break;
            }
            self.entry(entry, out);
            self.next += 1;
        }
        if self.next > start {
            out.push(Output::Read { next: self.next });
        }
        whole
    }

    fn entry(&mut self, entry: &Entry, out: &mut Vec<Output<T>>) {
        let offset = entry.offset;
        let Ok(bundle) = decode::<Bundle>(&entry.data) else {
            let cause = Void::Malformed;
            out.push(Output::Void { offset, cause });
            return;
        };
        let mut index = 0;
        for body in &bundle.0 {
            match self.admit(offset, body) {
                Ok((header, values)) => deliver(header, values, &mut index, out),
                Err(cause) => out.push(Output::Void { offset, cause }),
            }
        }
    }

    fn admit(&mut self, offset: u64, body: &Body) -> Result<(Header, Vec<T>), Void> {
        let batch: Batch = decode(&body.0).map_err(|_| Void::Malformed)?;
        match self.seen.admit(offset, &batch) {
            Admission::New => {}
            Admission::Repeat => return Err(Void::Repeat),
            Admission::Late => return Err(Void::Late),
            Admission::Broken => return Err(Void::Broken),
        }
        let values: Result<Vec<T>, _> = batch.records.iter().map(|body| decode(&body.0)).collect();
        let values = values.map_err(|_| Void::Malformed)?;
        Ok((batch.header(offset), values))
    }

    fn truncated(&mut self, now: Instant, next: u64, out: &mut Vec<Output<T>>) {
        self.phase = Phase::Idle(now + self.backoff.fail());
        out.push(Output::Truncated {
            wanted: self.next,
            next,
        });
    }
}

/// Delivers the records of the batch of `header`; `index` counts the records at its offset.
fn deliver<T>(header: Header, values: Vec<T>, index: &mut u32, out: &mut Vec<Output<T>>) {
    out.push(Output::Batch(header));
    for (count, value) in values.into_iter().enumerate() {
        let id = Id {
            node: header.node,
            sequence: header.first.plus(count as u64),
        };
        out.push(Output::Record(Record {
            id,
            offset: header.offset,
            index: *index,
            value,
        }));
        *index += 1;
    }
}
