//! Admission of requests to the queue, forwarding to owners, and changes of ownership.

use rand::Rng;

use super::request::{Stage, TimerKind};
use super::{Dispatcher, Output, Owner, Reason, Report};
use crate::core::error::{Effect, Error, Kind};
use crate::core::id::{Key, Partition};
use crate::core::request::call::{Answer, Call, Id, Origin, Safety};
use crate::core::request::dedup::Submission;
use crate::core::request::queue::Item;
use crate::core::request::route::Tier;
use crate::core::time::Instant;

impl<R: Rng> Dispatcher<R> {
    /// Handles a request that arrived.
    pub(super) fn arrive(&mut self, now: Instant, call: Call, out: &mut Vec<Output>) {
        if self.is_draining() && call.origin == Origin::Caller {
            return refuse(&call, Kind::Stopping, "the daemon is stopping", out);
        }
        if call.deadline <= now {
            return refuse(&call, Kind::Expired, "the deadline has passed", out);
        }
        match call.safety {
            Safety::Idempotent => self.arrive_idempotent(now, call, out),
            Safety::AtMostOnce { key, fingerprint } => {
                self.arrive_keyed(now, call, key, fingerprint, out);
            }
        }
    }

    fn arrive_idempotent(&mut self, now: Instant, call: Call, out: &mut Vec<Output>) {
        if let Some(error) = self.refusal(now, &call) {
            out.push(Output::Answer(call.id, Answer::from(error)));
            return;
        }
        let id = call.id;
        self.insert(now, call, Stage::Queued);
        self.enqueue(now, id);
    }

    /// Submits a keyed request to the table of keys if this process owns the partition, or forwards
    /// it to the owner.
    fn arrive_keyed(
        &mut self,
        now: Instant,
        call: Call,
        key: Key,
        fingerprint: u64,
        out: &mut Vec<Output>,
    ) {
        if self.owns(now, key) {
            let refusal = self.refusal(now, &call);
            let id = call.id;
            self.insert(now, call, Stage::Admitting);
            let submission = Submission {
                id,
                key,
                fingerprint,
                refusal,
            };
            out.push(Output::Admit(self.partition(key), submission));
            return;
        }
        if call.origin == Origin::Peer {
            return refuse(
                &call,
                Kind::NoOwner,
                "this entry does not own the key's partition",
                out,
            );
        }
        let id = call.id;
        self.insert(now, call, Stage::AwaitingForward);
        self.forward(now, id, out);
    }

    /// Forwards a request to the owner of its key's partition.
    fn forward(&mut self, now: Instant, id: Id, out: &mut Vec<Output>) {
        let Some((key, size)) = self.key_and_size(id) else {
            return;
        };
        let owner = self.owners.get(&self.partition(key)).copied();
        let Some(owner) = owner.filter(|owner| owner.node != self.member.node) else {
            self.handle_unknown_owner(now, id, out);
            return;
        };
        let tier = self.place.tier(owner.place);
        self.count_remote(tier, Reason::Forward, size);
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage = Stage::Forwarded(owner.node);
            request.attempts += 1;
        }
        out.push(Output::Forward(id, owner.node));
    }

    /// Refuses a request if the owner of its key is not known, or readmits it if this process is
    /// now the owner. The effect of a refusal is unknown, because an earlier attempt may have run.
    fn handle_unknown_owner(&mut self, now: Instant, id: Id, out: &mut Vec<Output>) {
        let is_own = self
            .key_and_size(id)
            .is_some_and(|(key, _)| self.owns(now, key));
        if is_own {
            return self.readmit(now, id, out);
        }
        let message = "the owner of the key's partition is not known";
        let answer = Answer::refused(Kind::NoOwner, message).with_effect(Effect::Unknown);
        self.answer(id, answer, out);
    }

    /// Handles a request again after this process acquired the partition of the request's key.
    fn readmit(&mut self, now: Instant, id: Id, out: &mut Vec<Output>) {
        if let Some(request) = self.remove(id) {
            self.arrive(now, request.call, out);
        }
    }

    /// Returns the key and the body size of a request that runs at most once.
    fn key_and_size(&self, id: Id) -> Option<(Key, u64)> {
        let call = &self.requests.get(&id)?.call;
        Some((call.key()?, u64::from(call.size)))
    }

    /// Answers a forwarded request with the owner's answer.
    pub(super) fn forward_answered(&mut self, id: Id, answer: Answer, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id) else {
            self.counters.ignored_answers += 1;
            return;
        };
        let Stage::Forwarded(node) = request.stage else {
            self.counters.ignored_answers += 1;
            return;
        };
        let mut owners = self.owners.values();
        let place = owners
            .find(|owner| owner.node == node)
            .map(|owner| owner.place);
        let tier = place.map_or(Tier::DataCentre, |place| self.place.tier(place));
        let size = answer.result.as_ref().map_or(0, |body| body.len() as u64);
        self.count_remote(tier, Reason::Return, size);
        self.answer(id, answer, out);
    }

    /// Schedules another forward of a request. That is safe, because the owner deduplicates
    /// requests with the same key.
    pub(super) fn forward_failed(&mut self, now: Instant, id: Id, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !matches!(request.stage, Stage::Forwarded(_)) {
            return;
        }
        request.stage = Stage::AwaitingForward;
        let (number, deadline) = (request.attempts + 1, request.call.deadline);
        let rules = self.settings.retry;
        match rules.start(now, number, deadline, &mut self.random) {
            Some(at) => self.set_timer(at, id, TimerKind::Retry),
            None => {
                let message = "the owner of the key's partition did not answer";
                let answer = Answer::refused(Kind::AnswerLost, message);
                self.answer(id, answer, out);
            }
        }
    }

    /// Starts the next attempt of a request.
    pub(super) fn retry(&mut self, now: Instant, id: Id, out: &mut Vec<Output>) {
        let stage = self.requests.get(&id).map(|request| &request.stage);
        match stage {
            Some(Stage::AwaitingForward) => self.forward(now, id, out),
            Some(Stage::AwaitingRetry) => self.enqueue(now, id),
            _ => {}
        }
    }

    /// Queues a request that the table of keys admitted, or reports that the request no
    /// longer waits for an answer.
    pub(super) fn admitted(&mut self, now: Instant, id: Id, key: Key, out: &mut Vec<Output>) {
        match self.requests.get(&id).map(|request| &request.stage) {
            Some(Stage::Admitting) => self.enqueue(now, id),
            Some(_) => {}
            None => {
                let answer =
                    Answer::refused(Kind::Canceled, "the request no longer waits for an answer");
                self.report(id, key, Report::NotDispatched(answer), out);
            }
        }
    }

    /// Adds a request to the queue.
    fn enqueue(&mut self, now: Instant, id: Id) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage = Stage::Queued;
            self.queue.push(now, request.item());
        }
    }

    /// Returns the error to refuse a request with, or `None` if it can be queued now.
    fn refusal(&mut self, now: Instant, call: &Call) -> Option<Error> {
        if !self.targets.has_usable(now) {
            return Some(Error::new(Kind::NoTarget, "no target can take the request"));
        }
        let item = Item {
            id: call.id,
            caller: call.caller.clone(),
            priority: call.priority,
            arrived: now,
            deadline: call.deadline,
        };
        let times = self.times();
        let check = self.queue.check(now, &item, times[call.priority as usize]);
        let full = check.err()?;
        self.counters.refused += 1;
        let error = Error::new(Kind::Overloaded, "the queue is full; retry later");
        Some(error.with_retry_after(full.retry_after))
    }

    /// Updates the owner of a partition, unless a later term is known. Requests that were admitted
    /// in an earlier term of this process are answered with an error, because the table of the new
    /// term has no record of them.
    pub(super) fn set_owner(&mut self, partition: Partition, owner: Owner, out: &mut Vec<Output>) {
        let known = self.owners.get(&partition).map(|known| known.term);
        if known > Some(owner.term) {
            return;
        }
        if known < Some(owner.term) {
            self.end_ownership(partition, out);
        }
        self.owners.insert(partition, owner);
    }

    /// Ends this process's ownership of a partition. Requests with keys of the partition are
    /// answered with an error, unless they are at a target, were forwarded or wait to be forwarded.
    pub(super) fn end_ownership(&mut self, partition: Partition, out: &mut Vec<Output>) {
        let node = self.member.node;
        if self
            .owners
            .get(&partition)
            .is_none_or(|owner| owner.node != node)
        {
            return;
        }
        self.owners.remove(&partition);
        let is_held = |stage: &Stage| {
            let is_elsewhere = matches!(
                stage,
                Stage::Sent { .. } | Stage::Forwarded(_) | Stage::AwaitingForward
            );
            !is_elsewhere
        };
        let requests = self.requests.iter();
        let held = requests.filter(|(_, request)| is_held(&request.stage));
        let keyed = held.filter_map(|(id, request)| Some((*id, request.call.key()?)));
        let lost = keyed.filter(|(_, key)| self.partition(*key) == partition);
        let lost: Vec<(Id, Key)> = lost.collect();
        for (id, key) in lost {
            self.refuse_owner_changed(id, key, out);
        }
    }

    /// Answers a request that was not sent to a target before the ownership of its key changed.
    fn refuse_owner_changed(&mut self, id: Id, key: Key, out: &mut Vec<Output>) {
        let stage = self.requests.get(&id).map(|request| &request.stage);
        let is_admitted = matches!(stage, Some(Stage::Queued | Stage::AwaitingRetry));
        let message = "the ownership of the key's partition has changed";
        let answer = Answer::refused(Kind::NoOwner, message).with_effect(Effect::Unknown);
        self.answer(id, answer.clone(), out);
        let report = if is_admitted {
            Report::NotDispatched(answer)
        } else {
            Report::Abandoned
        };
        self.report(id, key, report, out);
    }
}

/// Refuses a request before its key is looked up. The effect is unknown for a keyed request.
fn refuse(call: &Call, kind: Kind, message: &str, out: &mut Vec<Output>) {
    let answer = Answer::refused(kind, message);
    let effect = match call.safety {
        Safety::Idempotent => answer.effect,
        Safety::AtMostOnce { .. } => Effect::Unknown,
    };
    out.push(Output::Answer(call.id, answer.with_effect(effect)));
}
