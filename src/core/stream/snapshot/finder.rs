//! The search for the newest complete snapshot in a snapshot stream.

use laburnum_derive::state;
use rand::SeedableRng;
use rand_pcg::Pcg32;

use super::super::backoff::Backoff;
use super::super::batch::{Batch, Bundle};
use super::super::codec::decode;
use super::assembly::{Assembly, CompleteSnapshot, Rules};
use super::part::Part;
use crate::core::time::Instant;
use crate::platform::log::{Entry, Page};

/// The size of the first window, in entries.
const FIRST_SPAN: u64 = 4;

/// The factor by which each window is larger than the previous one.
const SPAN_GROWTH: u64 = 4;

/// An input of a finder.
#[state]
pub enum Input {
    /// A page of the snapshot stream arrived.
    Page(Page),
    /// A fetch of a page failed.
    Failed,
    /// Time has passed.
    Tick,
}

/// A result of a finder or an action that its caller must carry out.
#[state]
pub enum Output {
    /// Fetch the page of the snapshot stream at `from`, without waiting for an entry to be
    /// appended.
    Fetch {
        /// The offset of the first entry to fetch.
        from: u64,
        /// Whether only the bounds of the stream are needed and no entries.
        bounds_only: bool,
    },
    /// The newest complete snapshot; the search is over.
    Found(CompleteSnapshot),
    /// The stream holds no complete snapshot; the search is over. Either the stream is new or a
    /// peer's state is needed.
    Missing,
}

/// The range of offsets that is being read.
#[state]
struct Window {
    /// The window's first offset.
    low: u64,
    /// The next offset to be read.
    next: u64,
    /// The offset after the window's last.
    high: u64,
}

/// The phase of the search.
#[state]
enum Phase {
    /// The bounds of the stream are being fetched.
    Bounds,
    /// A window is being read.
    Window(Window),
    /// The search is over.
    Done,
}

/// Reads a snapshot stream backward in growing windows.
#[state]
pub struct Finder {
    phase: Phase,
    span: u64,
    assembly: Assembly,
    backoff: Backoff,
    retry_at: Option<Instant>,
    first: u64,
}

impl Finder {
    /// Creates a finder that starts on the first [`Input::Tick`]; `seed` is the seed of its jitter.
    pub fn new(seed: u64) -> Finder {
        Finder::with_rules(Rules::default(), seed)
    }

    /// Creates a finder that applies `rules`.
    #[doc(hidden)]
    pub fn with_rules(rules: Rules, seed: u64) -> Finder {
        Finder {
            phase: Phase::Bounds,
            span: FIRST_SPAN,
            assembly: Assembly::with_rules(rules),
            backoff: Backoff::new(Pcg32::seed_from_u64(seed)),
            retry_at: Some(Instant(0)),
            first: 0,
        }
    }

    /// Returns when [`Input::Tick`] is next needed.
    pub fn wake_at(&self) -> Option<Instant> {
        self.retry_at
    }

    /// Handles `input` and continues the search.
    pub fn step(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Page(page) => self.handle_page(now, &page, out),
            Input::Failed => self.retry_at = Some(now + self.backoff.record_failure()),
            Input::Tick => {
                if self.retry_at.is_some_and(|at| at <= now) {
                    self.fetch(out);
                }
            }
        }
    }

    fn handle_page(&mut self, now: Instant, page: &Page, out: &mut Vec<Output>) {
        match &mut self.phase {
            Phase::Bounds => {
                self.first = page.first;
                self.open(page.next, out);
            }
            Phase::Window(window) if page.first > window.next => {
                // Entries expired during the search; the rest of the window is still read.
                self.first = page.first;
                window.low = window.low.max(page.first);
                window.next = page.first.min(window.high);
                self.advance(out);
            }
            Phase::Window(_) if page.entries.is_empty() => {
                self.retry_at = Some(now + self.backoff.record_failure());
            }
            Phase::Window(window) => {
                self.backoff.reset();
                for entry in &page.entries {
                    if entry.offset == window.next && entry.offset < window.high {
                        insert(&mut self.assembly, entry);
                        window.next += 1;
                    }
                }
                self.advance(out);
            }
            Phase::Done => {}
        }
    }

    /// Continues reading the window, opens the next one or ends the search.
    fn advance(&mut self, out: &mut Vec<Output>) {
        let Phase::Window(window) = &self.phase else {
            return;
        };
        if window.next < window.high {
            self.fetch(out);
            return;
        }
        let low = window.low;
        if let Some(snapshot) = self.assembly.best().cloned() {
            self.end(Output::Found(snapshot), out);
            return;
        }
        self.span = self
            .span
            .saturating_mul(SPAN_GROWTH)
            .max(self.assembly.max_part_count());
        self.open(low, out);
    }

    /// Opens the window that ends before `high`.
    fn open(&mut self, high: u64, out: &mut Vec<Output>) {
        if high <= self.first {
            self.end(Output::Missing, out);
            return;
        }
        let low = high.saturating_sub(self.span).max(self.first);
        self.phase = Phase::Window(Window {
            low,
            next: low,
            high,
        });
        self.fetch(out);
    }

    fn fetch(&mut self, out: &mut Vec<Output>) {
        self.retry_at = None;
        let fetch = match &self.phase {
            Phase::Bounds => Output::Fetch {
                from: 0,
                bounds_only: true,
            },
            Phase::Window(window) => Output::Fetch {
                from: window.next,
                bounds_only: false,
            },
            Phase::Done => return,
        };
        out.push(fetch);
    }

    fn end(&mut self, output: Output, out: &mut Vec<Output>) {
        self.phase = Phase::Done;
        self.retry_at = None;
        out.push(output);
    }
}

/// Adds the parts in an entry to the assembly; skips batches and records that aren't parts.
fn insert(assembly: &mut Assembly, entry: &Entry) {
    let bundle: Bundle = decode(&entry.data).unwrap_or(Bundle(Vec::new()));
    let batches = bundle
        .0
        .iter()
        .filter_map(|body| decode::<Batch>(&body.0).ok());
    for batch in batches {
        let parts = batch
            .records
            .iter()
            .filter_map(|body| decode::<Part>(&body.0).ok());
        parts.for_each(|part| assembly.insert(part));
    }
}
