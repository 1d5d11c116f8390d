//! From the queue to the targets.

use rand::Rng;

use super::flight::Stage;
use super::state::At;
use super::target::Peer;
use super::{Dispatcher, Listing, Output, Reason};
use crate::core::error::Kind;
use crate::core::id::Target;
use crate::core::request::call::{Answer, Id};
use crate::core::request::link::{Attempt, Connection};
use crate::core::request::queue::{Item, Popped, Room, Rooms};
use crate::core::request::route::{self, Tier};
use crate::core::request::slot::Grant;
use crate::core::time::Instant;
use crate::core::workload::Priority;

impl<R: Rng> Dispatcher<R> {
    /// Sends queued requests while slots are free.
    pub(super) fn pump(&mut self, now: Instant, out: &mut Vec<Output>) {
        let mut is_going = true;
        while is_going && !self.queue.is_empty() {
            let rooms = self.rooms(now);
            let times = self.times();
            let popped = self.queue.pop(now, &rooms, &times);
            is_going = self.take(now, popped, &rooms, out);
        }
    }

    /// Returns the slots that each class may use, by tier.
    ///
    /// A class that stays near crosses to another region only when its own has no target at all,
    /// because the link is narrow and billed.
    fn rooms(&self, now: Instant) -> [Rooms; 3] {
        let all = self.peers.rooms(now, self.reserve());
        let has_near = self.peers.has_near(now);
        Priority::ALL.map(|priority| {
            let share = self.settings.queue.share(priority);
            let mut rooms = all;
            if share.stays_near && has_near {
                rooms[Tier::Remote as usize] = Room::default();
            }
            rooms
        })
    }

    /// Sends the request whose turn it is, ends those that are too late, and returns whether there
    /// may be more to send.
    fn take(
        &mut self,
        now: Instant,
        popped: Popped,
        rooms: &[Rooms; 3],
        out: &mut Vec<Output>,
    ) -> bool {
        for item in popped.dropped {
            self.counters.dropped += 1;
            let message = "the deadline can't be met any more";
            let answer = Answer::refused(Kind::Expired, message);
            self.give_up(item.id, answer, out);
        }
        match popped.next {
            Some(item) => self.dispatch(now, item, rooms, out),
            None => false,
        }
    }

    /// Sends a request to a target and returns whether that could be done.
    fn dispatch(
        &mut self,
        now: Instant,
        item: Item,
        rooms: &[Rooms; 3],
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(flight) = self.flights.get(&item.id) else {
            return true;
        };
        let is_owned = flight.call.key().is_none_or(|key| self.owns(now, key));
        if !is_owned {
            let answer = Answer::refused(Kind::NoOwner, "the ownership has ended");
            self.give_up(item.id, answer, out);
            return true;
        }
        let share = self.settings.queue.share(item.priority);
        let allowed = rooms[item.priority as usize].map(|room| share.may_use(room));
        let nearest = allowed.iter().position(|is_allowed| *is_allowed);
        let mut candidates = std::mem::take(&mut self.candidates);
        self.peers.candidates(now, nearest, &mut candidates);
        let target = route::choose(&candidates, &mut self.random);
        self.candidates = candidates;
        let is_sent = target.is_some_and(|target| self.send(now, target, item.id, out));
        if !is_sent {
            self.queue.restore(item);
        }
        is_sent
    }

    /// Puts a request on a connection of a target and returns whether there was one.
    fn send(&mut self, now: Instant, target: Target, id: Id, out: &mut Vec<Output>) -> bool {
        let Some(connection) = self.connect(now, target, out) else {
            return false;
        };
        let (Some(flight), Some(peer)) =
            (self.flights.get_mut(&id), self.peers.peers.get_mut(&target))
        else {
            return false;
        };
        let span = peer.holder.fill(now, id, flight.call.deadline);
        let tier = peer.tier;
        let size = u64::from(flight.call.size);
        flight.attempts += 1;
        let attempt = Attempt {
            request: id,
            number: flight.attempts,
        };
        peer.pool.assign(connection, attempt);
        flight.stage = Stage::Sent {
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

    /// Returns an unused connection, a new one if need be.
    fn connect(
        &mut self,
        now: Instant,
        target: Target,
        out: &mut Vec<Output>,
    ) -> Option<Connection> {
        let peer = self.peers.peers.get_mut(&target)?;
        if let Some(connection) = peer.pool.idle() {
            return Some(connection);
        }
        if !peer.can_open(now) {
            return None;
        }
        self.connections += 1;
        let connection = Connection(self.connections);
        peer.pool.insert(now, connection);
        out.push(Output::Open(target, connection));
        Some(connection)
    }

    /// Takes a grant; connections beyond it are closed.
    pub(super) fn granted(&mut self, now: Instant, grant: &Grant, out: &mut Vec<Output>) {
        let target = grant.target;
        let Some(peer) = self.peers.peers.get_mut(&target) else {
            return;
        };
        let held = peer.holder.held(now);
        peer.holder.grant(grant);
        if peer.holder.held(now) < held {
            peer.ask_soon();
        }
        let most = peer.holder.connections(now);
        let closed = peer.pool.trim(now, most).into_iter();
        out.extend(closed.map(|connection| Output::Close(target, connection)));
    }

    /// Takes the VM list; a target that is gone has lost its requests.
    pub(super) fn list(&mut self, now: Instant, listing: &Listing, out: &mut Vec<Output>) {
        if listing.version < self.list_version {
            return;
        }
        self.list_version = listing.version;
        let listed = &listing.targets;
        for entry in listed {
            self.peers.list(*entry);
        }
        let is_gone = |target: &Target| !listed.iter().any(|entry| entry.target == *target);
        let known = self.peers.peers.keys().copied();
        let gone: Vec<Target> = known.filter(is_gone).collect();
        for target in gone {
            self.lose_target(now, target, out);
        }
    }

    /// Removes a target that is gone.
    fn lose_target(&mut self, now: Instant, target: Target, out: &mut Vec<Output>) {
        let is_there =
            |stage: &Stage| matches!(stage, Stage::Sent { target: at, .. } if *at == target);
        let flights = self.flights.iter();
        let there = flights.filter(|(_, flight)| is_there(&flight.stage));
        let lost: Vec<Id> = there.map(|(id, _)| *id).collect();
        let connections = self.peers.peers.get_mut(&target).map(Peer::close);
        let connections = connections.unwrap_or_default().into_iter();
        out.extend(connections.map(|connection| Output::Close(target, connection)));
        self.peers.remove(target);
        for id in lost {
            self.lose(now, target, id, true, out);
        }
    }

    /// Handles a connection that was closed or never opened.
    pub(super) fn closed(
        &mut self,
        now: Instant,
        (target, connection): At,
        may_have_sent: bool,
        out: &mut Vec<Output>,
    ) {
        let peer = self.peers.peers.get_mut(&target);
        let request = peer.and_then(|peer| peer.pool.remove(connection));
        if let Some(id) = request {
            self.lose(now, target, id, may_have_sent, out);
        }
    }
}
