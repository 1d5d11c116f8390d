//! A log service in memory.
//!
//! Streams come into being with their first append. Offsets grow from 0 without gaps; the oldest
//! entries go when the retention by count or age is reached. Appends above the rate are refused
//! with status 429 and take no effect.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use actix_http::{Method, StatusCode};
use laburnum_derive::{message, state};
use laburnumplank::core::time::Instant;
use laburnumplank::platform::log::{Appended, Entry, Page};
use tokio::sync::watch;

use super::fault::Faults;
use super::http::{Answer, Request};
use super::server::Serve;
use crate::clock;

/// The size of a page when the reader names none, in bytes.
const PAGE_BYTES: u64 = 1 << 20;

/// The longest long poll, in milliseconds.
const WAIT_LIMIT_MS: u64 = 60_000;

/// The span that an append rate is averaged over.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Limits of the log service.
#[state]
#[derive(Copy)]
pub struct Limits {
    /// How many entries a stream keeps.
    pub entries: usize,
    /// How long an entry is kept.
    pub age: Duration,
    /// How many appends are taken a second over all streams.
    pub appends_per_second: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            entries: 1_000_000,
            age: Duration::from_secs(3600),
            appends_per_second: 500,
        }
    }
}

/// What the log service has done since its start.
#[message]
#[derive(Copy, Default)]
pub struct Counts {
    /// Appends that took effect.
    pub appends: u64,
    /// Bytes appended.
    pub appended_bytes: u64,
    /// Appends refused because of the rate.
    pub refused: u64,
    /// Pages read.
    pub reads: u64,
    /// Bytes of entries read.
    pub read_bytes: u64,
}

/// The extent of a stream.
#[message]
pub struct Extent {
    /// The oldest offset that is kept.
    pub first: u64,
    /// The offset that the next append gets.
    pub next: u64,
}

/// One kept entry.
#[derive(Clone, Debug)]
struct Kept {
    at: Instant,
    data: Vec<u8>,
}

/// One stream.
#[derive(Debug)]
struct Stream {
    first: u64,
    kept: VecDeque<Kept>,
    next: watch::Sender<u64>,
}

impl Stream {
    fn new() -> Stream {
        Stream {
            first: 0,
            kept: VecDeque::new(),
            next: watch::Sender::new(0),
        }
    }

    fn next(&self) -> u64 {
        self.first + self.kept.len() as u64
    }

    fn append(&mut self, now: Instant, data: Vec<u8>) -> u64 {
        let offset = self.next();
        self.kept.push_back(Kept { at: now, data });
        self.next.send_replace(offset + 1);
        offset
    }

    fn expire(&mut self, now: Instant, limits: &Limits) {
        while let Some(oldest) = self.kept.front() {
            let is_old = now.since(oldest.at) >= limits.age;
            if !is_old && self.kept.len() <= limits.entries {
                break;
            }
            self.kept.pop_front();
            self.first += 1;
        }
    }

    fn page(&self, from: u64, max_bytes: u64) -> Page {
        let mut entries = Vec::new();
        let mut bytes = 0;
        let skipped = from.checked_sub(self.first);
        let kept = skipped.map_or_else(|| self.kept.len(), |count| count as usize);
        for (offset, kept) in (from..).zip(self.kept.iter().skip(kept)) {
            bytes += kept.data.len() as u64;
            if !entries.is_empty() && bytes > max_bytes {
                break;
            }
            let data = kept.data.clone();
            entries.push(Entry { offset, data });
        }
        Page {
            first: self.first,
            next: self.next(),
            entries,
        }
    }
}

/// All streams.
#[derive(Debug)]
pub struct State {
    limits: Limits,
    streams: BTreeMap<String, Stream>,
    /// How many appends may be taken at `filled`.
    tokens: f64,
    filled: Instant,
    counts: Counts,
}

impl State {
    /// Makes a log service without streams.
    pub fn new(now: Instant, limits: Limits) -> State {
        State {
            limits,
            streams: BTreeMap::new(),
            tokens: f64::from(limits.appends_per_second),
            filled: now,
            counts: Counts::default(),
        }
    }

    /// Appends an entry; returns `None` when the rate is exceeded.
    pub fn append(&mut self, now: Instant, stream: &str, data: Vec<u8>) -> Option<Appended> {
        if !self.take_token(now) {
            self.counts.refused += 1;
            return None;
        }
        self.counts.appends += 1;
        self.counts.appended_bytes += data.len() as u64;
        let limits = self.limits;
        let stream = self.stream(stream);
        let offset = stream.append(now, data);
        stream.expire(now, &limits);
        Some(Appended { offset })
    }

    /// Reads entries from `from` on, at least one when there is any and up to `max_bytes` else.
    pub fn page(&mut self, now: Instant, stream: &str, from: u64, max_bytes: u64) -> Page {
        let limits = self.limits;
        let stream = self.stream(stream);
        stream.expire(now, &limits);
        let page = stream.page(from, max_bytes);
        let bytes: usize = page.entries.iter().map(|entry| entry.data.len()).sum();
        self.counts.reads += 1;
        self.counts.read_bytes += bytes as u64;
        page
    }

    /// Returns the extent of each stream.
    pub fn extents(&self) -> BTreeMap<&str, Extent> {
        let extent = |stream: &Stream| Extent {
            first: stream.first,
            next: stream.next(),
        };
        self.streams
            .iter()
            .map(|(name, stream)| (name.as_str(), extent(stream)))
            .collect()
    }

    fn stream(&mut self, name: &str) -> &mut Stream {
        self.streams
            .entry(name.to_owned())
            .or_insert_with(Stream::new)
    }

    /// Takes the right to one append from a token bucket that holds one second's share.
    fn take_token(&mut self, now: Instant) -> bool {
        let rate = f64::from(self.limits.appends_per_second);
        let gained = now.since(self.filled).as_secs_f64() * rate;
        let most = rate * RATE_WINDOW.as_secs_f64();
        self.tokens = (self.tokens + gained).min(most);
        self.filled = now;
        let is_free = self.tokens >= 1.0;
        if is_free {
            self.tokens -= 1.0;
        }
        is_free
    }
}

/// Serves a [`State`].
#[derive(Debug)]
pub(super) struct Service {
    state: RefCell<State>,
}

impl Service {
    pub(super) fn new(limits: Limits) -> Service {
        let state = RefCell::new(State::new(clock::now(), limits));
        Service { state }
    }

    fn append(&self, stream: &str, request: &Request) -> Answer {
        let data = request.body.to_vec();
        let appended = self.state.borrow_mut().append(clock::now(), stream, data);
        match appended {
            Some(appended) => Answer::json(&appended),
            None => {
                let status = StatusCode::TOO_MANY_REQUESTS;
                Answer::error(status, "too many appends a second").with_header("retry-after", "1")
            }
        }
    }

    async fn entries(&self, stream: &str, request: &Request) -> Answer {
        let from = request.number("from").unwrap_or(0);
        let max_bytes = request.number("max_bytes").unwrap_or(PAGE_BYTES);
        let wait_ms = request.number("wait_ms").unwrap_or(0).min(WAIT_LIMIT_MS);
        self.wait(stream, from, Duration::from_millis(wait_ms))
            .await;
        let mut state = self.state.borrow_mut();
        Answer::cbor(&state.page(clock::now(), stream, from, max_bytes))
    }

    /// Waits up to `span` for an entry at or after `from`.
    async fn wait(&self, stream: &str, from: u64, span: Duration) {
        let mut next = self.state.borrow_mut().stream(stream).next.subscribe();
        let arrived = next.wait_for(|next| *next > from);
        let _ = actix_rt::time::timeout(span, arrived).await;
    }
}

impl Serve for Service {
    async fn serve(&self, request: Request, _faults: Faults) -> Answer {
        let path = request.path.clone();
        let parts = path
            .strip_prefix("/v1/streams/")
            .and_then(|rest| rest.rsplit_once('/'));
        match (&request.method, parts) {
            (&Method::POST, Some((stream, "append"))) => self.append(stream, &request),
            (&Method::GET, Some((stream, "entries"))) => self.entries(stream, &request).await,
            _ => Answer::not_found(&request),
        }
    }

    fn control(&self, path: &str, request: &Request) -> Answer {
        let state = self.state.borrow();
        match path {
            "streams" => Answer::json(&state.extents()),
            "counts" => Answer::json(&state.counts),
            _ => Answer::not_found(request),
        }
    }
}
