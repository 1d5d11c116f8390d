//! Capture of a running program's output by a separate thread.

use std::io::{BufRead as _, BufReader, Read};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// The lines read so far, and whether the stream has ended.
#[derive(Debug, Default)]
struct Lines {
    lines: Vec<String>,
    is_ended: bool,
}

/// The lines, shared with the reading thread.
#[derive(Debug, Default)]
struct Shared {
    lines: Mutex<Lines>,
    changed: Condvar,
}

/// A captured output stream.
#[derive(Debug, Default)]
pub(super) struct Capture {
    shared: Arc<Shared>,
    reader: Option<thread::JoinHandle<()>>,
}

impl Capture {
    /// Starts a thread that reads `stream`.
    pub(super) fn start(stream: impl Read + Send + 'static) -> Capture {
        let shared = Arc::new(Shared::default());
        let sink = Arc::clone(&shared);
        let reader = thread::spawn(move || read_lines(stream, &sink));
        Capture {
            shared,
            reader: Some(reader),
        }
    }

    /// Waits until `select` returns a value; returns `None` when the stream ends or `limit` passes
    /// first.
    pub(super) fn wait<T>(
        &self,
        limit: Duration,
        select: impl Fn(&[String]) -> Option<T>,
    ) -> Option<T> {
        let lines = self.shared.lines.lock();
        let lines = lines.unwrap_or_else(PoisonError::into_inner);
        let is_waiting =
            |lines: &mut Lines| !lines.is_ended && select(lines.lines.as_slice()).is_none();
        let waited = self
            .shared
            .changed
            .wait_timeout_while(lines, limit, is_waiting);
        let (lines, _) = waited.unwrap_or_else(PoisonError::into_inner);
        select(&lines.lines)
    }

    /// Returns the text read so far.
    pub(super) fn text(&self) -> String {
        let lines = self.shared.lines.lock();
        let lines = lines.unwrap_or_else(PoisonError::into_inner);
        lines.lines.iter().flat_map(|line| [line, "\n"]).collect()
    }

    /// Waits for the end of the stream and returns its text.
    pub(super) fn close(&mut self) -> String {
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
        self.text()
    }
}

/// Reads lines until the stream ends.
fn read_lines(stream: impl Read, shared: &Shared) {
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        update(shared, |lines| lines.lines.push(line));
    }
    update(shared, |lines| lines.is_ended = true);
}

/// Updates the lines and wakes all waiting threads.
fn update(shared: &Shared, change: impl FnOnce(&mut Lines)) {
    let mut lines = shared.lines.lock().unwrap_or_else(PoisonError::into_inner);
    change(&mut lines);
    shared.changed.notify_all();
}
