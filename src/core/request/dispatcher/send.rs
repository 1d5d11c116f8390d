//! Sending of queued requests to targets, and updates of the list of targets.

use rand::Rng;

use super::request::Stage;
use super::state::TargetConnection;
use super::target::TargetState;
use super::{Dispatcher, Listing, Output, Reason};
use crate::core::error::Kind;
use crate::core::id::Target;
use crate::core::request::call::{Answer, Id};
use crate::core::request::link::{Attempt, Connection};
use crate::core::request::queue::{Item, Popped, SlotsByTier, TierSlots};
use crate::core::request::route::{self, Tier};
use crate::core::request::slot::Grant;
use crate::core::time::Instant;
use crate::core::workload::Priority;

impl<R: Rng> Dispatcher<R> {
    /// Sends queued requests while slots are free.
    pub(super) fn send_queued(&mut self, now: Instant, out: &mut Vec<Output>) {
        let mut may_send_more = true;
        while may_send_more && !self.queue.is_empty() {
            let slots = self.slots_by_class(now);
            let times = self.times();
            let popped = self.queue.pop(now, &slots, &times);
            may_send_more = self.handle_popped(now, popped, &slots, out);
        }
    }

    /// Returns the slots in each tier that each class may use.
    ///
    /// Classes with [`stays_in_region`](super::queue::Share::stays_in_region) use other regions
    /// only when this region has no usable target, because the link between regions has little
    /// bandwidth and is billed by volume.
    fn slots_by_class(&self, now: Instant) -> [SlotsByTier; 3] {
        let all = self.targets.slots(now, self.lookup_reserve());
        let has_near = self.targets.has_usable_in_region(now);
        Priority::ALL.map(|priority| {
            let share = self.settings.queue.share(priority);
            let mut slots = all;
            if share.stays_in_region && has_near {
                slots[Tier::Remote as usize] = TierSlots::default();
            }
            slots
        })
    }

    /// Sends the popped request, ends the dropped ones, and returns whether more requests may be
    /// sent.
    fn handle_popped(
        &mut self,
        now: Instant,
        popped: Popped,
        slots: &[SlotsByTier; 3],
        out: &mut Vec<Output>,
    ) -> bool {
        for item in popped.dropped {
            self.counters.dropped += 1;
            let message = "the deadline can no longer be met";
            let answer = Answer::refused(Kind::Expired, message);
            self.give_up(item.id, answer, out);
        }
        match popped.next {
            Some(item) => self.dispatch(now, item, slots, out),
            None => false,
        }
    }

    /// Sends a request to a target, or puts it back into the queue. Returns whether more requests
    /// may be sent.
    fn dispatch(
        &mut self,
        now: Instant,
        item: Item,
        slots: &[SlotsByTier; 3],
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(request) = self.requests.get(&item.id) else {
            return true;
        };
        let is_owned = request.call.key().is_none_or(|key| self.owns(now, key));
        if !is_owned {
            let answer = Answer::refused(
                Kind::NoOwner,
                "this entry no longer owns the key's partition",
            );
            self.give_up(item.id, answer, out);
            return true;
        }
        let share = self.settings.queue.share(item.priority);
        let allowed = slots[item.priority as usize].map(|tier_slots| share.may_use(tier_slots));
        let nearest = allowed.iter().position(|is_allowed| *is_allowed);
        let mut candidates = std::mem::take(&mut self.candidates);
        self.targets.candidates(now, nearest, &mut candidates);
        let target = route::choose(&candidates, &mut self.random);
        self.candidates = candidates;
        let is_sent = target.is_some_and(|target| self.send(now, target, item.id, out));
        if !is_sent {
            self.queue.restore(item);
        }
        is_sent
    }

    /// Sends a request to a target and returns whether a connection was available.
    fn send(&mut self, now: Instant, target: Target, id: Id, out: &mut Vec<Output>) -> bool {
        let Some(connection) = self.connect(now, target, out) else {
            return false;
        };
        let (Some(request), Some(state)) = (
            self.requests.get_mut(&id),
            self.targets.states.get_mut(&target),
        ) else {
            return false;
        };
        let span = state.holder.occupy(now, id, request.call.deadline);
        let tier = state.tier;
        let size = u64::from(request.call.size);
        request.attempts += 1;
        let attempt = Attempt {
            request: id,
            number: request.attempts,
        };
        state.pool.assign(connection, attempt);
        request.stage = Stage::Sent {
            target,
            connection,
            at: now,
        };
        self.count_attempt(attempt.number == 1);
        self.count_remote(tier, Reason::Request, size);
        out.push(Output::Send {
            target,
            connection,
            attempt,
            until: now + span,
        });
        true
    }

    fn count_attempt(&mut self, is_first: bool) {
        if is_first {
            self.counters.first_attempts += 1;
            self.budget.credit();
        } else {
            self.counters.retries += 1;
        }
    }

    /// Returns an unused connection, or opens one if the grant allows it.
    fn connect(
        &mut self,
        now: Instant,
        target: Target,
        out: &mut Vec<Output>,
    ) -> Option<Connection> {
        let state = self.targets.states.get_mut(&target)?;
        if let Some(connection) = state.pool.idle() {
            return Some(connection);
        }
        if !state.can_open(now) {
            return None;
        }
        self.last_connection += 1;
        let connection = Connection(self.last_connection);
        state.pool.insert(now, connection);
        out.push(Output::Open(target, connection));
        Some(connection)
    }

    /// Accepts a grant and closes the unused connections that exceed it.
    pub(super) fn accept_grant(&mut self, now: Instant, grant: &Grant, out: &mut Vec<Output>) {
        let target = grant.target;
        let Some(state) = self.targets.states.get_mut(&target) else {
            return;
        };
        let held = state.holder.held(now);
        state.holder.accept(grant);
        if state.holder.held(now) < held {
            state.request_soon();
        }
        let max_open = state.holder.connections(now);
        let closed = state.pool.trim(now, max_open).into_iter();
        out.extend(closed.map(|connection| Output::Close(target, connection)));
    }

    /// Updates the targets from the VM list. Targets that are no longer listed are removed, and
    /// their requests are lost.
    pub(super) fn update_targets(
        &mut self,
        now: Instant,
        listing: &Listing,
        out: &mut Vec<Output>,
    ) {
        if listing.version < self.list_version {
            return;
        }
        self.list_version = listing.version;
        let listed = &listing.targets;
        for item in listed {
            self.targets.update(*item);
        }
        let is_gone = |target: &Target| !listed.iter().any(|item| item.target == *target);
        let known = self.targets.states.keys().copied();
        let gone: Vec<Target> = known.filter(is_gone).collect();
        for target in gone {
            self.remove_target(now, target, out);
        }
    }

    /// Removes a target that is no longer listed.
    fn remove_target(&mut self, now: Instant, target: Target, out: &mut Vec<Output>) {
        let is_at_target =
            |stage: &Stage| matches!(stage, Stage::Sent { target: at, .. } if *at == target);
        let requests = self.requests.iter();
        let at_target = requests.filter(|(_, request)| is_at_target(&request.stage));
        let lost: Vec<Id> = at_target.map(|(id, _)| *id).collect();
        let connections = self.targets.states.get_mut(&target).map(TargetState::close);
        let connections = connections.unwrap_or_default().into_iter();
        out.extend(connections.map(|connection| Output::Close(target, connection)));
        self.targets.remove(target);
        for id in lost {
            self.attempt_lost(now, target, id, true, out);
        }
    }

    /// Handles a connection that was closed or could not be opened.
    pub(super) fn connection_closed(
        &mut self,
        now: Instant,
        (target, connection): TargetConnection,
        may_have_sent: bool,
        out: &mut Vec<Output>,
    ) {
        let state = self.targets.states.get_mut(&target);
        let request = state.and_then(|state| state.pool.remove(connection));
        if let Some(id) = request {
            self.attempt_lost(now, target, id, may_have_sent, out);
        }
    }
}
