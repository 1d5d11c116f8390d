//! Notices workers that run tasks much slower than others.
//!
//! The load that this is made for: a part of the workers turns several times slower for some seconds,
//! or its tasks stand still, while these workers respond and start everything at once. They would fill
//! up with tasks, and a gang is as slow as its slowest member. The tasks of a step are alike, so the
//! progress of a run is compared with what is usual for its step; estimates of run times are too far
//! off for that.

use std::time::Duration;

use laburnum_derive::state;

use crate::core::time::Instant;

/// Progress is measured over at least this span: workers report whole percents, and a run that
/// continues from a checkpoint makes none at first.
const MIN_SPAN: Duration = Duration::from_millis(800);
/// The pace of a step is known after this many measurements of its runs.
const MIN_MEASUREMENTS: u32 = 3;
/// The weight of the latest measurement in the moving average of the pace of a step.
const PACE_WEIGHT: f64 = 0.2;
/// A run with less than this part of the usual pace is slow. A task away from its data takes up to
/// three times as long on a sound worker.
const SLOW_RATIO: f64 = 0.3;
/// This many slow measurements in a row make a worker slow.
const MIN_SLOW: u32 = 2;
/// How long a slow worker counts as slow after the last measurement, so that one that has healed gets
/// tasks again within seconds.
const MEMORY: Duration = Duration::from_secs(3);

/// The progress of a run since the last measurement.
#[state]
pub struct Progress {
    since: Instant,
    /// The progress at that time, in percent; `None` before the first report.
    percent: Option<u8>,
}

impl Progress {
    /// Creates the progress of a run that has not been reported.
    pub fn new(now: Instant) -> Progress {
        Progress {
            since: now,
            percent: None,
        }
    }

    /// Records the reported progress. Returns the pace since the last measurement, in percent per
    /// second; `None` while the span is too short.
    pub fn measure(&mut self, now: Instant, percent: u8) -> Option<f64> {
        let Some(former) = self.percent else {
            self.since = now;
            self.percent = Some(percent);
            return None;
        };
        let span = now.since(self.since);
        if span < MIN_SPAN {
            return None;
        }
        self.since = now;
        self.percent = Some(percent);
        Some(f64::from(percent.saturating_sub(former)) / span.as_secs_f64())
    }
}

/// The usual pace of the runs of a step.
#[state]
#[derive(Default)]
pub struct UsualPace {
    /// The moving average, in percent per second.
    average: f64,
    measurements: u32,
}

impl UsualPace {
    /// Returns the ratio of the pace of a run to the usual one; `None` until that is known.
    pub fn ratio(&self, pace: f64) -> Option<f64> {
        let is_known = self.measurements >= MIN_MEASUREMENTS && self.average > 0.0;
        is_known.then(|| pace / self.average)
    }

    /// Records the pace of a run on a worker that is not known to be slow.
    pub fn record(&mut self, pace: f64) {
        // A worker that has just turned slow must not pass for the usual.
        if self.ratio(pace).is_some_and(|ratio| ratio < SLOW_RATIO) {
            return;
        }
        self.measurements = self.measurements.saturating_add(1);
        let weight = PACE_WEIGHT.max(1.0 / f64::from(self.measurements));
        self.average += (pace - self.average) * weight;
    }
}

/// Whether a worker is slow.
#[state]
#[derive(Default)]
pub struct Speed {
    /// Slow measurements since the last sound one.
    slow: u32,
    last_slow: Instant,
}

impl Speed {
    /// Records the ratio of the pace of a run on the worker to the usual one.
    pub fn record(&mut self, now: Instant, ratio: f64) {
        if ratio >= SLOW_RATIO {
            self.slow = 0;
            return;
        }
        self.slow = self.slow.saturating_add(1);
        self.last_slow = now;
    }

    /// Whether the worker is slow.
    pub fn is_slow(&self, now: Instant) -> bool {
        self.slow >= MIN_SLOW && now.since(self.last_slow) < MEMORY
    }
}
