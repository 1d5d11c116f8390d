//! The search for the newest whole snapshot.

use laburnum_derive::state;
use rand::SeedableRng;
use rand_pcg::Pcg32;

use super::super::backoff::Backoff;
use super::super::batch::{Batch, Bundle};
use super::super::codec::decode;
use super::assembly::{Assembly, Rules, Whole};
use super::part::Part;
use crate::core::time::Instant;
use crate::platform::log::{Entry, Page};

/// How many entries the first window has.
const FIRST_SPAN: u64 = 4;

/// By how much a window is larger than the one before.
const SPAN_GROWTH: u64 = 4;

/// What a finder takes.
#[state]
pub enum Input {
    /// A page of the snapshot stream arrived.
    Page(Page),
    /// A request for a page failed.
    Failed,
    /// Time has passed.
    Tick,
}

/// What a finder wants done.
#[state]
pub enum Output {
    /// Ask for the page of the snapshot stream at `from`, without waiting for an entry.
    Fetch {
        /// The offset of the first entry that is wanted.
        from: u64,
        /// Whether only the bounds of the stream are wanted.
        bounds_only: bool,
    },
    /// The newest whole snapshot.
    Found(Whole),
    /// The stream holds no whole snapshot; a peer's state is needed, or the stream is new.
    Missing,
}

/// The window that is being read.
#[state]
struct Window {
    /// The window's first offset.
    low: u64,
    /// The next offset to be read.
    next: u64,
    /// The offset after the window's last.
    high: u64,
}

/// Where the search stands.
#[state]
enum Phase {
    /// The bounds of the stream aren't known.
    Bounds,
    /// A window is read.
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
    /// Makes a finder that draws its jitter from `seed`; the first tick starts it.
    pub fn new(seed: u64) -> Finder {
        Finder::with_rules(Rules::default(), seed)
    }

    /// Makes a finder under `rules`.
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

    /// Takes `input` and goes on with the search.
    pub fn step(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Page(page) => self.page(now, &page, out),
            Input::Failed => self.retry_at = Some(now + self.backoff.fail()),
            Input::Tick => {
                if self.retry_at.is_some_and(|at| at <= now) {
                    self.fetch(out);
                }
            }
        }
    }

    fn page(&mut self, now: Instant, page: &Page, out: &mut Vec<Output>) {
        match &mut self.phase {
            Phase::Bounds => {
                self.first = page.first;
                self.open(page.next, out);
            }
            Phase::Window(window) if page.first > window.next => {
                // Entries expired while they were read; what is left of the window still counts.
                self.first = page.first;
                window.low = window.low.max(page.first);
                window.next = page.first.min(window.high);
                self.advance(out);
            }
            Phase::Window(_) if page.entries.is_empty() => {
                self.retry_at = Some(now + self.backoff.fail());
            }
            Phase::Window(window) => {
                self.backoff.succeed();
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

    /// Goes on reading the window, opens the next one or ends the search.
    fn advance(&mut self, out: &mut Vec<Output>) {
        let Phase::Window(window) = &self.phase else {
            return;
        };
        if window.next < window.high {
            self.fetch(out);
            return;
        }
        let low = window.low;
        if let Some(whole) = self.assembly.best().cloned() {
            self.end(Output::Found(whole), out);
            return;
        }
        self.span = self
            .span
            .saturating_mul(SPAN_GROWTH)
            .max(self.assembly.wanted());
        self.open(low, out);
    }

    /// Opens the window that ends at `high`.
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

/// Puts the parts of an entry into the assembly; what holds none is passed over.
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
