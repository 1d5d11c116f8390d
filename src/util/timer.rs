//! One-shot and repeating timers for the event loop of a thread.
//!
//! The event loop sleeps until [`Timers::next_due`] and then handles the topics that
//! [`Timers::take_due`] returns. A repeating timer whose periods have passed while the process was
//! paused fires once, not once for each missed period.

use std::collections::BTreeSet;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::core::time::Instant;

new_key_type! {
    /// Identifies a timer.
    pub struct TimerId;
}

/// Pending timers in order of time, each with a topic of type `T` that is returned when it fires.
#[derive(Debug)]
pub struct Timers<T> {
    timers: SlotMap<TimerId, Timer<T>>,
    order: BTreeSet<(Instant, TimerId)>,
}

#[derive(Debug)]
struct Timer<T> {
    at: Instant,
    period: Option<Duration>,
    topic: T,
}

impl<T> Default for Timers<T> {
    fn default() -> Timers<T> {
        Timers {
            timers: SlotMap::with_key(),
            order: BTreeSet::new(),
        }
    }
}

impl<T: Clone> Timers<T> {
    /// Adds a timer that fires once, at `at`.
    pub fn once(&mut self, at: Instant, topic: T) -> TimerId {
        self.insert(Timer {
            at,
            period: None,
            topic,
        })
    }

    /// Adds a timer that fires at `first` and then every `period`.
    pub fn every(&mut self, first: Instant, period: Duration, topic: T) -> TimerId {
        self.insert(Timer {
            at: first,
            period: Some(period),
            topic,
        })
    }

    /// Removes a timer; has no effect if the timer was removed or has fired for the last time.
    pub fn cancel(&mut self, id: TimerId) {
        if let Some(timer) = self.timers.remove(id) {
            self.order.remove(&(timer.at, id));
        }
    }

    /// Returns when the next timer is due, or `None` if there is no timer.
    pub fn next_due(&self) -> Option<Instant> {
        self.order.first().map(|&(at, _)| at)
    }

    /// Fires the timers that are due at `now` and returns their topics, earliest first.
    pub fn take_due(&mut self, now: Instant) -> Vec<T> {
        let mut topics = Vec::new();
        while let Some(&(at, id)) = self.order.first() {
            if at > now {
                break;
            }
            self.order.pop_first();
            topics.extend(self.fire(id, now));
        }
        topics
    }

    fn insert(&mut self, timer: Timer<T>) -> TimerId {
        let at = timer.at;
        let id = self.timers.insert(timer);
        self.order.insert((at, id));
        id
    }

    /// Returns the topic of a timer and removes the timer, or schedules it again if it repeats.
    ///
    /// The next period counts from `now`. A period of zero counts as 1 µs, so that
    /// [`take_due`](Timers::take_due) ends.
    fn fire(&mut self, id: TimerId, now: Instant) -> Option<T> {
        let timer = self.timers.get_mut(id)?;
        let topic = timer.topic.clone();
        match timer.period {
            Some(period) => {
                timer.at = now + period.max(Duration::from_micros(1));
                self.order.insert((timer.at, id));
            }
            None => {
                self.timers.remove(id);
            }
        }
        Some(topic)
    }
}
