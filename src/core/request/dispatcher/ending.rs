//! The end of attempts and of requests.

use rand::Rng;

use super::flight::{Alarm, Flight, Stage};
use super::{Dispatcher, Output, Reason, Reply, Report};
use crate::core::error::{Effect, Error, Kind};
use crate::core::id::{Key, Target};
use crate::core::request::call::{Answer, Id};
use crate::core::request::dedup::Outcome;
use crate::core::request::limit::Sample;
use crate::core::request::retry::Failure;
use crate::core::time::Instant;

impl<R: Rng> Dispatcher<R> {
    /// Handles a target's answer to a request.
    pub(super) fn end_attempt(
        &mut self,
        now: Instant,
        target: Target,
        id: Id,
        reply: Reply,
        out: &mut Vec<Output>,
    ) {
        self.judge(now, target, id, &reply);
        match reply {
            Reply::Done(body) => {
                let outcome = Outcome::Done(body.clone());
                self.finish(id, Answer::done(body), outcome, out);
            }
            Reply::Failed(error) => {
                self.fail(now, id, Failure::Ran, error, out);
            }
            Reply::Refused => {
                let error = Error::new(Kind::NoTarget, "the target refused the request");
                self.fail(now, id, Failure::NotRun, error, out);
            }
        }
    }

    /// Handles a connection that went away with a request on it.
    pub(super) fn lose(
        &mut self,
        now: Instant,
        target: Target,
        id: Id,
        may_have_sent: bool,
        out: &mut Vec<Output>,
    ) {
        self.judge_failure(now, target);
        if let Some(peer) = self.peers.peers.get_mut(&target) {
            if may_have_sent {
                peer.holder.lose(id);
            } else {
                peer.holder.release(id);
            }
        }
        let (failure, error) = if may_have_sent {
            let error = Error::new(Kind::AnswerLost, "the connection to the target was lost");
            (Failure::Lost, error)
        } else {
            let error = Error::new(Kind::NoTarget, "the target could not be reached");
            (Failure::NotRun, error)
        };
        self.fail(now, id, failure, error, out);
    }

    /// Learns from a target's answer.
    fn judge(&mut self, now: Instant, target: Target, id: Id, reply: &Reply) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let Stage::Sent { at, .. } = flight.stage else {
            return;
        };
        let class = flight.call.priority as usize;
        let usual = self.usual[class].get();
        let Reply::Done(body) = reply else {
            self.judge_failure(now, target);
            return;
        };
        let took = now.since(at);
        let is_plausible = took <= self.settings.slot.longest;
        if is_plausible {
            self.usual[class].sample(took);
        }
        self.peers.detector.succeeded(target);
        let Some(peer) = self.peers.peers.get_mut(&target) else {
            return;
        };
        peer.limit.sample(Sample::Answered(took), usual);
        let tier = peer.tier;
        self.count_remote(tier, Reason::Reply, body.len() as u64);
    }

    fn judge_failure(&mut self, now: Instant, target: Target) {
        self.peers.detector.failed(now, target);
        if let Some(peer) = self.peers.peers.get_mut(&target) {
            peer.limit.sample(Sample::Failed, None);
        }
    }

    /// Tries a failed request again where that is safe, or ends it.
    fn fail(
        &mut self,
        now: Instant,
        id: Id,
        failure: Failure,
        error: Error,
        out: &mut Vec<Output>,
    ) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.may_have_run |= failure != Failure::NotRun;
        let key = flight.call.key();
        let is_safe = self.settings.retry.is_safe(key.is_none(), failure);
        let is_wanted = !flight.is_answered && is_safe;
        if is_wanted && self.try_again(now, id) {
            return;
        }
        match (key, failure) {
            (None, Failure::Ran) => self.end(id, Answer::from(error).with_effect(Effect::Ran), out),
            (None, _) => self.end_unknown(id, error, out),
            (Some(_), Failure::NotRun) => self.give_up(id, Answer::from(error), out),
            (Some(_), Failure::Ran) => {
                let answer = Answer::from(error.clone()).with_effect(Effect::Ran);
                self.finish(id, answer, Outcome::Failed(error), out);
            }
            (Some(_), Failure::Lost) => {
                self.finish(id, Answer::from(error), Outcome::Unknown, out);
            }
        }
    }

    /// Schedules the next attempt, if deadline and budget allow one.
    fn try_again(&mut self, now: Instant, id: Id) -> bool {
        let Some(flight) = self.flights.get_mut(&id) else {
            return false;
        };
        let (number, deadline) = (flight.attempts + 1, flight.call.deadline);
        let class = flight.call.priority as usize;
        let usual = self.usual[class].get().unwrap_or_default();
        let rules = self.settings.retry;
        let latest = deadline - flight.item().bounded(usual);
        let Some(at) = rules.start(now, number, latest, &mut self.random) else {
            return false;
        };
        if !self.budget.take() {
            return false;
        }
        flight.stage = Stage::Waiting;
        self.set_timer(at, id, Alarm::Retry);
        true
    }

    /// Ends a request that a target ran or may have run.
    fn finish(&mut self, id: Id, answer: Answer, outcome: Outcome, out: &mut Vec<Output>) {
        let key = self.flights.get(&id).and_then(|flight| flight.call.key());
        self.end(id, answer, out);
        if let Some(key) = key {
            self.report(id, key, Report::Finished(outcome), out);
        }
    }

    /// Ends a request that no target answered.
    fn end_unknown(&mut self, id: Id, error: Error, out: &mut Vec<Output>) {
        let effect = self.flights.get(&id).map(Flight::effect);
        let answer = Answer::from(error).with_effect(effect.unwrap_or(Effect::Unknown));
        self.end(id, answer, out);
    }

    /// Answers a request and forgets it.
    fn end(&mut self, id: Id, answer: Answer, out: &mut Vec<Output>) {
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.stage = Stage::GivenUp;
        }
        self.answer(id, answer, out);
    }

    /// Ends a request that is not at a target; of a key the table says what is known.
    pub(super) fn give_up(&mut self, id: Id, answer: Answer, out: &mut Vec<Output>) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let effect = flight.effect();
        let Some(key) = flight.call.key() else {
            return self.end(id, answer.with_effect(effect), out);
        };
        flight.stage = Stage::GivenUp;
        let is_answered = flight.is_answered;
        self.report(id, key, Report::GaveUp(answer), out);
        if is_answered {
            self.forget(id);
        }
    }

    /// Ends a request whose final answer is due.
    pub(super) fn expire(&mut self, id: Id, out: &mut Vec<Output>) {
        self.leave(id, Kind::Expired, "the deadline has passed", out);
    }

    /// Ends a request that its caller cancelled.
    pub(super) fn cancel(&mut self, id: Id, out: &mut Vec<Output>) {
        self.leave(id, Kind::Canceled, "the caller cancelled the request", out);
    }

    /// Answers a request wherever it is; one at a target keeps its slot until that has ended it.
    fn leave(&mut self, id: Id, kind: Kind, message: &str, out: &mut Vec<Output>) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let key = flight.call.key();
        let is_queued = matches!(flight.stage, Stage::Queued | Stage::Waiting);
        let answer = Answer::refused(kind, message);
        if let (Some(key), true) = (key, is_queued) {
            return self.leave_queue(id, key, answer, out);
        }
        let is_known = key.is_none() && is_queued;
        let effect = if is_known {
            flight.effect()
        } else {
            Effect::Unknown
        };
        self.answer(id, answer.with_effect(effect), out);
        if let Some(key) = key {
            self.report(id, key, Report::Left, out);
        }
    }

    /// Takes a request of a key out of the queue; the table says what is known.
    fn leave_queue(&mut self, id: Id, key: Key, answer: Answer, out: &mut Vec<Output>) {
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.stage = Stage::GivenUp;
            let priority = flight.call.priority;
            self.queue.remove(id, priority);
        }
        self.report(id, key, Report::GaveUp(answer), out);
    }
}
