//! The share of appends that one VM may use.

use std::time::Duration;

use laburnum_derive::state;

use crate::core::time::Instant;

/// How many appends a second all entry VMs may do together.
pub const CELL_APPENDS_PER_SECOND: u32 = 200;

/// Spaces the appends of one VM evenly, so that all VMs together stay within the cell's rate.
#[state]
pub struct Pace {
    interval: Duration,
    last: Option<Instant>,
}

impl Pace {
    /// Makes the pace of one of `entries` live entry VMs.
    pub fn new(entries: u32) -> Pace {
        Pace {
            interval: interval(entries),
            last: None,
        }
    }

    /// Changes the share to one of `entries` live entry VMs.
    pub fn set_entries(&mut self, entries: u32) {
        self.interval = interval(entries);
    }

    /// Returns the span between two appends.
    pub fn interval(&self) -> Duration {
        self.interval
    }

    /// Returns when the next append may leave.
    pub fn ready_at(&self) -> Instant {
        self.last.map_or(Instant(0), |last| last + self.interval)
    }

    /// Takes the turn to append if it has come.
    pub fn take(&mut self, now: Instant) -> bool {
        if now < self.ready_at() {
            return false;
        }
        self.last = Some(now);
        true
    }
}

/// Returns the span between two appends of one of `entries` VMs.
fn interval(entries: u32) -> Duration {
    Duration::from_secs(1) * entries.max(1) / CELL_APPENDS_PER_SECOND
}
