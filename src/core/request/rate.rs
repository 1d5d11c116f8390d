//! Rates and times averaged over the recent past.

use std::time::Duration;

use laburnum_derive::state;

use crate::core::time::Instant;

/// How many events come in a second, averaged over windows.
#[state]
#[derive(Default)]
pub struct Rate {
    window: Instant,
    events: u64,
    /// Events per second in the windows before, if one has ended.
    average: Option<f64>,
}

/// The usual time that something takes.
#[state]
#[derive(Default)]
pub struct Usual {
    micros: Option<f64>,
}

/// The length of a window.
const WINDOW: Duration = Duration::from_millis(250);

/// The weight of the newest window.
const WINDOW_WEIGHT: f64 = 0.4;

/// The weight of the newest time.
const TIME_WEIGHT: f64 = 0.02;

impl Rate {
    /// Starts anew; what was counted before says nothing of what comes.
    pub fn restart(&mut self, now: Instant) {
        *self = Rate {
            window: now,
            ..Rate::default()
        };
    }

    /// Counts one event.
    pub fn count(&mut self, now: Instant) {
        let span = now.since(self.window);
        if span >= WINDOW {
            self.average = Some(self.per_second(span));
            self.window = now;
            self.events = 0;
        }
        self.events += 1;
    }

    /// Returns how long `events` take at the present rate; zero while no rate is known.
    pub fn time_for(&self, now: Instant, events: u64) -> Duration {
        let span = now.since(self.window);
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

    /// Returns the rate with the window that ends now.
    fn per_second(&self, span: Duration) -> f64 {
        let newest = self.events as f64 / span.as_secs_f64();
        match self.average {
            Some(average) => average + WINDOW_WEIGHT * (newest - average),
            None => newest,
        }
    }
}

impl Usual {
    /// Takes a time into account.
    pub fn sample(&mut self, took: Duration) {
        let took = took.as_micros() as f64;
        let average = self.micros.unwrap_or(took);
        self.micros = Some(average + TIME_WEIGHT * (took - average));
    }

    /// Returns the usual time, if any is known.
    pub fn get(&self) -> Option<Duration> {
        self.micros
            .map(|micros| Duration::from_micros(micros as u64))
    }
}
