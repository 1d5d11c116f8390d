//! What the dispatcher does as time passes: timers, connections, renewal of grants.

use rand::Rng;

use super::flight::{Alarm, Flight, Stage};
use super::state::CHECK_INTERVAL;
use super::{Dispatcher, Output};
use crate::core::time::Instant;
use crate::core::workload::Priority;

/// The weight of the newest count of lookups.
const LOOKUP_WEIGHT: f64 = 0.05;

/// Standard deviations of the number of lookups that are kept free beyond their usual number.
const RESERVE_DEVIATIONS: f64 = 3.5;

impl<R: Rng> Dispatcher<R> {
    /// Fires the timers that are due.
    pub(super) fn fire(&mut self, now: Instant, out: &mut Vec<Output>) {
        while let Some(timer) = self.timers.first().copied() {
            if timer.at > now {
                break;
            }
            self.timers.remove(&timer);
            match timer.alarm {
                Alarm::Retry => self.retry(now, timer.id, out),
                Alarm::Deadline => self.expire(timer.id, out),
            }
        }
    }

    /// Finds silent connections and those due for a heartbeat.
    pub(super) fn check_links(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now.since(self.checked) < CHECK_INTERVAL {
            return;
        }
        self.checked = now;
        self.count_lookups();
        let mut lost = Vec::new();
        for (&target, peer) in &mut self.peers.peers {
            peer.holder.expire(now);
            let check = peer.pool.tick(now);
            let surplus = peer.pool.trim(now, peer.holder.connections(now));
            let closed = check.silent.into_iter().chain(surplus);
            out.extend(closed.map(|connection| Output::Close(target, connection)));
            let pings = check.ping.into_iter();
            out.extend(pings.map(|connection| Output::Ping(target, connection)));
            lost.extend(check.lost.into_iter().map(|id| (target, id)));
        }
        for (target, id) in lost {
            self.lose(now, target, id, true, out);
        }
    }

    /// Averages the number of lookups at targets.
    pub(super) fn count_lookups(&mut self) {
        let is_lookup = |flight: &&Flight| flight.call.priority == Priority::Lookup;
        let flights = self.flights.values().filter(is_lookup);
        let sent = flights.filter(|flight| matches!(flight.stage, Stage::Sent { .. }));
        let sent = sent.count() as f64;
        self.lookups += LOOKUP_WEIGHT * (sent - self.lookups);
    }

    /// Returns the slots to keep for lookups: their usual number and some deviations, as arrivals
    /// are close to a Poisson process.
    pub(super) fn reserve(&self) -> u32 {
        (RESERVE_DEVIATIONS * self.lookups.sqrt()).ceil() as u32
    }

    /// Renews grants, and asks for more when the demand has grown.
    pub(super) fn ask(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now.since(self.asked) < self.settings.urgent_ask {
            return;
        }
        self.asked = now;
        let waiting = self.queue.len() as u32;
        let reserve = self.reserve();
        let asks = self.peers.ask(now, waiting, reserve, self.is_draining);
        for ask in asks {
            let partition = self.settings.partitions.of_target(ask.target);
            out.push(Output::Ask(partition, ask));
        }
    }

    /// Reports the end of a planned stop once.
    pub(super) fn drained(&mut self, out: &mut Vec<Output>) {
        if self.is_draining && !self.has_drained && self.flights.is_empty() {
            self.has_drained = true;
            out.push(Output::Drained);
        }
    }
}
