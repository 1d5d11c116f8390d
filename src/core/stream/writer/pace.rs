//! The rate of appends of one VM.

use std::time::Duration;

use laburnum_derive::state;

use crate::core::time::Instant;

/// The maximum rate of appends of all entry VMs together, per second.
pub const CELL_APPENDS_PER_SECOND: u32 = 200;

/// Spaces the appends of one VM evenly, so that all VMs together stay within the cell's rate.
#[state]
pub struct Pace {
    interval: Duration,
    last: Option<Instant>,
}

impl Pace {
    /// Creates the pace for one of `entries` live entry VMs.
    pub fn new(entries: u32) -> Pace {
        Pace {
            interval: interval(entries),
            last: None,
        }
    }

    /// Changes the number of live entry VMs that share the cell's rate.
    pub fn set_entries(&mut self, entries: u32) {
        self.interval = interval(entries);
    }

    /// Returns the minimum time between two appends.
    pub fn interval(&self) -> Duration {
        self.interval
    }

    /// Returns the earliest time of the next append.
    pub fn ready_at(&self) -> Instant {
        self.last.map_or(Instant(0), |last| last + self.interval)
    }

    /// Returns whether an append is allowed now, and if so counts it as sent.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        if now < self.ready_at() {
            return false;
        }
        self.last = Some(now);
        true
    }
}

/// Returns the minimum time between two appends of one of `entries` VMs.
fn interval(entries: u32) -> Duration {
    Duration::from_secs(1) * entries.max(1) / CELL_APPENDS_PER_SECOND
}
