//! The times at which attempts ran, to find tasks of which two attempts ran at the same time.
//!
//! A worker records only its own attempts. All workers of one host use the same clock, so their
//! spans can be compared to find every overlap.

use std::collections::BTreeMap;

use laburnum_derive::message;
use laburnumplank::core::id::{Attempt, Task};
use laburnumplank::core::time::Instant;

/// The time in which an attempt ran.
#[message]
#[derive(Copy)]
pub struct Span {
    /// The attempt.
    pub attempt: Attempt,
    /// The start, on the monotonic clock of the host's process.
    pub started: Instant,
    /// The end, on the same clock; `None` while the attempt runs.
    pub ended: Option<Instant>,
}

/// Two attempts of one task that ran at the same time.
#[message]
#[derive(Copy)]
pub struct Overlap {
    /// The attempt that started first.
    pub first: Span,
    /// The attempt that started before the first had ended.
    pub second: Span,
}

/// Returns each attempt that started while another attempt of the same task ran, together with
/// that attempt.
///
/// `spans` may come from all workers of one host, in any order.
pub fn overlaps(spans: &[Span]) -> Vec<Overlap> {
    let mut sorted = spans.to_vec();
    sorted.sort_by_key(|span| span.started);
    let mut last_to_end: BTreeMap<Task, Span> = BTreeMap::new();
    let mut found = Vec::new();
    for second in sorted {
        let first = last_to_end.get(&second.attempt.task).copied();
        let running = first.filter(|first| is_running(first, second.started));
        found.extend(running.map(|first| Overlap { first, second }));
        let second_ends_first =
            |first: Span| second.ended.is_some_and(|end| is_running(&first, end));
        if !running.is_some_and(second_ends_first) {
            last_to_end.insert(second.attempt.task, second);
        }
    }
    found
}

/// Returns whether an attempt that had started by `at` still ran then.
fn is_running(span: &Span, at: Instant) -> bool {
    span.ended.is_none_or(|ended| ended > at)
}
