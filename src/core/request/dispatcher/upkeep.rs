//! Periodic work of the dispatcher: timers, checks of connections, renewal of grants.

use rand::Rng;

use super::request::{Request, Stage, TimerKind};
use super::state::CHECK_INTERVAL;
use super::{Dispatcher, Output};
use crate::core::time::Instant;
use crate::core::workload::Priority;

/// The weight of the newest sample in the average number of lookups.
const LOOKUP_WEIGHT: f64 = 0.05;

/// The slots reserved for lookups above their average number, in standard deviations.
const RESERVE_DEVIATIONS: f64 = 3.5;

impl<R: Rng> Dispatcher<R> {
    /// Fires the timers that are due.
    pub(super) fn fire_timers(&mut self, now: Instant, out: &mut Vec<Output>) {
        while let Some(timer) = self.timers.first().copied() {
            if timer.at > now {
                break;
            }
            self.timers.remove(&timer);
            match timer.kind {
                TimerKind::Retry => self.retry(now, timer.id, out),
                TimerKind::Deadline => self.expire(timer.id, out),
            }
        }
    }

    /// Closes silent and surplus connections and sends the heartbeats that are due.
    pub(super) fn check_links(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now.since(self.links_checked_at) < CHECK_INTERVAL {
            return;
        }
        self.links_checked_at = now;
        self.update_average_lookups();
        let mut lost = Vec::new();
        for (&target, state) in &mut self.targets.states {
            state.holder.expire(now);
            let check = state.pool.tick(now);
            let surplus = state.pool.trim(now, state.holder.connections(now));
            let closed = check.silent.into_iter().chain(surplus);
            out.extend(closed.map(|connection| Output::Close(target, connection)));
            let pings = check.ping.into_iter();
            out.extend(pings.map(|connection| Output::Ping(target, connection)));
            lost.extend(check.lost.into_iter().map(|id| (target, id)));
        }
        for (target, id) in lost {
            self.attempt_lost(now, target, id, true, out);
        }
    }

    /// Adds a sample to the average number of lookups in flight to targets.
    pub(super) fn update_average_lookups(&mut self) {
        let is_lookup = |request: &&Request| request.call.priority == Priority::Lookup;
        let requests = self.requests.values().filter(is_lookup);
        let sent = requests.filter(|request| matches!(request.stage, Stage::Sent { .. }));
        let sent = sent.count() as f64;
        self.average_lookups += LOOKUP_WEIGHT * (sent - self.average_lookups);
    }

    /// Returns the number of free slots to reserve for lookups. Their arrivals are close to a
    /// Poisson process, so the standard deviation is the square root of their average number.
    pub(super) fn lookup_reserve(&self) -> u32 {
        (RESERVE_DEVIATIONS * self.average_lookups.sqrt()).ceil() as u32
    }

    /// Requests renewals of grants, and more slots when the demand has grown.
    pub(super) fn request_slots(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now.since(self.slots_requested_at) < self.settings.slot_request_interval {
            return;
        }
        self.slots_requested_at = now;
        let waiting = self.queue.len() as u32;
        let reserve = self.lookup_reserve();
        let slot_requests = self
            .targets
            .request_slots(now, waiting, reserve, self.is_draining);
        for request in slot_requests {
            let partition = self.settings.partitions.of_target(request.target);
            out.push(Output::RequestSlots(partition, request));
        }
    }

    /// Emits [`Output::Drained`] once, when a planned stop has begun and no request is left.
    pub(super) fn report_drained(&mut self, out: &mut Vec<Output>) {
        if self.is_draining && !self.has_drained && self.requests.is_empty() {
            self.has_drained = true;
            out.push(Output::Drained);
        }
    }
}
