//! Points in time.
//!
//! Decision code never reads a clock; the time is passed in. [`Instant`] is a reading of one
//! process's monotonic clock and serves to measure leases and timeouts. [`Stamp`] is wall-clock
//! time; times of different processes are compared only with a stated bound on clock skew. Spans
//! are [`std::time::Duration`].

use std::ops::{Add, Sub};
use std::time::Duration;

use laburnum_derive::value;

/// A point on this process's monotonic clock, in microseconds since the process started.
#[value]
#[derive(Default)]
pub struct Instant(pub u64);

/// A wall-clock time, in milliseconds since the Unix epoch.
#[value]
#[derive(Default)]
pub struct Stamp(pub u64);

impl Instant {
    /// Returns the span since `earlier`, or zero when `earlier` is later.
    pub fn since(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Stamp {
    /// Returns the span since `earlier`, or zero when `earlier` is later.
    pub fn since(self, earlier: Stamp) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, span: Duration) -> Instant {
        Instant(self.0.saturating_add(span.as_micros() as u64))
    }
}

impl Sub<Duration> for Instant {
    type Output = Instant;

    fn sub(self, span: Duration) -> Instant {
        Instant(self.0.saturating_sub(span.as_micros() as u64))
    }
}

impl Add<Duration> for Stamp {
    type Output = Stamp;

    fn add(self, span: Duration) -> Stamp {
        Stamp(self.0.saturating_add(span.as_millis() as u64))
    }
}

impl Sub<Duration> for Stamp {
    type Output = Stamp;

    fn sub(self, span: Duration) -> Stamp {
        Stamp(self.0.saturating_sub(span.as_millis() as u64))
    }
}
