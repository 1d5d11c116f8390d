//! The dispatcher's state and its timers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use laburnum_derive::state;
use rand::Rng;

use super::flight::{Alarm, Flight, Stage, Timer};
use super::target::Peers;
use super::{Counters, Input, Output, Owner, Reason, Reply, Report, Settings, Verdict};
use crate::core::id::{Key, Partition};
use crate::core::request::call::{Answer, Call, Id};
use crate::core::request::link::Attempt;
use crate::core::request::queue::{Queue, Times};
use crate::core::request::rate::Usual;
use crate::core::request::retry::Budget;
use crate::core::request::route::{Candidate, Place, Tier};
use crate::core::request::slot::Member;
use crate::core::time::Instant;
use crate::core::workload::Priority;

/// Dispatches the calls of one service; see the [module](super).
#[state]
pub struct Dispatcher<R> {
    pub(super) settings: Settings,
    pub(super) member: Member,
    pub(super) place: Place,
    pub(super) random: R,
    pub(super) flights: BTreeMap<Id, Flight>,
    pub(super) timers: BTreeSet<Timer>,
    pub(super) queue: Queue,
    pub(super) peers: Peers,
    pub(super) owners: BTreeMap<Partition, Owner>,
    pub(super) budget: Budget,
    pub(super) usual: [Usual; Priority::ALL.len()],
    pub(super) counters: Counters,
    pub(super) connections: u64,
    pub(super) candidates: Vec<Candidate>,
    pub(super) list_version: u64,
    /// Lookups at targets, averaged over the recent past.
    pub(super) lookups: f64,
    pub(super) asked: Instant,
    pub(super) checked: Instant,
    pub(super) is_draining: bool,
    pub(super) has_drained: bool,
}

/// How often connections are checked.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl<R: Rng> Dispatcher<R> {
    /// Makes the dispatcher of `member` at `place`.
    pub fn new(settings: Settings, member: Member, place: Place, random: R) -> Dispatcher<R> {
        Dispatcher {
            settings,
            member,
            place,
            random,
            flights: BTreeMap::new(),
            timers: BTreeSet::new(),
            queue: Queue::new(&settings.queue),
            peers: Peers::new(settings, member, place),
            owners: BTreeMap::new(),
            budget: Budget::new(settings.retry),
            usual: Default::default(),
            counters: Counters::default(),
            connections: 0,
            candidates: Vec::new(),
            list_version: 0,
            lookups: 0.0,
            asked: Instant(0),
            checked: Instant(0),
            is_draining: false,
            has_drained: false,
        }
    }

    /// Handles one event; requests whose final answer is due come first, so that what reaches this
    /// process after a pause can't answer them with what has become stale.
    pub fn step(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        self.fire(now, out);
        match input {
            Input::Arrived(call) => self.arrive(now, call, out),
            Input::Canceled(id) => self.cancel(id, out),
            Input::Verdict(verdict) => self.decide(now, verdict, out),
            Input::Returned(id, answer) => self.returned(id, answer, out),
            Input::ForwardFailed(id) => self.forward_failed(now, id, out),
            Input::Granted(grant) => self.granted(now, &grant, out),
            Input::Targets(listing) => self.list(now, &listing, out),
            Input::Owner(partition, owner) => self.own(partition, owner, out),
            Input::Disowned(partition) => self.disown(partition, out),
            Input::Replied {
                target,
                connection,
                attempt,
                reply,
            } => self.replied(now, (target, connection), attempt, reply, out),
            Input::Closed {
                target,
                connection,
                may_have_sent,
            } => self.closed(now, (target, connection), may_have_sent, out),
            Input::Heard { target, connection } => {
                if let Some(peer) = self.peers.peers.get_mut(&target) {
                    peer.pool.heard(now, connection);
                }
            }
            Input::Drain => self.is_draining = true,
            Input::Tick => {}
        }
        self.check_links(now, out);
        self.pump(now, out);
        self.ask(now, out);
        self.drained(out);
    }

    /// Returns when the next [`Input::Tick`] is due at the latest.
    pub fn wake_at(&self, now: Instant) -> Instant {
        let timer = self.timers.first().map(|timer| timer.at);
        let check = now + CHECK_INTERVAL;
        timer.map_or(check, |at| at.min(check))
    }

    /// Returns what was counted since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns when the final answer of a request is due.
    pub fn deadline(&self, id: Id) -> Option<Instant> {
        self.flights.get(&id).map(|flight| flight.call.deadline)
    }

    /// Returns how many requests wait in the queue.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many requests have no final answer or still run.
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Returns whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Returns the usual time of each class at a target.
    pub(super) fn times(&self) -> Times {
        let usual = |priority: Priority| self.usual[priority as usize].get();
        Priority::ALL.map(|priority| usual(priority).unwrap_or_default())
    }

    pub(super) fn partition(&self, key: Key) -> Partition {
        self.settings.partitions.of_key(key)
    }

    /// Returns whether this process surely owns the partition of `key` now.
    pub(super) fn owns(&self, now: Instant, key: Key) -> bool {
        let owner = self.owners.get(&self.partition(key));
        owner.is_some_and(|owner| owner.node == self.member.node && now < owner.until)
    }

    pub(super) fn set_timer(&mut self, at: Instant, id: Id, alarm: Alarm) {
        self.timers.insert(Timer { at, id, alarm });
    }

    pub(super) fn count_remote(&mut self, tier: Tier, reason: Reason, bytes: u64) {
        if tier == Tier::Remote {
            self.counters.remote.add(reason, bytes);
        }
    }

    /// Puts a new request into the flights.
    pub(super) fn insert(&mut self, now: Instant, call: Call, stage: Stage) {
        let (id, deadline) = (call.id, call.deadline);
        self.flights.insert(id, Flight::new(now, call, stage));
        self.set_timer(deadline, id, Alarm::Deadline);
    }

    /// Removes a request.
    pub(super) fn forget(&mut self, id: Id) -> Option<Flight> {
        let flight = self.flights.remove(&id)?;
        self.timers.remove(&Timer {
            at: flight.call.deadline,
            id,
            alarm: Alarm::Deadline,
        });
        Some(flight)
    }

    /// Tells the table of keys about a request.
    pub(super) fn report(&self, id: Id, key: Key, report: Report, out: &mut Vec<Output>) {
        out.push(Output::Report {
            partition: self.partition(key),
            id,
            key,
            report,
        });
    }

    /// Handles the decision of the table of keys.
    fn decide(&mut self, now: Instant, verdict: Verdict, out: &mut Vec<Output>) {
        match verdict {
            Verdict::Run(id, key) => self.admitted(now, id, key, out),
            Verdict::Answer(id, answer) => self.answer(id, answer, out),
        }
    }

    /// Gives a request its final answer unless it has one.
    pub(super) fn answer(&mut self, id: Id, answer: Answer, out: &mut Vec<Output>) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if !flight.is_answered {
            flight.is_answered = true;
            out.push(Output::Answer(id, answer));
        }
        let is_sent = matches!(flight.stage, Stage::Sent { .. });
        let is_queued = matches!(flight.stage, Stage::Queued);
        let priority = flight.call.priority;
        if is_queued {
            self.queue.remove(id, priority);
        }
        if !is_sent {
            self.forget(id);
        }
    }

    /// Takes what a target did with a request.
    fn replied(
        &mut self,
        now: Instant,
        (target, connection): At,
        attempt: Attempt,
        reply: Reply,
        out: &mut Vec<Output>,
    ) {
        let Some(peer) = self.peers.peers.get_mut(&target) else {
            return;
        };
        peer.pool.heard(now, connection);
        if !peer.pool.take(connection, attempt) {
            self.counters.strays += 1;
            return;
        }
        peer.holder.release(attempt.request);
        self.end_attempt(now, target, attempt.request, reply, out);
    }
}

/// A connection of a target.
pub(super) type At = (
    crate::core::id::Target,
    crate::core::request::link::Connection,
);
