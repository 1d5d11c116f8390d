//! The dispatcher's state and event handling.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use laburnum_derive::state;
use rand::Rng;

use super::request::{Request, Stage, Timer, TimerKind};
use super::target::Targets;
use super::{Counters, Input, Output, Owner, Reason, Reply, Report, Settings, Verdict};
use crate::core::id::{Key, Partition};
use crate::core::request::call::{Answer, Call, Id};
use crate::core::request::link::Attempt;
use crate::core::request::queue::{Queue, Times};
use crate::core::request::rate::AverageDuration;
use crate::core::request::retry::Budget;
use crate::core::request::route::{Candidate, Place, Tier};
use crate::core::request::slot::Member;
use crate::core::time::Instant;
use crate::core::workload::Priority;

/// Dispatches the calls of one service; see the [module documentation](super).
#[state]
pub struct Dispatcher<R> {
    pub(super) settings: Settings,
    pub(super) member: Member,
    pub(super) place: Place,
    pub(super) random: R,
    pub(super) requests: BTreeMap<Id, Request>,
    pub(super) timers: BTreeSet<Timer>,
    pub(super) queue: Queue,
    pub(super) targets: Targets,
    pub(super) owners: BTreeMap<Partition, Owner>,
    pub(super) budget: Budget,
    pub(super) response_times: [AverageDuration; Priority::ALL.len()],
    pub(super) counters: Counters,
    pub(super) last_connection: u64,
    pub(super) candidates: Vec<Candidate>,
    pub(super) list_version: u64,
    /// Moving average of the number of lookups in flight to targets.
    pub(super) average_lookups: f64,
    pub(super) slots_requested_at: Instant,
    pub(super) links_checked_at: Instant,
    pub(super) is_draining: bool,
    pub(super) has_drained: bool,
}

/// The interval between checks of connections.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl<R: Rng> Dispatcher<R> {
    /// Creates the dispatcher of `member` at `place`.
    pub fn new(settings: Settings, member: Member, place: Place, random: R) -> Dispatcher<R> {
        Dispatcher {
            settings,
            member,
            place,
            random,
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            queue: Queue::new(&settings.queue),
            targets: Targets::new(settings, member, place),
            owners: BTreeMap::new(),
            budget: Budget::new(settings.retry),
            response_times: Default::default(),
            counters: Counters::default(),
            last_connection: 0,
            candidates: Vec::new(),
            list_version: 0,
            average_lookups: 0.0,
            slots_requested_at: Instant(0),
            links_checked_at: Instant(0),
            is_draining: false,
            has_drained: false,
        }
    }

    /// Handles one event.
    ///
    /// Requests whose deadline has passed are answered first, so that after a pause of the process
    /// a late event can't answer them with an outdated result.
    pub fn step(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        self.fire_timers(now, out);
        match input {
            Input::Arrived(call) => self.arrive(now, call, out),
            Input::Canceled(id) => self.cancel(id, out),
            Input::Verdict(verdict) => self.handle_verdict(now, verdict, out),
            Input::ForwardAnswered(id, answer) => self.forward_answered(id, answer, out),
            Input::ForwardFailed(id) => self.forward_failed(now, id, out),
            Input::Granted(grant) => self.accept_grant(now, &grant, out),
            Input::Targets(listing) => self.update_targets(now, &listing, out),
            Input::Owner(partition, owner) => self.set_owner(partition, owner, out),
            Input::OwnershipEnded(partition) => self.end_ownership(partition, out),
            Input::Replied {
                target,
                connection,
                attempt,
                reply,
            } => self.handle_reply(now, (target, connection), attempt, reply, out),
            Input::Closed {
                target,
                connection,
                may_have_sent,
            } => self.connection_closed(now, (target, connection), may_have_sent, out),
            Input::Received { target, connection } => {
                if let Some(state) = self.targets.states.get_mut(&target) {
                    state.pool.record_received(now, connection);
                }
            }
            Input::Drain => self.is_draining = true,
            Input::Tick => {}
        }
        self.check_links(now, out);
        self.send_queued(now, out);
        self.request_slots(now, out);
        self.report_drained(out);
    }

    /// Returns when the next [`Input::Tick`] is due at the latest.
    pub fn wake_at(&self, now: Instant) -> Instant {
        let timer = self.timers.first().map(|timer| timer.at);
        let check = now + CHECK_INTERVAL;
        timer.map_or(check, |at| at.min(check))
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the deadline of a request.
    pub fn deadline(&self, id: Id) -> Option<Instant> {
        self.requests.get(&id).map(|request| request.call.deadline)
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of requests that have no final answer or are still at a target.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Returns the average response time of targets for each class.
    pub(super) fn times(&self) -> Times {
        let average = |priority: Priority| self.response_times[priority as usize].get();
        Priority::ALL.map(|priority| average(priority).unwrap_or_default())
    }

    pub(super) fn partition(&self, key: Key) -> Partition {
        self.settings.partitions.of_key(key)
    }

    /// Returns whether this process certainly owns the partition of `key` now.
    pub(super) fn owns(&self, now: Instant, key: Key) -> bool {
        let owner = self.owners.get(&self.partition(key));
        owner.is_some_and(|owner| owner.node == self.member.node && now < owner.until)
    }

    pub(super) fn set_timer(&mut self, at: Instant, id: Id, kind: TimerKind) {
        self.timers.insert(Timer { at, id, kind });
    }

    /// Counts bytes if the tier is in another region.
    pub(super) fn count_remote(&mut self, tier: Tier, reason: Reason, bytes: u64) {
        if tier == Tier::Remote {
            self.counters.remote.add(reason, bytes);
        }
    }

    /// Adds a new request and sets its deadline timer.
    pub(super) fn insert(&mut self, now: Instant, call: Call, stage: Stage) {
        let (id, deadline) = (call.id, call.deadline);
        self.requests.insert(id, Request::new(now, call, stage));
        self.set_timer(deadline, id, TimerKind::Deadline);
    }

    /// Removes a request and its deadline timer.
    pub(super) fn remove(&mut self, id: Id) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.timers.remove(&Timer {
            at: request.call.deadline,
            id,
            kind: TimerKind::Deadline,
        });
        Some(request)
    }

    /// Reports to the table of keys about a request.
    pub(super) fn report(&self, id: Id, key: Key, report: Report, out: &mut Vec<Output>) {
        out.push(Output::Report {
            partition: self.partition(key),
            id,
            key,
            report,
        });
    }

    /// Handles the decision of the table of keys.
    fn handle_verdict(&mut self, now: Instant, verdict: Verdict, out: &mut Vec<Output>) {
        match verdict {
            Verdict::Run(id, key) => self.admitted(now, id, key, out),
            Verdict::Answer(id, answer) => self.answer(id, answer, out),
        }
    }

    /// Gives a request its final answer unless it has one.
    pub(super) fn answer(&mut self, id: Id, answer: Answer, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !request.is_answered {
            request.is_answered = true;
            out.push(Output::Answer(id, answer));
        }
        let is_sent = matches!(request.stage, Stage::Sent { .. });
        let is_queued = matches!(request.stage, Stage::Queued);
        let priority = request.call.priority;
        if is_queued {
            self.queue.remove(id, priority);
        }
        if !is_sent {
            self.remove(id);
        }
    }

    /// Handles a target's reply.
    fn handle_reply(
        &mut self,
        now: Instant,
        (target, connection): TargetConnection,
        attempt: Attempt,
        reply: Reply,
        out: &mut Vec<Output>,
    ) {
        let Some(state) = self.targets.states.get_mut(&target) else {
            return;
        };
        state.pool.record_received(now, connection);
        if !state.pool.take(connection, attempt) {
            self.counters.ignored_answers += 1;
            return;
        }
        state.holder.release(attempt.request);
        self.end_attempt(now, target, attempt.request, reply, out);
    }
}

/// A target and a connection to it.
pub(super) type TargetConnection = (
    crate::core::id::Target,
    crate::core::request::link::Connection,
);
