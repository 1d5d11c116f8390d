//! Completion of attempts and of requests.

use rand::Rng;

use super::request::{Request, Stage, TimerKind};
use super::{Dispatcher, Output, Reason, Reply, Report};
use crate::core::error::{Effect, Error, Kind};
use crate::core::id::{Key, Target};
use crate::core::request::call::{Answer, Id};
use crate::core::request::dedup::Outcome;
use crate::core::request::limit::Sample;
use crate::core::request::retry::Failure;
use crate::core::time::Instant;

impl<R: Rng> Dispatcher<R> {
    /// Handles a target's reply to a request.
    pub(super) fn end_attempt(
        &mut self,
        now: Instant,
        target: Target,
        id: Id,
        reply: Reply,
        out: &mut Vec<Output>,
    ) {
        self.record_reply(now, target, id, &reply);
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

    /// Handles the loss of a connection that a request was sent on.
    pub(super) fn attempt_lost(
        &mut self,
        now: Instant,
        target: Target,
        id: Id,
        may_have_sent: bool,
        out: &mut Vec<Output>,
    ) {
        self.record_failure(now, target);
        if let Some(state) = self.targets.states.get_mut(&target) {
            if may_have_sent {
                state.holder.mark_lost(id);
            } else {
                state.holder.release(id);
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

    /// Updates the average response times, the concurrency limit and the outlier detection by a
    /// target's reply.
    fn record_reply(&mut self, now: Instant, target: Target, id: Id, reply: &Reply) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Stage::Sent { at, .. } = request.stage else {
            return;
        };
        let class = request.call.priority as usize;
        let average = self.response_times[class].get();
        let Reply::Done(body) = reply else {
            self.record_failure(now, target);
            return;
        };
        let took = now.since(at);
        let is_plausible = took <= self.settings.slot.max_call_time;
        if is_plausible {
            self.response_times[class].sample(took);
        }
        self.targets.detector.succeeded(target);
        let Some(state) = self.targets.states.get_mut(&target) else {
            return;
        };
        state.limit.sample(Sample::Answered(took), average);
        let tier = state.tier;
        self.count_remote(tier, Reason::Reply, body.len() as u64);
    }

    /// Updates the outlier detection and the concurrency limit by a failed attempt.
    fn record_failure(&mut self, now: Instant, target: Target) {
        self.targets.detector.failed(now, target);
        if let Some(state) = self.targets.states.get_mut(&target) {
            state.limit.sample(Sample::Failed, None);
        }
    }

    /// Schedules a retry of a failed request where that is safe, or ends the request.
    fn fail(
        &mut self,
        now: Instant,
        id: Id,
        failure: Failure,
        error: Error,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.may_have_run |= failure != Failure::NotRun;
        let key = request.call.key();
        let is_safe = self.settings.retry.is_safe(key.is_none(), failure);
        let is_wanted = !request.is_answered && is_safe;
        if is_wanted && self.schedule_retry(now, id) {
            return;
        }
        match (key, failure) {
            (None, Failure::Ran) => self.end(id, Answer::from(error).with_effect(Effect::Ran), out),
            (None, _) => self.end_unanswered(id, error, out),
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

    /// Schedules the next attempt if the deadline and the retry budget allow one, and returns
    /// whether they did.
    fn schedule_retry(&mut self, now: Instant, id: Id) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        let (number, deadline) = (request.attempts + 1, request.call.deadline);
        let class = request.call.priority as usize;
        let average = self.response_times[class].get().unwrap_or_default();
        let rules = self.settings.retry;
        let latest = deadline - request.item().cap_service_time(average);
        let Some(at) = rules.start(now, number, latest, &mut self.random) else {
            return false;
        };
        if !self.budget.take() {
            return false;
        }
        request.stage = Stage::AwaitingRetry;
        self.set_timer(at, id, TimerKind::Retry);
        true
    }

    /// Ends a request that a target ran or may have run.
    fn finish(&mut self, id: Id, answer: Answer, outcome: Outcome, out: &mut Vec<Output>) {
        let key = self
            .requests
            .get(&id)
            .and_then(|request| request.call.key());
        self.end(id, answer, out);
        if let Some(key) = key {
            self.report(id, key, Report::Finished(outcome), out);
        }
    }

    /// Ends a request that no target answered.
    fn end_unanswered(&mut self, id: Id, error: Error, out: &mut Vec<Output>) {
        let effect = self.requests.get(&id).map(Request::effect);
        let answer = Answer::from(error).with_effect(effect.unwrap_or(Effect::Unknown));
        self.end(id, answer, out);
    }

    /// Answers a request that is no longer at a target and removes it.
    fn end(&mut self, id: Id, answer: Answer, out: &mut Vec<Output>) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage = Stage::GivenUp;
        }
        self.answer(id, answer, out);
    }

    /// Ends a request that is not at a target. The table of keys answers a keyed request.
    pub(super) fn give_up(&mut self, id: Id, answer: Answer, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let effect = request.effect();
        let Some(key) = request.call.key() else {
            return self.end(id, answer.with_effect(effect), out);
        };
        request.stage = Stage::GivenUp;
        let is_answered = request.is_answered;
        self.report(id, key, Report::NotDispatched(answer), out);
        if is_answered {
            self.remove(id);
        }
    }

    /// Ends a request whose deadline has passed.
    pub(super) fn expire(&mut self, id: Id, out: &mut Vec<Output>) {
        self.end_early(id, Kind::Expired, "the deadline has passed", out);
    }

    /// Ends a request that its caller cancelled.
    pub(super) fn cancel(&mut self, id: Id, out: &mut Vec<Output>) {
        self.end_early(id, Kind::Canceled, "the caller cancelled the request", out);
    }

    /// Ends a request in any stage before it has a result. The table of keys answers a keyed
    /// request that is queued or waits for a retry. A request at a target keeps its slot until the
    /// target has finished it.
    fn end_early(&mut self, id: Id, kind: Kind, message: &str, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let key = request.call.key();
        let is_queued = matches!(request.stage, Stage::Queued | Stage::AwaitingRetry);
        let answer = Answer::refused(kind, message);
        if let (Some(key), true) = (key, is_queued) {
            return self.withdraw(id, key, answer, out);
        }
        let is_effect_known = key.is_none() && is_queued;
        let effect = if is_effect_known {
            request.effect()
        } else {
            Effect::Unknown
        };
        self.answer(id, answer.with_effect(effect), out);
        if let Some(key) = key {
            self.report(id, key, Report::Abandoned, out);
        }
    }

    /// Removes a keyed request that is queued or waits for a retry. The table of keys answers it.
    fn withdraw(&mut self, id: Id, key: Key, answer: Answer, out: &mut Vec<Output>) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage = Stage::GivenUp;
            let priority = request.call.priority;
            self.queue.remove(id, priority);
        }
        self.report(id, key, Report::NotDispatched(answer), out);
    }
}
