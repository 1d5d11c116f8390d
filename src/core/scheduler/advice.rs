//! Which workers an advisor permits for a step, and who asks it.
//!
//! An advisor takes one call at a time from each entry, so calls are spread over the entries. The
//! load that this answers: calls that take half a second for bulk steps, beside a stream of lookups
//! that are due within half a second: some entries take short calls only.

use std::collections::HashMap;
use std::time::Duration;

use laburnum_derive::{state, value};

use super::id::{Step, Worker};
use super::spec::Advice;
use crate::core::time::Instant;

/// A call that takes longer than this is a long one.
const LONG_CALL: Duration = Duration::from_millis(50);
/// A call is given to an entry whose calls are expected to be answered within this span: it covers
/// the way to the advisor and back, and more would wait there, where better ranks can't overtake.
const LOOKAHEAD: Duration = Duration::from_millis(25);
/// One in so many entries takes short calls only.
const SHORT_ONLY_SHARE: usize = 3;
/// How long past its expected end a call may take before it is given up.
pub const CALL_GRACE: Duration = Duration::from_millis(1_500);
/// A permit is not used in its last part, which a start spends on its way.
const PERMIT_MARGIN: Duration = Duration::from_millis(150);

/// An entry that can call the advisor; 0 is the owner itself.
#[value]
pub struct Asker(pub u32);

/// A permit for a worker.
#[state]
pub struct Permit {
    /// Shown to the worker at the start.
    pub ticket: std::sync::Arc<str>,
    /// When it ends, on our clock.
    pub until: Instant,
}

/// What is known of a step's permitted workers.
#[state]
#[derive(Default)]
pub struct Permits {
    /// By worker; `None` for a worker that may not run the step.
    pub workers: HashMap<Worker, Option<Permit>>,
    /// The call under way.
    pub call: Option<Call>,
    /// No call before this, after a failed one.
    pub not_before: Instant,
}

/// A call under way.
#[state]
pub struct Call {
    /// Who makes it.
    pub asker: Asker,
    /// When it counts as lost.
    pub until: Instant,
    /// Who was named.
    pub named: Vec<Worker>,
}

impl Permits {
    /// Returns the ticket of a permit that can still be used at `now`.
    pub fn ticket(&self, worker: Worker, now: Instant) -> Option<&std::sync::Arc<str>> {
        let permit = self.workers.get(&worker)?.as_ref()?;
        (permit.until > now + PERMIT_MARGIN).then_some(&permit.ticket)
    }

    /// Whether the advisor ever permitted or refused the worker.
    pub fn verdict(&self, worker: Worker) -> Option<bool> {
        self.workers.get(&worker).map(Option::is_some)
    }

    /// Takes in the answer of a call that was sent at `sent`.
    pub fn answered(
        &mut self,
        named: &[Worker],
        allowed: Vec<(Worker, std::sync::Arc<str>)>,
        until: Instant,
    ) {
        for &worker in named {
            self.workers.insert(worker, None);
        }
        for (worker, ticket) in allowed {
            self.workers.insert(worker, Some(Permit { ticket, until }));
        }
    }
}

/// Spreads calls over the entries.
#[state]
#[derive(Default)]
pub struct Askers {
    busy: Vec<Load>,
}

/// The calls of one asker.
#[state]
struct Load {
    asker: Asker,
    /// When its calls are expected to be answered.
    until: Instant,
    /// How many calls are under way.
    calls: u32,
}

impl Askers {
    /// Replaces the entries that can call.
    pub fn set(&mut self, askers: &[Asker]) {
        let former = std::mem::take(&mut self.busy);
        for &asker in askers {
            let known = former.iter().find(|load| load.asker == asker);
            self.busy.push(known.cloned().unwrap_or(Load {
                asker,
                until: Instant(0),
                calls: 0,
            }));
        }
    }

    /// Picks who makes a call that takes `cost`, and returns it with the expected end; `None` while
    /// all are busy.
    pub fn pick(&mut self, now: Instant, cost: Duration) -> Option<(Asker, Instant)> {
        let first = if cost > LONG_CALL && self.busy.len() >= SHORT_ONLY_SHARE {
            self.busy.len().div_ceil(SHORT_ONLY_SHARE)
        } else {
            0
        };
        let idle = self.busy[first..]
            .iter_mut()
            .filter(|load| load.until <= now + LOOKAHEAD);
        let load = idle.min_by_key(|load| load.until.max(now))?;
        load.until = load.until.max(now) + cost;
        load.calls += 1;
        Some((load.asker, load.until))
    }

    /// Whether some asker could take a call now.
    pub fn has_idle(&self, now: Instant) -> bool {
        self.busy.iter().any(|load| load.until <= now + LOOKAHEAD)
    }

    /// Takes in that a call ended; an asker without calls is free.
    pub fn ended(&mut self, asker: Asker, now: Instant) {
        if let Some(load) = self.busy.iter_mut().find(|load| load.asker == asker) {
            load.calls = load.calls.saturating_sub(1);
            if load.calls == 0 {
                load.until = load.until.min(now);
            }
        }
    }
}

/// Returns how long a call that names `workers` takes.
pub fn cost(advice: &Advice, workers: usize) -> Duration {
    advice.base + advice.per_worker * workers as u32
}

/// Returns how many workers a call should name when `wanted` would do if all were permitted:
/// enough for the share that was permitted lately, and as many as add a quarter to the call's cost.
pub fn width(advice: &Advice, wanted: usize, permitted_share: f64) -> usize {
    let needed = (wanted as f64 / permitted_share.max(0.05)).ceil() as usize;
    let per_worker = advice.per_worker.as_secs_f64().max(1e-6);
    let cheap = (advice.base.as_secs_f64() * 0.25 / per_worker) as usize;
    needed.max(cheap).min(MAX_NAMED)
}

/// The most workers that one call may name; a limit of the advisor.
pub const MAX_NAMED: usize = 100;

/// Names a step for the advisor.
#[state]
pub struct Ask {
    /// Who asks.
    pub asker: Asker,
    /// The step.
    pub step: Step,
    /// The workers.
    pub workers: Vec<Worker>,
    /// How long the advisor takes.
    pub cost: Duration,
}
