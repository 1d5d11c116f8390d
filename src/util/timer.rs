//! The timer service that the parts of a thread subscribe to.
//!
//! A part subscribes with a first point in time and, for a repeating timer, a period. The thread's
//! loop sleeps until [`Service::next`] and then takes what is [due](Service::due). A subscription
//! that was missed because the process was paused fires once, not once per missed period.

use std::collections::BTreeSet;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::core::time::Instant;

new_key_type! {
    /// Names a subscription.
    pub struct Subscription;
}

/// Subscriptions of type `T`, in order of time.
#[derive(Debug)]
pub struct Service<T> {
    timers: SlotMap<Subscription, Timer<T>>,
    order: BTreeSet<(Instant, Subscription)>,
}

#[derive(Debug)]
struct Timer<T> {
    at: Instant,
    period: Option<Duration>,
    topic: T,
}

impl<T> Default for Service<T> {
    fn default() -> Service<T> {
        Service {
            timers: SlotMap::with_key(),
            order: BTreeSet::new(),
        }
    }
}

impl<T: Clone> Service<T> {
    /// Subscribes `topic` to one point in time.
    pub fn once(&mut self, at: Instant, topic: T) -> Subscription {
        self.insert(Timer {
            at,
            period: None,
            topic,
        })
    }

    /// Subscribes `topic` to every `period` from `first` on.
    pub fn every(&mut self, first: Instant, period: Duration, topic: T) -> Subscription {
        self.insert(Timer {
            at: first,
            period: Some(period),
            topic,
        })
    }

    /// Ends a subscription; one that has ended already is ignored.
    pub fn cancel(&mut self, subscription: Subscription) {
        if let Some(timer) = self.timers.remove(subscription) {
            self.order.remove(&(timer.at, subscription));
        }
    }

    /// Returns when the next subscription is due.
    pub fn next(&self) -> Option<Instant> {
        self.order.first().map(|&(at, _)| at)
    }

    /// Takes the topics that are due at `now`, earliest first.
    pub fn due(&mut self, now: Instant) -> Vec<T> {
        let mut topics = Vec::new();
        while let Some(&(at, subscription)) = self.order.first() {
            if at > now {
                break;
            }
            self.order.pop_first();
            topics.extend(self.fire(subscription, now));
        }
        topics
    }

    fn insert(&mut self, timer: Timer<T>) -> Subscription {
        let at = timer.at;
        let subscription = self.timers.insert(timer);
        self.order.insert((at, subscription));
        subscription
    }

    /// Takes one topic and subscribes a repeating timer again.
    fn fire(&mut self, subscription: Subscription, now: Instant) -> Option<T> {
        let timer = self.timers.get_mut(subscription)?;
        let topic = timer.topic.clone();
        match timer.period {
            Some(period) => {
                timer.at = now + period.max(Duration::from_micros(1));
                self.order.insert((timer.at, subscription));
            }
            None => {
                self.timers.remove(subscription);
            }
        }
        Some(topic)
    }
}
