//! Calls to the advisor: which steps need one, and what its answers mean.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::advice::{Ask, Asker, CALL_GRACE, Call, cost, width};
use super::id::{Step, Worker};
use super::message::Output;
use super::{Scheduler, Time};
use crate::core::time::Instant;

/// What share of named workers is taken to be permitted before anything is known.
const FIRST_GUESS: f64 = 0.4;
/// The weight of the latest answer in the learned share.
const SHARE_WEIGHT: f64 = 0.1;
/// The pause before a failed call is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

impl Scheduler {
    /// Calls the advisor for a step, unless a call is under way. `renew` are permitted workers whose
    /// tickets have ended; `unknown` others, the likeliest first, of which `wanted` would do.
    pub(super) fn ask(
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
        let share = share_of(&self.permitted, &job.queue.name);
        let Some(state) = job.step_mut(step) else {
            return;
        };
        if state.permits.call.is_some() || time.now < state.permits.not_before {
            return;
        }
        let mut named = renew.to_vec();
        if wanted > 0 {
            named.extend(unknown.iter().take(width(&advice, wanted, share)));
        }
        named.truncate(super::advice::MAX_NAMED);
        if named.is_empty() {
            return;
        }
        let cost = cost(&advice, named.len());
        let Some((asker, end)) = self.askers.pick(time.now, cost) else {
            return;
        };
        let state = self
            .jobs
            .get_mut(&step.job)
            .and_then(|job| job.step_mut(step));
        if let Some(state) = state {
            state.permits.call = Some(Call {
                asker,
                until: end + CALL_GRACE,
                named: named.clone(),
            });
        }
        out.push(Output::Ask(Ask {
            asker,
            step,
            workers: named,
            cost,
        }));
    }

    /// Returns the share of workers that the advisor usually permits for the queue of a step.
    pub(super) fn permitted_share(&self, step: Step) -> f64 {
        let job = self.jobs.get(&step.job);
        job.map_or(FIRST_GUESS, |job| {
            share_of(&self.permitted, &job.queue.name)
        })
    }

    pub(super) fn advised(
        &mut self,
        now: Instant,
        asker: Asker,
        step: Step,
        named: &[Worker],
        allowed: Option<Vec<(String, Arc<str>)>>,
        validity: Duration,
    ) {
        self.askers.ended(asker, now);
        let by_name = &self.by_name;
        let allowed: Option<Vec<(Worker, Arc<str>)>> = allowed.map(|allowed| {
            let known = allowed.into_iter();
            known
                .filter_map(|(name, ticket)| Some((*by_name.get(&name)?, ticket)))
                .collect()
        });
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return;
        };
        let queue = job.queue.name.clone();
        let Some(state) = job.step_mut(step) else {
            return;
        };
        // A call that was given up may be answered after the next one was made.
        let is_current = state
            .permits
            .call
            .as_ref()
            .is_some_and(|call| call.named == named);
        if is_current {
            state.permits.call = None;
        }
        let Some(allowed) = allowed else {
            state.permits.not_before = now + RETRY_PAUSE;
            return;
        };
        let news = named
            .iter()
            .filter(|worker| state.permits.verdict(**worker).is_none());
        let news: Vec<Worker> = news.copied().collect();
        let permitted = allowed
            .iter()
            .filter(|(worker, _)| news.contains(worker))
            .count();
        state.permits.answered(named, allowed, now + validity);
        if !news.is_empty() {
            let latest = permitted as f64 / news.len() as f64;
            let share = self.permitted.entry(queue).or_insert(FIRST_GUESS);
            *share += (latest - *share) * SHARE_WEIGHT;
        }
    }

    /// Gives up calls that should have been answered long ago.
    pub(super) fn expire_calls(&mut self, now: Instant) {
        let mut lost = Vec::new();
        for step in &self.ready {
            let state = self
                .jobs
                .get_mut(&step.job)
                .and_then(|job| job.step_mut(*step));
            let Some(state) = state else {
                continue;
            };
            if state
                .permits
                .call
                .as_ref()
                .is_some_and(|call| now >= call.until)
            {
                lost.extend(state.permits.call.take());
            }
        }
        for call in lost {
            self.askers.ended(call.asker, now);
            self.is_dirty = true;
        }
    }
}

fn share_of(permitted: &HashMap<String, f64>, queue: &str) -> f64 {
    permitted.get(queue).copied().unwrap_or(FIRST_GUESS)
}
