//! When attempts ran, to find tasks that ran in two places at once.
//!
//! A worker sees only its own attempts. The spans of all workers of one host are on one clock, so
//! together they show every task that ran twice at a time.

use std::collections::BTreeMap;

use laburnum_derive::message;
use laburnumplank::core::id::{Attempt, Task};
use laburnumplank::core::time::Instant;

/// When an attempt ran.
#[message]
#[derive(Copy)]
pub struct Span {
    /// The attempt.
    pub attempt: Attempt,
    /// When it started, on the clock of the host's process.
    pub started: Instant,
    /// When it ended; `None` while it runs.
    pub ended: Option<Instant>,
}

/// Two attempts of one task that ran at the same time.
#[message]
#[derive(Copy)]
pub struct Overlap {
    /// The one that started first.
    pub first: Span,
    /// The one that started before the first had ended.
    pub second: Span,
}

/// Returns the attempts that started while another one of the same task ran.
///
/// `spans` may come from all workers of one host, in any order.
pub fn overlaps(spans: &[Span]) -> Vec<Overlap> {
    let mut sorted = spans.to_vec();
    sorted.sort_by_key(|span| span.started);
    let mut latest: BTreeMap<Task, Span> = BTreeMap::new();
    let mut found = Vec::new();
    for second in sorted {
        let first = latest.get(&second.attempt.task).copied();
        let running = first.filter(|first| is_running(first, second.started));
        found.extend(running.map(|first| Overlap { first, second }));
        let is_outlived = |first: Span| second.ended.is_some_and(|end| is_running(&first, end));
        if !running.is_some_and(is_outlived) {
            latest.insert(second.attempt.task, second);
        }
    }
    found
}

/// Returns whether an attempt that had started ran at `at`.
fn is_running(span: &Span, at: Instant) -> bool {
    span.ended.is_none_or(|ended| ended > at)
}
