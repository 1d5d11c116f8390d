//! Moving averages of event rates and of durations.

use std::time::Duration;

use laburnum_derive::state;

use crate::core::time::Instant;

/// An event rate: an exponentially weighted moving average over time windows.
#[state]
#[derive(Default)]
pub struct Rate {
    /// When the current window began.
    window_start: Instant,
    /// Events in the current window.
    events: u64,
    /// Average events per second of the ended windows, if one has ended.
    average: Option<f64>,
}

/// An exponentially weighted moving average of durations.
#[state]
#[derive(Default)]
pub struct AverageDuration {
    micros: Option<f64>,
}

/// The minimum length of a window.
const WINDOW: Duration = Duration::from_millis(250);

/// The weight of the newest window in the average rate.
const WINDOW_WEIGHT: f64 = 0.4;

/// The weight of the newest sample in the average duration.
const SAMPLE_WEIGHT: f64 = 0.02;

impl Rate {
    /// Discards all earlier windows, which don't predict the rate after a pause.
    pub fn restart(&mut self, now: Instant) {
        *self = Rate {
            window_start: now,
            ..Rate::default()
        };
    }

    /// Counts one event.
    pub fn count(&mut self, now: Instant) {
        let span = now.since(self.window_start);
        if span >= WINDOW {
            self.average = Some(self.per_second(span));
            self.window_start = now;
            self.events = 0;
        }
        self.events += 1;
    }

    /// Returns how long `events` take at the current rate, at most an hour; zero while no rate is
    /// known.
    pub fn time_for(&self, now: Instant, events: u64) -> Duration {
        let span = now.since(self.window_start);
        let rate = if span >= WINDOW {
            self.per_second(span)
        } else {
            self.average.unwrap_or(0.0)
        };
        if rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((events as f64 / rate).min(3600.0))
    }

    /// Returns the average rate, including the current window of length `span`.
    fn per_second(&self, span: Duration) -> f64 {
        let newest = self.events as f64 / span.as_secs_f64();
        match self.average {
            Some(average) => average + WINDOW_WEIGHT * (newest - average),
            None => newest,
        }
    }
}

impl AverageDuration {
    /// Adds a sample to the average.
    pub fn sample(&mut self, took: Duration) {
        let took = took.as_micros() as f64;
        let average = self.micros.unwrap_or(took);
        self.micros = Some(average + SAMPLE_WEIGHT * (took - average));
    }

    /// Returns the average, or `None` before the first sample.
    pub fn get(&self) -> Option<Duration> {
        self.micros
            .map(|micros| Duration::from_micros(micros as u64))
    }
}
