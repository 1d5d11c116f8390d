//! The clocks of a test program.
//!
//! State of a stand-in takes its times as values. This module is the only one that reads them.

use std::sync::OnceLock;
use std::time::{Instant as Monotonic, SystemTime, UNIX_EPOCH};

use laburnumplank::core::time::{Instant, Stamp};

/// Returns the time on the process's monotonic clock.
pub fn now() -> Instant {
    static START: OnceLock<Monotonic> = OnceLock::new();
    let start = START.get_or_init(Monotonic::now);
    Instant(start.elapsed().as_micros() as u64)
}

/// Returns the wall-clock time.
pub fn stamp() -> Stamp {
    let span = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Stamp(span.as_millis() as u64)
}
