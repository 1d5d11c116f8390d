//! The monotonic clock and the wall clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

use crate::core::time::{Instant, Stamp};

/// Reads the monotonic clock and the wall clock.
///
/// Monotonic times count from the creation of the clock, and its copies keep that origin. The
/// monotonic clock includes the time that the VM is suspended, because leases on other VMs keep
/// running during that time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Creates a clock whose monotonic time is 0 now.
    pub fn start() -> Clock {
        Clock {
            start: since_boot(),
        }
    }

    /// Returns the monotonic time since the creation of the clock.
    pub fn now(self) -> Instant {
        Instant(since_boot().saturating_sub(self.start).as_micros() as u64)
    }

    /// Returns the wall-clock time.
    pub fn stamp(self) -> Stamp {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Stamp(since_epoch.as_millis() as u64)
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        time.tv_sec.unsigned_abs(),
        time.tv_nsec.unsigned_abs() as u32,
    )
}
