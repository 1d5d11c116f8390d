//! A log service in memory.
//!
//! A stream is created by the first request that names it. Offsets count up from 0 without gaps;
//! the oldest entries are dropped when the limit of count or age is reached. Appends above the rate
//! are refused with status 429 and have no effect.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use actix_http::{Method, StatusCode};
use laburnum_derive::{message, state};
use laburnumplank::core::time::Instant;
use laburnumplank::platform::log::{Appended, Entry, Page};
use tokio::sync::watch;

use super::fault::Faults;
use super::http::{Request, Response};
use super::server::Serve;
use crate::clock;

/// The default maximum size of a page, in bytes.
const PAGE_BYTES: u64 = 1 << 20;

/// The maximum duration of a long poll, in milliseconds.
const WAIT_LIMIT_MS: u64 = 60_000;

/// The time over which the append rate is averaged; it sets the maximum burst.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Limits of the log service.
#[state]
#[derive(Copy)]
pub struct Limits {
    /// The maximum number of entries that a stream retains.
    pub entries: usize,
    /// How long an entry is retained.
    pub age: Duration,
    /// The maximum rate of appends per second over all streams.
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

/// The counts of the log service since its start.
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

/// The range of a stream's offsets.
#[message]
pub struct Extent {
    /// The oldest retained offset.
    pub first: u64,
    /// The offset of the next append.
    pub next: u64,
}

/// A retained entry.
#[derive(Clone, Debug)]
struct Retained {
    appended_at: Instant,
    data: Vec<u8>,
}

/// A stream of entries.
#[derive(Debug)]
struct Stream {
    first: u64,
    retained: VecDeque<Retained>,
    next: watch::Sender<u64>,
}

impl Stream {
    fn new() -> Stream {
        Stream {
            first: 0,
            retained: VecDeque::new(),
            next: watch::Sender::new(0),
        }
    }

    fn next(&self) -> u64 {
        self.first + self.retained.len() as u64
    }

    fn append(&mut self, now: Instant, data: Vec<u8>) -> u64 {
        let offset = self.next();
        self.retained.push_back(Retained {
            appended_at: now,
            data,
        });
        self.next.send_replace(offset + 1);
        offset
    }

    fn expire(&mut self, now: Instant, limits: &Limits) {
        while let Some(oldest) = self.retained.front() {
            let is_old = now.since(oldest.appended_at) >= limits.age;
            if !is_old && self.retained.len() <= limits.entries {
                break;
            }
            self.retained.pop_front();
            self.first += 1;
        }
    }

    fn page(&self, from: u64, max_bytes: u64) -> Page {
        let mut entries = Vec::new();
        let mut bytes = 0;
        let index = from.checked_sub(self.first);
        let skipped = index.map_or_else(|| self.retained.len(), |index| index as usize);
        for (offset, entry) in (from..).zip(self.retained.iter().skip(skipped)) {
            bytes += entry.data.len() as u64;
            if !entries.is_empty() && bytes > max_bytes {
                break;
            }
            let data = entry.data.clone();
            entries.push(Entry { offset, data });
        }
        Page {
            first: self.first,
            next: self.next(),
            entries,
        }
    }
}

/// All streams, and the token bucket that limits appends.
#[derive(Debug)]
pub struct State {
    limits: Limits,
    streams: BTreeMap<String, Stream>,
    /// The number of tokens in the bucket at `refilled_at`; each append takes one.
    tokens: f64,
    refilled_at: Instant,
    counts: Counts,
}

impl State {
    /// Creates a log service without streams and with a full token bucket.
    pub fn new(now: Instant, limits: Limits) -> State {
        State {
            limits,
            streams: BTreeMap::new(),
            tokens: f64::from(limits.appends_per_second),
            refilled_at: now,
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

    /// Returns entries from offset `from` on.
    ///
    /// The page holds at most `max_bytes` of data, but at least one entry if there is any. It is
    /// empty when `from` is below the oldest retained offset.
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

    /// Returns the range of offsets of each stream, by name.
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

    /// Returns the stream with this name, creating it if needed.
    fn stream(&mut self, name: &str) -> &mut Stream {
        self.streams
            .entry(name.to_owned())
            .or_insert_with(Stream::new)
    }

    /// Takes a token for one append from the bucket, which holds one second's worth of appends;
    /// returns whether there was one.
    fn take_token(&mut self, now: Instant) -> bool {
        let rate = f64::from(self.limits.appends_per_second);
        let gained = now.since(self.refilled_at).as_secs_f64() * rate;
        let capacity = rate * RATE_WINDOW.as_secs_f64();
        self.tokens = (self.tokens + gained).min(capacity);
        self.refilled_at = now;
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}

/// The HTTP service of a [`State`].
#[derive(Debug)]
pub(super) struct Service {
    state: RefCell<State>,
}

impl Service {
    pub(super) fn new(limits: Limits) -> Service {
        let state = RefCell::new(State::new(clock::now(), limits));
        Service { state }
    }

    fn append(&self, stream: &str, request: &Request) -> Response {
        let data = request.body.to_vec();
        let appended = self.state.borrow_mut().append(clock::now(), stream, data);
        match appended {
            Some(appended) => Response::json(&appended),
            None => {
                let status = StatusCode::TOO_MANY_REQUESTS;
                Response::error(status, "too many appends a second").with_header("retry-after", "1")
            }
        }
    }

    async fn entries(&self, stream: &str, request: &Request) -> Response {
        let from = request.number("from").unwrap_or(0);
        let max_bytes = request.number("max_bytes").unwrap_or(PAGE_BYTES);
        let wait_ms = request.number("wait_ms").unwrap_or(0).min(WAIT_LIMIT_MS);
        self.wait_for_entry(stream, from, Duration::from_millis(wait_ms))
            .await;
        let mut state = self.state.borrow_mut();
        Response::cbor(&state.page(clock::now(), stream, from, max_bytes))
    }

    /// Waits up to `timeout` for an entry at or after `from`.
    async fn wait_for_entry(&self, stream: &str, from: u64, timeout: Duration) {
        let mut next = self.state.borrow_mut().stream(stream).next.subscribe();
        let arrived = next.wait_for(|next| *next > from);
        let _ = actix_rt::time::timeout(timeout, arrived).await;
    }
}

impl Serve for Service {
    async fn serve(&self, request: Request, _faults: Faults) -> Response {
        let path = request.path.clone();
        let parts = path
            .strip_prefix("/v1/streams/")
            .and_then(|rest| rest.rsplit_once('/'));
        match (&request.method, parts) {
            (&Method::POST, Some((stream, "append"))) => self.append(stream, &request),
            (&Method::GET, Some((stream, "entries"))) => self.entries(stream, &request).await,
            _ => Response::not_found(&request),
        }
    }

    fn control(&self, path: &str, request: &Request) -> Response {
        let state = self.state.borrow();
        match path {
            "streams" => Response::json(&state.extents()),
            "counts" => Response::json(&state.counts),
            _ => Response::not_found(request),
        }
    }
}
