//! Clocks of a test program.
//!
//! The state of a stand-in takes the current time as an argument. Only this module reads a clock.

use std::sync::OnceLock;
use std::time::{Instant as Monotonic, SystemTime, UNIX_EPOCH};

use laburnumplank::core::time::{Instant, Stamp};

/// Returns the time on the monotonic clock, counted from the first call in this process.
pub fn now() -> Instant {
    static START: OnceLock<Monotonic> = OnceLock::new();
    let start = START.get_or_init(Monotonic::now);
    Instant(start.elapsed().as_micros() as u64)
}

/// Returns the wall-clock time.
pub fn stamp() -> Stamp {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Stamp(since_epoch.as_millis() as u64)
}
