//! Issues calls to the advisor and processes its answers.
//!
//! The load that decides about the capacity of the workers that a call names: on a full cell, bulk steps
//! with permits for all workers around take what becomes free there while an urgent step, which comes
//! before them in the order, awaits its answer. So the call of an urgent step keeps that capacity.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::advice::{AdvisorCall, AdvisorProxy, CALL_GRACE, PendingCall, cost, workers_to_name};
use super::id::{Step, Worker};
use super::message::Output;
use super::plan::{self, Reserved};
use super::{Scheduler, Time};
use crate::core::time::Instant;

/// The share of named workers that the advisor is assumed to permit before its first answer.
const INITIAL_PERMITTED_SHARE: f64 = 0.4;
/// The least share of named workers that is reckoned with.
const MIN_SHARE: f64 = 0.05;
/// The weight of the latest answer in the moving average of the permitted share.
const SHARE_WEIGHT: f64 = 0.1;
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

impl Scheduler {
    /// Calls the advisor for a step, unless a call is in progress. `renew` are permitted workers
    /// whose permits have ended; `unknown` are workers without an answer, the preferred ones first,
    /// of which `wanted` permitted ones are enough.
    pub(super) fn call_advisor(
        &mut self,
        step: Step,
        renew: &[Worker],
        unknown: &[Worker],
        wanted: usize,
        time: Time,
        out: &mut Vec<Output>,
    ) {
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return;
        };
        let Some(advice) = job.queue.advice else {
            return;
        };
        let share = share_of(&self.permitted_shares, &job.queue.name);
        let Some(state) = job.step_mut(step) else {
            return;
        };
        if !state.permits.may_call(time.now) {
            return;
        }
        let is_retry = state.permits.has_failed();
        let mut named = renew.to_vec();
        if wanted > 0 {
            named.extend(unknown.iter().take(workers_to_name(&advice, wanted, share)));
        }
        named.truncate(super::advice::MAX_NAMED);
        if named.is_empty() {
            return;
        }
        let cost = cost(&advice, named.len());
        let picked = if is_retry {
            self.advisor_proxies.pick_for_retry(time.now, cost)
        } else {
            self.advisor_proxies.pick(time.now, cost)
        };
        let Some((proxy, end)) = picked else {
            return;
        };
        let held = self.capacity_to_hold(step, &named, share);
        let number = self.pending_calls.add(PendingCall {
            proxy,
            step,
            since: time.now,
            until: end + CALL_GRACE,
            named: named.len(),
            held,
        });
        let job = self.jobs.get_mut(&step.job);
        if let Some(state) = job.and_then(|job| job.step_mut(step)) {
            state.permits.call = Some(number);
        }
        out.push(Output::CallAdvisor(AdvisorCall {
            number,
            proxy,
            step,
            workers: named,
            cost,
            decided_at: time.now,
        }));
    }

    /// Returns the free capacity of the named workers that an urgent step is expected to use after the
    /// answer, if the advisor permits `share` of them.
    fn capacity_to_hold(&self, step: Step, named: &[Worker], share: f64) -> Reserved {
        let mut held = Reserved::default();
        let Some(job) = self.jobs.get(&step.job).filter(|job| job.queue.is_urgent()) else {
            return held;
        };
        let waiting = job.step(step).map_or(0, |step| step.waiting);
        let need = job.spec.steps[usize::from(step.index)].capacity_need();
        let mut wanted = (waiting as f64 / share.max(MIN_SHARE)).ceil() as usize;
        for &key in named {
            let free = self
                .workers
                .get(key)
                .map(super::worker::Worker::free)
                .unwrap_or_default();
            let tasks = plan::fits(free, need).min(waiting).min(wanted);
            if tasks > 0 {
                held.insert(key, need.times(tasks as u64));
                wanted -= tasks;
            }
        }
        held
    }

    /// Returns the capacity that is kept for a step until the advisor answers.
    pub(super) fn held_for_call(&self, id: Step) -> Option<&Reserved> {
        let step = self.jobs.get(&id.job)?.step(id)?;
        let call = self.pending_calls.get(step.permits.call?)?;
        Some(&call.held)
    }

    /// Whether the advisor can be called for a step now.
    pub(super) fn may_call_advisor(&self, id: Step, now: Instant) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let (Some(advice), Some(step)) = (job.queue.advice, job.step(id)) else {
            return false;
        };
        let (cost, is_retry) = (cost(&advice, 1), step.permits.has_failed());
        step.permits.may_call(now) && self.advisor_proxies.has_idle(now, cost, is_retry)
    }

    /// Lets a step that the permitted workers cannot hold ask again about those that the advisor has
    /// denied, from time to time.
    pub(super) fn recheck_denials(&mut self, id: Step, now: Instant) {
        if !self.may_call_advisor(id, now) {
            return;
        }
        let job = self.jobs.get_mut(&id.job);
        if let Some(step) = job.and_then(|job| job.step_mut(id)) {
            step.permits.recheck_denials(now);
        }
    }

    /// Returns the average share of workers that the advisor permits for the queue of a step.
    pub(super) fn permitted_share(&self, step: Step) -> f64 {
        let job = self.jobs.get(&step.job);
        job.map_or(INITIAL_PERMITTED_SHARE, |job| {
            share_of(&self.permitted_shares, &job.queue.name)
        })
    }

    /// Returns how many calls of an entry to the advisor have failed in a row.
    pub fn advisor_failures(&self, proxy: AdvisorProxy) -> u32 {
        self.advisor_proxies.failures(proxy)
    }

    /// Processes the outcome of a call. The answer to a call that was given up leaves the next call in
    /// progress, and its permits are used if there are no newer ones.
    pub(super) fn advised(
        &mut self,
        now: Instant,
        call: &AdvisorCall,
        allowed: Option<Vec<(String, Arc<str>)>>,
        validity: Duration,
    ) {
        let is_pending = self.pending_calls.remove(call.number).is_some();
        match &allowed {
            Some(_) if is_pending => self.advisor_proxies.ended(call.proxy, now),
            None if is_pending => self.advisor_proxies.failed(call.proxy, now),
            Some(_) => {}
            None => return,
        }
        let by_name = &self.by_name;
        let allowed: Option<Vec<(Worker, Arc<str>)>> = allowed.map(|allowed| {
            let known = allowed.into_iter();
            known
                .filter_map(|(name, permit)| Some((*by_name.get(&name)?, permit)))
                .collect()
        });
        let Some(job) = self.jobs.get_mut(&call.step.job) else {
            return;
        };
        let queue = job.queue.name.clone();
        let Some(state) = job.step_mut(call.step) else {
            return;
        };
        if is_pending {
            state.permits.call = None;
        }
        let Some(allowed) = allowed else {
            state.permits.not_before = now + RETRY_PAUSE;
            return;
        };
        let named = call.workers.iter();
        let first_answers = named.filter(|worker| state.permits.verdict(**worker).is_none());
        let first_answers: Vec<Worker> = first_answers.copied().collect();
        let permitted = allowed
            .iter()
            .filter(|(worker, _)| first_answers.contains(worker))
            .count();
        let until = call.issued_at(now) + validity;
        state.permits.record_answer(&call.workers, allowed, until);
        for &key in &call.workers {
            if let Some(worker) = self.workers.get(key) {
                let reused = self.workers.reused();
                state.permits.note_seat(key, worker.seat, reused);
            }
        }
        if !first_answers.is_empty() {
            let latest = permitted as f64 / first_answers.len() as f64;
            let share = self
                .permitted_shares
                .entry(queue)
                .or_insert(INITIAL_PERMITTED_SHARE);
            *share += (latest - *share) * SHARE_WEIGHT;
        }
    }

    /// Gives up calls that have not been answered in time.
    pub(super) fn expire_calls(&mut self, now: Instant) {
        for (number, call) in self.pending_calls.take_expired(now) {
            self.advisor_proxies.failed(call.proxy, now);
            self.is_dirty = true;
            let job = self.jobs.get_mut(&call.step.job);
            let state = job.and_then(|job| job.step_mut(call.step));
            if let Some(state) = state.filter(|state| state.permits.call == Some(number)) {
                state.permits.call = None;
            }
        }
    }
}

fn share_of(shares: &HashMap<String, f64>, queue: &str) -> f64 {
    shares
        .get(queue)
        .copied()
        .unwrap_or(INITIAL_PERMITTED_SHARE)
}
