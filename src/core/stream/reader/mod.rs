//! Converting pages of a stream to typed records, in order and without duplicates.
//!
//! A [`Reader`] fetches the page at its position, checks that the offsets of the entries are
//! consecutive, drops duplicates by [`WriterTable`] and delivers the accepted records. It works the
//! same whether a page comes from the log or from a relay. When the entry at its position has
//! expired, it emits [`Output::Expired`] once and waits for a snapshot; it never goes back to an
//! earlier position.

mod message;

use std::marker::PhantomData;
use std::time::Duration;

use laburnum_derive::state;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use serde::de::DeserializeOwned;

pub use self::message::{Input, Output, Rejection};
use super::backoff::Backoff;
use super::batch::{Batch, Body, Bundle, Header, Id, Record};
use super::codec::decode;
use super::writer_table::{Admission, Rules, WriterTable};
use crate::core::time::Instant;
use crate::platform::log::{Entry, Page};

/// How long to wait for a page; longer than the log ever holds a fetch until an entry comes.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);

/// The event that a reader waits for.
#[state]
enum Phase {
    /// The time of the next fetch.
    Idle(Instant),
    /// The response to the fetch that was sent at this time.
    Fetching(Instant),
    /// A snapshot.
    Expired,
}

/// Reads one stream.
#[derive(Clone, Debug)]
pub struct Reader<T> {
    next: u64,
    head: u64,
    writers: WriterTable,
    phase: Phase,
    backoff: Backoff,
    record: PhantomData<fn() -> T>,
}

impl<T: DeserializeOwned> Reader<T> {
    /// Creates a reader at the start of a stream; `seed` is the seed of its jitter.
    pub fn new(seed: u64) -> Reader<T> {
        Reader::restored(0, WriterTable::default(), seed)
    }

    /// Creates a reader that starts at `next` with the table of writers at that offset.
    pub fn restored(next: u64, writers: WriterTable, seed: u64) -> Reader<T> {
        Reader {
            next,
            head: next,
            writers,
            phase: Phase::Idle(Instant(0)),
            backoff: Backoff::new(Pcg32::seed_from_u64(seed)),
            record: PhantomData,
        }
    }

    /// Creates a reader at the start of a stream that applies `rules`.
    #[doc(hidden)]
    pub fn with_rules(rules: Rules, seed: u64) -> Reader<T> {
        Reader::restored(0, WriterTable::with_rules(rules), seed)
    }

    /// Returns the next offset to be read.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns how many offsets the reader is behind the end of the stream that the last pages
    /// gave.
    pub fn lag(&self) -> u64 {
        self.head.saturating_sub(self.next)
    }

    /// Returns the table of writers at [`next`](Reader::next).
    pub fn writers(&self) -> &WriterTable {
        &self.writers
    }

    /// Returns whether the reader waits for a snapshot because its next offset has expired.
    pub fn is_expired(&self) -> bool {
        self.phase == Phase::Expired
    }

    /// Returns when [`Input::Tick`] is next needed, if no other input comes before.
    pub fn wake_at(&self) -> Option<Instant> {
        match self.phase {
            Phase::Idle(at) => Some(at),
            Phase::Fetching(since) => Some(since + FETCH_TIMEOUT),
            Phase::Expired => None,
        }
    }

    /// Handles `input`, delivers records and fetches the next page.
    pub fn step(&mut self, now: Instant, input: Input, out: &mut Vec<Output<T>>) {
        match input {
            Input::Page(page) => self.handle_page(now, &page, out),
            Input::Failed => self.retry_later(now),
            Input::Restored { next, writers } => self.restore(now, next, writers, out),
            Input::Tick => self.tick(now),
        }
        if matches!(self.phase, Phase::Idle(at) if at <= now) {
            self.phase = Phase::Fetching(now);
            out.push(Output::Fetch { from: self.next });
        }
    }

    fn tick(&mut self, now: Instant) {
        if matches!(self.phase, Phase::Fetching(since) if now >= since + FETCH_TIMEOUT) {
            self.retry_later(now);
        }
    }

    fn retry_later(&mut self, now: Instant) {
        if matches!(self.phase, Phase::Fetching(_)) {
            self.phase = Phase::Idle(now + self.backoff.record_failure());
        }
    }

    /// Continues from a snapshot if it covers more than was read.
    fn restore(&mut self, now: Instant, next: u64, writers: WriterTable, out: &mut Vec<Output<T>>) {
        if next <= self.next {
            return;
        }
        let rules = self.writers.rules();
        self.writers = writers;
        self.writers.set_rules(rules);
        self.next = next;
        self.head = self.head.max(next);
        self.phase = Phase::Idle(now);
        out.push(Output::Read { next });
    }

    fn handle_page(&mut self, now: Instant, page: &Page, out: &mut Vec<Output<T>>) {
        if self.phase == Phase::Expired {
            return;
        }
        if page.next < self.next {
            self.report_truncated(now, page.next, out);
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
        if self.deliver_entries(now, &page.entries, out) {
            self.backoff.reset();
            self.phase = Phase::Idle(now);
        }
    }

    /// Delivers the entries from the position on; returns `false` at a gap.
    fn deliver_entries(
        &mut self,
        now: Instant,
        entries: &[Entry],
        out: &mut Vec<Output<T>>,
    ) -> bool {
        let start = self.next;
        let mut is_consecutive = true;
        for entry in entries {
            if entry.offset < self.next {
                continue;
            }
            if entry.offset > self.next {
                out.push(Output::Gap {
                    wanted: self.next,
                    found: entry.offset,
                });
                self.phase = Phase::Idle(now + self.backoff.record_failure());
                is_consecutive = false;
                break;
            }
            self.deliver_entry(entry, out);
            self.next += 1;
        }
        if self.next > start {
            out.push(Output::Read { next: self.next });
        }
        is_consecutive
    }

    fn deliver_entry(&mut self, entry: &Entry, out: &mut Vec<Output<T>>) {
        let offset = entry.offset;
        let Ok(bundle) = decode::<Bundle>(&entry.data) else {
            let cause = Rejection::Malformed;
            out.push(Output::Rejected { offset, cause });
            return;
        };
        let mut index = 0;
        for body in &bundle.0 {
            match self.admit(offset, body) {
                Ok((header, values)) => deliver(header, values, &mut index, out),
                Err(cause) => out.push(Output::Rejected { offset, cause }),
            }
        }
    }

    fn admit(&mut self, offset: u64, body: &Body) -> Result<(Header, Vec<T>), Rejection> {
        let batch: Batch = decode(&body.0).map_err(|_| Rejection::Malformed)?;
        match self.writers.admit(offset, &batch) {
            Admission::New => {}
            Admission::Repeat => return Err(Rejection::Repeat),
            Admission::Late => return Err(Rejection::Late),
            Admission::Broken => return Err(Rejection::Broken),
        }
        let values: Result<Vec<T>, _> = batch.records.iter().map(|body| decode(&body.0)).collect();
        let values = values.map_err(|_| Rejection::Malformed)?;
        Ok((batch.header(offset), values))
    }

    fn report_truncated(&mut self, now: Instant, next: u64, out: &mut Vec<Output<T>>) {
        self.phase = Phase::Idle(now + self.backoff.record_failure());
        out.push(Output::Truncated {
            wanted: self.next,
            next,
        });
    }
}

/// Delivers the records of the batch with `header`; `index` is the index of the next record at this
/// offset.
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
