//! The clocks of one process.

use std::time::{SystemTime, UNIX_EPOCH};

use crate::core::time::{Instant, Stamp};

/// Reads the monotonic and the wall clock; copies count from the same start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: std::time::Instant,
}

impl Clock {
    /// Makes a clock that counts from now.
    pub fn start() -> Clock {
        Clock {
            start: std::time::Instant::now(),
        }
    }

    /// Returns the monotonic time.
    pub fn now(self) -> Instant {
        Instant(self.start.elapsed().as_micros() as u64)
    }

    /// Returns the wall-clock time.
    pub fn stamp(self) -> Stamp {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Stamp(since_epoch.as_millis() as u64)
    }
}
